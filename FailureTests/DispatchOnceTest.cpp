/// \file
/// Guarantee: a request is dispatched to a backend server at most once.

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

/// \returns the number of requests that wait for a model engine at \p Keeper.
int waitingRequests(Cluster &Fleet, int Keeper) {
  Json Status = Fleet.status(Keeper);
  for (const Json &Cell : Status["cells"])
    if (Cell["cell"] == "test/models/0")
      return Cell["waiting"].get<int>();
  return 0;
}

} // namespace

TEST_CASE("requests at an engine that dies are not sent to another engine") {
  // An engine is killed while it answers. A daemon that resends a request after
  // any byte of it was sent would make two engines work on it, although the
  // caller sees one answer.
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

TEST_CASE("a request lost on a silent connection is proven not run") {
  // A middlebox between daemon and engine lost the state of the connection: the
  // connection stays open, but the bytes of the request never arrive. Without a
  // proof that the request did not run, the caller would wait until its
  // deadline or the request could run twice.
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
  // The keeper is killed while requests wait for grants. Its queue exists only
  // in its memory, so without a new grant request to the next keeper they would
  // wait until their deadlines although engines are free.
  ClusterOptions Options;
  Options.MaxInFlight_ = 1;
  Cluster Fleet(Options);
  int Keeper = Fleet.keeperOf("models");
  std::vector<std::future<CallRecord>> Calls;
  for (int Index = 0; Index < 12; ++Index) {
    int Ingress = 1 + (Keeper + Index % 2) % 3;
    CallRequest Request = Fleet.chat(Ingress);
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
  // The keeper is paused and later resumes issuing grants. A paused process
  // keeps its connections open, so no connection error reveals the failure, and
  // the process does not notice that it was paused.
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
  Fleet.process(Name).resume();
  auto Records = finish(Calls);
  CHECK(countOutcome(Records, "answered") == 12);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("an ingress daemon frozen past the deadline dispatches nothing") {
  // Requests wait at an ingress daemon that is paused until their deadlines
  // have passed. It resumes with grants in its socket buffers. If it used them,
  // the requests would run long after their callers gave up.
  ClusterOptions Options;
  Options.MaxInFlight_ = 1;
  Options.Models_ = 1;
  Options.StepMs_ = 10;
  Cluster Fleet(Options);
  int Keeper = Fleet.keeperOf("models");
  int Ingress = 1 + Keeper % 3;
  CallRequest Long = Fleet.chat(Keeper);
  Long.MaxTokens_ = 200; // Two seconds.
  auto First = Fleet.start(Long);
  REQUIRE(eventually([&] { return Fleet.ledgerCount("ran") == 1; }));
  std::vector<std::future<CallRecord>> Calls;
  for (int Index = 0; Index < 4; ++Index) {
    CallRequest Request = Fleet.chat(Ingress);
    Request.Timeout_ = milliseconds(4000);
    Calls.push_back(Fleet.start(std::move(Request)));
  }
  // All requests must wait at the keeper before the freeze, so that their
  // deadlines are counted from then. The deadline of a request that was read
  // but not yet processed would be counted from the end of the freeze.
  REQUIRE(eventually([&] { return waitingRequests(Fleet, Keeper) == 4; }));
  std::string Name = fmt::format("vm-{}", Ingress);
  Fleet.process(Name).freeze();
  REQUIRE(Fleet.ledgerCount("received") == 1);
  CHECK(First.get().Outcome_ == "answered");
  std::this_thread::sleep_for(milliseconds(4200)); // The deadlines pass.
  Fleet.process(Name).resume();
  auto Records = finish(Calls);
  CHECK(countOutcome(Records, "not-run") == 4);
  CHECK(Fleet.ledgerCount("received") == 1);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}
