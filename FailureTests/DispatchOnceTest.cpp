/// \file
/// Promise: a request is dispatched to a backend server at most once.

#include "FailureTests/Cluster.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt::tests;
using std::chrono::milliseconds;

namespace {

std::vector<std::future<CallRecord>> startStreams(Cluster &Fleet, int Count,
                                                  std::size_t MaxTokens) {
  std::vector<std::future<CallRecord>> Calls;
  for (int Index = 0; Index < Count; ++Index) {
    CallRequest Request = Fleet.stream(1 + Index % 3);
    Request.MaxTokens_ = MaxTokens;
    Calls.push_back(Fleet.start(std::move(Request)));
  }
  return Calls;
}

/// Requests that wait for a model engine at their keeper.
int waitingAt(Cluster &Fleet, int Keeper) {
  Json Status = Fleet.status(Keeper);
  for (const Json &Cell : Status["cells"])
    if (Cell["cell"] == "test/models/0")
      return Cell["waiting"].get<int>();
  return 0;
}

} // namespace

TEST_CASE("an engine that dies is not replaced by another for its requests") {
  // Symptom: a caller gets its answer, yet two engines worked on it.
  // Sequence: requests run on two engines; one is killed in mid-answer.
  // Cause: a daemon that sends a request again after a byte of it had left.
  Cluster Fleet;
  auto Calls = startStreams(Fleet, 12, 100);
  REQUIRE(eventually([&] { return Fleet.ledgerCount("ran") >= 12; }));
  Fleet.process("model-1").kill();
  auto Records = finish(Calls);
  CHECK(countOutcome(Records, "answered") > 0);
  CHECK(countOutcome(Records, "answered") + countOutcome(Records, "partial") +
            countOutcome(Records, "unknown") ==
        12);
  CHECK(countOutcome(Records, "answered") < 12);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("a request lost on a silent connection is proved not run") {
  // Symptom: a caller waits until its deadline, or its request runs twice.
  // Sequence: the request's bytes vanish on a connection that stays open.
  // Cause: something between daemon and engine lost track of the connection.
  Cluster Fleet;
  Fleet.faults("model-1", {{"swallow", 1}});
  Fleet.faults("model-2", {{"swallow", 1}});
  CallRecord Record = Fleet.run(Fleet.chat(1));
  CHECK(Record.Outcome_ == "not-run");
  CHECK(Record.HasRetryAfter_);
  CHECK(Record.Total_ < milliseconds(5000));
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("requests that wait at a keeper that dies are granted by the next") {
  // Symptom: requests wait until their deadline although engines are free.
  // Sequence: requests wait for grants; their keeper is killed.
  // Cause: the queue lived in the keeper's memory only.
  ClusterOptions Options;
  Options.MaxInFlight_ = 1;
  Cluster Fleet(Options);
  int Keeper = Fleet.keeperOf("models");
  std::vector<std::future<CallRecord>> Calls;
  for (int Index = 0; Index < 12; ++Index) {
    int Entry = 1 + (Keeper + Index % 2) % 3;
    CallRequest Request = Fleet.chat(Entry);
    Request.MaxTokens_ = 40;
    Calls.push_back(Fleet.start(std::move(Request)));
  }
  REQUIRE(eventually([&] { return Fleet.ledgerCount("ran") >= 2; }));
  Fleet.process(fmt::format("vm-{}", Keeper)).kill();
  auto Records = finish(Calls);
  CHECK(countOutcome(Records, "answered") == 12);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("a frozen keeper's requests are granted by the next") {
  // Symptom: as above, but no connection breaks.
  // Sequence: the keeper is stopped, later wakes and goes on granting.
  // Cause: a paused process keeps its connections open, and does not know
  // that it was paused.
  ClusterOptions Options;
  Options.MaxInFlight_ = 1;
  Cluster Fleet(Options);
  int Keeper = Fleet.keeperOf("models");
  std::vector<std::future<CallRecord>> Calls;
  for (int Index = 0; Index < 12; ++Index) {
    CallRequest Request = Fleet.chat(1 + (Keeper + Index % 2) % 3);
    Request.MaxTokens_ = 40;
    Calls.push_back(Fleet.start(std::move(Request)));
  }
  REQUIRE(eventually([&] { return Fleet.ledgerCount("ran") >= 2; }));
  std::string Name = fmt::format("vm-{}", Keeper);
  Fleet.process(Name).freeze();
  REQUIRE(eventually([&] { return Fleet.ledgerCount("ran") >= 6; }));
  Fleet.process(Name).wake();
  auto Records = finish(Calls);
  CHECK(countOutcome(Records, "answered") == 12);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("an entry that is frozen past the deadline dispatches nothing") {
  // Symptom: a request runs long after its caller gave up.
  // Sequence: requests wait at an entry; it is stopped, engines become free,
  // the deadlines pass, it wakes with grants in its sockets.
  // Cause: a grant that is older than the deadline is still a grant.
  ClusterOptions Options;
  Options.MaxInFlight_ = 1;
  Options.Models_ = 1;
  Options.StepMs_ = 10;
  Cluster Fleet(Options);
  int Keeper = Fleet.keeperOf("models");
  int Entry = 1 + Keeper % 3;
  CallRequest Long = Fleet.chat(Keeper);
  Long.MaxTokens_ = 200; // Two seconds.
  auto First = Fleet.start(Long);
  REQUIRE(eventually([&] { return Fleet.ledgerCount("ran") == 1; }));
  std::vector<std::future<CallRecord>> Calls;
  for (int Index = 0; Index < 4; ++Index) {
    CallRequest Request = Fleet.chat(Entry);
    Request.Timeout_ = milliseconds(4000);
    Calls.push_back(Fleet.start(std::move(Request)));
  }
  // All wait at the keeper: their deadlines count from before the freeze. A
  // request that was read but not yet looked at would count from the waking.
  REQUIRE(eventually([&] { return waitingAt(Fleet, Keeper) == 4; }));
  std::string Name = fmt::format("vm-{}", Entry);
  Fleet.process(Name).freeze();
  REQUIRE(Fleet.ledgerCount("received") == 1);
  CHECK(First.get().Outcome_ == "answered");
  std::this_thread::sleep_for(milliseconds(4200)); // The deadlines pass.
  Fleet.process(Name).wake();
  auto Records = finish(Calls);
  CHECK(countOutcome(Records, "not-run") == 4);
  CHECK(Fleet.ledgerCount("received") == 1);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}
