/// \file
/// Network partitions between daemons: links that refuse connections or drop
/// all data while the daemons on both sides are alive.

#include "FailureTests/Cluster.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt::tests;
using std::chrono::milliseconds;

namespace {

std::vector<CallRecord> serve(Cluster &Fleet, int Daemon, int Count) {
  std::vector<std::future<CallRecord>> Calls;
  for (int Index = 0; Index < Count; ++Index)
    Calls.push_back(Fleet.start(Fleet.chat(Daemon)));
  return finish(Calls);
}

bool allAlive(Cluster &Fleet) {
  for (int Daemon = 1; Daemon <= 3; ++Daemon) {
    Json Members = Fleet.status(Daemon)["members"];
    if (Members.size() != 2)
      return false;
    for (const Json &Member : Members)
      if (Member["status"] != "alive")
        return false;
  }
  return true;
}

} // namespace

TEST_CASE("an unreachable daemon is skipped and rejoins after the failure") {
  // All traffic to the keeper is dropped while connections stay open, as behind
  // a dead switch port; later the network recovers. A silent keeper looks like
  // one that makes requests wait. After the recovery each side still considers
  // the other one dead, and both have to rejoin.
  ClusterOptions Options;
  Options.Relays_ = true;
  Cluster Fleet(Options);
  int Keeper = Fleet.keeperOf("models");
  std::string Link = fmt::format("relay-{}", Keeper);
  for (const char *Mode : {"silent", "refuse"}) {
    Fleet.faults(Link, {{"mode", Mode}});
    for (int Daemon = 1; Daemon <= 3; ++Daemon) {
      auto Records = serve(Fleet, Daemon, 8);
      CHECK_MESSAGE(countOutcome(Records, "answered") == 8,
                    unanswered(Records));
    }
    Fleet.faults(Link, {{"mode", "pass"}});
    CHECK(eventually([&] { return allAlive(Fleet); }));
    auto Records = serve(Fleet, 1 + Keeper % 3, 8);
    CHECK_MESSAGE(countOutcome(Records, "answered") == 8, unanswered(Records));
  }
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("daemons that are all cut off from one another go on serving") {
  // No daemon reaches any other daemon, all reach the engines, and later the
  // network recovers. If a request needed a keeper that its daemon cannot
  // reach, a broken switch between VMs would stop the whole service.
  ClusterOptions Options;
  Options.Relays_ = true;
  Cluster Fleet(Options);
  for (int Daemon = 1; Daemon <= 3; ++Daemon)
    Fleet.faults(fmt::format("relay-{}", Daemon), {{"mode", "silent"}});
  for (int Daemon = 1; Daemon <= 3; ++Daemon) {
    auto Records = serve(Fleet, Daemon, 8);
    CHECK_MESSAGE(countOutcome(Records, "answered") == 8, unanswered(Records));
  }
  CHECK(eventually([&] {
    // Each daemon sees a third of the fleet and uses a third of the limits.
    return Fleet.status(1).value("liveShare", 1.0) < 0.4;
  }));
  for (int Daemon = 1; Daemon <= 3; ++Daemon)
    Fleet.faults(fmt::format("relay-{}", Daemon), {{"mode", "pass"}});
  CHECK(eventually([&] { return allAlive(Fleet); }));
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("callers of a keeper that paused are served when it resumes") {
  // On a loaded machine a keeper may not be scheduled for a second. The other
  // daemons switch to the next keeper, which serves their callers. When the
  // first one resumes, it could issue grants for the requests that they had
  // sent to it before the pause. Nobody would end these grants, and its own
  // callers would wait until their deadlines: 4 of 12 calls, those of one
  // daemon of three, were answered in one failure.
  ClusterOptions Options;
  Options.MaxInFlight_ = 1;
  Cluster Fleet(Options);
  int Keeper = Fleet.keeperOf("models");
  ChildProcess &Paused = Fleet.process(fmt::format("vm-{}", Keeper));
  std::vector<std::future<CallRecord>> KeeperCalls;
  std::vector<std::future<CallRecord>> OtherCalls;
  constexpr int CallsPerDaemon = 4;
  for (int Index = 0; Index < CallsPerDaemon; ++Index)
    for (int Daemon = 1; Daemon <= 3; ++Daemon)
      (Daemon == Keeper ? KeeperCalls : OtherCalls)
          .push_back(Fleet.start(Fleet.chat(Daemon)));
  REQUIRE(eventually([&] { return Fleet.ledgerCount("ran") > 0; }));
  Paused.freeze();
  auto OtherRecords = finish(OtherCalls);
  Paused.resume();
  CHECK_MESSAGE(countOutcome(OtherRecords, "answered") == 2 * CallsPerDaemon,
                unanswered(OtherRecords));
  auto KeeperRecords = finish(KeeperCalls);
  CHECK_MESSAGE(countOutcome(KeeperRecords, "answered") == CallsPerDaemon,
                unanswered(KeeperRecords));
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("the streams of a dead daemon are cancelled at their engines") {
  // A daemon is killed while it relays long answers. If no running daemon knew
  // the requests of the dead one, the engines would work for minutes on answers
  // that nobody reads.
  Cluster Fleet;
  int Keeper = Fleet.keeperOf("models");
  int Ingress = 1 + Keeper % 3;
  std::vector<std::future<CallRecord>> Calls;
  for (int Index = 0; Index < 4; ++Index) {
    CallRequest Request = Fleet.stream(Ingress);
    Request.MaxTokens_ = 5000;
    Request.Timeout_ = milliseconds(60000);
    Calls.push_back(Fleet.start(std::move(Request)));
  }
  REQUIRE(eventually([&] { return Fleet.ledgerCount("ran") == 4; }));
  Fleet.process(fmt::format("vm-{}", Ingress)).kill();
  CHECK(eventually([&] { return Fleet.ledgerCount("cancelled") == 4; },
                   milliseconds(15000)));
  finish(Calls);
  auto Violations = Fleet.violations({.DaemonsKilled_ = true});
  CHECK_MESSAGE(Violations.empty(), joined(Violations));
}
