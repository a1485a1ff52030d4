/// \file
/// Callers that leave servers little time.

#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

/// Answers requests with as much time as their route allows, and not the
/// others.
Script answerPatient(const std::string &Request, std::size_t) {
  constexpr int LittleMs = 1000;
  if (std::stoi(fieldIn(Request, "x-request-timeout-ms")) < LittleMs)
    return {"", Script::Then::Hold};
  return {completeAnswer(fieldIn(Request, "x-call-id"), "answer")};
}

Script answerAll(const std::string &Request, std::size_t) {
  return {completeAnswer(fieldIn(Request, "x-call-id"), "answer")};
}

} // namespace

TEST_CASE("callers with little time take no server from others") {
  // Guards against a server that is left out as silent because callers give it
  // less time than it needs.
  ForwardingHarness::Options Wanted;
  Wanted.Kind_ = RequestKind::Idempotent;
  Wanted.Retries_.Allowance_ = 1000;
  ForwardingHarness Path(Wanted, {answerPatient, answerAll, answerAll});
  constexpr std::size_t Rounds = 12;
  for (std::size_t Number = 0; Number < Rounds; ++Number)
    CHECK(Path.call(fmt::format("hasty-{}", Number), "x",
                    "X-Request-Timeout-Ms: 60\r\n")
              .status() == 200);
  CHECK(Path.server(0).requests().size() == Rounds);
  CHECK(Path.call("patient").status() == 200);
  CHECK(Path.server(0).requests().size() == Rounds + 1);
}
