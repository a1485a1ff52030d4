/// \file
/// Servers that name the number of requests a second that they take.

#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

/// What a server that names one request a second may get in 4 s.
constexpr std::size_t MaxIn4Seconds = 11;
constexpr std::size_t Calls = 60;

Script answer(const std::string &Request, std::size_t) {
  return {completeAnswer(fieldIn(Request, "x-call-id"), "answer")};
}

/// Answers completely and names one request a second.
Script answerWithLimit(const std::string &Request, std::size_t Number) {
  Script Answer = answer(Request, Number);
  std::size_t LineEnd = Answer.Bytes_.find("\r\n");
  Answer.Bytes_.insert(LineEnd, "\r\nX-Server-Limit: 1");
  return Answer;
}

} // namespace

TEST_CASE("a server gets no more requests than the rate that it names") {
  // Guards against a server in need that is given requests as before.
  ForwardingHarness::Options Wanted;
  Wanted.Kind_ = RequestKind::Idempotent;
  ForwardingHarness Path(Wanted, {answerWithLimit, answer, answer});
  for (std::size_t Number = 0; Number < Calls; ++Number)
    CHECK(Path.call("c" + std::to_string(Number)).status() == 200);
  CHECK(Path.server(0).requests().size() <= MaxIn4Seconds);
}
