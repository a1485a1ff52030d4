/// \file
/// Coroutines that nobody waits for.

#include "Connection/Spawn.h"

#include "Connection/Http.h"
#include "UnitTests/LogCapture.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <stdexcept>
#include <string>

using namespace samphireshunt;

TEST_CASE("an exception that leaves a coroutine is logged with its name") {
  // Symptom: a daemon hears of no change any more, and says nothing.
  // Sequence: the coroutine that follows the store is left by an exception.
  // Cause: nobody waits for it, and what left it was dropped.
  tests::LogCapture Log;
  boost::asio::io_context Context;
  spawnLogged(Context, "some-watch", []() -> Awaitable<void> {
    throw std::runtime_error("what went wrong");
    co_return;
  });
  spawnLogged(Context, "calm", []() -> Awaitable<void> { co_return; });
  Context.run();
  std::string Said = Log.text();
  CHECK(Said.find("coroutine-failed") != std::string::npos);
  CHECK(Said.find("some-watch") != std::string::npos);
  CHECK(Said.find("what went wrong") != std::string::npos);
  CHECK(Said.find("calm") == std::string::npos);
}
