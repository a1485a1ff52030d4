/// \file
/// Measures how soon fleets of several sizes detect changes of their members,
/// in virtual time, and what that costs. Prints the table of docs/CAPACITY.md.
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
constexpr seconds QuietTime{30};

/// \returns the time from the first suspicion of a dead daemon until no live
/// daemon considers it alive.
milliseconds deathSpreadTime(std::size_t Count) {
  SimulatedFleet Fleet(Count, {});
  Fleet.runFor(Settle);
  Fleet.kill(1);
  Fleet.runUntil([&] { return Fleet.viewsOf(1, MemberStatus::Suspect) > 0; },
                 Limit);
  return Fleet.runUntil(
      [&] { return Fleet.viewsOf(1, MemberStatus::Alive) == 0; }, Limit);
}

/// \returns the time from the restart of 55 % of the daemons until all daemons
/// have a correct view of all others.
milliseconds returnSpreadTime(std::size_t Count) {
  constexpr std::size_t StoppedPercent = 55;
  SimulatedFleet Fleet(Count, {});
  Fleet.runFor(Settle);
  std::size_t Stopped = Count * StoppedPercent / 100;
  for (std::size_t Index = 0; Index < Stopped; ++Index)
    Fleet.kill(Index);
  Fleet.runFor(Settle);
  for (std::size_t Index = 0; Index < Stopped; ++Index)
    Fleet.restart(Index);
  return Fleet.runUntil([&] { return Fleet.falseViews() == 0; }, Limit);
}

/// \returns the time from the end of a partition into halves, which lasts ten
/// seconds, until all daemons have a correct view of all others.
milliseconds partitionHealTime(std::size_t Count) {
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

/// Results of a run in which no daemon fails.
struct QuietRun {
  std::uint64_t Suspicions_;
  std::uint64_t Deaths_;
  /// Sent by each daemon per second.
  std::uint64_t Bytes_;
};

QuietRun runQuietly(std::size_t Count, double LossPercent) {
  SimulatedFleet::Options Options;
  Options.LossPercent_ = LossPercent;
  SimulatedFleet Fleet(Count, Options);
  Fleet.runFor(QuietTime);
  auto Seconds = static_cast<std::uint64_t>(QuietTime.count());
  return {Fleet.falseSuspicions(), Fleet.falseDeaths(),
          Fleet.bytesSent() / Count / Seconds};
}

void row(std::size_t Count) {
  constexpr double Loss = 5;
  QuietRun Lossless = runQuietly(Count, 0);
  QuietRun Lossy = runQuietly(Count, Loss);
  fmt::print("| {} | {} | {} | {} | {} | {} | {} | {} |\n", Count,
             deathSpreadTime(Count).count(), returnSpreadTime(Count).count(),
             partitionHealTime(Count).count(), Lossless.Bytes_,
             Lossless.Deaths_, Lossy.Suspicions_, Lossy.Deaths_);
  std::fflush(stdout);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  fmt::print("| daemons | death known to all, ms | return of 55 %, ms | end "
             "of a partition, ms | bytes/s sent | false deaths in 30 s | false "
             "suspicions in 30 s, 5 % lost | false deaths, 5 % lost |\n");
  for (std::size_t Count :
       countsFrom(ArgumentCount, Arguments, {30, 100, 300, 1000}))
    row(Count);
  return 0;
}
