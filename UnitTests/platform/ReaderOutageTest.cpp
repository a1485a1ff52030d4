/// \file
/// A daemon that follows others while all of these lose the platform's store.

#include "UnitTests/platform/FollowerFleet.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using namespace samphireshunt::tests;

TEST_CASE("a short outage of the service is waited for with the readers") {
  // All readers lose the service for a moment. If each follower called the
  // service as soon as no reader had it, each daemon of a fleet of hundreds
  // would send ten calls in the seconds in which the service fails and
  // recovers.
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  auto Calls = Test.calls();
  for (const char *Name : {"first", "second", "third"})
    Test.storeOf(Name).FailWith_ = 503;
  bool Lost = Test.runUntil([&] { return !Spare.Peers_->reader(); });
  for (const char *Name : {"first", "second", "third"})
    Test.storeOf(Name).FailWith_ = 0;
  CHECK(Lost);
  CHECK(Test.runUntil([&] { return Spare.Peers_->reader().has_value(); }));
  CHECK(Spare.Service_->paused());
  CHECK(Test.calls() == Calls);
  // A longer outage is not waited for, since the fault may not be the
  // service's.
  for (const char *Name : {"first", "second", "third"})
    Test.storeOf(Name).FailWith_ = 503;
  CHECK(Test.runUntil([&] { return !Spare.Service_->paused(); }));
}
