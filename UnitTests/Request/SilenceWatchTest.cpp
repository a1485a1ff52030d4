#include "Request/SilenceWatch.h"

#include <boost/asio/io_context.hpp>

#include <doctest/doctest.h>

using namespace samphireshunt;

namespace {

constexpr std::chrono::milliseconds Limit{10};

/// A stream that may go on elsewhere when it asks for the time \p Allowed_.
struct WatchedStream {
  explicit WatchedStream(int Allowed) : Allowed_(Allowed) {}

  int Allowed_;
  int Asked_ = 0;
  boost::asio::io_context Context_{1};
  std::shared_ptr<SilenceWatch> Watch_ = SilenceWatch::create(
      Context_.get_executor(), Limit, [this] { return ++Asked_ >= Allowed_; });
};

} // namespace

TEST_CASE("a silent server is left as soon as the stream may go on elsewhere") {
  // Guards against streams that stay for good once they were not allowed to go.
  constexpr int Allowed = 3;
  WatchedStream Stream(Allowed);
  Stream.Watch_->beginRead();
  Stream.Context_.run();
  CHECK(Stream.Asked_ == Allowed);
  CHECK(Stream.Watch_->left());
}

TEST_CASE("a server is not silent while nothing is read from it") {
  // Guards against sound servers that are left because the caller is slow.
  WatchedStream Stream(1);
  Stream.Watch_->beginRead();
  Stream.Watch_->endRead();
  Stream.Context_.run();
  CHECK(Stream.Asked_ == 0);
  CHECK_FALSE(Stream.Watch_->left());
}

TEST_CASE("a server that was slow once is watched again") {
  // Guards against a server that is never left, as the timer of an earlier read
  // has found nothing.
  WatchedStream Stream(1);
  Stream.Watch_->beginRead();
  Stream.Watch_->endRead();
  Stream.Context_.run();
  Stream.Context_.restart();
  Stream.Watch_->beginRead();
  Stream.Context_.run();
  CHECK(Stream.Watch_->left());
}

TEST_CASE("a watch that has ended calls nothing") {
  // Guards against an earlier attempt that closes the connection of the next.
  WatchedStream Stream(1);
  Stream.Watch_->beginRead();
  Stream.Watch_.reset();
  Stream.Context_.run();
  CHECK(Stream.Asked_ == 0);
}
