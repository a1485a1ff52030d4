/// \file
/// Promise: an accepted configuration is in force everywhere within seconds
/// and never reverts.

#include "FailureTests/Cluster.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <thread>

using namespace samphireshunt::tests;
using std::chrono::milliseconds;

namespace {

/// A document that differs from the cluster's own.
Json changed(const Cluster &Fleet, int Number) {
  Json Document = Fleet.document();
  Document["limits"] = {{"defaultTimeoutMs", 10000 + Number}};
  return Document;
}

std::uint64_t version(Cluster &Fleet, int Daemon) {
  Json Status = Fleet.status(Daemon);
  return Status.value("/services/test/version"_json_pointer, std::uint64_t(0));
}

bool everywhere(Cluster &Fleet, std::uint64_t Version,
                milliseconds Limit = std::chrono::seconds(4)) {
  return eventually(
      [&] {
        for (int Daemon = 1; Daemon <= 3; ++Daemon)
          if (version(Fleet, Daemon) < Version)
            return false;
        return true;
      },
      Limit);
}

} // namespace

TEST_CASE("a daemon that starts on a stale read serves the newest version") {
  // Symptom: after a restart one daemon serves last week's document.
  // Sequence: version 2 is in force; a daemon restarts and reads version 1.
  // Cause: reads of the key-value service may be stale.
  Cluster Fleet;
  REQUIRE(Fleet.apply(changed(Fleet, 2), {"--wait"}) == 0);
  Fleet.faults("platform", {{"staleReads", true}});
  Fleet.process("vm-2").kill();
  Fleet.startDaemon(2);
  bool ServedOld = false;
  CHECK(eventually([&] {
    Json Status = Fleet.status(2);
    if (!Status.value("ready", false))
      return false;
    ServedOld = ServedOld || version(Fleet, 2) < 2;
    return version(Fleet, 2) >= 2;
  }));
  CHECK_FALSE(ServedOld);
}

TEST_CASE("of two operators who race, one is told of the other's change") {
  // Symptom: an operator's change is gone, and nobody removed it.
  // Sequence: two operators read version 1 and both apply.
  // Cause: the second write replaced the first without a comparison.
  Cluster Fleet;
  for (int Round = 0; Round < 5; ++Round) {
    std::string Flag = fmt::format("--expected_version={}", 1 + Round);
    std::string First = Fleet.folder() + "/first.yaml";
    std::string Second = Fleet.folder() + "/second.yaml";
    std::ofstream(First) << changed(Fleet, 100 + Round).dump();
    std::ofstream(Second) << changed(Fleet, 200 + Round).dump();
    int Statuses[2] = {-1, -1};
    std::thread Other([&] {
      Statuses[0] = Fleet.tool({"apply", First, Flag}).first;
    });
    Statuses[1] = Fleet.tool({"apply", Second, Flag}).first;
    Other.join();
    constexpr int Conflict = 3;
    CHECK(std::min(Statuses[0], Statuses[1]) == 0);
    CHECK(std::max(Statuses[0], Statuses[1]) == Conflict);
    CHECK(everywhere(Fleet, static_cast<std::uint64_t>(2 + Round)));
  }
}

TEST_CASE("a change whose answer was lost is known to be accepted") {
  // Symptom: an operator applies again what is already in force, over a
  // colleague's change.
  // Sequence: the write takes effect and its answer never returns.
  // Cause: an error of the call was taken for a refusal.
  Cluster Fleet;
  Fleet.faults("platform", {{"loseWriteAnswers", 1}});
  CHECK(Fleet.apply(changed(Fleet, 2), {"--wait"}) == 0);
  CHECK(version(Fleet, 1) == 2);
}

TEST_CASE("an outage right after acceptance does not lose the change") {
  // Symptom: some daemons have the new version, others never get it.
  // Sequence: only one daemon reaches the platform; a change is accepted; the
  // platform fails at once; a daemon restarts in the outage.
  // Cause: a change in force on one daemon only was in nobody else's reach.
  ClusterOptions Options;
  Options.PlatformRelays_ = true;
  Cluster Fleet(Options);
  for (const char *Name : {"platform-relay-2", "platform-relay-3"})
    Fleet.faults(Name, {{"mode", "refuse"}});
  REQUIRE(Fleet.apply(changed(Fleet, 2)) == 0);
  REQUIRE(eventually([&] { return version(Fleet, 1) == 2; }));
  Fleet.faults("platform", {{"outage", true}});
  CHECK(everywhere(Fleet, 2));
  Fleet.process("vm-3").kill();
  Fleet.startDaemon(3);
  // It knows nobody while the platform is down; the others probe it.
  CHECK(everywhere(Fleet, 2, std::chrono::seconds(15)));
}

TEST_CASE("a watch that died in silence hides no change") {
  // Symptom: one change a month needs hours to reach some daemons.
  // Sequence: the watches stay open and are never answered.
  // Cause: a watch without a limit waits on a connection that nobody serves.
  Cluster Fleet;
  Fleet.faults("platform", {{"stallWatches", true}});
  REQUIRE(Fleet.apply(changed(Fleet, 2)) == 0);
  Fleet.faults("platform", Json::object());
  CHECK(everywhere(Fleet, 2));
}

TEST_CASE("versions only go up under changes, restarts and stale reads") {
  // Symptom: a daemon reports a lower version than it did before.
  // Sequence: changes follow each other while reads are now stale, now not,
  // and a daemon is killed and started.
  // Cause: an older text adopted over a newer one.
  Cluster Fleet;
  std::vector<std::uint64_t> Highest(4, 0);
  bool Reverted = false;
  auto Observe = [&] {
    for (int Daemon = 1; Daemon <= 3; ++Daemon) {
      std::uint64_t Seen = version(Fleet, Daemon);
      auto &Known = Highest[static_cast<std::size_t>(Daemon)];
      Reverted = Reverted || (Seen != 0 && Seen < Known);
      Known = std::max(Known, Seen);
    }
  };
  for (int Round = 0; Round < 6; ++Round) {
    REQUIRE(Fleet.apply(changed(Fleet, Round)) == 0);
    Fleet.faults("platform", {{"staleReads", true}});
    Observe();
    if (Round == 3) {
      Fleet.process("vm-1").kill();
      Fleet.startDaemon(1);
      Highest[1] = 0; // A new process; readiness keeps it from serving.
    }
    for (int Look = 0; Look < 10; ++Look)
      Observe();
    Fleet.faults("platform", Json::object());
    CHECK(everywhere(Fleet, static_cast<std::uint64_t>(2 + Round)));
  }
  CHECK_FALSE(Reverted);
}

TEST_CASE("a document of a newer format leaves the last one in force") {
  // Symptom: after an update of documents, old daemons serve nothing.
  // Sequence: a document of a format that daemons don't know is written.
  // Cause: what could not be read replaced what could.
  Cluster Fleet;
  Json Newer = Fleet.document();
  Newer["format"] = 2;
  Json Value = {{"version", 2}, {"changes", {"x"}}, {"document", Newer}};
  Json Entry = Fleet.request("platform", "/v1/kv/config/test");
  Fleet.request("platform",
                fmt::format("/v1/kv/config/test?expect={}",
                            Entry["revision"].get<std::uint64_t>()),
                "PUT", Value.dump());
  CHECK(eventually([&] {
    Json Services = Fleet.status(1)["services"];
    return Services["test"].value("notUnderstood", 0) == 2;
  }));
  CHECK(version(Fleet, 1) == 1);
  CHECK(Fleet.run(Fleet.chat(1)).Correct_);
  constexpr int Invalid = 1;
  CHECK(Fleet.apply(Newer) == Invalid);
}
