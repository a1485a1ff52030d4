/// \file
/// Guarantees: a non-idempotent request runs at most once, and a request that
/// is reported as not run did not run.

#include "FailureTests/Cluster.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

using namespace samphireshunt::tests;
using std::chrono::milliseconds;

namespace {

std::size_t runCount(const Cluster &Fleet, const std::string &Key) {
  auto Ledger = Fleet.ledger();
  return static_cast<std::size_t>(
      std::ranges::count_if(Ledger, [&](const auto &Line) {
        return Line.Event_ == "ran" && Line.IdempotencyKey_ == Key;
      }));
}

/// Retries \p Key until the answer of the first attempt is stored. The caller
/// gets that answer before the platform has stored it: a retry within a
/// millisecond may still find the claim of a running attempt, and must then be
/// answered with "unknown". \returns the first record with another result.
CallRecord retryUntilStored(Cluster &Fleet, std::size_t Vm,
                            const std::string &Key) {
  CallRecord Retry;
  eventually([&] {
    Retry = Fleet.run(Fleet.note(Vm, Key));
    bool Running =
        Retry.Code_ ==
        static_cast<int>(samphireshunt::ResultCode::FirstAttemptRunning);
    if (Running)
      CHECK(Retry.Outcome_ == "unknown");
    return !Running;
  });
  return Retry;
}

} // namespace

TEST_CASE("one key at all daemons at once runs once") {
  // A caller without an answer retries through another daemon. If each daemon
  // knew only the attempts that it received itself, the request would run
  // twice, for example to issue two checks.
  ClusterOptions Options;
  Options.ServiceMs_ = 50;
  Cluster Fleet(Options);
  for (int Round = 0; Round < 5; ++Round) {
    std::string Key = fmt::format("same-{}", Round);
    std::vector<std::future<CallRecord>> Calls;
    for (int Index = 0; Index < 6; ++Index)
      Calls.push_back(Fleet.start(Fleet.note(1 + Index % 3, Key)));
    auto Records = finish(Calls);
    CHECK(countOutcome(Records, "answered") >= 1);
    CHECK(countOutcome(Records, "answered") +
              countOutcome(Records, "unknown") ==
          6);
    CHECK(runCount(Fleet, Key) == 1);
    CallRecord Retry = retryUntilStored(Fleet, 1 + Round % 3, Key);
    CHECK(Retry.Correct_);
    CHECK(Retry.Replay_);
    CHECK(runCount(Fleet, Key) == 1);
  }
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("a retry after the first entry's death is answered with unknown") {
  // The ingress daemon dies while the engine runs the request. The caller,
  // whose connection broke, retries through another daemon. If the first
  // attempt were known only to the dead daemon, the request would run twice.
  ClusterOptions Options;
  Options.ServiceMs_ = 500;
  Cluster Fleet(Options);
  auto First = Fleet.start(Fleet.note(1, "orphan"));
  REQUIRE(eventually([&] { return runCount(Fleet, "orphan") == 1; }));
  Fleet.process("vm-1").kill();
  CHECK(First.get().Outcome_ == "cut");
  CallRecord Retry = Fleet.run(Fleet.note(2, "orphan"));
  CHECK(Retry.Outcome_ == "unknown");
  // Until the death of the daemon is detected, the first attempt counts as
  // running and may still be answered.
  CHECK((Retry.Code_ == 401 || Retry.Code_ == 402));
  CHECK(eventually(
      [&] { return Fleet.run(Fleet.note(3, "orphan")).Code_ == 402; }));
  CHECK(runCount(Fleet, "orphan") == 1);
  auto Violations = Fleet.violations({.DaemonsKilled_ = true});
  CHECK_MESSAGE(Violations.empty(), joined(Violations));
}

TEST_CASE("a claim whose answer was lost is read back and used") {
  // The write of the claim takes effect but its answer is lost. If the daemon
  // then took its own stored claim for that of another attempt, the request
  // would never run.
  Cluster Fleet;
  Fleet.faults("platform", {{"loseWriteAnswers", 1}});
  CallRecord Record = Fleet.run(Fleet.note(1, "lost"));
  CHECK(Record.Correct_);
  CHECK(runCount(Fleet, "lost") == 1);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("without the platform a non-idempotent request is not run") {
  // The key-value service is down when a request is sent, and the request is
  // retried later. If a daemon dispatched without a claim, it would run twice.
  Cluster Fleet;
  Fleet.faults("platform", {{"outage", true}});
  CallRecord During = Fleet.run(Fleet.note(1, "outage"));
  CHECK(During.Outcome_ == "not-run");
  CHECK(During.HasRetryAfter_);
  CHECK(Fleet.run(Fleet.reading(1)).Correct_);
  CHECK(runCount(Fleet, "outage") == 0);
  Fleet.faults("platform", Json::object());
  CHECK(Fleet.run(Fleet.note(2, "outage")).Correct_);
  CHECK(runCount(Fleet, "outage") == 1);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("a claim abandoned after its write took effect is released") {
  // The write of the claim takes effect, its answer is lost and the service
  // does not answer reads either, so the daemon gives up the request as not
  // run. If the claim stayed valid although nobody will ever run the request
  // under it, every retry would be answered that the first attempt may still
  // run.
  Cluster Fleet;
  Fleet.faults("platform", {{"slowMs", 150}});
  auto First = Fleet.start(Fleet.note(1, "given-up"));
  // At this time the lookup before the grant has finished and the write of the
  // claim is in progress.
  std::this_thread::sleep_for(milliseconds(220));
  Fleet.faults("platform", {{"silent", true}});
  CallRecord Record = First.get();
  Fleet.faults("platform", Json::object());
  if (Record.Outcome_ == "not-run")
    CHECK(eventually([&] {
      return Fleet.run(Fleet.note(2, "given-up")).Outcome_ == "answered";
    }));
  CHECK(runCount(Fleet, "given-up") == 1);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("a daemon paused around its claim does not run the request again") {
  // A daemon is paused around its claim, the caller retries through another
  // daemon, and then the first daemon resumes. If the claim could expire
  // without its holder noticing, the request would run a second time, maybe
  // minutes later.
  Cluster Fleet;
  for (int Round = 0; Round < 4; ++Round) {
    std::string Key = fmt::format("paused-{}", Round);
    Fleet.faults("platform", {{"slowMs", 60}});
    auto First = Fleet.start(Fleet.note(1, Key));
    std::this_thread::sleep_for(milliseconds(40 + 40 * Round));
    Fleet.process("vm-1").freeze();
    Fleet.faults("platform", Json::object());
    CallRecord Retry = Fleet.run(Fleet.note(2, Key));
    CHECK((Retry.Outcome_ == "answered" || Retry.Outcome_ == "unknown"));
    Fleet.process("vm-1").resume();
    First.get();
    CHECK(runCount(Fleet, Key) == 1);
  }
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("a key that comes again with another body is refused") {
  // An application uses one idempotency key for two different requests. If only
  // the key were compared, the second would get the answer of the first.
  Cluster Fleet;
  CHECK(Fleet.run(Fleet.note(1, "reused")).Correct_);
  CallRequest Other = Fleet.note(2, "reused");
  Other.Nonce_ = "another-note";
  CallRecord Record = Fleet.run(std::move(Other));
  CHECK(Record.Outcome_ == "not-run");
  CHECK(Record.Code_ == 109);
  CallRequest Keyless = Fleet.note(1, "");
  CHECK(Fleet.run(std::move(Keyless)).Code_ == 108);
}

TEST_CASE("only a declared refusal before running is reported as not run") {
  // An engine answers 503. Unless the engine is declared to refuse only before
  // running, the status may come from the middle of a run. A wrong report makes
  // the caller retry what ran or not retry what did not run.
  for (bool Declared : {true, false}) {
    ClusterOptions Options;
    Options.RefusesBeforeRunning_ = Declared;
    Cluster Fleet(Options);
    for (const char *Name : {"model-1", "model-2"})
      Fleet.faults(Name, {{"refuse", 1}});
    CallRecord Record = Fleet.run(Fleet.chat(1));
    CHECK(Record.Outcome_ == (Declared ? "not-run" : "unknown"));
    CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
  }
}

TEST_CASE("deadlines that fall on grants never make a not-run request run") {
  // The deadlines of many requests pass just as engines become free. If both
  // the grant and the deadline took effect, a request would run at an engine
  // although its caller gets "not run".
  ClusterOptions Options;
  Options.MaxInFlight_ = 1;
  Options.StepMs_ = 1;
  Cluster Fleet(Options);
  std::vector<std::future<CallRecord>> Calls;
  for (int Index = 0; Index < 240; ++Index) {
    CallRequest Request = Fleet.chat(1 + Index % 3);
    Request.MaxTokens_ = 4;
    Request.Timeout_ = milliseconds(20 + Index);
    Calls.push_back(Fleet.start(std::move(Request)));
  }
  auto Records = finish(Calls);
  CHECK(countOutcome(Records, "answered") > 0);
  CHECK(countOutcome(Records, "not-run") > 0);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}
