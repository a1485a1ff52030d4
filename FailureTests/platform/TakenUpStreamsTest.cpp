/// \file
/// Callers that take their streams up again at other daemons, while engines of
/// two software versions serve side by side.

#include "FailureTests/platform/SoakEnvironment.h"
#include "FailureTests/platform/SoakFleet.h"

#include <doctest/doctest.h>

#include <thread>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr int Callers = 60;
/// Time after which a daemon that has started must know of streams.
constexpr milliseconds ContactTime{3000};
constexpr milliseconds MaxRunTime{40000};
constexpr milliseconds BetweenKills{1200};
/// With fewer streams the share that goes on is not judged.
constexpr std::size_t MinTakeUps = 12;

} // namespace

TEST_CASE("streams go on at the version that began them, at any daemon") {
  // Guards against streams of two versions, and against streams that are given
  // up, after engines break them off and daemons are killed.
  constexpr std::uint64_t Seed = 1;
  SoakEnvironment Environment(Seed, {"v1", "v2"});
  SoakFleet Fleet(Seed, Environment, {});
  auto Failed = probeUntilHealthy(Environment);
  REQUIRE_MESSAGE(Failed.empty(), Failed.front());
  Environment.startCallers(Callers);
  Environment.setEngineFaults(true);
  std::this_thread::sleep_for(ContactTime);
  auto End = steady_clock::now() + MaxRunTime;
  while (Environment.takeUps().All_ < MinTakeUps && steady_clock::now() < End)
    std::this_thread::sleep_for(BetweenKills);
  for (std::size_t Index = 0; Index < SoakFleet::Daemons; ++Index) {
    std::this_thread::sleep_for(BetweenKills);
    Fleet.kill(Index);
    Fleet.start(Index);
  }
  std::this_thread::sleep_for(BetweenKills);
  Environment.setEngineFaults(false);
  Environment.stopCallers();
  auto Violations = Environment.violations();
  CHECK_MESSAGE(Violations.empty(), Violations.front());
  SoakTakeUps Counted = Environment.takeUps();
  MESSAGE(Counted.WentOn_ << " of " << Counted.All_ << " went on, "
                          << Counted.Begun_ << " of " << Counted.New_
                          << " new ones began");
  CHECK(Counted.All_ >= MinTakeUps);
  // At least half as often as new streams begin.
  CHECK(2 * Counted.WentOn_ * Counted.New_ >= Counted.Begun_ * Counted.All_);
}

TEST_CASE("no stream changes its version after all daemons were killed") {
  // Guards against streams of which no daemon knows any more where they began,
  // and that go on at whatever version serves.
  constexpr std::uint64_t Seed = 2;
  constexpr int MinRounds = 4;
  SoakEnvironment Environment(Seed, {"v1", "v2"});
  SoakFleet Fleet(Seed, Environment, {});
  auto Failed = probeUntilHealthy(Environment);
  REQUIRE_MESSAGE(Failed.empty(), Failed.front());
  Environment.startCallers(Callers);
  std::this_thread::sleep_for(ContactTime);
  auto TakenUp = [&] {
    auto Found = Environment.callsThat(
        [](const SoakCall &Call) { return !Call.First_.empty(); });
    return Found.size();
  };
  auto End = steady_clock::now() + MaxRunTime;
  for (int Round = 0; Round < MinRounds || TakenUp() < MinTakeUps; ++Round) {
    REQUIRE(steady_clock::now() < End);
    for (std::size_t Index = 0; Index < SoakFleet::Daemons; ++Index)
      Fleet.kill(Index);
    for (std::size_t Index = 0; Index < SoakFleet::Daemons; ++Index)
      Fleet.start(Index);
    std::this_thread::sleep_for(BetweenKills);
  }
  Environment.stopCallers();
  auto Violations = Environment.violations();
  CHECK_MESSAGE(Violations.empty(), Violations.front());
}
