/// \file
/// Tests how the members' views converge in fleets of hundreds, in virtual
/// time.

#include "UnitTests/Process/Membership/SimulatedFleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <ranges>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t FleetSize = 300;

} // namespace

TEST_CASE("a suspect is probed by a few members, not by the whole fleet") {
  // A VM that is busy for a moment would stay unreachable for seconds: one
  // daemon suspects it, all others learn of the suspicion, and if each probed
  // it twice a second, a VM with an eighth of a core would get hundreds of
  // probes per second.
  SimulatedFleet Fleet(FleetSize, {});
  Fleet.runFor(seconds(2));
  Fleet.makeSuspect(1, 0);
  // The suspect has no time to answer meanwhile.
  Fleet.keepBusy(0, seconds(2));
  std::uint64_t Before = Fleet.received(0);
  Fleet.runFor(seconds(2));
  CHECK(Fleet.received(0) - Before < 120);
}

TEST_CASE("a slow daemon does not suspect one healthy daemon after the other") {
  // Healthy daemons, keepers among them, would be suspected hundreds of times,
  // and their cells would move, if a tenth of the VMs run at a fifth of their
  // speed and are busy with other work: a daemon that reads answers late takes
  // each missing answer for the failure of the other.
  SimulatedFleet Fleet(FleetSize, {});
  constexpr std::size_t Slow = FleetSize / 10;
  constexpr double SlowdownFactor = 5;
  for (std::size_t Index = 0; Index < Slow; ++Index)
    Fleet.slowDown(Index, SlowdownFactor);
  constexpr int Rounds = 40;
  for (int Round = 0; Round < Rounds; ++Round) {
    for (std::size_t Index = 0; Index < Slow; ++Index)
      Fleet.keepBusy(Index, milliseconds(450));
    Fleet.runFor(milliseconds(500));
  }
  MESSAGE("suspicions " << Fleet.falseSuspicions() << ", deaths "
                        << Fleet.falseDeaths());
  CHECK(Fleet.falseDeaths() == 0);
}

TEST_CASE("lost datagrams kill nobody") {
  // Streams of live daemons would be cancelled, and their cells would move, at
  // a datagram loss of five percent: a direct probe and the indirect ones fail,
  // and the refutation does not arrive in time if a suspicion lasts as long in
  // a fleet of hundreds as in one of ten.
  SimulatedFleet::Options Options;
  Options.LossPercent_ = 5;
  SimulatedFleet Fleet(FleetSize, Options);
  Fleet.runFor(seconds(30));
  MESSAGE("suspicions " << Fleet.falseSuspicions());
  // Out of 90,000 views.
  CHECK(Fleet.falseDeaths() <= 9);
}

TEST_CASE("a death is known to all soon after it is detected") {
  // Seconds after a keeper's death, some daemons would still send requests to
  // it, if it dies some seconds after the start of a fleet of hundreds, and the
  // members known since the start are gossiped before recent changes for
  // minutes.
  SimulatedFleet Fleet(FleetSize, {});
  Fleet.runFor(seconds(2));
  Fleet.kill(7);
  Fleet.runUntil([&] { return Fleet.viewsOf(7, MemberStatus::Suspect) > 0; },
                 seconds(30));
  auto Suspected = Fleet.runUntil(
      [&] { return Fleet.viewsOf(7, MemberStatus::Alive) == 0; }, seconds(30));
  auto Dead = Fleet.runUntil(
      [&] { return Fleet.viewsOf(7, MemberStatus::Dead) == FleetSize - 1; },
      seconds(30));
  MESSAGE("known to all after " << Suspected.count()
                                << " ms, dead for all after " << Dead.count()
                                << " ms more");
  CHECK(Suspected <= seconds(4));
  CHECK(Dead <= seconds(5));
}

TEST_CASE("all members learn that half of the fleet was restarted") {
  SimulatedFleet Fleet(FleetSize, {});
  Fleet.runFor(seconds(2));
  constexpr std::size_t Restarted = FleetSize * 55 / 100;
  for (std::size_t Index = 0; Index < Restarted; ++Index)
    Fleet.kill(Index);
  Fleet.runFor(seconds(2));
  for (std::size_t Index = 0; Index < Restarted; ++Index)
    Fleet.restart(Index);
  auto Known =
      Fleet.runUntil([&] { return Fleet.falseViews() == 0; }, seconds(30));
  MESSAGE("known to all after " << Known.count() << " ms");
  CHECK(Known <= seconds(4));
}

TEST_CASE("after a partition all know that all are alive") {
  // After a partition of ten seconds between two halves of a fleet, cells would
  // have two keepers for a minute if only one of the members considered dead is
  // probed per period.
  SimulatedFleet Fleet(FleetSize, {});
  Fleet.runFor(seconds(2));
  for (std::size_t Index = 0; Index < FleetSize / 2; ++Index)
    Fleet.setSide(Index, 1);
  Fleet.runFor(seconds(10));
  for (std::size_t Index = 0; Index < FleetSize / 2; ++Index)
    Fleet.setSide(Index, 0);
  auto Known =
      Fleet.runUntil([&] { return Fleet.falseViews() == 0; }, seconds(60));
  MESSAGE("known to all after " << Known.count() << " ms");
  CHECK(Known <= seconds(15));
}
