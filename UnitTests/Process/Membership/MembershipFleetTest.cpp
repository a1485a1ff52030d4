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
  // Guards against hundreds of suspicions of healthy daemons, keepers among
  // them, whose cells would move. A tenth of the VMs run at a fifth of their
  // speed and are busy with other work. A daemon that reads answers late must
  // not take each missing answer for a failure of the other daemon.
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
  // Guards against live daemons that are declared dead, so that their streams
  // are cancelled and their cells move. Five percent of the datagrams are lost,
  // and with them a direct probe and the indirect ones. If a suspicion lasted
  // only as long as in a fleet of ten, the refutation would not arrive in time.
  SimulatedFleet::Options Options;
  Options.LossPercent_ = 5;
  SimulatedFleet Fleet(FleetSize, Options);
  Fleet.runFor(seconds(30));
  MESSAGE("suspicions " << Fleet.falseSuspicions());
  // Out of 90,000 views.
  CHECK(Fleet.falseDeaths() <= 9);
}

TEST_CASE("a death is known to all soon after it is detected") {
  // Guards against daemons that still send requests to a keeper seconds after
  // its death. It dies some seconds after the start of a fleet of hundreds. If
  // the members known since the start were gossiped before recent changes, the
  // death would not be sent for minutes.
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
  // Guards against cells that have two keepers for a minute after a partition
  // of ten seconds between two halves of a fleet. This would happen if only one
  // of the members considered dead were probed per period.
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
