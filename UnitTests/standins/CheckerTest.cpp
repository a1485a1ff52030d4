/// \file
/// The checker itself: each kind of violation is found.

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

std::size_t found(std::vector<CallRecord> Calls, std::vector<LedgerLine> Ledger,
                  bool Killed = false) {
  return check(Calls, Ledger, {.DaemonsKilled_ = Killed}).size();
}

} // namespace

TEST_CASE("a clean run has no violations") {
  CHECK(found({answered("a"), notRun("b")},
              {line("received", "a"), line("ran", "a")}) == 0);
  CHECK(found({notRun("a")}, {line("received", "a"), line("refused", "a")}) ==
        0);
}

TEST_CASE("lost, doubled, crossed, truncated and untrue answers are found") {
  const std::vector<LedgerLine> Ran = {line("received", "a"), line("ran", "a")};
  CallRecord Lost = answered("a");
  Lost.Outcome_ = "cut";
  CHECK(found({Lost}, Ran) == 1);
  CHECK(found({Lost}, Ran, true) == 0);
  CallRecord Crossed = answered("a");
  Crossed.Correct_ = false;
  CHECK(found({Crossed}, Ran) == 1);
  CallRecord Truncated = answered("a");
  Truncated.Complete_ = false;
  CHECK(found({Truncated}, Ran) == 1);
  CallRecord Nameless = answered("a");
  Nameless.Outcome_ = "";
  CHECK(found({Nameless}, Ran) == 1);
  CHECK(found({answered("a")}, {}) == 1);
  CHECK(found({notRun("a")}, Ran) == 2);
  CHECK(found({notRun("a")}, {line("received", "a")}) == 1);
  CallRecord Rude = notRun("a");
  Rude.HasRetryAfter_ = false;
  CHECK(found({Rude}, {}) == 1);
}

TEST_CASE("a caller's own repeat after a truthful refusal is no second "
          "dispatch") {
  // Symptom: "dispatched twice" of a key whose caller was told not-run and came
  // back. Sequence: an engine refuses the first request; the repeat, a request
  // of its own with the same nonce and key, runs. Cause: receipts were counted
  // by nonce, whatever became of them.
  auto Line = [](const std::string &Event, const std::string &Request) {
    return LedgerLine{Event, "engine", Request, "a", "k"};
  };
  CallRecord Refused = notRun("a");
  Refused.IdempotencyKey_ = "k";
  CallRecord Repeated = answered("a");
  Repeated.IdempotencyKey_ = "k";
  CHECK(
      found({Refused, Repeated}, {Line("received", "r1"), Line("refused", "r1"),
                                  Line("received", "r2"), Line("ran", "r2"),
                                  Line("finished", "r2")}) == 0);
  // One request that comes twice is, also when it was refused.
  CHECK(found({Repeated}, {Line("received", "r1"), Line("refused", "r1"),
                           Line("received", "r1"), Line("ran", "r1")}) == 1);
  // So are two requests of one key that were not refused, run or not.
  CHECK(found({Repeated}, {Line("received", "r1"), Line("received", "r2"),
                           Line("ran", "r2")}) == 1);
}

TEST_CASE("a second dispatch and a second run are found") {
  CHECK(found({answered("a")}, {line("received", "a"), line("received", "a"),
                                line("ran", "a")}) == 1);
  CHECK(found({answered("a")}, {line("received", "a"), line("ran", "a"),
                                line("ran", "a")}) == 1);
  CHECK(found({answered("a"), answered("b")},
              {line("received", "a", "k"), line("ran", "a", "k"),
               line("received", "b", "k"), line("ran", "b", "k")}) == 1);
}
