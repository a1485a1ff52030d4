#include "Process/Scheduling/ServerHealth.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {
constexpr ServerHealth::TimePoint Start{std::chrono::seconds(1000)};
} // namespace

TEST_CASE("an engine that fails far more than the others is left out, then "
          "tried") {
  // Load: an engine answers its health check and fails 9 of 10 requests at
  // once. It looks idle, so without this it gets more and more of them.
  ServerHealth Health;
  int Failures = 0;
  while (!Health.leftOut(Start) && Failures < 100) {
    Health.failed(Start, 0.05);
    ++Failures;
  }
  CHECK(Failures <= 4);
  CHECK(Health.onTrial());
  CHECK_FALSE(Health.leftOut(Start + milliseconds(1000)));
  // The trial fails: left out for longer.
  Health.failed(Start + milliseconds(1000), 0.05);
  CHECK(Health.leftOut(Start + milliseconds(2900)));
  Health.succeeded();
  CHECK_FALSE(Health.onTrial());
}

TEST_CASE("requests that fail at every engine alike leave none out") {
  ServerHealth Health;
  for (int Index = 0; Index < 200; ++Index) {
    Health.failed(Start, Health.failureRate());
    CHECK_FALSE(Health.leftOut(Start));
  }
}

TEST_CASE("one lost connection is no reason, two in a row are") {
  ServerHealth Health;
  Health.unreachable(Start);
  CHECK_FALSE(Health.leftOut(Start));
  Health.succeeded();
  Health.unreachable(Start);
  CHECK_FALSE(Health.leftOut(Start));
  Health.unreachable(Start);
  CHECK(Health.leftOut(Start));
}
