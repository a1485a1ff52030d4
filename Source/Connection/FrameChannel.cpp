#include "Connection/FrameChannel.h"

#include "Common/Log.h"
#include "Connection/MemoryWait.h"
#include "Connection/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <utility>

namespace samphireshunt {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::steady_clock;

namespace {

/// How long a frame waits for memory: less than the silence after which a link
/// is closed.
constexpr std::chrono::milliseconds MaxMemoryWait{400};
/// The memory that a frame begins with, in bytes.
constexpr std::size_t FirstFrameMemory = 4096;

wire::HeartbeatT heartbeatReply() {
  wire::HeartbeatT Answer;
  Answer.answer = true;
  return Answer;
}

} // namespace

std::shared_ptr<FrameChannel> FrameChannel::create(asio::ip::tcp::socket Socket,
                                                   Hooks Callbacks,
                                                   Timing Periods,
                                                   Limits Bounds) {
  std::shared_ptr<FrameChannel> Channel(new FrameChannel(
      std::move(Socket), std::move(Callbacks), Periods, Bounds));
  auto Executor = Channel->Socket_.get_executor();
  auto Read = [Channel]() { return Channel->readFrames(); };
  auto Watch = [Channel]() { return Channel->watchSilence(); };
  spawnLogged(Executor, "read-frames", std::move(Read));
  spawnLogged(Executor, "watch-link", std::move(Watch));
  return Channel;
}

FrameChannel::FrameChannel(asio::ip::tcp::socket Socket, Hooks Callbacks,
                           Timing Periods, Limits Bounds)
    : Socket_(std::move(Socket)), Hooks_(std::move(Callbacks)),
      Timing_(Periods), Limits_(Bounds),
      FrameMemory_(*Bounds.Memory_, MemoryOwner::PeerFrames),
      QueueMemory_(*Bounds.Memory_, MemoryOwner::PeerFrames),
      SilenceTimer_(Socket_.get_executor()),
      LastReceived_(steady_clock::now()) {
  error_code Ignored;
  Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
}

void FrameChannel::send(std::string Message) {
  if (!Socket_.is_open())
    return;
  std::uint32_t Size = boost::endian::native_to_little(
      static_cast<std::uint32_t>(Message.size()));
  std::string Frame(reinterpret_cast<const char *>(&Size), sizeof(Size));
  Frame += Message;
  std::size_t Queued = QueueMemory_.bytes() + Frame.size();
  if (Queued > MaxQueuedBytes || !QueueMemory_.grow(Queued))
    return closeForMemory("link-overfull", "queued_bytes", Queued);
  BytesSent_ += Frame.size();
  Outgoing_.push_back(std::move(Frame));
  if (Writing_)
    return;
  Writing_ = true;
  LastWritten_ = steady_clock::now();
  auto Write = [Self = shared_from_this()]() { return Self->writeFrames(); };
  spawnLogged(Socket_.get_executor(), "write-frames", std::move(Write));
}

void FrameChannel::close() {
  Hooks_ = Hooks();
  error_code Ignored;
  Socket_.close(Ignored);
  SilenceTimer_.cancel();
}

void FrameChannel::fail() {
  auto Closed = std::move(Hooks_.Closed_);
  close();
  if (Closed)
    Closed();
}

void FrameChannel::noteError(const error_code &Error) {
  WasReset_ |= Error == asio::error::eof ||
               Error == asio::error::connection_reset ||
               Error == asio::error::broken_pipe;
}

/// Closes the socket only: readFrames() then ends with an error and calls
/// Closed_.
void FrameChannel::closeForMemory(std::string_view Event, std::string_view Name,
                                  std::size_t Bytes) {
  error_code Ignored;
  auto Other = Socket_.remote_endpoint(Ignored);
  logEvent(LogCategory::Process, spdlog::level::warn, Event,
           {{"address", formatEndpoint(Other)},
            {std::string(Name), std::to_string(Bytes)}});
  Limits_.Memory_->linkClosed();
  Outgoing_.clear();
  Socket_.close(Ignored);
  SilenceTimer_.cancel();
}

Awaitable<void> FrameChannel::readFrames() {
  while (Socket_.is_open()) {
    std::uint32_t Size = 0;
    auto SizeBuffer = asio::buffer(&Size, sizeof(Size));
    error_code Error = co_await readAll(SizeBuffer);
    Size = boost::endian::little_to_native(Size);
    if (!Error && Size > Limits_.FrameBytes_)
      closeForMemory("frame-too-long", "bytes", Size);
    if (Error || !Socket_.is_open())
      break;
    auto Bytes = co_await readBody(Size);
    if (!Bytes)
      break;
    receive(*Bytes);
    FrameMemory_.set(0);
  }
  fail();
}

/// A connection that announces a long frame and sends nothing of it costs no
/// more than one that announces nothing.
Awaitable<std::optional<std::string>> FrameChannel::readBody(std::size_t Size) {
  std::string Bytes;
  while (Bytes.size() < Size) {
    std::size_t Read = Bytes.size();
    std::size_t Next = std::min(Size, std::max(FirstFrameMemory, 2 * Read));
    bool Held = FrameMemory_.grow(Next);
    if (!Held)
      Held = co_await awaitMemory(Next);
    if (!Held)
      co_return std::nullopt;
    Bytes.resize(Next);
    auto Rest = asio::buffer(Bytes) + Read;
    error_code Error = co_await readAll(Rest);
    if (Error)
      co_return std::nullopt;
  }
  Incoming_.reset();
  co_return Bytes;
}

Awaitable<bool> FrameChannel::awaitMemory(std::size_t Bytes) {
  auto Take = [this, Bytes] { return FrameMemory_.grow(Bytes); };
  auto IsOver = [this] { return !Socket_.is_open(); };
  bool Held =
      co_await waitForMemory(MaxMemoryWait, std::move(Take), std::move(IsOver));
  if (!Held)
    closeForMemory("frame-refused", "bytes", Bytes);
  co_return Held;
}

Awaitable<error_code> FrameChannel::readAll(asio::mutable_buffer Target) {
  error_code Error;
  std::optional<TimePoint> Begun;
  while (Target.size() > 0 && !Error) {
    std::size_t Count = co_await Socket_.async_read_some(
        Target, asio::redirect_error(asio::use_awaitable, Error));
    Target += Count;
    LastReceived_ = Error ? LastReceived_ : steady_clock::now();
    if (Count > 0 && !Incoming_)
      Incoming_ = IncomingFrame{0, 0, LastReceived_};
    if (Incoming_)
      Incoming_->Bytes_ += Count;
    Begun = Begun.value_or(LastReceived_);
    if (!Error && Target.size() > 0)
      reportProgress(*Begun);
  }
  noteError(Error);
  co_return Error;
}

/// A frame of a megabyte takes a second on a slow link. If only complete frames
/// counted as received, the link would be closed in the middle of the frame,
/// and the frame sent again on the next link, without end. The peer would
/// receive nothing either, because its heartbeat request is queued behind the
/// frame. So each chunk counts as a sign of life and is answered by a
/// heartbeat.
void FrameChannel::reportProgress(TimePoint Begun) {
  if (LastReceived_ - std::max(Begun, LastProgressSent_) < Timing_.Heartbeat_)
    return;
  LastProgressSent_ = LastReceived_;
  send(encodeMessage(heartbeatReply()));
}

void FrameChannel::receive(std::string_view Bytes) {
  auto Envelope = decodeMessage(Bytes);
  if (!Envelope)
    return fail();
  if (const auto *Beat = Envelope->body.AsHeartbeat()) {
    if (!Beat->answer)
      send(encodeMessage(heartbeatReply()));
    return;
  }
  if (auto Received = Hooks_.Received_)
    Received(std::move(*Envelope));
}

Awaitable<void> FrameChannel::writeFrames() {
  error_code Error;
  while (!Outgoing_.empty() && Socket_.is_open() && !Error) {
    std::string Frame = std::move(Outgoing_.front());
    Outgoing_.pop_front();
    Error = co_await writeAll(Frame);
    QueueMemory_.set(QueueMemory_.bytes() - Frame.size());
  }
  Writing_ = false;
  if (Error)
    fail();
}

/// A frame that arrives by single bytes is not silent, but holds its memory for
/// as long as its sender likes.
bool FrameChannel::makesProgress(TimePoint Now) {
  if (!Incoming_ || Now - Incoming_->Checked_ < Timing_.Progress_)
    return true;
  Incoming_->Checked_ = Now;
  std::size_t Before =
      std::exchange(Incoming_->CheckedBytes_, Incoming_->Bytes_);
  return Incoming_->Bytes_ - Before >= MinFrameProgress;
}

Awaitable<error_code> FrameChannel::writeAll(const std::string &Frame) {
  asio::const_buffer Rest = asio::buffer(Frame);
  error_code Error;
  while (Rest.size() > 0 && !Error) {
    Rest += co_await Socket_.async_write_some(
        Rest, asio::redirect_error(asio::use_awaitable, Error));
    LastWritten_ = steady_clock::now();
  }
  noteError(Error);
  co_return Error;
}

/// Closes the connection when the peer is silent for too long. A network
/// element between the two ends can lose the state of a connection: writes then
/// succeed into the socket's buffer and no error is ever reported. Without
/// heartbeats, requests that wait for a grant would wait until their deadline;
/// with them the link is replaced within Silence_.
Awaitable<void> FrameChannel::watchSilence() {
  error_code Error;
  bool WasAwaiting = false;
  while (Socket_.is_open()) {
    SilenceTimer_.expires_after(Timing_.Heartbeat_);
    co_await SilenceTimer_.async_wait(
        asio::redirect_error(asio::use_awaitable, Error));
    if (!Socket_.is_open())
      break;
    bool Awaiting = Hooks_.Awaiting_ && Hooks_.Awaiting_();
    auto Now = steady_clock::now();
    // A process that is not scheduled neither sends nor receives. If its own
    // pause counted as silence of the peer, it would close links to working
    // daemons and lose everything awaited from them.
    bool WasPaused = Now - SilenceTimer_.expiry() > Timing_.Heartbeat_;
    if (WasPaused)
      LastReceived_ = Now;
    if (WasPaused)
      LastWritten_ = Now;
    if (WasPaused && Incoming_)
      Incoming_->Checked_ = Now;
    // A peer that takes nothing holds the memory of the links to all others.
    if (Writing_ && Now - LastWritten_ > Timing_.Progress_) {
      closeForMemory("link-stalled", "queued_bytes", QueueMemory_.bytes());
      break;
    }
    if (!makesProgress(Now)) {
      closeForMemory("frame-stalled", "bytes", Incoming_->Bytes_);
      break;
    }
    if (Awaiting && !WasAwaiting)
      LastReceived_ = Now;
    WasAwaiting = Awaiting;
    if (!Awaiting)
      continue;
    if (Now - LastReceived_ > Timing_.Silence_) {
      fail();
      break;
    }
    // Any received message shows that the link works, so no heartbeat is
    // needed.
    if (Now - LastReceived_ >= Timing_.Heartbeat_)
      send(encodeMessage(wire::HeartbeatT()));
  }
}

} // namespace samphireshunt
