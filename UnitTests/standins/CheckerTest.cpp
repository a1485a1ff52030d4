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

TEST_CASE("a second dispatch and a second run are found") {
  CHECK(found({answered("a")}, {line("received", "a"), line("received", "a"),
                                line("ran", "a")}) == 1);
  CHECK(found({answered("a")}, {line("received", "a"), line("ran", "a"),
                                line("ran", "a")}) == 1);
  CHECK(found({answered("a"), answered("b")},
              {line("received", "a", "k"), line("ran", "a", "k"),
               line("received", "b", "k"), line("ran", "b", "k")}) == 1);
}
