#include "Request/RunRecord.h"

#include <doctest/doctest.h>

using namespace samphireshunt;

TEST_CASE("only a request whose sends were all refused has not run") {
  RunRecord Runs;
  CHECK_FALSE(Runs.mayHaveRun());
  Runs.sent();
  CHECK(Runs.mayHaveRun());
  Runs.refused();
  CHECK_FALSE(Runs.mayHaveRun());
  Runs.sent();
  Runs.sent();
  Runs.refused();
  CHECK(Runs.mayHaveRun());
}
