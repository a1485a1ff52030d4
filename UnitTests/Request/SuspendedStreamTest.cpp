/// \file
/// Streams whose run is stopped at its server, and goes on there later.

#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

constexpr std::size_t Npos = std::string::npos;
const std::string StoppedAnswer = R"({"handle":"h1","events":2})";

ForwardingHarness::Options moving() {
  ForwardingHarness::Options Wanted;
  Wanted.Kind_ = RequestKind::Stream;
  Wanted.MovesRuns_ = true;
  return Wanted;
}

bool isOrder(const std::string &Request) {
  return Request.starts_with("POST /v1/runs/");
}
bool isRelease(const std::string &Request) {
  return Request.starts_with("DELETE /v1/memory/h1 ");
}
bool goesOn(const std::string &Request) {
  return !fieldIn(Request, "x-memory-from").empty();
}
bool isCall(const std::string &Request) {
  return Request.starts_with("POST /p ");
}
bool isNew(const std::string &Request) {
  return isCall(Request) && !goesOn(Request);
}

std::size_t countAt(ForwardingHarness &Path, std::size_t Server,
                    bool (*Matches)(const std::string &)) {
  return static_cast<std::size_t>(
      std::ranges::count_if(Path.server(Server).requests(), Matches));
}
std::size_t countAll(ForwardingHarness &Path,
                     bool (*Matches)(const std::string &)) {
  return countAt(Path, 0, Matches) + countAt(Path, 1, Matches);
}

/// A server that begins each stream with two events, and answers the order to
/// stop and the request to go on as scripted.
ScriptOf engine(Script Order, Script Continuation) {
  return [Order, Continuation](const std::string &Request, std::size_t) {
    if (isOrder(Request))
      return Order;
    if (goesOn(Request))
      return Continuation;
    if (!isCall(Request))
      return Script{completeAnswer({}, {})};
    std::string Begin = streamHead(fieldIn(Request, "x-call-id")) +
                        eventChunk(1, "a") + eventChunk(2, "b");
    return Script{Begin, Script::Then::Hold};
  };
}

Script stopped() {
  return {completeAnswer({}, StoppedAnswer), Script::Then::CloseOthers};
}
Script rest() { return {streamHead("c") + eventChunk(3, "c") + LastChunk}; }

/// A stream of which the caller has two events.
struct Begun {
  std::shared_ptr<CallerReply> Reply_;
  std::size_t Source_ = 0;
  std::size_t Other_ = 1;
};

Begun beginStream(ForwardingHarness &Path) {
  Begun Stream;
  Stream.Reply_ = Path.begin("c");
  REQUIRE(Path.runUntil(
      [&] { return Stream.Reply_->Bytes_.find("data: b") != Npos; }));
  Stream.Source_ = countAt(Path, 0, isCall) > 0 ? 0 : 1;
  Stream.Other_ = 1 - Stream.Source_;
  return Stream;
}

/// Suspends a stream and runs until its caller's answer has ended.
Begun suspendOne(ForwardingHarness &Path) {
  Begun Stream = beginStream(Path);
  Path.suspend(1, Stream.Other_);
  CHECK(Path.runUntil([&] { return Stream.Reply_->Ended_; }));
  return Stream;
}

void checkWhole(const CallerReply &Reply) {
  CHECK(Reply.hasLastChunk());
  std::string Bytes = Reply.Bytes_;
  CHECK(Bytes.find("HTTP/1.1", 1) == Npos);
  std::size_t First = Bytes.find("id: 1\ndata: a");
  std::size_t Second = Bytes.find("id: 2\ndata: b");
  std::size_t Third = Bytes.find("id: 3\ndata: c");
  REQUIRE(Third != Npos);
  CHECK(First < Second);
  CHECK(Second < Third);
  CHECK(Bytes.find("data: ", Third + sizeof("id: 3\ndata: ")) == Npos);
}

} // namespace

TEST_CASE("a suspended stream goes on at its server after its last event") {
  // Guards against callers that get a second head, or events twice or not.
  ScriptOf Engine = engine(stopped(), rest());
  ForwardingHarness Path(moving(), {Engine, Engine});
  Begun Stream = suspendOne(Path);
  checkWhole(*Stream.Reply_);
  CHECK(countAt(Path, Stream.Other_, isCall) == 0);
  CHECK(countAll(Path, isNew) == 1);
  const auto &Requests = Path.server(Stream.Source_).requests();
  auto Continued = std::ranges::find_if(Requests, goesOn);
  REQUIRE(Continued != Requests.end());
  CHECK(fieldIn(*Continued, "x-memory-from").ends_with("/h1"));
  CHECK(fieldIn(*Continued, "last-event-id") == "2");
  // The copy is freed, the memory that the run went on with is not.
  CHECK(Path.runUntil(
      [&] { return countAt(Path, Stream.Other_, isRelease) == 1; }));
  CHECK(countAt(Path, Stream.Source_, isRelease) == 0);
}

TEST_CASE("a stream goes on when its server does not stop it") {
  // Guards against a refused order that ends or repeats the stream.
  for (int Status : {503, 404, 409}) {
    Script Refused{completeAnswer({}, "{}", Status)};
    Refused.ToOthers_ = eventChunk(3, "c") + LastChunk;
    ScriptOf Engine = engine(Refused, rest());
    ForwardingHarness Path(moving(), {Engine, Engine});
    Begun Stream = suspendOne(Path);
    checkWhole(*Stream.Reply_);
    CHECK(countAll(Path, isOrder) == 1);
    CHECK(countAll(Path, isCall) == 1);
    CHECK(countAll(Path, isRelease) == 0);
  }
}

TEST_CASE("a stream whose server refuses to go on is broken off") {
  // Guards against a second run of a request that has run already.
  ScriptOf Engine = engine(stopped(), {refusal("c")});
  ForwardingHarness Path(moving(), {Engine, Engine});
  Begun Stream = suspendOne(Path);
  CHECK(!Stream.Reply_->hasLastChunk());
  CHECK(countAll(Path, isNew) == 1);
  CHECK(countAll(Path, goesOn) == 1);
  CHECK(Path.runUntil(
      [&] { return countAt(Path, Stream.Source_, isRelease) == 1; }));
}

TEST_CASE("a stream that is cut without a handle is broken off") {
  // Guards against a second run when the answer to the order can't be read.
  Script Garbage{completeAnswer({}, "no json"), Script::Then::CloseOthers};
  ScriptOf Engine = engine(Garbage, rest());
  ForwardingHarness Path(moving(), {Engine, Engine});
  Begun Stream = suspendOne(Path);
  CHECK(!Stream.Reply_->hasLastChunk());
  CHECK(countAll(Path, isCall) == 1);
}

TEST_CASE("a suspended stream whose server crashes is broken off") {
  // Guards against a second run at another server.
  Script Crash{completeAnswer({}, StoppedAnswer), Script::Then::End};
  ScriptOf Engine = engine(Crash, rest());
  ForwardingHarness Path(moving(), {Engine, Engine});
  Begun Stream = suspendOne(Path);
  CHECK(!Stream.Reply_->hasLastChunk());
  CHECK(countAll(Path, isCall) == 1);
}

TEST_CASE("the memory of a suspended stream is freed when its caller leaves") {
  // Guards against servers that keep the memory of runs that nobody waits for.
  ForwardingHarness::Options Wanted = moving();
  Wanted.MaxInFlight_ = 1;
  ScriptOf Engine = engine(stopped(), rest());
  ForwardingHarness Path(Wanted, {Engine, Engine});
  Begun Stream = beginStream(Path);
  auto Second = Path.begin("d");
  REQUIRE(Path.runUntil([&] { return countAll(Path, isCall) == 2; }));
  auto Third = Path.begin("e");
  REQUIRE(Path.runUntil([&] { return Path.waiting() == 1; }));
  Path.suspend(1, Stream.Other_);
  // The third call takes the slot, and the suspended stream waits.
  REQUIRE(Path.runUntil(
      [&] { return countAll(Path, isCall) == 3 && Path.waiting() == 1; }));
  CHECK(countAll(Path, goesOn) == 0);
  ForwardingHarness::disconnect(*Stream.Reply_);
  CHECK(Path.runUntil([&] {
    return countAt(Path, Stream.Source_, isRelease) == 1 && Path.waiting() == 0;
  }));
  CHECK(countAll(Path, goesOn) == 0);
}

TEST_CASE("no stream is stopped by a draining daemon, or without the policy") {
  // Guards against streams that are stopped although they can't go on.
  for (bool Moves : {true, false}) {
    ForwardingHarness::Options Wanted = moving();
    Wanted.MovesRuns_ = Moves;
    ScriptOf Engine = engine(stopped(), rest());
    ForwardingHarness Path(Wanted, {Engine, Engine});
    Begun Stream = beginStream(Path);
    Path.setDraining(Moves);
    Path.suspend(1, Stream.Other_);
    // What the wish leads to is done before another call is answered.
    auto Next = Path.begin("d");
    CHECK(Path.runUntil(
        [&] { return Next->Ended_ || Next->Bytes_.find("data: b") != Npos; }));
    CHECK(countAll(Path, isOrder) == 0);
  }
}
