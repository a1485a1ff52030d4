/// \file
/// Daemons that reach callers, the platform's service and each other, but no
/// backend server.

#include "FailureTests/platform/LinkFaults.h"
#include "FailureTests/platform/SoakEnvironment.h"
#include "FailureTests/platform/SoakFleet.h"

#include <doctest/doctest.h>

#include <thread>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr int Callers = 24;
/// Time after which a daemon must serve although it is cut off.
constexpr milliseconds ContactTime{3000};
constexpr milliseconds JudgedTime{2500};
/// From ContactTime on, at most AllowedFailures and one in AllowedShare of the
/// first attempts at the daemons that are cut off may fail, and they must be
/// answered at least two thirds as often as those at the others.
constexpr std::size_t AllowedFailures = 10;
constexpr std::size_t AllowedShare = 50;

SoakCount countCalls(SoakEnvironment &Environment, std::size_t First,
                     std::size_t End, steady_clock::time_point Begin) {
  SoakCount Sum;
  for (std::size_t Index = First; Index < End; ++Index) {
    SoakCount Counted = Environment.countCalls(Index, Begin);
    Sum.All_ += Counted.All_;
    Sum.Answered_ += Counted.Answered_;
  }
  return Sum;
}

/// Sets the links of the first \p Cut daemons and checks that their callers are
/// served all the same.
void checkServedWhileCut(SoakEnvironment &Environment, SoakFleet &Fleet,
                         std::size_t Cut, int LinkSignal) {
  for (std::size_t Index = 0; Index < Cut; ++Index)
    Fleet.setLinks(Index, LinkSignal);
  std::this_thread::sleep_for(ContactTime);
  auto Begin = steady_clock::now();
  std::this_thread::sleep_for(JudgedTime);
  SoakCount There = countCalls(Environment, 0, Cut, Begin);
  SoakCount Others = countCalls(Environment, Cut, SoakFleet::Daemons, Begin);
  INFO("signal " << LinkSignal << ": " << There.Answered_ << " of "
                 << There.All_ << " answered, elsewhere " << Others.Answered_
                 << " of " << Others.All_);
  CHECK(There.All_ > 0);
  CHECK(There.All_ - There.Answered_ <=
        AllowedFailures + There.All_ / AllowedShare);
  CHECK(3 * There.Answered_ * Others.All_ >= 2 * Others.Answered_ * There.All_);
  for (std::size_t Index = 0; Index < Cut; ++Index)
    Fleet.setLinks(Index, PassSignal);
  auto Failed = probeUntilHealthy(Environment);
  CHECK_MESSAGE(Failed.empty(), Failed.front());
}

void checkAllKinds(std::uint64_t Seed, std::size_t Cut) {
  SoakEnvironment Environment(Seed);
  SoakFleet Fleet(Seed, Environment, {.FaultyLinks_ = true});
  auto Failed = probeUntilHealthy(Environment);
  REQUIRE_MESSAGE(Failed.empty(), Failed.front());
  Environment.startCallers(Callers);
  for (int LinkSignal : {HangSignal, ResetSignal, RefuseNewSignal})
    checkServedWhileCut(Environment, Fleet, Cut, LinkSignal);
  Environment.stopCallers();
  auto Violations = Environment.violations();
  CHECK_MESSAGE(Violations.empty(), Violations.front());
}

} // namespace

TEST_CASE("a daemon that is cut off from all servers serves its callers") {
  // Guards against a daemon that reaches everything but the servers and refuses
  // all its callers for as long as that lasts.
  checkAllKinds(1, 1);
}

TEST_CASE("most daemons are cut off from all servers") {
  // Guards against daemons that ask only others that are cut off as well.
  checkAllKinds(2, 2);
}
