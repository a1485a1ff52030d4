/// \file
/// A forwarded request against servers that answer wrongly, late, twice, too
/// early or not at all.

#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

/// Answers every request whole, with its own id.
Script answerAll(const std::string &Request, std::size_t) {
  return {wholeAnswer(fieldIn(Request, "x-call-id"), "answer")};
}

ScriptOf always(Script Fixed) {
  return [Fixed](const std::string &, std::size_t) { return Fixed; };
}

ForwardingHarness::Options kind(RequestKind Kind) {
  ForwardingHarness::Options Wanted;
  Wanted.Kind_ = Kind;
  return Wanted;
}

ForwardingHarness::Options stream(bool Resumable) {
  auto Wanted = kind(RequestKind::Stream);
  Wanted.Resumable_ = Resumable;
  return Wanted;
}

/// The first server that a request reached, when either may be chosen.
ScriptOf firstThen(std::shared_ptr<int> Count, Script First, ScriptOf Later) {
  return [=](const std::string &Request, std::size_t Number) {
    return (*Count)++ == 0 ? First : Later(Request, Number);
  };
}

} // namespace

TEST_CASE("request and answer go through unchanged, but for one connection's "
          "fields and the key") {
  ForwardingHarness Path(kind(RequestKind::NonIdempotent), {answerAll});
  auto Saw = Path.call("c1", "the body",
                       "X-Other: kept\r\nConnection: keep-alive, X-Hop\r\n"
                       "X-Hop: 1\r\nX-Customer: forged\r\n");
  CHECK(Saw.status() == 200);
  CHECK(Saw.body() == "answer");
  CHECK(fieldIn(Saw.Bytes_, "x-answer-proof") == "p");
  const std::string &Sent = Path.server(0).requests().at(0);
  CHECK(Sent.starts_with("POST /p HTTP/1.1\r\n"));
  CHECK(Sent.ends_with("\r\n\r\nthe body"));
  CHECK(fieldIn(Sent, "x-other") == "kept");
  CHECK(fieldIn(Sent, "x-hop").empty());
  CHECK(fieldIn(Sent, "authorization").empty());
  CHECK(fieldIn(Sent, "x-customer").empty());
  CHECK(fieldIn(Sent, "x-expect-server") == "server-0");
  CHECK(std::stoi(fieldIn(Sent, "x-request-timeout-ms")) <= 3000);
}

TEST_CASE("an extra answer never reaches the next request") {
  // Symptom: a caller gets the answer to another request.
  // Sequence: a server sends a second answer after a whole one; the connection
  // is kept; the next request finds that answer waiting.
  // Cause: the connection was reused with bytes in it.
  std::string Doubled = wholeAnswer("c1", "one") + wholeAnswer("c1", "one");
  ForwardingHarness Path(kind(RequestKind::Idempotent),
                         {[&](const std::string &Request, std::size_t Number) {
                           return Number == 0 ? Script{Doubled}
                                              : answerAll(Request, Number);
                         }});
  CHECK(Path.call("c1").body() == "one");
  CHECK(Path.call("c2").body() == "answer");
  CHECK(Path.server(0).connections() == 2);
}

TEST_CASE("an answer with another request's id is no answer, and is not asked "
          "for again where that may run twice") {
  ForwardingHarness Path(kind(RequestKind::NonIdempotent),
                         {always({wholeAnswer("other", "x")})});
  CHECK(Path.call("c1").status() == 502);
  CHECK(Path.received() == 1);
}

TEST_CASE("a success without the server's proof is no success") {
  std::string Unproved = "HTTP/1.1 200 OK\r\nX-Call-Id: c1\r\n"
                         "Content-Length: 1\r\n\r\nx";
  ForwardingHarness Path(kind(RequestKind::NonIdempotent),
                         {always({Unproved})});
  CHECK(Path.call("c1").status() == 502);
}

TEST_CASE("a truncated answer never looks whole") {
  // Symptom: a caller takes a part of an answer for the whole.
  // Sequence: a server closes before its body's length is reached.
  // Cause: the end of the connection was taken for the end of the body.
  Script Cut{wholeAnswer("c1", "long enough"), Script::Then::Close};
  Cut.Bytes_.resize(Cut.Bytes_.size() - 3);
  SUBCASE("a request that may run twice is sent to another server") {
    auto Count = std::make_shared<int>(0);
    auto Each = firstThen(Count, Cut, answerAll);
    ForwardingHarness Path(kind(RequestKind::Idempotent), {Each, Each});
    CHECK(Path.call("c1").body() == "answer");
    CHECK(Path.server(0).requests().size() == 1);
    CHECK(Path.server(1).requests().size() == 1);
  }
  SUBCASE("any other is told that it may have run") {
    ForwardingHarness Path(kind(RequestKind::NonIdempotent),
                           {always(Cut), always(Cut)});
    CHECK(Path.call("c1").status() == 502);
    CHECK(Path.received() == 1);
  }
}

TEST_CASE("a body without a length is whole when its connection closes, not "
          "when it is reset") {
  std::string Unframed = "HTTP/1.1 200 OK\r\nX-Call-Id: c1\r\n"
                         "X-Answer-Proof: p\r\n\r\nthe whole";
  SUBCASE("closed") {
    ForwardingHarness Path(kind(RequestKind::NonIdempotent),
                           {always({Unframed, Script::Then::Close})});
    auto Saw = Path.call("c1");
    CHECK(Saw.status() == 200);
    CHECK(Saw.body() == "the whole");
  }
  SUBCASE("reset") {
    ForwardingHarness Path(kind(RequestKind::NonIdempotent),
                           {always({Unframed, Script::Then::Reset})});
    CHECK(Path.call("c1").status() == 502);
  }
}

TEST_CASE("an answer that comes before the body is read is passed on, and the "
          "connection not used again") {
  // Symptom: a server takes a request's bytes for the rest of another's body.
  // Sequence: it answers early and keeps the connection; the body stays unsent;
  // the next request follows on the same connection.
  // Cause: a whole answer was taken as the end of the exchange.
  const std::string Long(8 * 1024 * 1024 - 1, 'b');
  constexpr std::size_t Early = 1000;
  ForwardingHarness Path(
      kind(RequestKind::NonIdempotent),
      {[&](const std::string &Request, std::size_t Number) {
        if (Number > 0)
          return answerAll(Request, Number);
        Script Before{wholeAnswer("c1", "no", 413), Script::Then::Hold};
        Before.AnswerAfterBytes_ = Early;
        return Before;
      }});
  CHECK(Path.call("c1", Long).status() == 413);
  CHECK(Path.call("c2").body() == "answer");
  CHECK(Path.server(0).connections() == 2);
}

TEST_CASE("a refusal that says not run is sent elsewhere, also where requests "
          "must not run twice") {
  ForwardingHarness Path(kind(RequestKind::NonIdempotent),
                         {[](const std::string &Request, std::size_t) {
                            return Script{
                                refusal(fieldIn(Request, "x-call-id"))};
                          },
                          answerAll});
  for (int Index = 0; Index < 6; ++Index) {
    std::string Id = "c" + std::to_string(Index);
    CHECK(Path.call(Id).status() == 200);
  }
}

TEST_CASE("when every server refuses, the caller is told when to come back") {
  auto Refuse = [](const std::string &Request, std::size_t) {
    return Script{refusal(fieldIn(Request, "x-call-id"))};
  };
  ForwardingHarness Path(kind(RequestKind::NonIdempotent), {Refuse});
  auto Saw = Path.call("c1");
  CHECK(Saw.status() == 503);
  CHECK_FALSE(fieldIn(Saw.Bytes_, "retry-after").empty());
  CHECK(fieldIn(Saw.Bytes_, "x-call-id") == "c1");
}

TEST_CASE("a server's failure is repeated where it may be, and passed on with "
          "its proof where it stays") {
  auto Fail = [](const std::string &Request, std::size_t) {
    return Script{wholeAnswer(fieldIn(Request, "x-call-id"), "failed", 500)};
  };
  SUBCASE("repeated") {
    auto Count = std::make_shared<int>(0);
    Script First{wholeAnswer("c1", "failed", 500)};
    auto Each = firstThen(Count, First, answerAll);
    ForwardingHarness Path(kind(RequestKind::Idempotent), {Each, Each});
    CHECK(Path.call("c1").status() == 200);
  }
  SUBCASE("both fail") {
    ForwardingHarness Path(kind(RequestKind::Idempotent), {Fail, Fail});
    auto Saw = Path.call("c1");
    CHECK(Saw.status() == 500);
    CHECK(fieldIn(Saw.Bytes_, "x-answer-proof") == "p");
    CHECK(Path.received() == 2);
  }
  SUBCASE("not to be repeated") {
    ForwardingHarness Path(kind(RequestKind::NonIdempotent), {Fail, Fail});
    CHECK(Path.call("c1").status() == 500);
    CHECK(Path.received() == 1);
  }
}

TEST_CASE("a server's 503 that does not say not run becomes no promise") {
  // Symptom: a request that ran is answered 503, and its caller sends it again.
  // Sequence: a server fails after it began to run the request.
  // Cause: its status was passed on; ours with that number promises not run.
  ForwardingHarness Path(kind(RequestKind::NonIdempotent),
                         {always({wholeAnswer("c1", "overloaded", 503)})});
  auto Saw = Path.call("c1");
  CHECK(Saw.status() == 502);
  CHECK(fieldIn(Saw.Bytes_, "x-answer-proof").empty());
}

TEST_CASE("a connection that is reset after the request left is not tried "
          "again where that may run twice") {
  Script Reset{"", Script::Then::Reset};
  ForwardingHarness Path(kind(RequestKind::NonIdempotent),
                         {always(Reset), always(Reset)});
  CHECK(Path.call("c1").status() == 502);
  CHECK(Path.received() == 1);
}

TEST_CASE("a stream's events are passed on as they come, up to its end") {
  std::string Whole =
      streamHead("c1") + eventChunk(1, "a") + eventChunk(2, "b") + LastChunk;
  ForwardingHarness Path(stream(false), {always({Whole})});
  auto Saw = Path.call("c1");
  CHECK(Saw.status() == 200);
  CHECK(Saw.hasLastChunk());
  CHECK(Saw.Bytes_.find("data: a") < Saw.Bytes_.find("data: b"));
}

TEST_CASE("a resumable stream that breaks within an event goes on after its "
          "last whole one") {
  // Symptom: a piece of a stream is missing, or comes twice.
  // Sequence: a server breaks off in the middle of an event; another goes on.
  // Cause: the half event was passed on, or the wrong event named as the last.
  Script Broken{streamHead("c1") + eventChunk(1, "a") + chunk("id: 2\nda"),
                Script::Then::Close};
  auto Count = std::make_shared<int>(0);
  auto Each =
      firstThen(Count, Broken, [](const std::string &Request, std::size_t) {
        std::string After = fieldIn(Request, "last-event-id");
        std::string First = After == "1" ? "" : eventChunk(1, "again");
        return Script{streamHead("c1") + First + eventChunk(2, "b") +
                      LastChunk};
      });
  ForwardingHarness Path(stream(true), {Each, Each});
  auto Saw = Path.call("c1");
  CHECK(Saw.hasLastChunk());
  CHECK(Saw.Bytes_.find("data: a") != std::string::npos);
  CHECK(Saw.Bytes_.find("data: b") != std::string::npos);
  CHECK(Saw.Bytes_.find("again") == std::string::npos);
  CHECK(Saw.Bytes_.find("id: 2\nda\r\n") == std::string::npos);
  CHECK(Path.received() == 2);
}

TEST_CASE("a stream that can't go on ends without its last chunk") {
  Script Broken{streamHead("c1") + eventChunk(1, "a"), Script::Then::Close};
  ForwardingHarness Path(stream(false), {always(Broken), always(Broken)});
  auto Saw = Path.call("c1");
  CHECK(Saw.Ended_);
  CHECK_FALSE(Saw.hasLastChunk());
  CHECK(Path.received() == 1);
}

TEST_CASE("a stream that breaks before its first event is a failure with a "
          "status") {
  Script Broken{streamHead("c1"), Script::Then::Close};
  ForwardingHarness Path(stream(false), {always(Broken)});
  CHECK(Path.call("c1").status() == 502);
}

TEST_CASE("a caller that leaves its stream ends the server's work") {
  // Symptom: engines work for callers that are gone.
  // Sequence: a caller closes its connection in the middle of a stream.
  // Cause: nobody looks at the caller's side while the server's is read.
  Script Endless{streamHead("c1") + eventChunk(1, "a"), Script::Then::Hold};
  ForwardingHarness Path(stream(false), {always(Endless)});
  auto Saw = Path.begin("c1");
  REQUIRE(Path.runUntil(
      [&] { return Saw->Bytes_.find("data: a") != std::string::npos; }));
  ForwardingHarness::leave(*Saw);
  CHECK(Path.runUntil([&] { return Path.server(0).closed() == 1; }));
}

TEST_CASE("a caller that leaves while it waits is never dispatched") {
  auto Wanted = kind(RequestKind::NonIdempotent);
  Wanted.MaxInFlight_ = 1;
  ForwardingHarness Path(Wanted, {always({"", Script::Then::Hold})});
  auto First = Path.begin("c1");
  REQUIRE(Path.runUntil([&] { return Path.received() == 1; }));
  auto Second = Path.begin("c2");
  REQUIRE(Path.runUntil([&] { return Path.waiting() == 1; }));
  ForwardingHarness::leave(*Second);
  CHECK(Path.runUntil([&] { return Path.waiting() == 0; }));
  CHECK(Path.received() == 1);
}

TEST_CASE(
    "a caller that left while the process was held up is not dispatched") {
  // Requests reached engines 0.6 s after their callers had left, at a daemon
  // that had just taken in a configuration with many routes: its thread serves
  // nobody meanwhile, over 200 ms for 4,200 routes on an eighth of a core. A
  // caller gives up and a connection to an engine is made in such a pause, so
  // both events are due in one turn; where the connection's comes first, the
  // whole request is at the engine before the caller's leaving is looked at.
  BareListener Server;
  ForwardingHarness Path(kind(RequestKind::Idempotent), {});
  Path.publishAt(Server.address());
  auto Saw = Path.begin("c1");
  // The connection stands; the request's coroutine has not been told yet.
  REQUIRE(Path.runUntil([&] { return Server.connected(); }));
  ForwardingHarness::leave(*Saw);
  CHECK(Path.runUntil([&] { return Server.closed(); }));
  CHECK(Server.received() == "");
}

TEST_CASE("a key that is taken away while its request waits does not run") {
  // Symptom: a request runs seconds after its key was taken away.
  // Sequence: a request waits for a place; a configuration takes its key away;
  // a place gets free.
  // Cause: keys were looked at on arrival only.
  auto Wanted = kind(RequestKind::Idempotent);
  Wanted.MaxInFlight_ = 1;
  Wanted.Keyed_ = true;
  ForwardingHarness Path(Wanted, {always({"", Script::Then::Hold})});
  auto First = Path.begin("c1");
  REQUIRE(Path.runUntil([&] { return Path.received() == 1; }));
  auto Second = Path.begin("c2");
  REQUIRE(Path.runUntil([&] { return Path.waiting() == 1; }));
  Path.adopt({"another key"});
  ForwardingHarness::leave(*First);
  CHECK(Path.runUntil([&] { return Second->Ended_; }));
  CHECK(Second->status() == 401);
  CHECK(Path.received() == 1);
}

TEST_CASE("with a configuration that may be out of date keys are neither "
          "honoured nor denied") {
  auto Wanted = kind(RequestKind::NonIdempotent);
  Wanted.Keyed_ = true;
  Wanted.Lease_ = std::chrono::milliseconds(1);
  ForwardingHarness Path(Wanted, {answerAll});
  auto Start = BootClock::now();
  REQUIRE(Path.runUntil(
      [&] { return BootClock::now() > Start + std::chrono::milliseconds(5); }));
  auto Saw = Path.call("c1");
  CHECK(Saw.status() == 503);
  CHECK(fieldIn(Saw.Bytes_, "x-result-code") == "213");
  CHECK(Path.received() == 0);
}

TEST_CASE("a server that begins to leave gets nothing that waits for it") {
  // Symptom: a request reaches a server seconds after it began to leave.
  // Sequence: a request waits for a place there; the directory says leaving.
  // Cause: the grant went by what was known when the request came.
  auto Wanted = kind(RequestKind::NonIdempotent);
  Wanted.MaxInFlight_ = 1;
  ForwardingHarness Path(Wanted, {always({"", Script::Then::Hold})});
  auto First = Path.begin("c1");
  REQUIRE(Path.runUntil([&] { return Path.received() == 1; }));
  auto Second = Path.begin("c2");
  REQUIRE(Path.runUntil([&] { return Path.waiting() == 1; }));
  Path.publish({0});
  CHECK(Path.runUntil([&] { return Second->Ended_; }));
  CHECK(Second->status() == 503);
  CHECK(Path.received() == 1);
}

TEST_CASE("a request has its final answer soon after its route's timeout") {
  // Symptom: callers wait far beyond the time that the operator set.
  // Sequence: a server takes a request and says nothing; the caller would wait
  // for a minute.
  // Cause: only the caller's own limit counted.
  using std::chrono::steady_clock;
  auto Hanging = always({"", Script::Then::Hold});
  for (auto Kind : {RequestKind::Idempotent, RequestKind::NonIdempotent,
                    RequestKind::Stream}) {
    auto Wanted = kind(Kind);
    Wanted.Timeout_ = std::chrono::milliseconds(300);
    ForwardingHarness Path(Wanted, {Hanging, Hanging});
    auto Begin = steady_clock::now();
    auto Saw = Path.call("c1", "x", "X-Request-Timeout-Ms: 60000\r\n");
    CHECK(Saw.status() == 504);
    CHECK(steady_clock::now() - Begin < std::chrono::milliseconds(800));
    // The server is told no more time than is left of the route's.
    const std::string &Sent = Path.server(0).requests().empty()
                                  ? Path.server(1).requests().at(0)
                                  : Path.server(0).requests().at(0);
    CHECK(std::stoi(fieldIn(Sent, "x-request-timeout-ms")) <= 300);
  }
}
