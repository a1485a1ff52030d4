#include "Request/Lateness.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

TEST_CASE("an answer's lateness has one reason, the first that alone explains "
          "it") {
  ForwardingRule Rule;
  Rule.Objective_ = milliseconds(600);
  Rule.MaxEventGap_ = milliseconds(250);
  auto Late = [&](int First, int Pause, int Since) {
    return latenessOf(
        Rule, {milliseconds(First), milliseconds(Pause), milliseconds(Since)});
  };
  CHECK(Late(600, 250, 0) == Lateness::InTime);
  CHECK(Late(601, 900, 900) == Lateness::First);
  CHECK(Late(600, 251, 900) == Lateness::Pause);
  CHECK(Late(400, 0, 201) == Lateness::Attempt);
  CHECK(Late(400, 0, 200) == Lateness::InTime);
}

TEST_CASE("a route without a bound on pauses has no late pauses") {
  ForwardingRule Rule;
  Rule.Objective_ = milliseconds(600);
  CHECK(latenessOf(Rule, {milliseconds(1), milliseconds(9000),
                          milliseconds(0)}) == Lateness::InTime);
}
