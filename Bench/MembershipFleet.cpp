/// \file
/// How soon fleets of several sizes know what happens to their members, in
/// virtual time, and what that costs: the table of docs/CAPACITY.md.
///   membership_fleet [COUNT...]

#include "Bench/Counts.h"
#include "UnitTests/Process/Membership/SimulatedFleet.h"

#include <fmt/format.h>

#include <cstdio>
#include <vector>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds Settle{2};
constexpr seconds Limit{60};
constexpr seconds CalmTime{30};

/// From the first suspicion until no live daemon takes the dead one for alive.
milliseconds heardOfDeath(std::size_t Count) {
  SimulatedFleet Fleet(Count, {});
  Fleet.runFor(Settle);
  Fleet.kill(1);
  Fleet.runUntil([&] { return Fleet.viewsOf(1, MemberStatus::Suspect) > 0; },
                 Limit);
  return Fleet.runUntil(
      [&] { return Fleet.viewsOf(1, MemberStatus::Alive) == 0; }, Limit);
}

/// From the return of 55 in 100 until all know all processes.
milliseconds heardOfReturn(std::size_t Count) {
  constexpr std::size_t GonePercent = 55;
  SimulatedFleet Fleet(Count, {});
  Fleet.runFor(Settle);
  std::size_t Gone = Count * GonePercent / 100;
  for (std::size_t Index = 0; Index < Gone; ++Index)
    Fleet.kill(Index);
  Fleet.runFor(Settle);
  for (std::size_t Index = 0; Index < Gone; ++Index)
    Fleet.restart(Index);
  return Fleet.runUntil([&] { return Fleet.falseViews() == 0; }, Limit);
}

/// From the end of a cut of ten seconds between halves until it is forgotten.
milliseconds heardOfHealing(std::size_t Count) {
  constexpr seconds Cut{10};
  SimulatedFleet Fleet(Count, {});
  Fleet.runFor(Settle);
  for (std::size_t Index = 0; Index < Count / 2; ++Index)
    Fleet.setSide(Index, 1);
  Fleet.runFor(Cut);
  for (std::size_t Index = 0; Index < Count / 2; ++Index)
    Fleet.setSide(Index, 0);
  return Fleet.runUntil([&] { return Fleet.falseViews() == 0; }, Limit);
}

struct Calm {
  std::uint64_t Suspicions_;
  std::uint64_t Deaths_;
  /// Sent by a daemon in a second.
  std::uint64_t Bytes_;
};

Calm calm(std::size_t Count, double LossPercent) {
  SimulatedFleet::Options Options;
  Options.LossPercent_ = LossPercent;
  SimulatedFleet Fleet(Count, Options);
  Fleet.runFor(CalmTime);
  auto Seconds = static_cast<std::uint64_t>(CalmTime.count());
  return {Fleet.falseSuspicions(), Fleet.falselyDead(),
          Fleet.bytesSent() / Count / Seconds};
}

void row(std::size_t Count) {
  constexpr double Loss = 5;
  Calm Sound = calm(Count, 0);
  Calm Lossy = calm(Count, Loss);
  fmt::print("| {} | {} | {} | {} | {} | {} | {} | {} |\n", Count,
             heardOfDeath(Count).count(), heardOfReturn(Count).count(),
             heardOfHealing(Count).count(), Sound.Bytes_, Sound.Deaths_,
             Lossy.Suspicions_, Lossy.Deaths_);
  std::fflush(stdout);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  fmt::print("| daemons | death heard of by all, ms | return of 55 %, ms | end "
             "of a partition, ms | bytes/s sent | false deaths in 30 s | false "
             "suspicions in 30 s, 5 % lost | false deaths, 5 % lost |\n");
  for (std::size_t Count :
       countsFrom(ArgumentCount, Arguments, {30, 100, 300, 1000}))
    row(Count);
  return 0;
}
