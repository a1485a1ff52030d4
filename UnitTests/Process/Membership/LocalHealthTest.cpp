#include "Process/Membership/LocalHealth.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

TEST_CASE("a daemon waits longer the more of its own probes fail") {
  LocalHealth Health;
  CHECK(Health.scaledTimeout(milliseconds(150)) == milliseconds(150));
  Health.recordFailure();
  CHECK(Health.scaledTimeout(milliseconds(150)) == milliseconds(300));
  for (int Times = 0; Times < 100; ++Times)
    Health.recordFailure();
  CHECK(Health.scaledTimeout(milliseconds(150)) == milliseconds(750));
}

TEST_CASE("answers in time restore the score") {
  LocalHealth Health;
  for (int Times = 0; Times < 4; ++Times)
    Health.recordFailure();
  for (int Times = 0; Times < 9; ++Times)
    Health.recordSuccess();
  CHECK(Health.score() == 0);
  Health.recordFailure();
  CHECK(Health.score() == 1);
}
