/// \file
/// Daemons that lose one another: cut links, silent links, both sides alive.

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

TEST_CASE("a daemon that nobody can reach is passed over, and comes back") {
  // Symptom: requests wait for a keeper behind a dead switch port.
  // Sequence: everything towards the keeper is dropped, connections stay
  // open; later the network heals.
  // Cause: silence looks like waiting; and both sides hold the other dead.
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
  // Symptom: a broken switch between VMs stops the whole service.
  // Sequence: no daemon reaches any other; all reach the engines; it heals.
  // Cause: a request needs a keeper that only exists for others.
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
    // Each speaks for a third of the fleet, and takes a third of the limits.
    return Fleet.status(1).value("liveShare", 1.0) < 0.4;
  }));
  for (int Daemon = 1; Daemon <= 3; ++Daemon)
    Fleet.faults(fmt::format("relay-{}", Daemon), {{"mode", "pass"}});
  CHECK(eventually([&] { return allAlive(Fleet); }));
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("callers of a keeper that paused are served when it goes on") {
  // Beside load 4 of 12 calls were answered, those of one daemon of three. A
  // keeper that was not let run for a second is left by the others, whose
  // callers are served by the next one. When it goes on it grants places to
  // what they had asked of it before; nobody ends these grants, and its own
  // callers wait until their deadlines.
  ClusterOptions Options;
  Options.MaxInFlight_ = 1;
  Cluster Fleet(Options);
  int Keeper = Fleet.keeperOf("models");
  ChildProcess &Paused = Fleet.process(fmt::format("vm-{}", Keeper));
  std::vector<std::future<CallRecord>> Own;
  std::vector<std::future<CallRecord>> Others;
  constexpr int EachDaemon = 4;
  for (int Index = 0; Index < EachDaemon; ++Index)
    for (int Daemon = 1; Daemon <= 3; ++Daemon)
      (Daemon == Keeper ? Own : Others)
          .push_back(Fleet.start(Fleet.chat(Daemon)));
  REQUIRE(eventually([&] { return Fleet.ledgerCount("ran") > 0; }));
  Paused.freeze();
  auto OthersRecords = finish(Others);
  Paused.wake();
  CHECK_MESSAGE(countOutcome(OthersRecords, "answered") == 2 * EachDaemon,
                unanswered(OthersRecords));
  auto OwnRecords = finish(Own);
  CHECK_MESSAGE(countOutcome(OwnRecords, "answered") == EachDaemon,
                unanswered(OwnRecords));
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("the streams of a dead daemon are ended at their engines") {
  // Symptom: engines work for minutes on answers that nobody reads.
  // Sequence: a daemon is killed with long answers under way.
  // Cause: nobody who lives knows of the dead daemon's requests.
  Cluster Fleet;
  int Keeper = Fleet.keeperOf("models");
  int Entry = 1 + Keeper % 3;
  std::vector<std::future<CallRecord>> Calls;
  for (int Index = 0; Index < 4; ++Index) {
    CallRequest Request = Fleet.stream(Entry);
    Request.MaxTokens_ = 5000;
    Request.Timeout_ = milliseconds(60000);
    Calls.push_back(Fleet.start(std::move(Request)));
  }
  REQUIRE(eventually([&] { return Fleet.ledgerCount("ran") == 4; }));
  Fleet.process(fmt::format("vm-{}", Entry)).kill();
  CHECK(eventually([&] { return Fleet.ledgerCount("cancelled") == 4; },
                   milliseconds(15000)));
  finish(Calls);
  auto Violations = Fleet.violations({.DaemonsKilled_ = true});
  CHECK_MESSAGE(Violations.empty(), joined(Violations));
}
