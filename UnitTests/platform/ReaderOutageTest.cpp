/// \file
/// A daemon that follows others while all of these lose the platform's store.

#include "UnitTests/platform/FollowerFleet.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

/// Lets all readers lose their stores until the follower has no reader.
bool loseReaders(Fleet &Test) {
  for (const char *Name : {"first", "second", "third"})
    Test.storeOf(Name).FailWith_ = 503;
  return Test.runUntil([&] { return !Test["spare"].Peers_->reader(); });
}

void restoreReaders(Fleet &Test) {
  for (const char *Name : {"first", "second", "third"})
    Test.storeOf(Name).FailWith_ = 0;
}

} // namespace

TEST_CASE("a short outage of the service is waited for with the readers") {
  // All readers lose the service for a moment. If each follower called the
  // service as soon as no reader had it, each daemon of a fleet of hundreds
  // would send ten calls in the seconds in which the service fails and
  // recovers.
  Fleet Test(/*Small=*/false, /*Slowdown=*/1,
             [](StoreDaemon::Settings &Wanted) {
               Wanted.Peers_.OutageGraceTime_ = Endless;
               Wanted.Peers_.AnswerTimeout_ = Endless;
             });
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  auto Reads = Spare.readsBegun();
  CHECK(Reads > 0);
  CHECK(loseReaders(Test));
  CHECK(Spare.Service_->paused());
  restoreReaders(Test);
  CHECK(Test.runUntil([&] { return Spare.Peers_->reader().has_value(); }));
  CHECK(Spare.Service_->paused());
  CHECK(Spare.readsBegun() == Reads);
}

TEST_CASE("a longer outage of the service is not waited for") {
  // Guards against a follower that stays without a source when the fault is not
  // the service's.
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  auto Reads = Spare.readsBegun();
  CHECK(loseReaders(Test));
  CHECK(Test.runUntil([&] { return !Spare.Service_->paused(); }));
  CHECK(Test.runUntil([&] { return Spare.readsBegun() > Reads; }));
}
