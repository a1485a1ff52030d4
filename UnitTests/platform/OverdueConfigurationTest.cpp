/// \file
/// What a daemon does while it knows of a newer configuration whose text does
/// not come.

#include "UnitTests/Request/ForwardingHarness.h"
#include "UnitTests/platform/FollowerFleet.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

Script answerAll(const std::string &Request, std::size_t /*Number*/) {
  return {wholeAnswer(fieldIn(Request, "x-call-id"), "answer")};
}

ForwardingHarness::Options withApplyBound() {
  ForwardingHarness::Options Wanted;
  Wanted.ApplyBound_ = std::chrono::seconds(2);
  return Wanted;
}

BootTime secondsAgo(int Count) {
  return BootClock::now() - std::chrono::seconds(Count);
}

} // namespace

// A replaced configuration goes on serving requests without a key.
TEST_CASE("a request without a key is not served by an overdue configuration") {
  ForwardingHarness Path(withApplyBound(), {answerAll});
  Path.lease().newerKnown(secondsAgo(1));
  CHECK(Path.call("c1").status() == 200);
  Path.lease().newerKnown(secondsAgo(3));
  auto Late = Path.call("c2");
  CHECK(Late.status() == 503);
  CHECK(fieldIn(Late.Bytes_, "x-result-code") == "213");
  CHECK(Path.received() == 1);
  Path.lease().newestInForce();
  CHECK(Path.call("c3").status() == 200);
}

// A key or a route of a configuration that is still on its way is denied.
TEST_CASE("nothing is denied while a newer configuration is known of") {
  auto Wanted = withApplyBound();
  Wanted.Keyed_ = true;
  ForwardingHarness Path(Wanted, {answerAll});
  Path.adopt({"another key"});
  CHECK(Path.call("c1").status() == 401);
  Path.lease().newerKnown(BootClock::now());
  CHECK(Path.call("c2").status() == 503);
  CHECK(Path.received() == 0);
}

// A follower waits for a text for ever, and nobody knows.
TEST_CASE("a text that does not come makes the configuration in force "
          "overdue, until it is here") {
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  REQUIRE(Test.loseTextOf(5));
  auto IsOverdue = [&] { return Spare.Freshness_.overdue(BootClock::now()); };
  CHECK(Test.runUntil(IsOverdue));
  Test.LoseParts_ = false;
  CHECK(Test.runUntil([&] { return !IsOverdue(); }));
  CHECK(Spare.version() == DocumentVersion(5));
}
