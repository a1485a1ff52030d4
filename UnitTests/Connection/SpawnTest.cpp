/// \file
/// Tests of detached coroutines.

#include "Connection/Spawn.h"

#include "Connection/Http.h"
#include "UnitTests/LogCapture.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <stdexcept>
#include <string>

using namespace samphireshunt;

TEST_CASE(
    "an exception that escapes from a coroutine is logged with its name") {
  // An exception escapes from the coroutine that follows the store. As nothing
  // awaits a detached coroutine, the exception would be dropped, and the daemon
  // would receive no more changes without any log line.
  tests::LogCapture Log;
  boost::asio::io_context Context;
  spawnLogged(Context, "some-watch", []() -> Awaitable<void> {
    throw std::runtime_error("what went wrong");
    co_return;
  });
  spawnLogged(Context, "calm", []() -> Awaitable<void> { co_return; });
  Context.run();
  std::string Lines = Log.text();
  CHECK(Lines.find("coroutine-failed") != std::string::npos);
  CHECK(Lines.find("some-watch") != std::string::npos);
  CHECK(Lines.find("what went wrong") != std::string::npos);
  CHECK(Lines.find("calm") == std::string::npos);
}

TEST_CASE("a coroutine that runs as long as the process runs again after an "
          "exception") {
  // Guards against a daemon that lives on and follows nothing.
  tests::LogCapture Log;
  boost::asio::io_context Context;
  int Runs = 0;
  spawnRepeated(Context, "some-watch", [&Runs]() -> Awaitable<void> {
    if (++Runs < 3)
      throw std::runtime_error("what went wrong");
    co_return;
  });
  Context.run();
  CHECK(Runs == 3);
  CHECK(Log.text().find("what went wrong") != std::string::npos);
}

TEST_CASE("an exception in a handler ends only that handler") {
  // Guards against a daemon that ends, with all of its callers' requests.
  tests::LogCapture Log;
  boost::asio::io_context Context;
  int Handled = 0;
  for (int Number = 0; Number < 3; ++Number)
    boost::asio::post(Context, [&Handled] {
      ++Handled;
      throw std::runtime_error("what went wrong");
    });
  runContext(Context);
  CHECK(Handled == 3);
  CHECK(Log.text().find("what went wrong") != std::string::npos);
}
