/// \file
/// Guarantee: an accepted configuration becomes active on all daemons within
/// seconds and never reverts.

#include "FailureTests/Cluster.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <thread>

using namespace samphireshunt::tests;
using std::chrono::milliseconds;

namespace {

/// \returns the document of the cluster with a default timeout that depends on
/// \p Number.
Json changedDocument(const Cluster &Fleet, int Number) {
  Json Document = Fleet.document();
  Document["limits"] = {{"defaultTimeoutMs", 10000 + Number}};
  return Document;
}

std::uint64_t version(Cluster &Fleet, int Daemon) {
  Json Status = Fleet.status(Daemon);
  return Status.value("/services/test/version"_json_pointer, std::uint64_t(0));
}

bool activeEverywhere(Cluster &Fleet, std::uint64_t Version,
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

bool isLogged(const Cluster &Fleet, int Daemon, const std::string &Text) {
  std::ifstream Lines(fmt::format("{}/vm-{}.log", Fleet.folder(), Daemon));
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.find(Text) != std::string::npos)
      return true;
  return false;
}

/// Writes \p Odd as the document of a service "odd", and then version 2 of the
/// good one.
void putAndFollow(Cluster &Fleet, const std::string &Odd) {
  Json Written =
      Fleet.request("platform", "/v1/kv/config/odd?expect=0", "PUT", Odd);
  REQUIRE(Written.value("httpStatus", 0) == 200);
  REQUIRE(Fleet.apply(changedDocument(Fleet, 2), {"--wait"}) == 0);
  CHECK(activeEverywhere(Fleet, 2));
  for (int Daemon = 1; Daemon <= 3; ++Daemon) {
    CHECK(isLogged(Fleet, Daemon, R"("service":"odd")"));
    CHECK(Fleet.run(Fleet.chat(Daemon)).Correct_);
  }
}

} // namespace

TEST_CASE("a daemon that starts on a stale read serves the newest version") {
  // Reads of the key-value service may be stale. A daemon that restarts while
  // version 2 is active must not serve the version 1 that it reads there.
  Cluster Fleet;
  REQUIRE(Fleet.apply(changedDocument(Fleet, 2), {"--wait"}) == 0);
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

TEST_CASE("of two operators that apply concurrently, one gets a conflict") {
  // Two operators read the same version and both apply a change. Without a
  // comparison of versions, the second write would silently replace the first.
  Cluster Fleet;
  for (int Round = 0; Round < 5; ++Round) {
    std::string Flag = fmt::format("--expected_version={}", 1 + Round);
    std::string First = Fleet.folder() + "/first.yaml";
    std::string Second = Fleet.folder() + "/second.yaml";
    std::ofstream(First) << changedDocument(Fleet, 100 + Round).dump();
    std::ofstream(Second) << changedDocument(Fleet, 200 + Round).dump();
    int Statuses[2] = {-1, -1};
    std::thread Other([&] {
      Statuses[0] = Fleet.tool({"apply", First, Flag}).first;
    });
    Statuses[1] = Fleet.tool({"apply", Second, Flag}).first;
    Other.join();
    constexpr int Conflict = 3;
    CHECK(std::min(Statuses[0], Statuses[1]) == 0);
    CHECK(std::max(Statuses[0], Statuses[1]) == Conflict);
    CHECK(activeEverywhere(Fleet, static_cast<std::uint64_t>(2 + Round)));
  }
}

TEST_CASE("a change whose answer was lost is known to be accepted") {
  // The write takes effect but its answer is lost. If the tool reported that
  // error as a rejection, the operator would apply the active change again and
  // could overwrite a change made by someone else in between.
  Cluster Fleet;
  Fleet.faults("platform", {{"loseWriteAnswers", 1}});
  CHECK(Fleet.apply(changedDocument(Fleet, 2), {"--wait"}) == 0);
  CHECK(version(Fleet, 1) == 2);
}

TEST_CASE("an outage right after acceptance does not lose the change") {
  // Only one daemon reaches the platform when a change is accepted. The
  // platform then fails, and another daemon restarts during the outage. The
  // remaining daemons must get the change from their peers, or they would never
  // have it.
  ClusterOptions Options;
  Options.PlatformRelays_ = true;
  Cluster Fleet(Options);
  for (const char *Name : {"platform-relay-2", "platform-relay-3"})
    Fleet.faults(Name, {{"mode", "refuse"}});
  REQUIRE(Fleet.apply(changedDocument(Fleet, 2)) == 0);
  REQUIRE(eventually([&] { return version(Fleet, 1) == 2; }));
  Fleet.faults("platform", {{"outage", true}});
  CHECK(activeEverywhere(Fleet, 2));
  Fleet.process("vm-3").kill();
  Fleet.startDaemon(3);
  // The restarted daemon knows no peers while the platform is down. The other
  // daemons probe it.
  CHECK(activeEverywhere(Fleet, 2, std::chrono::seconds(15)));
}

TEST_CASE("a watch that died without an error hides no change") {
  // A watch without a timeout waits forever on an open connection that nobody
  // serves any more. A change would take hours to reach that daemon.
  Cluster Fleet;
  Fleet.faults("platform", {{"stallWatches", true}});
  REQUIRE(Fleet.apply(changedDocument(Fleet, 2)) == 0);
  Fleet.faults("platform", Json::object());
  CHECK(activeEverywhere(Fleet, 2));
}

TEST_CASE("versions only go up under changes, restarts and stale reads") {
  // Changes are applied while reads are sometimes stale and a daemon restarts.
  // A daemon that adopted an older document over a newer one would report a
  // lower version than before.
  Cluster Fleet;
  std::vector<std::uint64_t> HighestSeen(4, 0);
  bool Reverted = false;
  auto Observe = [&] {
    for (int Daemon = 1; Daemon <= 3; ++Daemon) {
      std::uint64_t Seen = version(Fleet, Daemon);
      auto &Known = HighestSeen[static_cast<std::size_t>(Daemon)];
      Reverted = Reverted || (Seen != 0 && Seen < Known);
      Known = std::max(Known, Seen);
    }
  };
  for (int Round = 0; Round < 6; ++Round) {
    REQUIRE(Fleet.apply(changedDocument(Fleet, Round)) == 0);
    Fleet.faults("platform", {{"staleReads", true}});
    Observe();
    if (Round == 3) {
      Fleet.process("vm-1").kill();
      Fleet.startDaemon(1);
      HighestSeen[1] = 0; // A new process; it serves nothing until it is ready.
    }
    for (int Poll = 0; Poll < 10; ++Poll)
      Observe();
    Fleet.faults("platform", Json::object());
    CHECK(activeEverywhere(Fleet, static_cast<std::uint64_t>(2 + Round)));
  }
  CHECK_FALSE(Reverted);
}

TEST_CASE("a document of a newer format leaves the previous one active") {
  // A document in a format that the daemons do not support is written to the
  // store. If it replaced the active document, they would serve nothing.
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

TEST_CASE("a deeply nested document of another writer ends no process") {
  // Each daemon reads all documents, also when it starts: one nested by 100,000
  // levels overflowed the stack of all of them, again and again.
  Cluster Fleet;
  constexpr std::size_t Levels = 200000;
  std::string Deep = std::string(Levels, '[') + std::string(Levels, ']');
  putAndFollow(Fleet,
               R"({"version":1,"changes":["x"],"document":)" + Deep + "}");
  Fleet.process("vm-2").kill();
  Fleet.startDaemon(2);
  CHECK(activeEverywhere(Fleet, 2, std::chrono::seconds(15)));
  constexpr int Invalid = 1;
  CHECK(Fleet.tool({"get", "odd"}).first == Invalid);
}

namespace {

/// Writes \p Text over the stored document, as another writer does.
void overwrite(Cluster &Fleet, const std::string &Text) {
  Json Entry = Fleet.request("platform", "/v1/kv/config/test");
  Fleet.request("platform",
                fmt::format("/v1/kv/config/test?expect={}",
                            Entry["revision"].get<std::uint64_t>()),
                "PUT", Text);
}

/// \returns the stored document with the version \p Number.
std::string storedWith(Cluster &Fleet, const std::string &Number) {
  Json Entry = Fleet.request("platform", "/v1/kv/config/test");
  Json Stored = Json::parse(Entry["value"].get<std::string>());
  Stored["version"] = "NUMBER";
  std::string Text = Stored.dump();
  constexpr std::string_view Placeholder = "\"NUMBER\"";
  return Text.replace(Text.find(Placeholder), Placeholder.size(), Number);
}

} // namespace

TEST_CASE("after a document of an odd version, the next one becomes active") {
  // Another writer put the document back with a version that no number type
  // holds. Daemons took it as version 2^64-1 and followed none that came after;
  // the tool said "accepted as version 0" and "active on all 3 daemons".
  Cluster Fleet;
  constexpr int Invalid = 1;
  std::uint64_t Active = 1;
  for (const std::string Number : {"1e300", "18446744073709551615", "-5"}) {
    CAPTURE(Number);
    overwrite(Fleet, storedWith(Fleet, Number));
    Json Document = changedDocument(Fleet, static_cast<int>(Active));
    CHECK(Fleet.apply(Document, {"--wait"}) == Invalid);
    CHECK(activeEverywhere(Fleet, Active));
    CHECK(version(Fleet, 1) == Active);
    CHECK(Fleet.apply(Document, {"--wait", "--replace_unreadable"}) == 0);
    ++Active;
    for (int Daemon = 1; Daemon <= 3; ++Daemon)
      CHECK(version(Fleet, Daemon) == Active);
    CHECK(Fleet.run(Fleet.chat(1)).Correct_);
  }
}

TEST_CASE("a document is not called active where another one is") {
  // Another writer put an older version back. The tool counted on from it, and
  // as the daemons had a higher one, it called its own document active.
  Cluster Fleet;
  REQUIRE(Fleet.apply(changedDocument(Fleet, 2), {"--wait"}) == 0);
  REQUIRE(Fleet.apply(changedDocument(Fleet, 3), {"--wait"}) == 0);
  overwrite(Fleet, storedWith(Fleet, "1"));
  CHECK(Fleet.apply(changedDocument(Fleet, 4), {"--wait"}) == 0);
  for (int Daemon = 1; Daemon <= 3; ++Daemon)
    CHECK(version(Fleet, Daemon) == 4);
  // No version follows the last one.
  overwrite(Fleet, storedWith(Fleet, "9007199254740991"));
  REQUIRE(activeEverywhere(Fleet, 9007199254740991));
  constexpr int Invalid = 1;
  CHECK(Fleet.apply(changedDocument(Fleet, 5), {"--wait"}) == Invalid);
}

TEST_CASE("a document of another writer that is not UTF-8 hides no change") {
  // Each answer of the service with such a value failed, and the daemons
  // followed nothing more without a line in their logs.
  Cluster Fleet;
  putAndFollow(Fleet, "\xff\xfe");
}

TEST_CASE("a document is not called active where another has its number") {
  // Another writer's document became active before its entry was overwritten.
  // The tool reached no daemon at first and chose the same number.
  Cluster Fleet;
  std::string First = storedWith(Fleet, "1");
  Json Other = Json::parse(First);
  Other["version"] = 2;
  Other["changes"] = {"other"};
  overwrite(Fleet, Other.dump());
  REQUIRE(activeEverywhere(Fleet, 2));
  overwrite(Fleet, First);
  Fleet.request("platform", "/control/vms", "POST", R"({"vms":[]})");
  int Status = 0;
  std::thread Tool([&] {
    Status = Fleet.apply(changedDocument(Fleet, 3),
                         {"--wait", "--wait_timeout_ms=1500"});
  });
  CHECK(eventually([&] { return storedWith(Fleet, "1") != First; }));
  Fleet.listVms();
  Tool.join();
  constexpr int NotEverywhere = 5;
  CHECK(Status == NotEverywhere);
}

TEST_CASE("a document that a daemon can't hold is refused before it is "
          "written") {
  // Guards against a document that is accepted and can come into force nowhere:
  // the one in force would count as replaced.
  // In all more than three megabytes, the least that a daemon can hold.
  constexpr std::size_t Keys = 50000;
  ClusterOptions Options;
  Options.DaemonFlags_ = {"--process_memory_mb=40"};
  Cluster Fleet(Options);
  REQUIRE(Fleet.apply(changedDocument(Fleet, 2), {"--wait"}) == 0);
  Json Large = changedDocument(Fleet, 3);
  for (std::size_t Key = 0; Key < Keys; ++Key)
    Large["customers"][0]["keyDigests"].push_back(
        fmt::format("sha256:{:064x}", Key));
  const std::string Path = Fleet.folder() + "/large.yaml";
  std::ofstream(Path) << Large.dump();
  auto [Status, Output] = Fleet.tool({"apply", Path, "--output=json"});
  const std::string Told = std::move(Output);
  CHECK(Status == 1);
  CHECK_MESSAGE(Told.find("409") != std::string::npos, Told.substr(0, 500));
  CHECK(version(Fleet, 1) == 2);
  REQUIRE(Fleet.apply(changedDocument(Fleet, 4), {"--wait"}) == 0);
  CHECK(version(Fleet, 1) == 3);
}
