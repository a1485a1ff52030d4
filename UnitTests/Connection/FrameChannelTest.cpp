/// \file
/// Two ends of a connection between daemons, in one thread.

#include "Connection/FrameChannel.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

/// One end awaits the other's answers throughout. Each end has a context of its
/// own, so that one may pause and the other not.
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

/// One end, and a bare socket in place of the other. The end awaits something
/// only where the test says so.
class OneEnd {
public:
  explicit OneEnd(bool Awaiting, milliseconds Heartbeat = milliseconds(20))
      : Periods_{Heartbeat, milliseconds(70)} {
    Tcp::acceptor Acceptor(Context_, {asio::ip::make_address("127.0.0.1"), 0});
    Bare_.connect(Acceptor.local_endpoint());
    FrameChannel::Hooks Reactions;
    Reactions.Awaiting_ = [Awaiting] { return Awaiting; };
    Reactions.Closed_ = [this] { Closed_ = true; };
    Reactions.Received_ = [this](wire::EnvelopeT) { ++Received_; };
    End_ =
        FrameChannel::create(Acceptor.accept(), std::move(Reactions), Periods_);
    Bare_.non_blocking(true);
  }
  ~OneEnd() { End_->close(); }

  /// Sends all but the last byte of \p Frame in even parts, over \p Time.
  void sendSlowly(const std::string &Frame, milliseconds Time) {
    constexpr std::size_t Parts = 30;
    std::size_t Each = (Frame.size() - 1) / Parts;
    auto Begin = steady_clock::now();
    for (std::size_t Part = 0; Part < Parts; ++Part) {
      asio::write(Bare_, asio::buffer(Frame.data() + Part * Each, Each));
      auto Next = Begin + (Part + 1) * Time / Parts;
      while (steady_clock::now() < Next)
        TwoEnds::runFor(Context_);
    }
    std::size_t Sent = Parts * Each;
    asio::write(Bare_,
                asio::buffer(Frame.data() + Sent, Frame.size() - 1 - Sent));
  }
  void sendLast(const std::string &Frame) {
    asio::write(Bare_, asio::buffer(&Frame.back(), 1));
  }
  /// Bytes that have come at the bare socket and were not read yet.
  std::size_t heard() { return Bare_.available(); }

  asio::io_context Context_;
  FrameChannel::Timing Periods_;
  Tcp::socket Bare_{Context_};
  std::shared_ptr<FrameChannel> End_;
  bool Closed_ = false;
  int Received_ = 0;
};

/// A message of at least so many bytes, as it is sent.
std::string longMessage(std::size_t Bytes) {
  wire::DocumentReplyT Body;
  Body.envelope = std::string(Bytes, 'x');
  return encodeMessage(std::move(Body));
}

/// The same with its length in front, the lowest byte first.
std::string longFrame(std::size_t Bytes) {
  std::string Message = longMessage(Bytes);
  std::string Frame;
  for (int Shift = 0; Shift < 32; Shift += 8)
    Frame += static_cast<char>(Message.size() >> Shift & 0xff);
  return Frame + Message;
}

} // namespace

TEST_CASE("a pause of this process is not taken for the other's silence") {
  // Symptom: beside a large configuration, daemons drop links to others that
  // run and answer, and with them all grants that were awaited there.
  // Sequence: something is awaited; the process gets no processor for longer
  // than a link may be silent, before it has asked for a sign of life; when it
  // runs again the time is over and nothing has come.
  // Cause: nothing was asked for, and the own pause was counted as silence.
  TwoEnds Test;
  // What comes is proof enough for some periods.
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

TEST_CASE("a link whose other end says nothing is closed, also after a pause") {
  // The other end is never run: it takes what comes and says nothing.
  TwoEnds Test;
  std::this_thread::sleep_until(steady_clock::now() +
                                3 * Test.Periods_.Silence_);
  auto End = steady_clock::now() + std::chrono::seconds(5);
  while (!Test.Closed_ && steady_clock::now() < End)
    TwoEnds::runFor(Test.Self_);
  CHECK(Test.Closed_);
}

TEST_CASE("a long frame that comes slowly is not taken for silence") {
  // Symptom: daemons on slow links never get a large configuration; their links
  // to the daemon that they follow are closed and opened without end.
  // Sequence: an answer comes that takes longer than a link may be silent.
  // Cause: only whole messages counted as heard, so that the link was closed
  // in the middle of the answer, and all of it was sent again to the next one.
  OneEnd Test(true);
  std::string Frame = longFrame(300000);
  Test.sendSlowly(Frame, 4 * Test.Periods_.Silence_);
  REQUIRE_FALSE(Test.Closed_);
  Test.sendLast(Frame);
  auto End = steady_clock::now() + std::chrono::seconds(5);
  while (Test.Received_ == 0 && !Test.Closed_ && steady_clock::now() < End)
    TwoEnds::runFor(Test.Context_);
  CHECK(Test.Received_ == 1);
}

TEST_CASE("a long frame that stops halfway is silence") {
  OneEnd Test(true);
  Test.sendSlowly(longFrame(300000), Test.Periods_.Silence_);
  REQUIRE_FALSE(Test.Closed_);
  auto End = steady_clock::now() + std::chrono::seconds(5);
  while (!Test.Closed_ && steady_clock::now() < End)
    TwoEnds::runFor(Test.Context_);
  CHECK(Test.Closed_);
}

TEST_CASE("who takes a long frame says so before it is whole") {
  // Symptom: a daemon closes the link over which it sends something long.
  // Sequence: it asks for a sign of life behind a frame that takes longer than
  // a link may be silent.
  // Cause: the question is read only after the frame, and nothing else came.
  OneEnd Test(false);
  std::string Frame = longFrame(300000);
  Test.sendSlowly(Frame, 2 * Test.Periods_.Silence_);
  CHECK(Test.heard() > 0);
  CHECK(Test.Received_ == 0);
}

TEST_CASE("a frame that is soon whole is not answered by a sign of life") {
  OneEnd Test(false, std::chrono::seconds(10));
  std::string Frame = longFrame(300000);
  asio::write(Test.Bare_, asio::buffer(Frame.data(), 1000));
  TwoEnds::runFor(Test.Context_);
  asio::write(Test.Bare_, asio::buffer(Frame.data() + 1000, 200000));
  while (Test.Context_.poll_one() > 0)
    ;
  CHECK(Test.heard() == 0);
}

TEST_CASE("a link on which too much waits to be sent is closed") {
  // Symptom: a daemon ends because its memory is over the limit.
  // Sequence: another daemon asks for something large again and again and takes
  // nothing of it.
  // Cause: all answers were kept until they could be sent.
  OneEnd Test(false);
  std::string Message = longMessage(1000000);
  std::size_t Fitting = MaxQueuedBytes / (Message.size() + 4);
  for (std::size_t Sent = 0; Sent < Fitting; ++Sent)
    Test.End_->send(Message);
  CHECK(Test.End_->isOpen());
  Test.End_->send(Message);
  CHECK_FALSE(Test.End_->isOpen());
  // The sender may be in the middle of changing its tables.
  CHECK_FALSE(Test.Closed_);
  auto End = steady_clock::now() + std::chrono::seconds(5);
  while (!Test.Closed_ && steady_clock::now() < End)
    TwoEnds::runFor(Test.Context_);
  CHECK(Test.Closed_);
}

TEST_CASE("what was sent no longer counts as waiting") {
  OneEnd Test(false);
  std::string Message = longMessage(1000000);
  std::string Taken(MaxFrameBytes, '\0');
  std::size_t Wanted = 3 * MaxQueuedBytes;
  std::size_t Heard = 0;
  auto End = steady_clock::now() + std::chrono::seconds(5);
  while (Heard < Wanted && steady_clock::now() < End) {
    std::size_t Before = Heard;
    Test.End_->send(Message);
    while (Heard < Before + Message.size() && steady_clock::now() < End) {
      TwoEnds::runFor(Test.Context_);
      boost::system::error_code Ignored;
      Heard += Test.Bare_.read_some(asio::buffer(Taken), Ignored);
    }
  }
  CHECK(Heard >= Wanted);
  CHECK(Test.End_->isOpen());
}
