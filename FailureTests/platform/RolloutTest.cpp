/// \file
/// Roll-outs on the platform's protocol, with real daemons: what reaches a
/// version that is not proven, and that no request is cut when the engines in
/// service are stopped.

#include "FailureTests/platform/SoakEnvironment.h"
#include "FailureTests/platform/SoakFleet.h"

#include <doctest/doctest.h>

#include <thread>

using namespace samphireshunt::tests;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// With this seed one daemon reads the store and the others follow it.
constexpr std::uint64_t Seed = 2;
constexpr int Callers = 64;
/// The time that the operator gives each roll-out.
constexpr milliseconds Duration{8000};

/// Three daemons under load.
class RolloutRun {
public:
  explicit RolloutRun(std::uint64_t Number = Seed)
      : Environment_(Number), Fleet_(Number, Environment_) {
    REQUIRE(probeUntilHealthy(Environment_).empty());
    Environment_.startCallers(Callers);
    std::this_thread::sleep_for(milliseconds(500));
  }
  void order(SoakVersion Version) {
    Version.Duration_ = Duration;
    Ordered_ = steady_clock::now();
    Environment_.rollOut(Version);
  }
  /// Waits for the state; \returns the time since the order.
  milliseconds waitFor(const std::string &State, milliseconds AtMost) {
    auto End = Ordered_ + AtMost;
    while (Environment_.rolloutState() != State && steady_clock::now() < End)
      std::this_thread::sleep_for(milliseconds(10));
    CHECK(Environment_.rolloutState() == State);
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                    Ordered_);
  }
  void sleepUntil(milliseconds AfterOrder) {
    std::this_thread::sleep_until(Ordered_ + AfterOrder);
  }
  /// Ends the load and checks that nothing was violated and all is served.
  void finish() {
    Environment_.stopCallers();
    auto After = probeUntilHealthy(Environment_);
    CHECK_MESSAGE(After.empty(), After.front());
    auto Violations = Environment_.violations();
    CHECK_MESSAGE(Violations.empty(), Violations.size()
                                          << ", first " << Violations.front());
    CHECK(Environment_.answered() * 2 > Environment_.callCount());
  }

  SoakEnvironment Environment_;
  SoakFleet Fleet_;

private:
  steady_clock::time_point Ordered_;
};

SoakVersion failing(std::uint32_t Share, milliseconds After = {}) {
  SoakVersion Version;
  Version.FailedPercent_ = Share;
  Version.BadAfter_ = After;
  return Version;
}

} // namespace

TEST_CASE("a good version is rolled out in time, and no request is cut") {
  // Guards against a status of completed while requests still run on the
  // engines that it replaces: these stop at that moment.
  RolloutRun Run;
  Run.order(SoakVersion());
  CHECK(Run.waitFor("completed", Duration) < Duration);
  std::this_thread::sleep_for(milliseconds(500));
  Run.finish();
}

TEST_CASE("a version whose answers fail is reverted and hardly used") {
  // Guards against engines of an unproven version that get their share of the
  // requests because they are registered.
  RolloutRun Run;
  Run.order(failing(25));
  CHECK(Run.waitFor("reverted", Duration) < Duration);
  Run.sleepUntil(Duration);
  Run.finish();
  CHECK(Run.Environment_.exposedRequests() > 0);
}

TEST_CASE("engines of a version that register before its order get no work") {
  // Guards against daemons that use servers of a new version until they learn
  // that it is to be rolled out.
  RolloutRun Run;
  SoakVersion Version = failing(25);
  Version.Early_ = milliseconds(400);
  Run.order(Version);
  Run.waitFor("reverted", Duration);
  Run.sleepUntil(Duration + Version.Early_);
  Run.finish();
}

TEST_CASE("a version that is several times slower is reverted") {
  // Guards against a test of versions that sees failures only.
  RolloutRun Run;
  SoakVersion Version;
  Version.SlowPercent_ = 40;
  Run.order(Version);
  Run.waitFor("reverted", Duration);
  Run.sleepUntil(Duration);
  Run.finish();
}

TEST_CASE("a version that turns bad during its trial is reverted") {
  // Guards against good answers of the past that outweigh bad ones.
  RolloutRun Run;
  Run.order(failing(25, milliseconds(2500)));
  Run.waitFor("reverted", Duration);
  Run.sleepUntil(Duration);
  Run.finish();
}

TEST_CASE("a bad version stays within its limits while daemons are killed, "
          "paused and without the store") {
  // Guards against a version on trial that nobody watches: its owner is gone or
  // asleep, or can't write what it decided.
  RolloutRun Run;
  Run.order(failing(25, milliseconds(1000)));
  for (std::size_t Index = 0; Index < SoakFleet::Daemons; ++Index) {
    Run.sleepUntil(milliseconds(600 + 1500 * Index));
    Run.Fleet_.kill(Index);
    Run.Fleet_.start(Index);
    Run.Environment_.failStore(503);
    std::this_thread::sleep_for(milliseconds(500));
    Run.Environment_.failStore(0);
  }
  Run.waitFor("reverted", 2 * Duration);
  Run.sleepUntil(Duration);
  Run.finish();
}

TEST_CASE("a withdrawn order is reverted") {
  // Guards against a trial that goes on after the operator has withdrawn it.
  RolloutRun Run;
  Run.order(SoakVersion());
  Run.sleepUntil(milliseconds(1500));
  Run.Environment_.withdrawRollout();
  Run.waitFor("reverted", Duration);
  Run.finish();
}
