/// \file
/// Requests that daemons have passed on while the configuration, the settings
/// or the servers change as planned, or a sound server falls silent.

#include "FailureTests/Cluster.h"
#include "FailureTests/platform/SoakEnvironment.h"
#include "FailureTests/platform/SoakFleet.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t Seed = 2;
constexpr int Callers = 24;

void checkNothingLost(SoakEnvironment &Environment) {
  Environment.stopCallers();
  auto Lost = Environment.unanswered();
  CHECK_MESSAGE(Lost.empty(), Lost.size() << " lost, first " << Lost.front());
  auto Closed = Environment.closedAfterAnswer();
  CHECK_MESSAGE(Closed.empty(), Closed.size()
                                    << " closed, first " << Closed.front());
  auto Violations = Environment.violations();
  CHECK_MESSAGE(Violations.empty(), Violations.front());
  CHECK(Environment.answered() > 100);
}

} // namespace

TEST_CASE("changes of the configuration, reloads and replaced servers cut no "
          "request") {
  // Guards against a request that is lost beside a change of the configuration.
  constexpr int Steps = 24;
  SoakEnvironment Environment(Seed);
  SoakFleet Fleet(Seed, Environment, {.FlagFiles_ = true});
  REQUIRE(probeUntilHealthy(Environment).empty());
  Environment.startCallers(Callers);
  for (int Step = 0; Step < Steps; ++Step) {
    Environment.changeConfiguration();
    Fleet.reload(static_cast<std::size_t>(Step) % SoakFleet::Daemons);
    if (Step % 4 == 0)
      Environment.replaceEngine();
    std::this_thread::sleep_for(milliseconds(200));
  }
  checkNothingLost(Environment);
  for (std::size_t Index = 0; Index < SoakFleet::Daemons; ++Index)
    CHECK(Fleet.hasLogged(Index, "settings-read"));
}

TEST_CASE("servers that fall silent for a second cut no request") {
  // Guards against an answer that is ended sooner because its sound server was
  // silent.
  constexpr std::size_t Silences = 5;
  SoakEnvironment Environment(Seed);
  SoakFleet Fleet(Seed, Environment);
  REQUIRE(probeUntilHealthy(Environment).empty());
  Environment.startCallers(Callers);
  for (std::size_t Place = 0; Place < Silences; ++Place) {
    Environment.silenceEngine(Place, milliseconds(1250));
    std::this_thread::sleep_for(milliseconds(1600));
  }
  checkNothingLost(Environment);
}

TEST_CASE("an outage of the store cuts no request") {
  // Guards against answers that wait for the store, or connections that are
  // closed while it is away.
  SoakEnvironment Environment(Seed);
  SoakFleet Fleet(Seed, Environment);
  REQUIRE(probeUntilHealthy(Environment).empty());
  Environment.startCallers(Callers);
  Environment.silenceStore(true);
  std::this_thread::sleep_for(milliseconds(2000));
  auto Failed = Environment.probeAll();
  CHECK_MESSAGE(Failed.empty(), Failed.front());
  Environment.silenceStore(false);
  Environment.failStore(503);
  std::this_thread::sleep_for(milliseconds(1500));
  Environment.failStore(0);
  checkNothingLost(Environment);
}

TEST_CASE("a daemon that stops refuses streams without enough time, cuts none "
          "and keeps no connection") {
  // Guards against streams that are accepted and cut at the end of the stop,
  // and against requests on connections that are about to close.
  SoakEnvironment Environment(Seed);
  SoakFleet Fleet(Seed, Environment);
  REQUIRE(probeUntilHealthy(Environment).empty());
  const Endpoint Daemon = Fleet.callersAddress(0);
  CHECK(Environment.beginCall(Daemon, SoakKind::Safe).get().Kept_);
  Environment.silenceEngines(true);
  auto Early = Environment.beginCall(Daemon, SoakKind::Stream);
  REQUIRE(eventually([&] { return Environment.running() == 1; }));
  Environment.setDaemon(0, std::nullopt);
  Fleet.signal(0, SIGTERM);
  // After drain_admit_ms, before the early stream's deadline.
  std::this_thread::sleep_for(milliseconds(1200));
  SoakCall Late = Environment.beginCall(Daemon, SoakKind::Stream).get();
  Environment.silenceEngines(false);
  SoakCall Whole = Early.get();
  CHECK(Late.Status_ == 503);
  CHECK(Late.Body_.find("214") != std::string::npos);
  CHECK(!Late.Kept_);
  CHECK(Whole.Status_ == 200);
  CHECK(Whole.Complete_);
  CHECK(!Whole.Kept_);
  CHECK(Fleet.wait(0) == 0);
  CHECK(Environment.cutCalls().empty());
  CHECK(Environment.violations().empty());
}

TEST_CASE("odd entries of another writer end no daemon and hide no change") {
  // Guards against daemons that end again and again, or follow nothing more,
  // while an entry stands that they can't read.
  constexpr std::size_t Levels = 200000;
  SoakEnvironment Environment(Seed);
  SoakFleet Fleet(Seed, Environment);
  REQUIRE(probeUntilHealthy(Environment).empty());
  Environment.startCallers(Callers);
  std::string Deep = std::string(Levels, '[') + std::string(Levels, ']');
  Environment.putEntry("servers/odd-deep", Deep);
  Environment.putEntry("servers/odd-bytes", "\xff\xfe");
  Environment.putEntry("servers/odd-item", "x", "no base64!");
  Environment.putEntry("op/rollout/odd", Deep);
  std::string RevokedKey = Environment.revokeKey();
  Environment.replaceEngine();
  CHECK(eventually([&] { return Environment.statusWithKey(RevokedKey) == 401; },
                   std::chrono::seconds(2)));
  Fleet.kill(1);
  Fleet.start(1);
  auto Failed = probeUntilHealthy(Environment);
  CHECK_MESSAGE(Failed.empty(), Failed.front());
  Environment.stopCallers();
  auto Violations = Environment.violations();
  CHECK_MESSAGE(Violations.empty(), Violations.front());
  for (const char *Key : {"odd-deep", "odd-bytes", "servers/odd-item"}) {
    CAPTURE(Key);
    bool Logged = false;
    for (std::size_t Index = 0; Index < SoakFleet::Daemons; ++Index)
      Logged = Logged || Fleet.hasLogged(Index, Key);
    CHECK(Logged);
  }
}

TEST_CASE("all daemons start beside an older copy of the store") {
  // Guards against daemons that have no memory of the newer state and serve
  // nothing, or by the copy once the operator has written again.
  SoakEnvironment Environment(Seed);
  SoakFleet Fleet(Seed, Environment);
  Environment.takeStoreCopy();
  REQUIRE(probeUntilHealthy(Environment).empty());
  Environment.startCallers(Callers);
  std::string RevokedKey = Environment.revokeKey();
  Environment.replaceEngine();
  for (std::size_t Index = 0; Index < SoakFleet::Daemons; ++Index)
    Fleet.kill(Index);
  Environment.restoreFromCopy(milliseconds(800));
  for (std::size_t Index = 0; Index < SoakFleet::Daemons; ++Index)
    Fleet.start(Index);
  auto Failed = probeUntilHealthy(Environment);
  CHECK_MESSAGE(Failed.empty(), Failed.front());
  Environment.stopCallers();
  auto Violations = Environment.violations();
  CHECK_MESSAGE(Violations.empty(), Violations.front());
  CHECK(
      eventually([&] { return Environment.statusWithKey(RevokedKey) == 401; }));
}
