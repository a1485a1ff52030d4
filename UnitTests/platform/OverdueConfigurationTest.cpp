/// \file
/// The behaviour of a daemon that knows that a newer configuration exists but
/// does not get its text.

#include "UnitTests/Request/ForwardingHarness.h"
#include "UnitTests/platform/FollowerFleet.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

Script answerAll(const std::string &Request, std::size_t /*Number*/) {
  return {completeAnswer(fieldIn(Request, "x-call-id"), "answer")};
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

// Requests without a key need no valid freshness lease. Without a check for
// overdue configurations a replaced one would serve them for an unlimited time.
TEST_CASE("a request without a key is not served by an overdue configuration") {
  ForwardingHarness Path(withApplyBound(), {answerAll});
  Path.lease().newerKnown(secondsAgo(1));
  CHECK(Path.call("c1").status() == 200);
  Path.lease().newerKnown(secondsAgo(3));
  auto Overdue = Path.call("c2");
  CHECK(Overdue.status() == 503);
  CHECK(fieldIn(Overdue.Bytes_, "x-result-code") == "213");
  CHECK(Path.received() == 1);
  Path.lease().newestActive();
  CHECK(Path.call("c3").status() == 200);
}

// A key or a route may exist only in the configuration that has not arrived
// yet. A request for it must get a temporary error instead of a denial.
TEST_CASE("nothing is denied while a newer configuration is known of") {
  auto Wanted = withApplyBound();
  Wanted.RequiresKey_ = true;
  ForwardingHarness Path(Wanted, {answerAll});
  Path.adopt({"another key"});
  CHECK(Path.call("c1").status() == 401);
  Path.lease().newerKnown(BootClock::now());
  CHECK(Path.call("c2").status() == 503);
  CHECK(Path.received() == 0);
}

// A follower that waits for a text for an unlimited time must report this.
TEST_CASE("a text that does not come makes the active configuration "
          "overdue, until it is here") {
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  REQUIRE(Test.dropTextOf(5));
  auto IsOverdue = [&] { return Spare.Freshness_.overdue(BootClock::now()); };
  CHECK(Test.runUntil(IsOverdue));
  Test.DropChunks_ = false;
  CHECK(Test.runUntil([&] { return !IsOverdue(); }));
  CHECK(Spare.version() == DocumentVersion(5));
}
