#include "Common/Log.h"

#include <doctest/doctest.h>

using namespace samphireshunt;

TEST_CASE(
    "lines of one kind are limited and counted, and don't suppress others") {
  LogSampler Sampler(2);
  std::chrono::steady_clock::time_point Now{std::chrono::seconds(100)};
  CHECK(Sampler.admit(1, Now) == 0U);
  CHECK(Sampler.admit(1, Now) == 0U);
  CHECK_FALSE(Sampler.admit(1, Now).has_value());
  CHECK_FALSE(Sampler.admit(1, Now).has_value());
  CHECK(Sampler.admit(2, Now) == 0U);
  CHECK(Sampler.admit(1, Now + std::chrono::seconds(1)) == 2U);
}
