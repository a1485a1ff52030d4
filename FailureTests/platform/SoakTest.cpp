/// \file
/// A randomized soak test: real daemons run as separate processes on the
/// platform's protocol, with successive and overlapping faults injected from
/// outside. SOAK_SEEDS="1 2 3" selects seeds and SOAK_SECONDS=20 the duration
/// of each run; by default a few fixed seeds run for a short time.

#include "FailureTests/platform/SoakEnvironment.h"
#include "FailureTests/platform/SoakFleet.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <sstream>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr int Callers = 24;

/// Seeds that exposed a fault, each with its cause.
const std::vector<std::uint64_t> RegressionSeeds = {
    // A keeper that was paused still counted the finished requests of an
    // ingress daemon as running.
    1008,
};

std::vector<std::uint64_t> seeds() {
  std::vector<std::uint64_t> Seeds = {1, 2};
  const char *Setting = std::getenv("SOAK_SEEDS");
  if (!Setting) {
    Seeds.insert(Seeds.end(), RegressionSeeds.begin(), RegressionSeeds.end());
    return Seeds;
  }
  Seeds.clear();
  std::istringstream Text(Setting);
  for (std::uint64_t Seed = 0; Text >> Seed;)
    Seeds.push_back(Seed);
  return Seeds;
}

std::chrono::seconds runTime() {
  constexpr int DefaultSeconds = 6;
  const char *Setting = std::getenv("SOAK_SECONDS");
  return std::chrono::seconds(Setting ? std::atoi(Setting) : DefaultSeconds);
}

} // namespace

namespace {

void soak(const std::vector<std::uint64_t> &Seeds, SoakFleetOptions Faults) {
  Faults.FaultyLinks_ = true;
  for (std::uint64_t Seed : Seeds) {
    SoakEnvironment Environment(Seed, {"v1", "v1.1"});
    Environment.takeStoreCopy();
    SoakFleet Fleet(Seed, Environment, Faults);
    auto Before = probeUntilHealthy(Environment);
    REQUIRE_MESSAGE(Before.empty(), "seed " << Seed << ": " << Before.front());
    Environment.startCallers(Callers);
    auto End = steady_clock::now() + runTime();
    while (steady_clock::now() < End) {
      Fleet.injectFault();
      std::this_thread::sleep_for(milliseconds(150));
    }
    Fleet.clearFaults();
    Environment.stopCallers();
    auto After = probeUntilHealthy(Environment);
    CHECK_MESSAGE(After.empty(), "seed " << Seed << ": " << After.front());
    auto Violations = Environment.violations();
    CHECK_MESSAGE(Violations.empty(), "seed " << Seed << ": "
                                              << Violations.size() << ", first "
                                              << Violations.front());
    CHECK_MESSAGE(Environment.answered() * 4 > Environment.callCount(),
                  "seed " << Seed << ": " << Environment.answered() << " of "
                          << Environment.callCount() << " answered");
  }
}

} // namespace

TEST_CASE("all guarantees hold under successive and overlapping faults") {
  // Guards against lost, duplicated or false answers, revoked keys that still
  // work and leaving engines that still get work. The seed selects kills,
  // stops, pauses, reloads, a store that fails, drops its history or loses
  // answers, faulty or replaced engines, and revoked keys. Code that handles
  // each fault alone may not handle two of them at the same time.
  soak(seeds(), {});
}

// A store that is restored from an older copy loses later writes. Daemons have
// to accept its state as valid, also while other faults are injected.
TEST_CASE("all guarantees hold while the store is restored from copies") {
  soak(seeds(), {.RestoreCopies_ = true});
}

TEST_CASE("all guarantees hold beside silent engines and peers that send "
          "without end") {
  // Guards against a daemon that exceeds its VM's memory, or ends answers for a
  // silence, while it also handles the other faults.
  soak(seeds(), {.SilentEngines_ = true,
                 .UnendingBytes_ = true,
                 .MemoryMb_ = 88,
                 .FlagFiles_ = true});
}
