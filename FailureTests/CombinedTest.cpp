/// \file
/// Several failures at once, and the same one twice, under a mixed load. What
/// callers get may differ from run to run; that no promise breaks may not.

#include "FailureTests/Cluster.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm>

using namespace samphireshunt::tests;
using std::chrono::milliseconds;

namespace {

/// A load of all kinds of requests, sent while failures come and go.
class MixedLoad {
public:
  MixedLoad(Cluster &Fleet, std::uint64_t Seed)
      : Fleet_(Fleet), Random_(Seed) {}

  void send(int Count) {
    for (int Index = 0; Index < Count; ++Index)
      Calls_.push_back(Fleet_.start(next()));
  }
  std::vector<CallRecord> finishAll() { return finish(Calls_); }
  int pick(int Count) {
    return static_cast<int>(Random_(static_cast<std::uint32_t>(Count)));
  }

private:
  CallRequest next() {
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
      // Every key comes about three times, at any daemons.
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

void freezeOne(Cluster &Fleet, MixedLoad &Load) {
  std::string Name = fmt::format("vm-{}", 1 + Load.pick(3));
  Fleet.process(Name).freeze();
  Load.send(15);
  std::this_thread::sleep_for(milliseconds(700));
  Fleet.process(Name).wake();
}

void killAndStart(Cluster &Fleet, MixedLoad &Load) {
  int Number = 1 + Load.pick(3);
  Fleet.process(fmt::format("vm-{}", Number)).kill();
  Load.send(15);
  Fleet.startDaemon(Number);
}

void cutAndHeal(Cluster &Fleet, MixedLoad &Load) {
  std::string Name = fmt::format("relay-{}", 1 + Load.pick(3));
  Fleet.faults(Name, {{"mode", Load.pick(2) == 0 ? "silent" : "refuse"}});
  Load.send(15);
  std::this_thread::sleep_for(milliseconds(700));
  Fleet.faults(Name, {{"mode", "pass"}});
}

void platformFails(Cluster &Fleet, MixedLoad &Load) {
  Fleet.faults("platform", {{"outage", true}});
  Load.send(10);
  std::this_thread::sleep_for(milliseconds(300));
  Fleet.faults("platform", {{"slowMs", 100}, {"loseWriteAnswers", 3}});
  Load.send(10);
  std::this_thread::sleep_for(milliseconds(300));
  Fleet.faults("platform", Json::object());
}

void enginesMisbehave(Cluster &Fleet, MixedLoad &Load) {
  for (const char *Name : {"model-1", "model-2"})
    Fleet.faults(Name, {{"cut", 2}, {"silent", 1}, {"swallow", 1}});
  Fleet.faults("app-1", {{"cut", 1}, {"lateMs", 100}, {"refuse", 1}});
  Load.send(20);
  std::this_thread::sleep_for(milliseconds(300));
  Fleet.faults("app-1", Json::object());
}

} // namespace

TEST_CASE("no promise breaks when failures come together and again") {
  // Symptom: an answer lost, doubled, crossed or untrue after a bad hour.
  // Sequence: freezes, kills, cuts, outages and engine faults follow one
  // another while earlier ones are not over.
  // Cause: each is handled alone; what is handled twice at once may not be.
  const std::vector<Failure> Failures = {freezeOne, killAndStart, cutAndHeal,
                                         platformFails, enginesMisbehave};
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
    auto Records = Load.finishAll();
    CHECK(countOutcome(Records, "answered") > Records.size() / 3);
    auto Violations = Fleet.violations({.DaemonsKilled_ = true});
    CHECK_MESSAGE(Violations.empty(), joined(Violations));
    Fleet.awaitReady();
    CallRecord Last = Fleet.run(Fleet.stream(1));
    CHECK_MESSAGE(Last.Correct_, "seed " << Seed << ": " << Last.Outcome_
                                         << ", code " << Last.Code_);
  }
}
