/// \file
/// Tests of detached coroutines.

#include "Connection/Spawn.h"

#include "Connection/Http.h"
#include "UnitTests/LogCapture.h"

#include <boost/asio/io_context.hpp>
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
