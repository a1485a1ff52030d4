/// \file
/// Tests that the checker finds each kind of violation, and none in a correct
/// run.

#include "Checker.h"

#include <doctest/doctest.h>

using namespace samphireshunt::standins;

namespace {

CallRecord answered(const std::string &Nonce) {
  CallRecord Record;
  Record.Nonce_ = Nonce;
  Record.Outcome_ = "answered";
  Record.Code_ = 0;
  Record.Complete_ = true;
  Record.Correct_ = true;
  return Record;
}

CallRecord notRun(const std::string &Nonce) {
  CallRecord Record;
  Record.Nonce_ = Nonce;
  Record.Outcome_ = "not-run";
  Record.Code_ = 200;
  Record.HasRetryAfter_ = true;
  return Record;
}

LedgerLine line(const std::string &Event, const std::string &Nonce,
                const std::string &Key = "") {
  return {Event, "engine", "request", Nonce, Key};
}

std::size_t violationCount(std::vector<CallRecord> Calls,
                           std::vector<LedgerLine> Ledger,
                           bool Killed = false) {
  return findViolations(Calls, Ledger, {.DaemonsKilled_ = Killed}).size();
}

} // namespace

TEST_CASE("a correct run has no violations") {
  CHECK(violationCount({answered("a"), notRun("b")},
                       {line("received", "a"), line("ran", "a")}) == 0);
  CHECK(violationCount({notRun("a")},
                       {line("received", "a"), line("refused", "a")}) == 0);
}

TEST_CASE("lost, crossed, truncated and false answers are found") {
  const std::vector<LedgerLine> Ran = {line("received", "a"), line("ran", "a")};
  CallRecord Lost = answered("a");
  Lost.Outcome_ = "cut";
  CHECK(violationCount({Lost}, Ran) == 1);
  CHECK(violationCount({Lost}, Ran, true) == 0);
  CallRecord Crossed = answered("a");
  Crossed.Correct_ = false;
  CHECK(violationCount({Crossed}, Ran) == 1);
  CallRecord Truncated = answered("a");
  Truncated.Complete_ = false;
  CHECK(violationCount({Truncated}, Ran) == 1);
  CallRecord WithoutOutcome = answered("a");
  WithoutOutcome.Outcome_ = "";
  CHECK(violationCount({WithoutOutcome}, Ran) == 1);
  CHECK(violationCount({answered("a")}, {}) == 1);
  CHECK(violationCount({notRun("a")}, Ran) == 2);
  CHECK(violationCount({notRun("a")}, {line("received", "a")}) == 1);
  CallRecord WithoutRetryAfter = notRun("a");
  WithoutRetryAfter.HasRetryAfter_ = false;
  CHECK(violationCount({WithoutRetryAfter}, {}) == 1);
}

TEST_CASE("a caller's retry after a correct refusal is no second dispatch") {
  // Guards against reporting "dispatched twice" for a caller that retries after
  // the answer not-run. An engine refuses the first request, and the retry, a
  // request of its own with the same nonce and key, runs. A count of receipts
  // by nonce that ignores refusals reports a violation here.
  auto Line = [](const std::string &Event, const std::string &Request) {
    return LedgerLine{Event, "engine", Request, "a", "k"};
  };
  CallRecord Refused = notRun("a");
  Refused.IdempotencyKey_ = "k";
  CallRecord Retried = answered("a");
  Retried.IdempotencyKey_ = "k";
  CHECK(violationCount({Refused, Retried},
                       {Line("received", "r1"), Line("refused", "r1"),
                        Line("received", "r2"), Line("ran", "r2"),
                        Line("finished", "r2")}) == 0);
  // One request received twice is a second dispatch, even after a refusal.
  CHECK(violationCount({Retried},
                       {Line("received", "r1"), Line("refused", "r1"),
                        Line("received", "r1"), Line("ran", "r1")}) == 1);
  // So are two requests with one key that were not refused, whether they ran or
  // not.
  CHECK(
      violationCount({Retried}, {Line("received", "r1"), Line("received", "r2"),
                                 Line("ran", "r2")}) == 1);
}

TEST_CASE("a second dispatch and a second run are found") {
  CHECK(violationCount({answered("a")},
                       {line("received", "a"), line("received", "a"),
                        line("ran", "a")}) == 1);
  CHECK(violationCount({answered("a")}, {line("received", "a"),
                                         line("ran", "a"), line("ran", "a")}) ==
        1);
  CHECK(violationCount({answered("a"), answered("b")},
                       {line("received", "a", "k"), line("ran", "a", "k"),
                        line("received", "b", "k"), line("ran", "b", "k")}) ==
        1);
}
