#include "Process/Scheduling/ServerHealth.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {
constexpr ServerHealth::TimePoint Start{std::chrono::seconds(1000)};
} // namespace

TEST_CASE("an engine that fails far more than the others is excluded, then "
          "tried") {
  // An engine that passes its health check but fails 9 of 10 requests
  // immediately looks idle. Without the exclusion it would get more and more
  // requests.
  ServerHealth Health;
  int Failures = 0;
  while (!Health.leftOut(Start) && Failures < 100) {
    Health.failed(Start, 0.05);
    ++Failures;
  }
  CHECK(Failures <= 4);
  CHECK(Health.onTrial());
  CHECK_FALSE(Health.leftOut(Start + milliseconds(1000)));
  // The trial fails, so the engine is excluded for longer.
  Health.failed(Start + milliseconds(1000), 0.05);
  CHECK(Health.leftOut(Start + milliseconds(2900)));
  Health.succeeded();
  CHECK_FALSE(Health.onTrial());
}

TEST_CASE("requests that fail at every engine alike exclude none") {
  ServerHealth Health;
  for (int Index = 0; Index < 200; ++Index) {
    Health.failed(Start, Health.failureRate());
    CHECK_FALSE(Health.leftOut(Start));
  }
}

TEST_CASE("one lost connection does not exclude an engine, two in a row do") {
  ServerHealth Health;
  Health.unreachable(Start);
  CHECK_FALSE(Health.leftOut(Start));
  Health.succeeded();
  Health.unreachable(Start);
  CHECK_FALSE(Health.leftOut(Start));
  Health.unreachable(Start);
  CHECK(Health.leftOut(Start));
}
