/// \file
/// Forwarded requests to servers that answer wrongly, late, twice, too early or
/// not at all.

#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

/// Answers every request completely and with its own id.
Script answerAll(const std::string &Request, std::size_t) {
  return {completeAnswer(fieldIn(Request, "x-call-id"), "answer")};
}

ScriptOf always(Script Fixed) {
  return [Fixed](const std::string &, std::size_t) { return Fixed; };
}

ForwardingHarness::Options stream(bool Resumable) {
  auto Wanted = optionsOf(RequestKind::Stream);
  Wanted.Resumable_ = Resumable;
  return Wanted;
}

/// Uses \p First for the first request at any of the servers that share
/// \p Count, and \p Later for all others: any server may be chosen first.
ScriptOf firstThen(std::shared_ptr<int> Count, Script First, ScriptOf Later) {
  return [=](const std::string &Request, std::size_t Number) {
    return (*Count)++ == 0 ? First : Later(Request, Number);
  };
}

} // namespace

TEST_CASE("request and answer are forwarded unchanged, except for hop-by-hop "
          "fields and the key") {
  ForwardingHarness Path(optionsOf(RequestKind::NonIdempotent), {answerAll});
  auto Reply = Path.call("c1", "the body",
                         "X-Other: kept\r\nConnection: keep-alive, X-Hop\r\n"
                         "X-Hop: 1\r\nX-Customer: forged\r\n");
  CHECK(Reply.status() == 200);
  CHECK(Reply.body() == "answer");
  CHECK(fieldIn(Reply.Bytes_, "x-answer-proof") == "p");
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
  // Guards against a caller that gets the answer to another request: a server
  // sends two answers to one request, the connection is reused although it has
  // unread bytes, and the next request reads the extra answer.
  std::string TwoAnswers =
      completeAnswer("c1", "one") + completeAnswer("c1", "one");
  ForwardingHarness Path(optionsOf(RequestKind::Idempotent),
                         {[&](const std::string &Request, std::size_t Number) {
                           return Number == 0 ? Script{TwoAnswers}
                                              : answerAll(Request, Number);
                         }});
  CHECK(Path.call("c1").body() == "one");
  CHECK(Path.call("c2").body() == "answer");
  CHECK(Path.server(0).connections() == 2);
}

TEST_CASE("an answer with another request's id is a failure, and a "
          "non-idempotent request is not retried") {
  ForwardingHarness Path(optionsOf(RequestKind::NonIdempotent),
                         {always({completeAnswer("other", "x")})});
  CHECK(Path.call("c1").status() == 502);
  CHECK(Path.received() == 1);
}

TEST_CASE("a success without the server's proof is a failure") {
  std::string WithoutProof = "HTTP/1.1 200 OK\r\nX-Call-Id: c1\r\n"
                             "Content-Length: 1\r\n\r\nx";
  ForwardingHarness Path(optionsOf(RequestKind::NonIdempotent),
                         {always({WithoutProof})});
  CHECK(Path.call("c1").status() == 502);
}

TEST_CASE("a truncated answer never looks complete") {
  // Guards against a caller that takes the start of an answer for the complete
  // answer: a server closes before the end of the body, and the end of the
  // connection is taken for the end of the body.
  Script Truncated{completeAnswer("c1", "long enough"), Script::Then::Close};
  Truncated.Bytes_.resize(Truncated.Bytes_.size() - 3);
  SUBCASE("a request that may run twice is retried at another server") {
    auto Count = std::make_shared<int>(0);
    auto Each = firstThen(Count, Truncated, answerAll);
    ForwardingHarness Path(optionsOf(RequestKind::Idempotent), {Each, Each});
    CHECK(Path.call("c1").body() == "answer");
    CHECK(Path.server(0).requests().size() == 1);
    CHECK(Path.server(1).requests().size() == 1);
  }
  SUBCASE("any other request fails as one that may have run") {
    ForwardingHarness Path(optionsOf(RequestKind::NonIdempotent),
                           {always(Truncated), always(Truncated)});
    CHECK(Path.call("c1").status() == 502);
    CHECK(Path.received() == 1);
  }
}

TEST_CASE("a body without a length is complete when its connection closes, "
          "not when it is reset") {
  std::string Unframed = "HTTP/1.1 200 OK\r\nX-Call-Id: c1\r\n"
                         "X-Answer-Proof: p\r\n\r\nthe whole";
  SUBCASE("closed") {
    ForwardingHarness Path(optionsOf(RequestKind::NonIdempotent),
                           {always({Unframed, Script::Then::Close})});
    auto Reply = Path.call("c1");
    CHECK(Reply.status() == 200);
    CHECK(Reply.body() == "the whole");
  }
  SUBCASE("reset") {
    ForwardingHarness Path(optionsOf(RequestKind::NonIdempotent),
                           {always({Unframed, Script::Then::Reset})});
    CHECK(Path.call("c1").status() == 502);
  }
}

TEST_CASE("an answer that comes before the body is read is forwarded, and the "
          "connection is not reused") {
  // Guards against a server that takes a request's bytes for the rest of
  // another request's body. It answers early and keeps the connection open
  // while the body is not fully sent. If the complete answer were taken for the
  // end of the exchange, the next request would follow on the same connection.
  const std::string Long(8 * 1024 * 1024 - 1, 'b');
  constexpr std::size_t Early = 1000;
  ForwardingHarness Path(
      optionsOf(RequestKind::NonIdempotent),
      {[&](const std::string &Request, std::size_t Number) {
        if (Number > 0)
          return answerAll(Request, Number);
        Script Before{completeAnswer("c1", "no", 413), Script::Then::Hold};
        Before.AnswerAfterBytes_ = Early;
        return Before;
      }});
  CHECK(Path.call("c1", Long).status() == 413);
  CHECK(Path.call("c2").body() == "answer");
  CHECK(Path.server(0).connections() == 2);
}

TEST_CASE("a request that a server refused without running it is sent "
          "elsewhere, even if non-idempotent") {
  ForwardingHarness Path(optionsOf(RequestKind::NonIdempotent),
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

TEST_CASE("when every server refuses, the caller gets Retry-After") {
  auto Refuse = [](const std::string &Request, std::size_t) {
    return Script{refusal(fieldIn(Request, "x-call-id"))};
  };
  ForwardingHarness Path(optionsOf(RequestKind::NonIdempotent), {Refuse});
  auto Reply = Path.call("c1");
  CHECK(Reply.status() == 503);
  CHECK_FALSE(fieldIn(Reply.Bytes_, "retry-after").empty());
  CHECK(fieldIn(Reply.Bytes_, "x-call-id") == "c1");
}

TEST_CASE("a server's failure is retried where allowed, and the last one is "
          "forwarded with its proof") {
  auto Fail = [](const std::string &Request, std::size_t) {
    return Script{completeAnswer(fieldIn(Request, "x-call-id"), "failed", 500)};
  };
  SUBCASE("retried") {
    auto Count = std::make_shared<int>(0);
    Script First{completeAnswer("c1", "failed", 500)};
    auto Each = firstThen(Count, First, answerAll);
    ForwardingHarness Path(optionsOf(RequestKind::Idempotent), {Each, Each});
    CHECK(Path.call("c1").status() == 200);
  }
  SUBCASE("both fail") {
    ForwardingHarness Path(optionsOf(RequestKind::Idempotent), {Fail, Fail});
    auto Reply = Path.call("c1");
    CHECK(Reply.status() == 500);
    CHECK(fieldIn(Reply.Bytes_, "x-answer-proof") == "p");
    CHECK(Path.received() == 2);
  }
  SUBCASE("must not be retried") {
    ForwardingHarness Path(optionsOf(RequestKind::NonIdempotent), {Fail, Fail});
    CHECK(Path.call("c1").status() == 500);
    CHECK(Path.received() == 1);
  }
}

TEST_CASE("a server's 503 without a statement that it did not run is not "
          "forwarded") {
  // Guards against a retry of a request that ran. A server fails with 503 after
  // it started to run the request; forwarded to the caller, this status would
  // promise that the request was not run.
  ForwardingHarness Path(optionsOf(RequestKind::NonIdempotent),
                         {always({completeAnswer("c1", "overloaded", 503)})});
  auto Reply = Path.call("c1");
  CHECK(Reply.status() == 502);
  CHECK(fieldIn(Reply.Bytes_, "x-answer-proof").empty());
}

TEST_CASE("a non-idempotent request is not retried after its connection was "
          "reset") {
  Script Reset{"", Script::Then::Reset};
  ForwardingHarness Path(optionsOf(RequestKind::NonIdempotent),
                         {always(Reset), always(Reset)});
  CHECK(Path.call("c1").status() == 502);
  CHECK(Path.received() == 1);
}

TEST_CASE("a stream's events are forwarded in order, up to its end") {
  std::string Whole =
      streamHead("c1") + eventChunk(1, "a") + eventChunk(2, "b") + LastChunk;
  ForwardingHarness Path(stream(false), {always({Whole})});
  auto Reply = Path.call("c1");
  CHECK(Reply.status() == 200);
  CHECK(Reply.hasLastChunk());
  CHECK(Reply.Bytes_.find("data: a") < Reply.Bytes_.find("data: b"));
}

TEST_CASE("a resumable stream that breaks within an event continues after its "
          "last complete event") {
  // Guards against missing or duplicate data in a stream. A server breaks off
  // in the middle of an event and another one continues; the fault would be to
  // forward the incomplete event, or to send the wrong id as the last event's.
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
  auto Reply = Path.call("c1");
  CHECK(Reply.hasLastChunk());
  CHECK(Reply.Bytes_.find("data: a") != std::string::npos);
  CHECK(Reply.Bytes_.find("data: b") != std::string::npos);
  CHECK(Reply.Bytes_.find("again") == std::string::npos);
  CHECK(Reply.Bytes_.find("id: 2\nda\r\n") == std::string::npos);
  CHECK(Path.received() == 2);
}

TEST_CASE("a stream that can't be continued ends without its last chunk") {
  Script Broken{streamHead("c1") + eventChunk(1, "a"), Script::Then::Close};
  ForwardingHarness Path(stream(false), {always(Broken), always(Broken)});
  auto Reply = Path.call("c1");
  CHECK(Reply.Ended_);
  CHECK_FALSE(Reply.hasLastChunk());
  CHECK(Path.received() == 1);
}

TEST_CASE("a stream that breaks before its first event fails with an error "
          "status") {
  Script Broken{streamHead("c1"), Script::Then::Close};
  ForwardingHarness Path(stream(false), {always(Broken)});
  CHECK(Path.call("c1").status() == 502);
}

TEST_CASE("a caller that disconnects from its stream ends the server's work") {
  // Guards against engines that work for callers that have disconnected. A
  // caller closes its connection in the middle of a stream, which goes
  // unnoticed if only the server's connection is watched.
  Script Endless{streamHead("c1") + eventChunk(1, "a"), Script::Then::Hold};
  ForwardingHarness Path(stream(false), {always(Endless)});
  auto Reply = Path.begin("c1");
  REQUIRE(Path.runUntil(
      [&] { return Reply->Bytes_.find("data: a") != std::string::npos; }));
  ForwardingHarness::disconnect(*Reply);
  CHECK(Path.runUntil([&] { return Path.server(0).closed() == 1; }));
}

TEST_CASE(
    "a request whose caller disconnects while it waits is not dispatched") {
  auto Wanted = optionsOf(RequestKind::NonIdempotent);
  Wanted.MaxInFlight_ = 1;
  ForwardingHarness Path(Wanted, {always({"", Script::Then::Hold})});
  auto First = Path.begin("c1");
  REQUIRE(Path.runUntil([&] { return Path.received() == 1; }));
  auto Second = Path.begin("c2");
  REQUIRE(Path.runUntil([&] { return Path.waiting() == 1; }));
  ForwardingHarness::disconnect(*Second);
  CHECK(Path.runUntil([&] { return Path.waiting() == 0; }));
  CHECK(Path.received() == 1);
}

TEST_CASE("a request whose caller left during a pause of the process is not "
          "dispatched") {
  // Guards against requests that reach an engine after their callers have left,
  // seen with a delay of 0.6 s. A daemon's thread pauses while it applies a
  // configuration with many routes, for over 200 ms with 4,200 routes on 1/8 of
  // a core. If the caller disconnects and the connection to the engine is
  // established during the pause, both events are handled in one event-loop
  // iteration. If the connection's event comes first, the whole request would
  // be sent to the engine before the disconnect is noticed.
  BareListener Server;
  ForwardingHarness Path(optionsOf(RequestKind::Idempotent), {});
  Path.publishAt(Server.address());
  auto Reply = Path.begin("c1");
  // The connection is established, but the request's coroutine hasn't been
  // resumed yet.
  REQUIRE(Path.runUntil([&] { return Server.connected(); }));
  ForwardingHarness::disconnect(*Reply);
  CHECK(Path.runUntil([&] { return Server.closed(); }));
  CHECK(Server.received() == "");
}

TEST_CASE("a request whose key is revoked while it waits does not run") {
  // Guards against a request that runs seconds after its key was revoked. A
  // configuration revokes the key while the request waits for a slot; if keys
  // were checked on arrival only, the request would run when a slot becomes
  // free.
  auto Wanted = optionsOf(RequestKind::Idempotent);
  Wanted.MaxInFlight_ = 1;
  Wanted.RequiresKey_ = true;
  ForwardingHarness Path(Wanted, {always({"", Script::Then::Hold})});
  auto First = Path.begin("c1");
  REQUIRE(Path.runUntil([&] { return Path.received() == 1; }));
  auto Second = Path.begin("c2");
  REQUIRE(Path.runUntil([&] { return Path.waiting() == 1; }));
  Path.adopt({"another key"});
  ForwardingHarness::disconnect(*First);
  CHECK(Path.runUntil([&] { return Second->Ended_; }));
  CHECK(Second->status() == 401);
  CHECK(Path.received() == 1);
}

TEST_CASE("with a configuration that may be out of date, keys are neither "
          "accepted nor rejected") {
  auto Wanted = optionsOf(RequestKind::NonIdempotent);
  Wanted.RequiresKey_ = true;
  Wanted.Lease_ = std::chrono::milliseconds(1);
  ForwardingHarness Path(Wanted, {answerAll});
  auto Start = BootClock::now();
  REQUIRE(Path.runUntil(
      [&] { return BootClock::now() > Start + std::chrono::milliseconds(5); }));
  auto Reply = Path.call("c1");
  CHECK(Reply.status() == 503);
  CHECK(fieldIn(Reply.Bytes_, "x-result-code") == "213");
  CHECK(Path.received() == 0);
}

TEST_CASE("a server that starts to leave gets no requests that wait for it") {
  // Guards against a request that reaches a server seconds after it started to
  // leave. The directory marks the server as leaving while the request waits
  // for a slot there; the grant must not use the state from the request's
  // arrival.
  auto Wanted = optionsOf(RequestKind::NonIdempotent);
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

TEST_CASE("a request gets its final answer soon after its route's timeout") {
  // Guards against callers that wait far longer than the operator's limit. A
  // server accepts a request and never answers, while the caller states a
  // timeout of a minute; the shorter timeout of the route must apply.
  using std::chrono::steady_clock;
  auto Hanging = always({"", Script::Then::Hold});
  for (auto Kind : {RequestKind::Idempotent, RequestKind::NonIdempotent,
                    RequestKind::Stream}) {
    auto Wanted = optionsOf(Kind);
    Wanted.Timeout_ = std::chrono::milliseconds(300);
    ForwardingHarness Path(Wanted, {Hanging, Hanging});
    auto Begin = steady_clock::now();
    auto Reply = Path.call("c1", "x", "X-Request-Timeout-Ms: 60000\r\n");
    CHECK(Reply.status() == 504);
    CHECK(steady_clock::now() - Begin < std::chrono::milliseconds(800));
    // The timeout sent to the server is at most the remaining time of the
    // route's timeout.
    const std::string &Sent = Path.server(0).requests().empty()
                                  ? Path.server(1).requests().at(0)
                                  : Path.server(0).requests().at(0);
    CHECK(std::stoi(fieldIn(Sent, "x-request-timeout-ms")) <= 300);
  }
}

TEST_CASE("a request that fails by an exception gets an answer") {
  // Guards against a caller that gets neither an answer nor a refusal.
  ForwardingHarness Path(ForwardingHarness::Options(),
                         {[](const std::string &, std::size_t) {
                           return Script{completeAnswer("c1", "whole")};
                         }});
  Path.onConnect([] { throw std::runtime_error("the hook's own"); });
  auto Before = Path.call("c1");
  CHECK(Before.Ended_);
  CHECK(Before.status() == 500);
  CHECK(Path.received() == 0);
}

TEST_CASE("a stream without end ends at its deadline") {
  // Guards against a request that never ends, as its server sends all the time.
  constexpr std::size_t ManyBytes = 64 * 1024 * 1024;
  const std::string Event = eventChunk(1, "one of many");
  std::string Events;
  while (Events.size() < ManyBytes)
    Events += Event;
  auto Wanted = stream(false);
  Wanted.Timeout_ = std::chrono::milliseconds(100);
  ForwardingHarness Path(
      Wanted, {always({streamHead("c1") + Events, Script::Then::Hold})});
  auto Started = std::chrono::steady_clock::now();
  auto Reply = Path.call("c1");
  auto Took = std::chrono::steady_clock::now() - Started;
  CHECK(Reply.Ended_);
  CHECK_FALSE(Reply.hasLastChunk());
  CHECK(Reply.Bytes_.size() < Events.size());
  CHECK(Took < std::chrono::seconds(2));
}

TEST_CASE(
    "a server that is silent for a second or so goes on with its stream") {
  // Guards against sound runs that are left, and done twice.
  constexpr std::chrono::milliseconds Silence{1250};
  const std::string First = streamHead("c1") + eventChunk(1, "a");
  const std::string Rest = eventChunk(2, "b") + LastChunk;
  for (bool Resumable : {false, true})
    for (bool InTheMiddle : {false, true}) {
      CAPTURE(Resumable);
      CAPTURE(InTheMiddle);
      Script Silent{InTheMiddle ? First : std::string()};
      Silent.Silence_ = Silence;
      Silent.AfterSilence_ = InTheMiddle ? Rest : First + Rest;
      ForwardingHarness Path(stream(Resumable),
                             {always(Silent), always(Silent)});
      auto Reply = Path.call("c1");
      CHECK(Reply.hasLastChunk());
      CHECK(Path.received() == 1);
    }
}

TEST_CASE("a server that is gone for good is left before the caller gives up") {
  // Guards against resumable streams that wait for a dead server.
  Script Dead{streamHead("c1") + eventChunk(1, "a"), Script::Then::Hold};
  Script Whole{streamHead("c1") + eventChunk(2, "b") + LastChunk};
  ForwardingHarness Path(
      stream(true),
      {[=](const std::string &Request, std::size_t) {
         return fieldIn(Request, "last-event-id").empty() ? Dead : Whole;
       },
       [=](const std::string &Request, std::size_t) {
         return fieldIn(Request, "last-event-id").empty() ? Dead : Whole;
       }});
  auto Started = std::chrono::steady_clock::now();
  CHECK(Path.call("c1").hasLastChunk());
  CHECK(std::chrono::steady_clock::now() - Started < std::chrono::seconds(2));
  CHECK(Path.received() == 2);
}

TEST_CASE("streams without a repeat stay at their silent server") {
  // Guards against streams of a sound server that are all broken off for a
  // silence, as the budget lets only one of them go on elsewhere.
  constexpr int Streams = 3;
  auto Answer = [](const std::string &Request, std::size_t) {
    std::string Head = streamHead(fieldIn(Request, "x-call-id"));
    std::string Rest = eventChunk(2, "b") + LastChunk;
    if (!fieldIn(Request, "last-event-id").empty())
      return Script{Head + Rest};
    Script Silent{Head + eventChunk(1, "a")};
    Silent.Silence_ = std::chrono::milliseconds(1900);
    Silent.AfterSilence_ = Rest;
    return Silent;
  };
  auto Wanted = stream(true);
  // Seven tenths of it, and something for the requests, are there at once.
  Wanted.Retries_.Allowance_ = 2;
  ForwardingHarness Path(Wanted, {Answer, Answer});
  std::vector<std::shared_ptr<CallerReply>> Replies;
  for (int Number = 0; Number < Streams; ++Number)
    Replies.push_back(Path.begin("c" + std::to_string(Number)));
  CHECK(Path.runUntil(
      [&] { return std::ranges::all_of(Replies, &CallerReply::Ended_); }));
  for (const auto &Reply : Replies)
    CHECK(Reply->hasLastChunk());
  CHECK(Path.received() == Streams + 1);
}

TEST_CASE("a large body is decided by its head as other requests are") {
  // Guards against callers that are denied by the head what they would get, or
  // get what they would be denied.
  const std::string Long(200000, 'b');
  auto Wanted = optionsOf(RequestKind::NonIdempotent);
  Wanted.RequiresKey_ = true;
  ForwardingHarness Path(Wanted, {answerAll});
  CHECK(Path.call("c1", Long).status() == 200);
  Path.adopt({"another"});
  CHECK(Path.call("c2", Long).status() == 401);
  CHECK(Path.call("c3").status() == 401);
  Path.lease().newerKnown(BootClock::now());
  CHECK(Path.call("c4", Long).status() == 503);
  CHECK(Path.call("c5").status() == 503);
  CHECK(Path.received() == 1);
}

TEST_CASE("a stream that can't go on elsewhere stays at its silent server") {
  // Guards against answers of sound servers that are ended for a silence: their
  // events have no ids, so that no other server can go on with them.
  const std::string First = streamHead("c1") + chunk("data: a\n\n");
  Script Silent{First};
  Silent.Silence_ = std::chrono::milliseconds(1800);
  Silent.AfterSilence_ = chunk("data: b\n\n") + LastChunk;
  ForwardingHarness Path(stream(true), {always(Silent), always(Silent)});
  auto Reply = Path.call("c1");
  CHECK(Reply.hasLastChunk());
  CHECK(Path.received() == 1);
}
