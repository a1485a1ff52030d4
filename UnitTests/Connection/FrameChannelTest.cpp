/// \file
/// Tests of connections between daemons, with both ends in one thread.

#include "Connection/FrameChannel.h"

#include "UnitTests/LogCapture.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

/// Two connected channels. The near end awaits answers of the far end
/// throughout. Each end has a context of its own, so that one can pause while
/// the other runs.
class TwoEnds {
public:
  TwoEnds() {
    Tcp::acceptor Acceptor(Other_, {asio::ip::make_address("127.0.0.1"), 0});
    Tcp::socket Near(Self_);
    Near.connect(Acceptor.local_endpoint());
    Tcp::socket Far = Acceptor.accept();
    FrameChannel::Hooks Asking;
    Asking.Awaiting_ = [] { return true; };
    Asking.Closed_ = [this] { Closed_ = true; };
    Asking.Received_ = [this](wire::EnvelopeT) { ++Received_; };
    FarEnd_ = FrameChannel::create(std::move(Far), {}, Periods_);
    NearEnd_ =
        FrameChannel::create(std::move(Near), std::move(Asking), Periods_);
  }
  ~TwoEnds() {
    NearEnd_->close();
    FarEnd_->close();
  }

  bool runUntil(const std::function<bool()> &Done) {
    auto End = steady_clock::now() + std::chrono::seconds(5);
    while (!Done() && steady_clock::now() < End) {
      runFor(Self_);
      runFor(Other_);
    }
    return Done();
  }
  static void runFor(asio::io_context &Context) {
    Context.restart();
    Context.run_one_for(milliseconds(1));
  }

  asio::io_context Self_;
  asio::io_context Other_;
  FrameChannel::Timing Periods_{milliseconds(20), milliseconds(70)};
  std::shared_ptr<FrameChannel> NearEnd_;
  std::shared_ptr<FrameChannel> FarEnd_;
  bool Closed_ = false;
  int Received_ = 0;
};

/// One channel connected to a bare socket. The channel awaits something only if
/// the test says so.
class OneEnd {
public:
  explicit OneEnd(bool Awaiting, milliseconds Heartbeat = milliseconds(20),
                  FrameChannel::Limits Bounds = {&MemoryBudget::unlimited(),
                                                 MaxFrameBytes},
                  milliseconds Progress = std::chrono::seconds(5))
      : Periods_{Heartbeat, milliseconds(70), Progress} {
    Tcp::acceptor Acceptor(Context_, {asio::ip::make_address("127.0.0.1"), 0});
    Bare_.connect(Acceptor.local_endpoint());
    FrameChannel::Hooks Callbacks;
    Callbacks.Awaiting_ = [Awaiting] { return Awaiting; };
    Callbacks.Closed_ = [this] { Closed_ = true; };
    Callbacks.Received_ = [this](wire::EnvelopeT) { ++Received_; };
    End_ = FrameChannel::create(Acceptor.accept(), std::move(Callbacks),
                                Periods_, Bounds);
    Bare_.non_blocking(true);
  }
  ~OneEnd() { End_->close(); }

  /// Sends all but the last byte of \p Frame in equal chunks over \p Time.
  void sendSlowly(const std::string &Frame, milliseconds Time) {
    constexpr std::size_t Chunks = 30;
    std::size_t Each = (Frame.size() - 1) / Chunks;
    auto Begin = steady_clock::now();
    for (std::size_t Chunk = 0; Chunk < Chunks; ++Chunk) {
      asio::write(Bare_, asio::buffer(Frame.data() + Chunk * Each, Each));
      auto Next = Begin + (Chunk + 1) * Time / Chunks;
      while (steady_clock::now() < Next)
        TwoEnds::runFor(Context_);
    }
    std::size_t Sent = Chunks * Each;
    asio::write(Bare_,
                asio::buffer(Frame.data() + Sent, Frame.size() - 1 - Sent));
  }
  void sendLast(const std::string &Frame) {
    asio::write(Bare_, asio::buffer(&Frame.back(), 1));
  }
  void runUntil(const std::function<bool()> &Done) {
    auto End = steady_clock::now() + std::chrono::seconds(5);
    while (!Done() && steady_clock::now() < End)
      TwoEnds::runFor(Context_);
  }
  /// The number of bytes that have arrived at the bare socket and are unread.
  std::size_t unreadBytes() { return Bare_.available(); }

  asio::io_context Context_;
  FrameChannel::Timing Periods_;
  Tcp::socket Bare_{Context_};
  std::shared_ptr<FrameChannel> End_;
  bool Closed_ = false;
  int Received_ = 0;
};

/// \returns an encoded message of at least \p Bytes bytes.
std::string makeLongMessage(std::size_t Bytes) {
  wire::DocumentReplyT Body;
  Body.envelope = std::string(Bytes, 'x');
  return encodeMessage(std::move(Body));
}

/// \returns the same message as a frame: preceded by its length, the lowest
/// byte first.
std::string makeLongFrame(std::size_t Bytes) {
  std::string Message = makeLongMessage(Bytes);
  std::string Frame;
  for (int Shift = 0; Shift < 32; Shift += 8)
    Frame += static_cast<char>(Message.size() >> Shift & 0xff);
  return Frame + Message;
}

} // namespace

TEST_CASE("a pause of this process does not count as silence of the peer") {
  // A process that awaits something is not scheduled for longer than the
  // silence timeout, as can happen beside a large configuration, before it has
  // requested a heartbeat. If its own pause counted as silence of the peer, it
  // would drop links to daemons that run and answer, and with them all awaited
  // grants.
  TwoEnds Test;
  // Messages arrive for some heartbeat periods, so no heartbeat is requested.
  auto Begin = steady_clock::now() + 3 * Test.Periods_.Heartbeat_;
  REQUIRE(Test.runUntil([&] {
    Test.FarEnd_->send(encodeMessage(wire::FollowT()));
    return steady_clock::now() >= Begin && Test.Received_ > 0;
  }));
  Test.Other_.poll();
  Test.Self_.poll();
  std::this_thread::sleep_until(steady_clock::now() +
                                3 * Test.Periods_.Silence_);
  auto End = steady_clock::now() + 3 * Test.Periods_.Silence_;
  Test.runUntil([&] { return Test.Closed_ || steady_clock::now() >= End; });
  CHECK_FALSE(Test.Closed_);
}

TEST_CASE(
    "a link to a silent peer is closed, also after a pause of this process") {
  // The far end never runs: its socket accepts data, and it sends nothing.
  TwoEnds Test;
  std::this_thread::sleep_until(steady_clock::now() +
                                3 * Test.Periods_.Silence_);
  auto End = steady_clock::now() + std::chrono::seconds(5);
  while (!Test.Closed_ && steady_clock::now() < End)
    TwoEnds::runFor(Test.Self_);
  CHECK(Test.Closed_);
}

TEST_CASE("a long frame that comes slowly does not count as silence") {
  // An answer takes longer to arrive than the silence timeout. If only complete
  // messages counted as received, the link would be closed in the middle of the
  // answer, and all of it sent again on the next link: daemons on slow links
  // would never receive a large configuration.
  OneEnd Test(true);
  std::string Frame = makeLongFrame(300000);
  Test.sendSlowly(Frame, 4 * Test.Periods_.Silence_);
  REQUIRE_FALSE(Test.Closed_);
  Test.sendLast(Frame);
  auto End = steady_clock::now() + std::chrono::seconds(5);
  while (Test.Received_ == 0 && !Test.Closed_ && steady_clock::now() < End)
    TwoEnds::runFor(Test.Context_);
  CHECK(Test.Received_ == 1);
}

TEST_CASE("a long frame that stops halfway counts as silence") {
  OneEnd Test(true);
  Test.sendSlowly(makeLongFrame(300000), Test.Periods_.Silence_);
  REQUIRE_FALSE(Test.Closed_);
  auto End = steady_clock::now() + std::chrono::seconds(5);
  while (!Test.Closed_ && steady_clock::now() < End)
    TwoEnds::runFor(Test.Context_);
  CHECK(Test.Closed_);
}

TEST_CASE("a peer that takes a long frame says so before it is complete") {
  // A daemon requests a heartbeat behind a frame that takes longer to transfer
  // than the silence timeout. The peer reads the request only after the frame;
  // if it sent nothing before, the daemon would close the link over which it is
  // sending.
  OneEnd Test(false);
  std::string Frame = makeLongFrame(300000);
  Test.sendSlowly(Frame, 2 * Test.Periods_.Silence_);
  CHECK(Test.unreadBytes() > 0);
  CHECK(Test.Received_ == 0);
}

TEST_CASE("a frame that is complete soon is not answered by a heartbeat") {
  OneEnd Test(false, std::chrono::seconds(10));
  std::string Frame = makeLongFrame(300000);
  asio::write(Test.Bare_, asio::buffer(Frame.data(), 1000));
  TwoEnds::runFor(Test.Context_);
  asio::write(Test.Bare_, asio::buffer(Frame.data() + 1000, 200000));
  while (Test.Context_.poll_one() > 0)
    ;
  CHECK(Test.unreadBytes() == 0);
}

TEST_CASE("a link on which too much waits to be sent is closed") {
  // A peer requests something large again and again and reads none of it.
  // Without a limit of the send queue, the daemon would exceed its memory limit
  // and be killed.
  OneEnd Test(false);
  std::string Message = makeLongMessage(1000000);
  std::size_t Fitting = MaxQueuedBytes / (Message.size() + 4);
  for (std::size_t Sent = 0; Sent < Fitting; ++Sent)
    Test.End_->send(Message);
  CHECK(Test.End_->isOpen());
  Test.End_->send(Message);
  CHECK_FALSE(Test.End_->isOpen());
  // Closed_ must not be called from send(): the sender may be modifying its
  // tables.
  CHECK_FALSE(Test.Closed_);
  auto End = steady_clock::now() + std::chrono::seconds(5);
  while (!Test.Closed_ && steady_clock::now() < End)
    TwoEnds::runFor(Test.Context_);
  CHECK(Test.Closed_);
}

TEST_CASE("sent messages no longer count as queued") {
  OneEnd Test(false);
  std::string Message = makeLongMessage(1000000);
  std::string Buffer(MaxFrameBytes, '\0');
  std::size_t Wanted = 3 * MaxQueuedBytes;
  std::size_t ReceivedBytes = 0;
  auto End = steady_clock::now() + std::chrono::seconds(5);
  while (ReceivedBytes < Wanted && steady_clock::now() < End) {
    std::size_t Before = ReceivedBytes;
    Test.End_->send(Message);
    while (ReceivedBytes < Before + Message.size() &&
           steady_clock::now() < End) {
      TwoEnds::runFor(Test.Context_);
      boost::system::error_code Ignored;
      ReceivedBytes += Test.Bare_.read_some(asio::buffer(Buffer), Ignored);
    }
  }
  CHECK(ReceivedBytes >= Wanted);
  CHECK(Test.End_->isOpen());
}

TEST_CASE("a frame that is announced takes no memory before it comes") {
  // Guards against a daemon whose memory connections take that send four bytes.
  constexpr std::size_t Limit = 1000000;
  constexpr std::size_t Links = 100;
  MemoryBudget Budget(0, Limit);
  std::vector<std::unique_ptr<OneEnd>> Ends;
  std::string Announced = makeLongFrame(MaxFrameBytes - 1000).substr(0, 4);
  while (Ends.size() < Links)
    Ends.push_back(std::make_unique<OneEnd>(
        false, milliseconds(20), FrameChannel::Limits{&Budget, MaxFrameBytes}));
  for (auto &End : Ends) {
    asio::write(End->Bare_, asio::buffer(Announced));
    End->runUntil([&, Before = Budget.used()] {
      return Budget.used() > Before || End->Closed_;
    });
    CHECK_FALSE(End->Closed_);
  }
  CHECK(Budget.used() > 0);
  CHECK(Budget.used() <= Links * alwaysFreeBytes(MemoryOwner::PeerFrames));
}

TEST_CASE("a frame over the limit ends its link, and a line names its size") {
  // Guards against links that end again and again without a reason in the log.
  tests::LogCapture Log;
  OneEnd Test(false);
  auto Size = boost::endian::native_to_little(
      static_cast<std::uint32_t>(MaxFrameBytes + 1));
  asio::write(Test.Bare_, asio::buffer(&Size, sizeof(Size)));
  Test.runUntil([&] { return Test.Closed_; });
  CHECK(Test.Closed_);
  CHECK(Log.count("frame-too-long") == 1);
  CHECK(Log.count(std::to_string(MaxFrameBytes + 1)) == 1);
}

TEST_CASE("a frame that finds no memory ends its link, and those of others go "
          "on") {
  // Guards against links that take a daemon's memory together.
  constexpr std::size_t Limit = 100000;
  MemoryBudget Budget(0, Limit);
  FrameChannel::Limits Bounds{&Budget, MaxFrameBytes};
  OneEnd Large(false, milliseconds(20), Bounds);
  OneEnd Small(false, milliseconds(20), Bounds);
  asio::write(Large.Bare_, asio::buffer(makeLongFrame(2 * Limit)));
  Large.runUntil([&] { return Large.Closed_; });
  CHECK(Large.Closed_);
  CHECK(Large.Received_ == 0);
  CHECK(Budget.linksClosed() == 1);
  asio::write(Small.Bare_, asio::buffer(makeLongFrame(2000)));
  Small.runUntil([&] { return Small.Received_ > 0; });
  CHECK(Small.Received_ == 1);
}

TEST_CASE("a frame of which single bytes come ends its link") {
  // Guards against a frame that holds its memory for as long as its sender
  // likes: it is never silent.
  OneEnd Test(false, milliseconds(5),
              {&MemoryBudget::unlimited(), MaxFrameBytes}, milliseconds(50));
  std::string Frame = makeLongFrame(300000);
  std::size_t Sent = 0;
  boost::system::error_code Ended;
  Test.runUntil([&] {
    asio::write(Test.Bare_, asio::buffer(&Frame[Sent++ % Frame.size()], 1),
                Ended);
    return Test.Closed_;
  });
  CHECK(Test.Closed_);
}

TEST_CASE("a frame that is announced, or half announced, and doesn't come ends "
          "its link") {
  // Guards against links that stay open without end and hold descriptors.
  const std::string Announced = makeLongFrame(300000).substr(0, 4);
  for (std::size_t Bytes = 1; Bytes <= Announced.size(); ++Bytes) {
    CAPTURE(Bytes);
    OneEnd Test(false, milliseconds(5),
                {&MemoryBudget::unlimited(), MaxFrameBytes}, milliseconds(50));
    asio::write(Test.Bare_, asio::buffer(Announced.data(), Bytes));
    Test.runUntil([&] { return Test.Closed_; });
    CHECK(Test.Closed_);
  }
}

TEST_CASE("a link on which no frame has begun stays open") {
  // Guards against daemons with nothing to say that connect again and again.
  OneEnd Test(false, milliseconds(5),
              {&MemoryBudget::unlimited(), MaxFrameBytes}, milliseconds(20));
  asio::write(Test.Bare_, asio::buffer(makeLongFrame(2000)));
  Test.runUntil([&] { return Test.Received_ == 1; });
  constexpr int Looks = 100;
  for (int Look = 0; Look < Looks; ++Look)
    TwoEnds::runFor(Test.Context_);
  CHECK(Test.Received_ == 1);
  CHECK_FALSE(Test.Closed_);
}

TEST_CASE("what waits on all links is bounded together") {
  // Guards against a daemon whose memory its links take when no other daemon
  // reads: each link alone stays below its limit.
  constexpr std::size_t Limit = 4000000;
  MemoryBudget Budget(0, Limit);
  std::vector<std::unique_ptr<OneEnd>> Ends;
  std::string Message = makeLongMessage(500000);
  while (Ends.size() < 20) {
    Ends.push_back(std::make_unique<OneEnd>(
        false, milliseconds(20), FrameChannel::Limits{&Budget, MaxFrameBytes}));
    Ends.back()->End_->send(Message);
  }
  CHECK(Budget.used() <= Limit);
  CHECK(Budget.linksClosed() > 0);
  CHECK(Ends.front()->End_->isOpen());
}

TEST_CASE("a link to a peer that takes nothing is closed") {
  // Guards against one peer that holds the memory of the links to all others.
  OneEnd Test(false, milliseconds(5),
              {&MemoryBudget::unlimited(), MaxFrameBytes}, milliseconds(50));
  for (int Sent = 0; Sent < 7; ++Sent)
    Test.End_->send(makeLongMessage(1000000));
  Test.runUntil([&] { return Test.Closed_; });
  CHECK(Test.Closed_);
}

TEST_CASE("one link leaves room to the others") {
  // Guards against links that are closed because another peer reads nothing.
  constexpr std::size_t Limit = 4000000;
  MemoryBudget Budget(0, Limit);
  FrameChannel::Limits Bounds{&Budget, MaxFrameBytes};
  OneEnd Slow(false, milliseconds(20), Bounds);
  OneEnd Other(false, milliseconds(20), Bounds);
  while (Slow.End_->isOpen())
    Slow.End_->send(makeLongMessage(100000));
  CHECK(Budget.used() <= Limit / 4);
  Other.End_->send(makeLongMessage(500000));
  CHECK(Other.End_->isOpen());
}
