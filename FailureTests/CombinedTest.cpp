/// \file
/// Several failures at the same time, and repeated ones, under a mixed load.
/// The outcomes may differ from run to run, but no guarantee may be violated.

#include "FailureTests/Cluster.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm>

using namespace samphireshunt::tests;
using std::chrono::milliseconds;

namespace {

/// Sends random requests of all kinds while failures are injected.
class MixedLoad {
public:
  MixedLoad(Cluster &Fleet, std::uint64_t Seed)
      : Fleet_(Fleet), Random_(Seed) {}

  void send(int Count) {
    for (int Index = 0; Index < Count; ++Index)
      Calls_.push_back(Fleet_.start(nextRequest()));
  }
  std::vector<CallRecord> finishCalls() { return finish(Calls_); }
  int pick(int Count) {
    return static_cast<int>(Random_(static_cast<std::uint32_t>(Count)));
  }

private:
  CallRequest nextRequest() {
    int Daemon = 1 + pick(3);
    CallRequest Request = Fleet_.stream(Daemon);
    switch (pick(4)) {
    case 0:
      Request = Fleet_.chat(Daemon);
      break;
    case 1:
      Request = Fleet_.reading(Daemon);
      break;
    case 2:
      // Each key is used about three times, at random daemons.
      Request = Fleet_.note(Daemon, fmt::format("mixed-{}", pick(60)));
      break;
    default:
      Request.MaxTokens_ = 40;
    }
    const char *Tiers[] = {"gold", "silver", "bronze"};
    Request.Tier_ = Tiers[pick(3)];
    Request.Timeout_ = milliseconds(500 + pick(3000));
    return Request;
  }

  Cluster &Fleet_;
  pcg32 Random_;
  std::vector<std::future<CallRecord>> Calls_;
};

using Failure = std::function<void(Cluster &, MixedLoad &)>;

void freezeDaemon(Cluster &Fleet, MixedLoad &Load) {
  std::string Name = fmt::format("vm-{}", 1 + Load.pick(3));
  Fleet.process(Name).freeze();
  Load.send(15);
  std::this_thread::sleep_for(milliseconds(700));
  Fleet.process(Name).resume();
}

void restartDaemon(Cluster &Fleet, MixedLoad &Load) {
  int Number = 1 + Load.pick(3);
  Fleet.process(fmt::format("vm-{}", Number)).kill();
  Load.send(15);
  Fleet.startDaemon(Number);
}

void interruptLink(Cluster &Fleet, MixedLoad &Load) {
  std::string Name = fmt::format("relay-{}", 1 + Load.pick(3));
  Fleet.faults(Name, {{"mode", Load.pick(2) == 0 ? "silent" : "refuse"}});
  Load.send(15);
  std::this_thread::sleep_for(milliseconds(700));
  Fleet.faults(Name, {{"mode", "pass"}});
}

void failPlatform(Cluster &Fleet, MixedLoad &Load) {
  Fleet.faults("platform", {{"outage", true}});
  Load.send(10);
  std::this_thread::sleep_for(milliseconds(300));
  Fleet.faults("platform", {{"slowMs", 100}, {"loseWriteAnswers", 3}});
  Load.send(10);
  std::this_thread::sleep_for(milliseconds(300));
  Fleet.faults("platform", Json::object());
}

void failEngines(Cluster &Fleet, MixedLoad &Load) {
  for (const char *Name : {"model-1", "model-2"})
    Fleet.faults(Name, {{"cut", 2}, {"silent", 1}, {"swallow", 1}});
  Fleet.faults("app-1", {{"cut", 1}, {"lateMs", 100}, {"refuse", 1}});
  Load.send(20);
  std::this_thread::sleep_for(milliseconds(300));
  Fleet.faults("app-1", Json::object());
}

} // namespace

TEST_CASE("no guarantee is violated under repeated and overlapping failures") {
  // Guards against lost, duplicated, swapped or false answers when freezes,
  // kills, broken links, outages and engine faults overlap: code that handles
  // each failure alone may not handle two of them at the same time.
  const std::vector<Failure> Failures = {
      freezeDaemon, restartDaemon, interruptLink, failPlatform, failEngines};
  for (std::uint64_t Seed : {11U, 12U, 13U}) {
    ClusterOptions Options;
    Options.Relays_ = true;
    Options.MaxInFlight_ = 4;
    Cluster Fleet(Options);
    MixedLoad Load(Fleet, Seed);
    for (int Round = 0; Round < 8; ++Round) {
      Load.send(10);
      auto Kind = static_cast<std::size_t>(
          Load.pick(static_cast<int>(Failures.size())));
      Failures[Kind](Fleet, Load);
    }
    auto Records = Load.finishCalls();
    CHECK(countOutcome(Records, "answered") > Records.size() / 3);
    auto Violations = Fleet.violations({.DaemonsKilled_ = true});
    CHECK_MESSAGE(Violations.empty(), joined(Violations));
    Fleet.awaitReady();
    CallRecord Last = Fleet.run(Fleet.stream(1));
    CHECK_MESSAGE(Last.Correct_, "seed " << Seed << ": " << Last.Outcome_
                                         << ", code " << Last.Code_);
  }
}
