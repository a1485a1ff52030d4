#include "Process/Configuration/MeasuredPlatform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace samphireshunt;

TEST_CASE("calls are reported with their outcome") {
  boost::asio::io_context Context;
  PlatformHooks Inner;
  Inner.List_ = [](std::string) -> Awaitable<Result<KeyValueList>> {
    co_return KeyValueList();
  };
  Inner.Put_ = [](KeyValueWrite) -> Awaitable<Result<StorePosition>> {
    co_return Failure{ResultCode::VersionConflict, ""};
  };
  Inner.Delete_ = [](std::string, StorePosition) -> Awaitable<Result<void>> {
    co_return Failure{ResultCode::PlatformUnavailable, ""};
  };
  std::vector<std::pair<std::string, bool>> Seen;
  PlatformHooks Hooks =
      measuredPlatform(Inner, [&](const std::string &Call, bool Succeeded,
                                  std::chrono::microseconds) {
        Seen.emplace_back(Call, Succeeded);
      });
  auto Calls = [&]() -> Awaitable<void> {
    std::string Name = "key";
    KeyValueWrite Write;
    auto Listed = co_await Hooks.List_(Name);
    CHECK(Listed.has_value());
    auto Written = co_await Hooks.Put_(Write);
    CHECK_FALSE(Written.has_value());
    auto Removed = co_await Hooks.Delete_(Name, StorePosition());
    CHECK_FALSE(Removed.has_value());
  };
  boost::asio::co_spawn(Context, Calls, boost::asio::detached);
  Context.run();
  // A conflict is an answer of the service; silence is not.
  CHECK(Seen == std::vector<std::pair<std::string, bool>>{
                    {"list", true}, {"put", true}, {"delete", false}});
}
