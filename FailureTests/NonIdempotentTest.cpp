/// \file
/// Promises: a non-idempotent request runs at most once; told not run, was not
/// run.

#include "FailureTests/Cluster.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

using namespace samphireshunt::tests;
using std::chrono::milliseconds;

namespace {

std::size_t runsOf(const Cluster &Fleet, const std::string &Key) {
  auto Ledger = Fleet.ledger();
  return static_cast<std::size_t>(
      std::ranges::count_if(Ledger, [&](const auto &Line) {
        return Line.Event_ == "ran" && Line.IdempotencyKey_ == Key;
      }));
}

/// Repeats \p Key until the first attempt's answer is kept. That answer does
/// not wait for the platform: a repeat within a millisecond of it may still
/// find the claim of a running attempt, and must be told just that.
CallRecord repeatUntilKept(Cluster &Fleet, std::size_t Vm,
                           const std::string &Key) {
  CallRecord Repeat;
  eventually([&] {
    Repeat = Fleet.run(Fleet.note(Vm, Key));
    bool Running =
        Repeat.Code_ ==
        static_cast<int>(samphireshunt::ResultCode::FirstAttemptRunning);
    if (Running)
      CHECK(Repeat.Outcome_ == "unknown");
    return !Running;
  });
  return Repeat;
}

} // namespace

TEST_CASE("one key at all daemons at once runs once") {
  // Symptom: two disbursement notes, two checks.
  // Sequence: a caller that got no answer yet repeats through another daemon.
  // Cause: each daemon knew only of the attempts that it saw itself.
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
    CHECK(runsOf(Fleet, Key) == 1);
    CallRecord Repeat = repeatUntilKept(Fleet, 1 + Round % 3, Key);
    CHECK(Repeat.Correct_);
    CHECK(Repeat.Replay_);
    CHECK(runsOf(Fleet, Key) == 1);
  }
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("a repeat after the first entry's death is told unknown") {
  // Symptom: a reading is billed twice.
  // Sequence: the daemon dies with the request at the engine; the caller,
  // whose connection broke, repeats through another daemon.
  // Cause: the knowledge of the first attempt died with its daemon.
  ClusterOptions Options;
  Options.ServiceMs_ = 500;
  Cluster Fleet(Options);
  auto First = Fleet.start(Fleet.note(1, "orphan"));
  REQUIRE(eventually([&] { return runsOf(Fleet, "orphan") == 1; }));
  Fleet.process("vm-1").kill();
  CHECK(First.get().Outcome_ == "cut");
  CallRecord Repeat = Fleet.run(Fleet.note(2, "orphan"));
  CHECK(Repeat.Outcome_ == "unknown");
  // Until the daemon's death is known, the first attempt may still answer.
  CHECK((Repeat.Code_ == 401 || Repeat.Code_ == 402));
  CHECK(eventually(
      [&] { return Fleet.run(Fleet.note(3, "orphan")).Code_ == 402; }));
  CHECK(runsOf(Fleet, "orphan") == 1);
  auto Violations = Fleet.violations({.DaemonsKilled_ = true});
  CHECK_MESSAGE(Violations.empty(), joined(Violations));
}

TEST_CASE("a claim whose answer was lost is read back and used") {
  // Symptom: a note is never run, although no daemon ran it before.
  // Sequence: the claim's write takes effect, its answer never returns.
  // Cause: the claim that stands was taken for another attempt's.
  Cluster Fleet;
  Fleet.faults("platform", {{"loseWriteAnswers", 1}});
  CallRecord Record = Fleet.run(Fleet.note(1, "lost"));
  CHECK(Record.Correct_);
  CHECK(runsOf(Fleet, "lost") == 1);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("without the platform a non-idempotent request is not run") {
  // Symptom: a note runs twice after an outage of the key-value service.
  // Sequence: the service is down; a note is sent, and repeated later.
  // Cause: a daemon dispatched without a claim to be quick.
  Cluster Fleet;
  Fleet.faults("platform", {{"outage", true}});
  CallRecord During = Fleet.run(Fleet.note(1, "outage"));
  CHECK(During.Outcome_ == "not-run");
  CHECK(During.HasRetryAfter_);
  CHECK(Fleet.run(Fleet.reading(1)).Correct_);
  CHECK(runsOf(Fleet, "outage") == 0);
  Fleet.faults("platform", Json::object());
  CHECK(Fleet.run(Fleet.note(2, "outage")).Correct_);
  CHECK(runsOf(Fleet, "outage") == 1);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("a claim given up after its write took effect is released") {
  // Symptom: "not run" was said, yet every repeat is told that it may run.
  // Sequence: the claim's write takes effect, its answer is lost, and the
  // service does not answer reads either; the request is given up.
  // Cause: the claim stands although nobody will ever run under it.
  Cluster Fleet;
  Fleet.faults("platform", {{"slowMs", 150}});
  auto First = Fleet.start(Fleet.note(1, "given-up"));
  // The look-up before the grant ends before, the claim's write within it.
  std::this_thread::sleep_for(milliseconds(220));
  Fleet.faults("platform", {{"silent", true}});
  CallRecord Record = First.get();
  Fleet.faults("platform", Json::object());
  if (Record.Outcome_ == "not-run")
    CHECK(eventually([&] {
      return Fleet.run(Fleet.note(2, "given-up")).Outcome_ == "answered";
    }));
  CHECK(runsOf(Fleet, "given-up") == 1);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("a claimer that is paused and wakes does not run a second time") {
  // Symptom: a note runs twice, the second time minutes later.
  // Sequence: a daemon is paused around its claim; the caller repeats
  // through another daemon; the first one wakes and goes on.
  // Cause: a claim that lapses while its holder does not know.
  Cluster Fleet;
  for (int Round = 0; Round < 4; ++Round) {
    std::string Key = fmt::format("paused-{}", Round);
    Fleet.faults("platform", {{"slowMs", 60}});
    auto First = Fleet.start(Fleet.note(1, Key));
    std::this_thread::sleep_for(milliseconds(40 + 40 * Round));
    Fleet.process("vm-1").freeze();
    Fleet.faults("platform", Json::object());
    CallRecord Repeat = Fleet.run(Fleet.note(2, Key));
    CHECK((Repeat.Outcome_ == "answered" || Repeat.Outcome_ == "unknown"));
    Fleet.process("vm-1").wake();
    First.get();
    CHECK(runsOf(Fleet, Key) == 1);
  }
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("a key that comes again with another body is refused") {
  // Symptom: a second, different note gets the first one's answer.
  // Sequence: an application uses one key for two requests.
  // Cause: the key alone was compared.
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

TEST_CASE("a refusal before running is told as not run, and only then") {
  // Symptom: a caller repeats what ran, or does not repeat what did not.
  // Sequence: an engine answers 503, declared to refuse before running or not.
  // Cause: a status was believed that may come from the middle of a run.
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
  // Symptom: told "not run", and the engine ran it.
  // Sequence: many requests whose deadlines pass just as engines become free.
  // Cause: grant and deadline both took effect.
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
