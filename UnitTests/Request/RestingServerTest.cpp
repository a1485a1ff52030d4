/// \file
/// Servers that reject requests and ask for a rest.

#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Requests that may be on their way when a server asks for a rest.
constexpr std::size_t MaxOnTheWay = 2;

Script answer(const std::string &Request, std::size_t) {
  return {completeAnswer(fieldIn(Request, "x-call-id"), "answer")};
}

/// Rejects all requests and asks for \p Seconds of rest.
ScriptOf restFor(std::string Seconds) {
  return [Seconds](const std::string &Request, std::size_t) {
    Script Answer{refusal(fieldIn(Request, "x-call-id"))};
    std::size_t LineEnd = Answer.Bytes_.find("\r\n");
    Answer.Bytes_.insert(LineEnd, "\r\nRetry-After: " + Seconds);
    return Answer;
  };
}

ForwardingHarness::Options idempotent() {
  ForwardingHarness::Options Wanted;
  Wanted.Kind_ = RequestKind::Idempotent;
  return Wanted;
}

} // namespace

TEST_CASE("a server that asks for a rest gets it") {
  // Guards against a server that looks idle because it rejects requests, and is
  // given all the more.
  ForwardingHarness Path(idempotent(), {restFor("3"), answer, answer});
  for (std::size_t Number = 0; Number < 60; ++Number)
    CHECK(Path.call("c" + std::to_string(Number)).status() == 200);
  CHECK(Path.server(0).requests().size() <= 1 + MaxOnTheWay);
}

TEST_CASE("a server is used again after its rest") {
  // Guards against a rest without end.
  ForwardingHarness Path(idempotent(), {restFor("0.2"), answer});
  CHECK(Path.call("c").status() == 200);
  auto End = steady_clock::now() + milliseconds(300);
  Path.runUntil([&] { return steady_clock::now() >= End; });
  std::size_t Before = Path.server(0).requests().size();
  for (std::size_t Number = 0; Number < 5; ++Number)
    Path.call("d" + std::to_string(Number));
  CHECK(Path.server(0).requests().size() > Before);
}

TEST_CASE("while all servers rest, callers are told at once") {
  // Guards against callers that are held for servers that must not be used.
  ForwardingHarness Path(idempotent(), {restFor("3"), restFor("3")});
  Path.call("c");
  auto Begin = steady_clock::now();
  CallerReply Reply = Path.call("d");
  CHECK(Reply.status() == 503);
  CHECK(steady_clock::now() - Begin < milliseconds(200));
  CHECK(Path.received() <= 2 * (1 + MaxOnTheWay));
}

TEST_CASE("a server that leaves while it rests is not used after the rest") {
  // Guards against a rest that hides that the server leaves.
  ForwardingHarness Path(idempotent(), {answer, answer});
  Path.say(0, RestNotice{milliseconds(50)});
  Path.say(0, LeavingNotice());
  auto End = steady_clock::now() + milliseconds(100);
  Path.runUntil([&] { return steady_clock::now() >= End; });
  CHECK(Path.call("c").status() == 200);
  CHECK(Path.server(0).requests().empty());
}
