/// \file
/// Two ends of a connection between daemons, in one thread.

#include "Connection/FrameChannel.h"

#include <boost/asio/io_context.hpp>
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
