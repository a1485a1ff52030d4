#include "Connection/Http.h"

#include "Common/Log.h"
#include "Connection/AcceptLoop.h"
#include "Connection/FramingReader.h"
#include "Connection/GrowingBody.h"
#include "Connection/MemoryBudget.h"
#include "Connection/MemoryWait.h"
#include "Connection/RequestTarget.h"
#include "Connection/SocketOptions.h"
#include "Connection/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <exception>
#include <optional>

namespace samphireshunt {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr std::size_t FirstReadBytes = 4096;
constexpr unsigned Http11 = 11;
constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;
/// How long the connection of a caller whose VM disappeared without closing it
/// is kept.
constexpr SilenceLimits CallerSilence{std::chrono::milliseconds(10000),
                                      std::chrono::seconds(10),
                                      std::chrono::seconds(3), 3};
/// How long the rest of a refused request is read and discarded.
constexpr std::chrono::milliseconds DiscardTime{1000};

/// How long a body waits for memory. Callers leave if nothing is read of their
/// request for a second, and would not see the refusal.
constexpr std::chrono::milliseconds MaxBodyWait{700};
/// While others wait, a body that holds memory has to grow by this much in one
/// of two looks at it. One that stops coming would hold the memory for the
/// whole time of the read otherwise.
constexpr std::size_t MinBodyProgress = 4 * 1024;
/// Two looks without progress fit into the time that another body waits.
constexpr std::chrono::milliseconds ProgressInterval{200};
constexpr int MaxStalls = 2;

/// State shared by the connections of one server; it outlives the server
/// itself.
struct ServerState {
  ServerState(MemoryBudget &Memory, HttpServerOptions Options)
      : Memory_(Memory), Options_(std::move(Options)) {}

  MemoryBudget &Memory_;
  HttpServerOptions Options_;
  std::atomic<bool> CloseAfterAnswers_ = false;
  std::atomic<std::size_t> OpenConnections_ = 0;
  std::atomic<std::size_t> ActiveExchanges_ = 0;
  /// Requests whose heads are being read.
  std::atomic<std::size_t> HeadsInProgress_ = 0;

  /// \returns how long a head may be that is not whole. Beside hundreds of
  /// others it is as short as usual ones are.
  std::size_t headLimit(std::size_t Most) const {
    constexpr std::size_t UsualBytes = 4096;
    std::size_t Share = Options_.ReceiveBytes_;
    if (Share == 0)
      return Most;
    return std::min(Most, std::max(UsualBytes, Share / (HeadsInProgress_ + 1)));
  }

  HttpLimits limits() const {
    if (Options_.Limits_)
      return Options_.Limits_();
    return {Options_.MaxHeaderBytes_, Options_.MaxBodyBytes_,
            Options_.ReadTimeout_};
  }
};

Failure readFailure(const beast::error_code &Error) {
  if (Error == http::error::header_limit ||
      Error == http::error::buffer_overflow)
    return {ResultCode::HeaderTooLarge, Error.message()};
  if (Error == http::error::body_limit)
    return {ResultCode::BodyTooLarge, Error.message()};
  if (Error == beast::error::timeout)
    return {ResultCode::ReadTimeout, Error.message()};
  return {ResultCode::MalformedRequest, Error.message()};
}

/// True when \p Error means that the caller is no longer connected, so that no
/// response can be sent.
bool isHangUp(const beast::error_code &Error) {
  return Error == http::error::end_of_stream || Error == asio::error::eof ||
         Error == asio::error::connection_reset ||
         Error == http::error::partial_message ||
         Error == asio::error::operation_aborted;
}

/// Counts one request, or its head, during its lifetime, also when the handler
/// throws. A graceful stop waits until no request is counted.
class ActiveExchange {
public:
  explicit ActiveExchange(std::atomic<std::size_t> &Count) : Count_(Count) {
    ++Count_;
  }
  ~ActiveExchange() { --Count_; }
  ActiveExchange(const ActiveExchange &) = delete;
  ActiveExchange &operator=(const ActiveExchange &) = delete;

private:
  std::atomic<std::size_t> &Count_;
};

/// Closes a connection when its session ends, also by an exception. The pending
/// wait for the caller's disconnect keeps the session alive: without this class
/// the connection would stay open, and the caller would wait for a response
/// that is never written.
class ConnectionCloser {
public:
  explicit ConnectionCloser(beast::tcp_stream &Stream) : Stream_(Stream) {}
  ~ConnectionCloser() { Stream_.close(); }
  ConnectionCloser(const ConnectionCloser &) = delete;
  ConnectionCloser &operator=(const ConnectionCloser &) = delete;

private:
  beast::tcp_stream &Stream_;
};

/// One connection. It reads requests and passes them to the handler for as long
/// as both sides keep the connection open.
class Session : public HttpExchange,
                public std::enable_shared_from_this<Session> {
public:
  Session(Tcp::socket Socket, std::shared_ptr<ServerState> State)
      : Stream_(std::move(Socket)), State_(std::move(State)),
        Body_(State_->Memory_, MemoryOwner::RequestBodies) {
    ++State_->OpenConnections_;
  }
  ~Session() override { --State_->OpenConnections_; }

  Awaitable<void> run() {
    ConnectionCloser Closing(Stream_);
    while (Stream_.socket().is_open()) {
      bool Begun = co_await awaitFirstByte();
      if (!Begun)
        break;
      bool Served = co_await serveRequest();
      if (!Served || !KeepAlive_)
        break;
    }
    beast::error_code Ignored;
    Stream_.socket().shutdown(Tcp::socket::shutdown_send, Ignored);
  }

  /// Sends a refusal and closes the connection.
  Awaitable<void> refuse(Failure Cause) {
    KeepAlive_ = false;
    HttpResponse Response = State_->Options_.Refusal_(std::move(Cause));
    co_await respond(std::move(Response));
    co_await discardRest();
    Stream_.close();
  }

  const HttpRequest &request() const override { return Request_; }
  bool begun() const override { return Begun_; }

  Awaitable<bool> respond(HttpResponse Response) override {
    http::response<http::string_body> Message;
    fillHead(Message, Response);
    // Otherwise the client would misread the next response.
    if (!mayHaveBody(Response.Status_)) {
      if (auto Length = statedLength(Response))
        Message.content_length(*Length);
    } else {
      Message.body() = std::move(Response.Body_);
      Message.prepare_payload();
    }
    Begun_ = true;
    beast::error_code Error;
    Stream_.expires_after(State_->Options_.WriteTimeout_);
    co_await http::async_write(
        Stream_, Message, asio::redirect_error(asio::use_awaitable, Error));
    Answered_ = !Error;
    co_return written(Error);
  }

  Awaitable<bool> beginStream(HttpResponse Head) override {
    return beginBody(std::move(Head), Version_ >= Http11);
  }

  Awaitable<bool> beginUnframed(HttpResponse Head) override {
    return beginBody(std::move(Head), /*Chunked=*/false);
  }

  Awaitable<bool> writeChunk(std::string Data) override {
    if (Data.empty() || isHead())
      co_return true;
    auto Bytes = asio::buffer(Data);
    if (!Chunked_)
      co_return co_await writeBuffers(Bytes);
    auto Chunk = http::make_chunk(Bytes);
    co_return co_await writeBuffers(Chunk);
  }

  Awaitable<bool> endStream() override {
    if (Chunked_ && !isHead()) {
      auto Last = http::make_chunk_last();
      Answered_ = co_await writeBuffers(Last);
      co_return Answered_;
    }
    resetOnClose(false);
    Answered_ = true;
    co_return true;
  }

  void abort() override {
    Answered_ = false;
    Cut_ = Cut_.value_or(CutReason::Aborted);
    Stream_.close();
  }

  void onCallerLeft(std::function<void()> Hook) override {
    CallerLeft_ = std::move(Hook);
    if (AwaitingDisconnect_)
      return;
    AwaitingDisconnect_ = true;
    Stream_.socket().async_wait(
        Tcp::socket::wait_read,
        [Self = shared_from_this()](const beast::error_code &Error) {
          if (!Error)
            Self->reportCallerLeft();
        });
  }

  /// Peeks at the received bytes, the only way to distinguish the end of the
  /// connection from a pipelined request.
  bool hasCallerLeft() override {
    if (!Stream_.socket().is_open())
      return true;
    char Byte = 0;
    beast::error_code Error;
    Stream_.socket().non_blocking(true, Error);
    std::size_t Count = Stream_.socket().receive(
        asio::buffer(&Byte, 1), Tcp::socket::message_peek, Error);
    return (Error && Error != asio::error::would_block) ||
           (!Error && Count == 0);
  }

private:
  Awaitable<bool> beginBody(HttpResponse Head, bool Chunked) {
    Chunked_ = Chunked;
    Begun_ = true;
    if (!Chunked) {
      KeepAlive_ = false;
      resetOnClose(true);
    }
    http::response<http::empty_body> Message;
    fillHead(Message, Head);
    Message.chunked(Chunked);
    http::response_serializer<http::empty_body> Serializer(Message);
    beast::error_code Error;
    Stream_.expires_after(State_->Options_.WriteTimeout_);
    co_await http::async_write_header(
        Stream_, Serializer, asio::redirect_error(asio::use_awaitable, Error));
    co_return written(Error);
  }

  /// While an unframed response is incomplete, a normal end of the connection
  /// would complete it. The kernel resets the connection then, also if this
  /// process is killed.
  void resetOnClose(bool Reset) {
    beast::error_code Ignored;
    Stream_.socket().set_option(asio::socket_base::linger(Reset, 0), Ignored);
  }

  bool isHead() const { return Request_.Method_ == "HEAD"; }

  bool mayHaveBody(int Status) const {
    return !isHead() && Status != StatusNoContent &&
           Status != StatusNotModified;
  }

  /// \returns the length that the head of a response without a body states.
  std::optional<std::uint64_t>
  statedLength(const HttpResponse &Response) const {
    if (Response.Status_ == StatusNoContent)
      return std::nullopt;
    bool KnowsBody = isHead() && !Response.Body_.empty();
    return KnowsBody ? Response.Body_.size() : Response.StatedLength_;
  }

  using TimePoint = std::chrono::steady_clock::time_point;
  using Parser = http::request_parser<GrowingBody>;

  /// The read of one request. Its timer shares it: a handler that is already
  /// queued when the timer is cancelled would cancel the next operation of the
  /// connection otherwise.
  struct RequestRead {
    explicit RequestRead(asio::any_io_executor Executor)
        : Timer_(std::move(Executor)) {}

    enum class State { Reading, TimedOut, Finished };
    State State_ = State::Reading;
    asio::steady_timer Timer_;
    TimePoint End_;
    bool HoldsMemory_ = false;
    /// Nothing is read, as there is no memory for it.
    bool WaitsForMemory_ = false;
    std::size_t Bytes_ = 0; ///< Bytes of the body that have come.
    std::size_t CheckedBytes_ = 0;
    int Stalls_ = 0;

    bool timedOut() const { return State_ == State::TimedOut; }
    /// \returns whether it holds memory for a body that does not come.
    bool stalled(bool OthersWait) {
      std::size_t Grown = Bytes_ - std::exchange(CheckedBytes_, Bytes_);
      bool Slow = HoldsMemory_ && !WaitsForMemory_ && OthersWait &&
                  Grown < MinBodyProgress;
      Stalls_ = Slow ? Stalls_ + 1 : 0;
      return Stalls_ >= MaxStalls;
    }
  };

  template <class Buffers> Awaitable<bool> writeBuffers(const Buffers &Data) {
    beast::error_code Error;
    Stream_.expires_after(State_->Options_.WriteTimeout_);
    co_await asio::async_write(
        Stream_, Data, asio::redirect_error(asio::use_awaitable, Error));
    co_return written(Error);
  }

  /// Records why a write failed. \returns whether it did not.
  bool written(const beast::error_code &Error) {
    if (Error && !Cut_)
      Cut_ = Error == beast::error::timeout ? CutReason::WriteTimeout
                                            : CutReason::CallerLeft;
    return !Error;
  }

  /// Reads and discards for a short time what the caller still sends. A
  /// connection that is closed with unread bytes is reset, and the reset can
  /// overtake the refusal: the caller would see a broken connection instead of
  /// the reason.
  Awaitable<void> discardRest() {
    beast::error_code Error;
    Stream_.socket().shutdown(Tcp::socket::shutdown_send, Error);
    auto End = std::chrono::steady_clock::now() + DiscardTime;
    std::array<char, FirstReadBytes> Space;
    while (!Error) {
      Stream_.expires_at(End);
      co_await Stream_.async_read_some(
          asio::buffer(Space),
          asio::redirect_error(asio::use_awaitable, Error));
    }
  }

  /// Waits for the first byte of a request. Idle connections are distinguished
  /// from those with a request in progress, which a graceful stop must not cut.
  /// One empty line before a request is skipped (RFC 9112, section 2.2).
  Awaitable<bool> awaitFirstByte() {
    constexpr std::string_view EmptyLine = "\r\n";
    bool Skipped = false;
    beast::error_code Error;
    Stream_.expires_after(State_->limits().IdleTimeout_);
    while (!Error) {
      auto Data = Buffer_.cdata();
      std::string_view Held(static_cast<const char *>(Data.data()),
                            Data.size());
      bool MayBeLine = !Skipped && EmptyLine.starts_with(Held.substr(0, 2));
      if (!Held.empty() && !MayBeLine)
        co_return true;
      if (Held.starts_with(EmptyLine)) {
        Buffer_.consume(EmptyLine.size());
        Skipped = true;
        continue;
      }
      auto Space = Buffer_.prepare(FirstReadBytes);
      std::size_t Count = co_await Stream_.async_read_some(
          Space, asio::redirect_error(asio::use_awaitable, Error));
      Buffer_.commit(Count);
    }
    co_return false;
  }

  /// \returns whether the response was sent completely.
  Awaitable<bool> serveRequest() {
    ActiveExchange Running(State_->ActiveExchanges_);
    Answered_ = false;
    Begun_ = false;
    BodyChecked_ = false;
    Cut_.reset();
    bool Read = co_await readRequest();
    if (Read)
      co_await handle();
    Request_ = HttpRequest();
    Body_.set(0);
    if (Buffer_.size() == 0)
      Buffer_.shrink_to_fit();
    CallerLeft_ = nullptr;
    AwaitingDisconnect_ = false;
    co_return Answered_;
  }

  /// Calls the handler, and tells how a request ended that has no whole
  /// response.
  Awaitable<void> handle() {
    std::exception_ptr Escaped;
    try {
      co_await State_->Options_.Handler_(*this);
    } catch (...) {
      Escaped = std::current_exception();
      Cut_ = CutReason::Fault;
    }
    if (!Answered_)
      State_->Options_.Cut_(Request_, Cut_.value_or(CutReason::CallerLeft));
    if (Escaped)
      std::rethrow_exception(Escaped);
  }

  /// Limits the time of \p Read. The stream's own timeout would close it
  /// without telling the caller why; this timer only ends the read.
  void watchRead(std::shared_ptr<RequestRead> Read) {
    auto Now = std::chrono::steady_clock::now();
    Read->Timer_.expires_at(std::min(Read->End_, Now + ProgressInterval));
    Read->Timer_.async_wait([Self = shared_from_this(),
                             Read](const beast::error_code &Ended) {
      if (Ended || Read->State_ != RequestRead::State::Reading)
        return;
      bool Late = std::chrono::steady_clock::now() >= Read->End_;
      if (!Late && !Read->stalled(Self->State_->Memory_.bodiesWaiting() > 0))
        return Self->watchRead(Read);
      Read->State_ = RequestRead::State::TimedOut;
      Self->Stream_.cancel();
    });
  }

  Awaitable<bool> readRequest() {
    auto Read = std::make_shared<RequestRead>(Stream_.get_executor());
    std::optional<Parser> Into(std::in_place);
    HttpLimits Limits = State_->limits();
    std::size_t HeadBytes = State_->headLimit(Limits.MaxHeaderBytes_);
    bool IsCrowded = HeadBytes < Limits.MaxHeaderBytes_;
    Limits.MaxHeaderBytes_ = HeadBytes;
    Into->header_limit(static_cast<std::uint32_t>(Limits.MaxHeaderBytes_));
    Into->body_limit(Limits.MaxBodyBytes_);
    Buffer_.max_size(
        std::max(Buffer_.size(), Limits.MaxHeaderBytes_ + MaxFramingBytes));
    Stream_.expires_never();
    Read->End_ =
        std::chrono::steady_clock::now() + State_->Options_.ReadTimeout_;
    watchRead(Read);
    auto Ended = co_await readParts(*Into, *Read);
    Read->State_ = RequestRead::State::Finished;
    Read->Timer_.cancel();
    // A head that would be read beside fewer connections is not at fault.
    if (IsCrowded && Ended.Error_ == http::error::header_limit)
      Ended.Refusal_ = bodyRefused(HeadBytes);
    if (Ended.Refusal_ || Ended.Error_) {
      // Others wait for its memory, and a refusal takes a while.
      Into.reset();
      Body_.set(0);
    }
    if (Ended.Refusal_) {
      co_await refuse(std::move(*Ended.Refusal_));
      co_return false;
    }
    if (Ended.Error_) {
      if (!isHangUp(Ended.Error_))
        co_await refuse(readFailure(Ended.Error_));
      co_return false;
    }
    auto Message = Into->release();
    Request_.Body_ = std::move(Message.body());
    Body_.set(Request_.Body_.size());
    co_return true;
  }

  /// How the read of a request ended: whole if nothing is set.
  struct ReadEnd {
    beast::error_code Error_;
    std::optional<Failure> Refusal_;
  };

  Awaitable<ReadEnd> readParts(Parser &Into, RequestRead &Read) {
    MessageFraming Framing(MessageKind::Request);
    auto Held = Buffer_.cdata();
    ReadEnd Ended;
    if (Framing.feed({static_cast<const char *>(Held.data()), Held.size()}))
      Ended = co_await readFramed(Framing, Into, Read);
    if (!Framing.fault().empty())
      Ended.Refusal_ = malformed(Framing.fault());
    else if (!Ended.Error_ && !Ended.Refusal_ && !Framing.whole())
      Ended.Refusal_ = malformed("an end that is unclear");
    co_return Ended;
  }

  static Failure malformed(std::string_view Fault) {
    return {ResultCode::MalformedRequest, std::string(Fault)};
  }

  Awaitable<ReadEnd> readFramed(MessageFraming &Framing, Parser &Into,
                                RequestRead &Read) {
    FramingReader<beast::tcp_stream> Source(Stream_, Framing);
    ReadEnd Ended;
    {
      ActiveExchange Reading(State_->HeadsInProgress_);
      co_await http::async_read_header(
          Source, Buffer_, Into,
          asio::redirect_error(asio::use_awaitable, Ended.Error_));
    }
    if (Ended.Error_ && Read.timedOut())
      Ended.Refusal_ = lateRequest();
    if (Ended.Error_)
      co_return Ended;
    takeHead(Into.get());
    Ended.Refusal_ = checkHead();
    auto Length = Into.content_length();
    bool Awaited = !Into.is_done() && takeExpectation();
    bool Large = Length && *Length > KernelBufferBytes;
    if (!Ended.Refusal_ && (Large || Awaited))
      Ended.Refusal_ = checkLargeBody(Length.value_or(0));
    if (!Ended.Refusal_ && Awaited && Buffer_.size() == 0)
      Ended.Error_ = co_await sendContinue();
    Into.eager(true);
    while (!Ended.Error_ && !Ended.Refusal_ && !Into.is_done()) {
      // The limit may have run out while no read was in progress.
      if (Read.timedOut())
        break;
      co_await http::async_read_some(
          Source, Buffer_, Into,
          asio::redirect_error(asio::use_awaitable, Ended.Error_));
      if (!Ended.Error_)
        Ended.Refusal_ = co_await holdBody(Into, Read);
    }
    if (Read.timedOut() && !Ended.Refusal_ && !Into.is_done())
      Ended.Refusal_ = lateRequest();
    co_return Ended;
  }

  static Failure lateRequest() {
    return {ResultCode::ReadTimeout, "the request is not whole in time"};
  }

  template <class Message> void takeHead(const Message &Head) {
    KeepAlive_ = Head.keep_alive();
    Version_ = Head.version();
    Request_.Method_ = std::string(Head.method_string());
    Request_.Target_ = std::string(Head.target());
    Request_.Fields_.clear();
    for (const auto &Field : Head)
      Request_.Fields_.add(lowerCase(Field.name_string()),
                           std::string(Field.value()));
  }

  /// \returns why the request is not served, whatever its body is.
  std::optional<Failure> checkHead() {
    if (auto Fault = State_->Options_.Fields_.requestFault(Request_.Fields_))
      return malformed(*Fault);
    return normalizeTarget(Request_, Version_ < Http11);
  }

  /// \returns whether the caller waits for an interim response before it sends
  /// the body (RFC 9110, section 10.1.1). Servers need not know: they get the
  /// body with the head.
  bool takeExpectation() {
    bool Waits = Version_ >= Http11 &&
                 lowerCase(Request_.field("expect")) == "100-continue";
    if (Waits)
      Request_.Fields_.erase("expect");
    return Waits;
  }

  Awaitable<beast::error_code> sendContinue() {
    constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    beast::error_code Error;
    co_await asio::async_write(
        Stream_, asio::buffer(Continue),
        asio::redirect_error(asio::use_awaitable, Error));
    co_return Error;
  }

  /// \returns why a body of \p Bytes is not read.
  std::optional<Failure> checkLargeBody(std::size_t Bytes) {
    BodyChecked_ = true;
    if (State_->Memory_.tooLargeAlone(Bytes))
      return bodyRefused(Bytes);
    const BodyCheck &Check = State_->Options_.CheckBody_;
    auto Refusal = Check ? Check(Request_) : std::nullopt;
    if (Refusal)
      logBodyRefused(Refusal->Code_, Bytes);
    return Refusal;
  }

  Failure bodyRefused(std::size_t Bytes) {
    State_->Memory_.bodyRefused();
    logBodyRefused(ResultCode::DaemonMemoryFull, Bytes);
    return {ResultCode::DaemonMemoryFull, "body of a request"};
  }

  void logBodyRefused(ResultCode Code, std::size_t Bytes) const {
    constexpr std::uint32_t LinesPerSecond = 20;
    thread_local LogSampler Sampler(LinesPerSecond);
    auto Dropped =
        Sampler.admit(static_cast<int>(Code), std::chrono::steady_clock::now());
    if (Dropped)
      logEvent(LogCategory::Request, spdlog::level::info, "body-refused",
               {{"code", std::to_string(static_cast<int>(Code))},
                {"bytes", std::to_string(Bytes)},
                {"used", std::to_string(State_->Memory_.used())},
                {"dropped", std::to_string(*Dropped)}});
  }

  /// Accounts for what has come of a body. A large one with a length gets the
  /// memory for all of it once its beginning has come: so it needs no more when
  /// others have taken the rest, and one that is only announced takes nothing.
  /// \returns why the rest is not read.
  Awaitable<std::optional<Failure>> holdBody(Parser &Into, RequestRead &Read) {
    std::size_t Come = Into.get().body().size();
    Read.Bytes_ = Come;
    bool Large = Come > KernelBufferBytes;
    if (Large && !std::exchange(BodyChecked_, true))
      if (auto Refusal = checkLargeBody(Come))
        co_return Refusal;
    std::size_t Wanted =
        Large ? std::max<std::size_t>(Come, Into.content_length().value_or(0))
              : Come;
    if (Wanted <= Body_.bytes())
      co_return std::nullopt;
    bool Waits = !State_->Memory_.admitsBody(Wanted, Body_.bytes());
    if (Waits && !std::exchange(BodyChecked_, true))
      if (auto Refusal = checkLargeBody(Come))
        co_return Refusal;
    bool Held = co_await awaitMemory(Wanted, Read);
    if (!Held)
      co_return bodyRefused(Wanted);
    Into.get().body().reserve(Wanted);
    Read.HoldsMemory_ = true;
    co_return std::nullopt;
  }

  /// Waits for memory for a body of \p Bytes. \returns false if there is none
  /// in time.
  Awaitable<bool> awaitMemory(std::size_t Bytes, RequestRead &Read) {
    MemoryBudget &Memory = State_->Memory_;
    auto Take = [&] {
      bool Admitted = Memory.admitsBody(Bytes, Body_.bytes());
      if (Admitted)
        Body_.set(Bytes);
      return Admitted;
    };
    if (Take())
      co_return true;
    MemoryBudget::WaitingBody Waiting(Memory);
    Read.WaitsForMemory_ = true;
    auto IsOver = [&] { return Read.timedOut(); };
    bool Held = co_await waitForMemory(MaxBodyWait, Take, std::move(IsOver));
    Read.WaitsForMemory_ = false;
    co_return Held;
  }

  template <class Message> void fillHead(Message &Target, HttpResponse &Head) {
    if (State_->CloseAfterAnswers_)
      KeepAlive_ = false;
    Target.version(Version_);
    auto Status = static_cast<unsigned>(Head.Status_);
    Target.result(Status);
    if (http::int_to_status(Status) == http::status::unknown)
      Target.reason("Unknown");
    for (const auto &[Name, Value] : Head.Fields_)
      Target.insert(Name, Value);
    Target.keep_alive(KeepAlive_);
  }

  /// Called when the socket becomes readable while a response is pending: the
  /// caller has sent a pipelined request or closed the connection.
  void reportCallerLeft() {
    if (!AwaitingDisconnect_ || !Stream_.socket().is_open())
      return;
    if (hasCallerLeft() && CallerLeft_)
      std::exchange(CallerLeft_, nullptr)();
  }

  beast::tcp_stream Stream_;
  std::shared_ptr<ServerState> State_;
  beast::flat_buffer Buffer_;
  HttpRequest Request_;
  /// The memory of the request's body.
  MemoryUse Body_;
  /// The body that is read has been checked from its head.
  bool BodyChecked_ = false;
  std::function<void()> CallerLeft_;
  unsigned Version_ = 11;
  bool KeepAlive_ = true;
  /// The response is sent in chunks.
  bool Chunked_ = true;
  bool Answered_ = false;
  bool Begun_ = false;
  /// Set once it is known that the response won't be whole.
  std::optional<CutReason> Cut_;
  bool AwaitingDisconnect_ = false;
};

class BeastHttpServer : public HttpServer {
public:
  BeastHttpServer(Tcp::acceptor Acceptor,
                  std::vector<asio::io_context *> Workers,
                  std::shared_ptr<ServerState> State)
      : Workers_(std::move(Workers)), State_(std::move(State)),
        Address_(Acceptor.local_endpoint()) {
    AcceptLoop::Hooks Accepting;
    Accepting.Context_ = [this]() -> asio::io_context & {
      return *Workers_[NextWorker_++ % Workers_.size()];
    };
    Accepting.Accepted_ = [this](Tcp::socket Socket) {
      start(std::move(Socket));
    };
    Accepting_ = AcceptLoop::create(std::move(Acceptor), "accept-caller",
                                    std::move(Accepting));
    Accepting_->start();
  }

  Endpoint address() const override { return Address_; }
  void stopAccepting() override {
    closeAfterAnswers();
    Accepting_->stop();
  }
  void closeAfterAnswers() override { State_->CloseAfterAnswers_ = true; }
  std::size_t openConnections() const override {
    return State_->OpenConnections_;
  }
  std::size_t activeExchanges() const override {
    return State_->ActiveExchanges_;
  }
  std::chrono::steady_clock::time_point lastAccepted() const override {
    return LastAccepted_;
  }

private:
  void start(Tcp::socket Socket) {
    beast::error_code Ignored;
    Socket.set_option(Tcp::no_delay(true), Ignored);
    limitSilence(Socket, CallerSilence);
    if (std::size_t Share = State_->Options_.ReceiveBytes_)
      limitReceiveBuffer(Socket,
                         receiveBufferBytes(Share, State_->OpenConnections_));
    LastAccepted_ = std::chrono::steady_clock::now();
    auto Executor = Socket.get_executor();
    bool Full = State_->OpenConnections_ >= State_->Options_.MaxConnections_;
    auto Connection = std::make_shared<Session>(std::move(Socket), State_);
    auto Run = [Connection, Full] {
      Failure TooMany{ResultCode::TooManyConnections, ""};
      return Full ? Connection->refuse(std::move(TooMany)) : Connection->run();
    };
    spawnLogged(Executor, "serve-connection", std::move(Run));
  }

  std::shared_ptr<AcceptLoop> Accepting_;
  std::vector<asio::io_context *> Workers_;
  std::shared_ptr<ServerState> State_;
  Endpoint Address_;
  std::size_t NextWorker_ = 0;
  std::chrono::steady_clock::time_point LastAccepted_;
};

} // namespace

std::string_view cutReasonName(CutReason Reason) {
  constexpr std::array<std::string_view, 4> Names = {"caller-left", "aborted",
                                                     "write-timeout", "fault"};
  return Names[static_cast<std::size_t>(Reason)];
}

Result<std::unique_ptr<HttpServer>>
HttpServer::create(asio::io_context &AcceptContext,
                   std::vector<asio::io_context *> Workers,
                   MemoryBudget &Memory, HttpServerOptions Options) {
  beast::error_code Error;
  Tcp::acceptor Acceptor(AcceptContext);
  Acceptor.open(Options.Address_.protocol(), Error);
  if (!Error)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Options.Address_, Error);
  if (!Error)
    Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return Failure{ResultCode::BadSetting,
                   "can't listen on " + formatEndpoint(Options.Address_) +
                       ": " + Error.message()};
  auto State = std::make_shared<ServerState>(Memory, std::move(Options));
  if (!State->Options_.Refusal_)
    State->Options_.Refusal_ = [](Failure Cause) {
      return jsonResponse(400, "{\"error\":\"" +
                                   std::string(describe(Cause.Code_).Name_) +
                                   "\"}");
    };
  return std::unique_ptr<HttpServer>(std::make_unique<BeastHttpServer>(
      std::move(Acceptor), std::move(Workers), std::move(State)));
}

} // namespace samphireshunt
