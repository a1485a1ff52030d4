/// \file
/// Planned stops and the loss of all daemons on the platform's protocol, with
/// real processes: what callers and engines see.

#include "FailureTests/platform/SoakFleet.h"
#include "FailureTests/platform/SoakWorld.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace samphireshunt::tests;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// One daemon reads the store, and the others follow it.
constexpr std::uint64_t Seed = 2;
constexpr int Callers = 24;
/// A stop is over within this time.
constexpr std::chrono::seconds StopBound{8};

} // namespace

TEST_CASE("daemons that are stopped in turn cut no request that they took") {
  // Symptom: callers' streams break off, or their requests end without an
  // answer although an engine ran them, whenever daemons are replaced.
  // Sequence: each daemon in turn gets SIGTERM while callers go on using their
  // open connections, and new ones come for a while; then it starts again.
  // Cause: a daemon that ends must first finish what it took, and take what
  // still comes.
  SoakWorld Around(Seed);
  SoakFleet Fleet(Seed, Around);
  REQUIRE(probeUntilWell(Around).empty());
  Around.startCallers(Callers);
  for (std::size_t Index = 0; Index < SoakFleet::Daemons; ++Index) {
    auto Begin = steady_clock::now();
    CHECK(Fleet.stopAndStart(Index) == 0);
    CHECK(steady_clock::now() - Begin < StopBound);
    CHECK(probeUntilWell(Around).empty());
  }
  Around.stopCallers();
  auto Cut = Around.cutCalls();
  CHECK_MESSAGE(Cut.empty(), Cut.size() << " cut, first " << Cut.front());
  CHECK(Around.violations().empty());
  CHECK(Around.answered() > 100);
}

TEST_CASE("after all daemons are killed at once the newest configuration is in "
          "force, and all is served again") {
  // Symptom: a key that was taken away works again, or nothing is served, after
  // a loss of power.
  // Sequence: a key is taken away; the store acknowledges it; at that moment
  // all daemons are killed, and start again.
  // Cause: nothing of a daemon outlives its process; what it begins with must
  // come from the store.
  SoakWorld Around(Seed);
  SoakFleet Fleet(Seed, Around);
  REQUIRE(probeUntilWell(Around).empty());
  Around.startCallers(Callers);
  std::string Taken = Around.revokeKey();
  for (std::size_t Index = 0; Index < SoakFleet::Daemons; ++Index)
    Fleet.kill(Index);
  for (std::size_t Index = 0; Index < SoakFleet::Daemons; ++Index)
    Fleet.start(Index);
  CHECK(probeUntilWell(Around).empty());
  Around.stopCallers();
  CHECK(Around.violations().empty());
  CHECK(Around.statusWithKey(Taken) == 401);
}
