/// \file
/// Planned stops and the loss of all daemons on the platform's protocol, with
/// real processes, checked from the perspective of callers and engines.

#include "FailureTests/Cluster.h"
#include "FailureTests/platform/SoakEnvironment.h"
#include "FailureTests/platform/SoakFleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <iterator>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// With this seed one daemon reads the store and the others follow it.
constexpr std::uint64_t Seed = 2;
constexpr int Callers = 24;
/// Maximum time for a stop and the restart.
constexpr std::chrono::seconds StopBound{8};

} // namespace

TEST_CASE(
    "daemons that are stopped in turn cut no request that they accepted") {
  // Each daemon in turn gets SIGTERM while callers continue to use their open
  // connections and new callers arrive for a while; then it is restarted. A
  // stopping daemon must finish the requests that it accepted and accept those
  // that still arrive. Otherwise streams would break off, or requests that an
  // engine ran would end without an answer, whenever daemons are replaced.
  SoakEnvironment Environment(Seed);
  SoakFleet Fleet(Seed, Environment);
  REQUIRE(probeUntilHealthy(Environment).empty());
  Environment.startCallers(Callers);
  for (std::size_t Index = 0; Index < SoakFleet::Daemons; ++Index) {
    auto Begin = steady_clock::now();
    CHECK(Fleet.stopAndStart(Index) == 0);
    CHECK(steady_clock::now() - Begin < StopBound);
    CHECK(probeUntilHealthy(Environment).empty());
  }
  Environment.stopCallers();
  auto Cut = Environment.cutCalls();
  CHECK_MESSAGE(Cut.empty(), Cut.size() << " cut, first " << Cut.front());
  CHECK(Environment.violations().empty());
  CHECK(Environment.answered() > 100);
}

TEST_CASE("a stop whose timeout expires answers every request") {
  // Guards against callers whose connections are closed in silence.
  constexpr int Calls = 30;
  SoakEnvironment Environment(Seed);
  SoakFleetOptions Options;
  // Shorter than the routes' timeouts.
  Options.DrainTimeout_ = milliseconds(1500);
  SoakFleet Fleet(Seed, Environment, Options);
  REQUIRE(probeUntilHealthy(Environment).empty());
  Environment.silenceEngines(true);
  const Endpoint Daemon = Fleet.callersAddress(0);
  std::vector<std::future<SoakCall>> Sent;
  auto Send = [&] {
    for (int Index = 0; Index < Calls; ++Index)
      Sent.push_back(Environment.beginCall(
          Daemon, std::array{SoakKind::Safe, SoakKind::Stream,
                             SoakKind::Unsafe}[Index % 3]));
  };
  Send();
  REQUIRE(eventually([&] { return Environment.running() >= 3; }));
  Environment.setDaemon(0, std::nullopt);
  Fleet.signal(0, SIGTERM);
  Send();
  CHECK(Fleet.wait(0) == 0);
  std::vector<SoakCall> Ended;
  std::ranges::transform(Sent, std::back_inserter(Ended),
                         [](auto &Call) { return Call.get(); });
  Environment.silenceEngines(false);
  CHECK(std::ranges::count(Ended, 0, &SoakCall::Status_) == 0);
  CHECK(std::ranges::count(Ended, 503, &SoakCall::Status_) > 0);
  CHECK(std::ranges::count(Ended, 504, &SoakCall::Status_) > 0);
  auto Violations = Environment.violations();
  CHECK_MESSAGE(Violations.empty(), Violations.front());
}

TEST_CASE("after all daemons are killed at once the newest configuration is "
          "active and all requests are served again") {
  // A key is revoked, the store acknowledges the write, and at that moment all
  // daemons are killed and restarted, as in a power failure. A daemon keeps no
  // state across its process, so its initial state must come from the store.
  // Otherwise the revoked key would work again, or nothing would be served.
  SoakEnvironment Environment(Seed);
  SoakFleet Fleet(Seed, Environment);
  REQUIRE(probeUntilHealthy(Environment).empty());
  Environment.startCallers(Callers);
  std::string RevokedKey = Environment.revokeKey();
  for (std::size_t Index = 0; Index < SoakFleet::Daemons; ++Index)
    Fleet.kill(Index);
  for (std::size_t Index = 0; Index < SoakFleet::Daemons; ++Index)
    Fleet.start(Index);
  CHECK(probeUntilHealthy(Environment).empty());
  Environment.stopCallers();
  CHECK(Environment.violations().empty());
  CHECK(Environment.statusWithKey(RevokedKey) == 401);
}
