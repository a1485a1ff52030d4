#include "Request/Lateness.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

TEST_CASE("lateness is classified by the first reason that explains it alone") {
  ForwardingRule Rule;
  Rule.Objective_ = milliseconds(600);
  Rule.MaxEventGap_ = milliseconds(250);
  auto Classify = [&](int First, int Pause, int Since) {
    return latenessOf(
        Rule, {milliseconds(First), milliseconds(Pause), milliseconds(Since)});
  };
  CHECK(Classify(600, 250, 0) == Lateness::InTime);
  CHECK(Classify(601, 900, 900) == Lateness::First);
  CHECK(Classify(600, 251, 900) == Lateness::Pause);
  CHECK(Classify(400, 0, 201) == Lateness::Attempt);
  CHECK(Classify(400, 0, 200) == Lateness::InTime);
}

TEST_CASE("a route without a limit on pauses ignores long pauses") {
  ForwardingRule Rule;
  Rule.Objective_ = milliseconds(600);
  CHECK(latenessOf(Rule, {milliseconds(1), milliseconds(9000),
                          milliseconds(0)}) == Lateness::InTime);
}
