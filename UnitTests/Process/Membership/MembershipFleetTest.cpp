/// \file
/// Fleets of hundreds in virtual time: what they come to believe of each other.

#include "UnitTests/Process/Membership/SimulatedFleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <ranges>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t Large = 300;

} // namespace

TEST_CASE("a suspect is probed by a few, not by the whole fleet") {
  // Symptom: a VM that is busy for a moment stays unreachable for seconds.
  // Sequence: one daemon takes it for suspect; all hear of it, and each probes
  // it twice a second.
  // Cause: hundreds of probes a second on a VM with an eighth of a core.
  SimulatedFleet Fleet(Large, {});
  Fleet.runFor(seconds(2));
  Fleet.accuse(1, 0);
  // It does not come to answer meanwhile.
  Fleet.keepBusy(0, seconds(2));
  std::uint64_t Before = Fleet.received(0);
  Fleet.runFor(seconds(2));
  CHECK(Fleet.received(0) - Before < 120);
}

TEST_CASE("a slow daemon does not accuse one sound daemon after the other") {
  // Symptom: hundreds of lines tell that sound daemons are suspect, keepers
  // among them; their cells move.
  // Sequence: a tenth of the VMs has a fifth of its speed, and other work.
  // Cause: a daemon that reads answers late took each silence for the other's.
  SimulatedFleet Fleet(Large, {});
  constexpr std::size_t Slow = Large / 10;
  constexpr double SlowTimes = 5;
  for (std::size_t Index = 0; Index < Slow; ++Index)
    Fleet.slowDown(Index, SlowTimes);
  constexpr int Rounds = 40;
  for (int Round = 0; Round < Rounds; ++Round) {
    for (std::size_t Index = 0; Index < Slow; ++Index)
      Fleet.keepBusy(Index, milliseconds(450));
    Fleet.runFor(milliseconds(500));
  }
  MESSAGE("suspicions " << Fleet.falseSuspicions() << ", deaths "
                        << Fleet.falselyDead());
  CHECK(Fleet.falselyDead() == 0);
}

TEST_CASE("lost datagrams kill nobody") {
  // Symptom: live daemons' streams are cancelled, and their cells move.
  // Sequence: of a hundred datagrams five are lost; someone's probe and those
  // by way of others fail; the suspicion is overtaken by no refutation in time.
  // Cause: a suspicion lasted as long in a fleet of hundreds as in one of ten.
  SimulatedFleet::Options Options;
  Options.LossPercent_ = 5;
  SimulatedFleet Fleet(Large, Options);
  Fleet.runFor(seconds(30));
  MESSAGE("suspicions " << Fleet.falseSuspicions());
  // Of 90,000 views.
  CHECK(Fleet.falselyDead() <= 9);
}

TEST_CASE("a death is known to all soon after it is seen") {
  // Symptom: seconds after a keeper's death some daemons still ask it.
  // Sequence: a fleet of hundreds starts; some seconds later one of it dies.
  // Cause: what was known of all others since the start was passed on before
  // the news, for minutes.
  SimulatedFleet Fleet(Large, {});
  Fleet.runFor(seconds(2));
  Fleet.kill(7);
  Fleet.runUntil([&] { return Fleet.viewsOf(7, MemberStatus::Suspect) > 0; },
                 seconds(30));
  auto Heard = Fleet.runUntil(
      [&] { return Fleet.viewsOf(7, MemberStatus::Alive) == 0; }, seconds(30));
  auto Dead = Fleet.runUntil(
      [&] { return Fleet.viewsOf(7, MemberStatus::Dead) == Large - 1; },
      seconds(30));
  MESSAGE("heard by all after " << Heard.count() << " ms, dead for all after "
                                << Dead.count() << " ms more");
  CHECK(Heard <= seconds(4));
  CHECK(Dead <= seconds(5));
}

TEST_CASE("when half of a fleet is gone and back, all know it") {
  SimulatedFleet Fleet(Large, {});
  Fleet.runFor(seconds(2));
  constexpr std::size_t Gone = Large * 55 / 100;
  for (std::size_t Index = 0; Index < Gone; ++Index)
    Fleet.kill(Index);
  Fleet.runFor(seconds(2));
  for (std::size_t Index = 0; Index < Gone; ++Index)
    Fleet.restart(Index);
  auto Known =
      Fleet.runUntil([&] { return Fleet.falseViews() == 0; }, seconds(30));
  MESSAGE("known to all after " << Known.count() << " ms");
  CHECK(Known <= seconds(4));
}

TEST_CASE("after a partition all know that all live") {
  // Symptom: for a minute after a cut is over, cells have two keepers.
  // Sequence: halves of a fleet don't hear each other for ten seconds.
  // Cause: of those held dead one was probed each period.
  SimulatedFleet Fleet(Large, {});
  Fleet.runFor(seconds(2));
  for (std::size_t Index = 0; Index < Large / 2; ++Index)
    Fleet.setSide(Index, 1);
  Fleet.runFor(seconds(10));
  for (std::size_t Index = 0; Index < Large / 2; ++Index)
    Fleet.setSide(Index, 0);
  auto Known =
      Fleet.runUntil([&] { return Fleet.falseViews() == 0; }, seconds(60));
  MESSAGE("known to all after " << Known.count() << " ms");
  CHECK(Known <= seconds(15));
}
