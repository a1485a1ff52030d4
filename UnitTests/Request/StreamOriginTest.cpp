/// \file
/// Streams that go on after they broke off, while servers of several software
/// versions serve side by side.

#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

constexpr std::size_t Servers = 6;
/// The budget for retries allows most of them one.
constexpr int Streams = 16;

ForwardingHarness::Options versions(std::uint32_t Attempts) {
  ForwardingHarness::Options Wanted;
  Wanted.Kind_ = RequestKind::Stream;
  Wanted.Resumable_ = true;
  Wanted.Attempts_ = Attempts;
  Wanted.Versions_ = {"v1", "v2"};
  return Wanted;
}

/// Begins a stream and breaks it off after an event; a stream that is resumed
/// goes on to its end. The events tell the server's version.
ScriptOf breakOff(const std::string &Version) {
  return [Version](const std::string &Request, std::size_t) {
    Script Answer;
    Answer.Bytes_ = streamHead(fieldIn(Request, "x-call-id"));
    if (fieldIn(Request, "last-event-id").empty()) {
      Answer.Bytes_ += eventChunk(1, Version);
      Answer.Then_ = Script::Then::Reset;
    } else {
      Answer.Bytes_ += eventChunk(2, Version) + LastChunk;
    }
    return Answer;
  };
}

std::vector<ScriptOf> serversOfTwoVersions() {
  std::vector<ScriptOf> Scripts;
  for (std::size_t Index = 0; Index < Servers; ++Index)
    Scripts.push_back(breakOff(Index % 2 == 0 ? "v1" : "v2"));
  return Scripts;
}

bool has(const std::string &Body, const std::string &Version) {
  return Body.find("data: " + Version + "\n") != std::string::npos;
}

bool isMixed(const std::string &Body) {
  return has(Body, "v1") && has(Body, "v2");
}

std::string takeUp(const std::string &CallId) {
  return fmt::format("Last-Event-Id: 1\r\nX-Resumes: {}\r\n", CallId);
}

} // namespace

TEST_CASE("an answer goes on only at the version that began it") {
  // Guards against one answer with the events of two versions, which callers
  // can't make sense of.
  ForwardingHarness Path(versions(2), serversOfTwoVersions());
  int Mixed = 0;
  int Complete = 0;
  for (int Number = 0; Number < Streams; ++Number) {
    CallerReply Reply = Path.call(fmt::format("c{}", Number));
    Mixed += isMixed(Reply.body());
    Complete += Reply.hasLastChunk();
  }
  CHECK(Mixed == 0);
  CHECK(2 * Complete >= Streams);
}

TEST_CASE("a stream that its caller takes up again goes on only at the version "
          "that began it") {
  // Guards against the events of two versions over a caller's attempts.
  ForwardingHarness Path(versions(1), serversOfTwoVersions());
  int Mixed = 0;
  int Complete = 0;
  for (int Number = 0; Number < Streams; ++Number) {
    std::string First = fmt::format("c{}", Number);
    CallerReply Begun = Path.call(First);
    CallerReply Rest = Path.call(First + "-again", "x", takeUp(First));
    Mixed += isMixed(Begun.body() + Rest.body());
    Complete += Rest.hasLastChunk();
  }
  CHECK(Mixed == 0);
  CHECK(2 * Complete >= Streams);
}

TEST_CASE("a stream whose beginning nobody knows is refused where versions "
          "differ") {
  // Guards against a guess, and against a caller that waits for a stream that
  // can't go on here.
  ForwardingHarness Path(versions(1), serversOfTwoVersions());
  for (const std::string &Fields : {takeUp("nobody"), takeUp("")}) {
    CallerReply Reply = Path.call("c", "x", Fields);
    CHECK(Reply.status() == 503);
    CHECK(fieldIn(Reply.Bytes_, "x-result-code") == "216");
    CHECK(fieldIn(Reply.Bytes_, "x-outcome") == "not-run");
    CHECK_FALSE(fieldIn(Reply.Bytes_, "retry-after").empty());
  }
  CHECK(Path.received() == 0);
}

TEST_CASE("a stream whose beginning nobody knows goes on at the only version") {
  // Guards against callers that lose streams where nothing can be mixed up.
  ForwardingHarness::Options Wanted = versions(1);
  Wanted.Versions_ = {"v1"};
  ForwardingHarness Path(Wanted, {breakOff("v1"), breakOff("v1")});
  CHECK(Path.call("c", "x", takeUp("nobody")).hasLastChunk());
  CHECK(Path.call("d", "x", takeUp("")).hasLastChunk());
}

TEST_CASE("a stream that breaks off again is known by its first attempt") {
  // Guards against a second break whose origin only the first daemons knew.
  ForwardingHarness::Options Wanted = versions(1);
  Wanted.Versions_ = {"v1"};
  ForwardingHarness Path(Wanted, {breakOff("v1"), breakOff("v2")});
  REQUIRE(Path.call("second", "x", takeUp("first")).status() == 200);
  Path.publishVersions({"v1", "v2"});
  std::size_t AtFirst = Path.server(0).requests().size();
  CHECK(Path.call("third", "x", takeUp("first")).hasLastChunk());
  CHECK(Path.server(0).requests().size() == AtFirst + 1);
}

TEST_CASE("a new request that names an earlier one is a stream of its own") {
  // Guards against a stream that nobody knows any more since a request of
  // another version was recorded as its rest.
  ForwardingHarness Path(versions(1), serversOfTwoVersions());
  int Known = 0;
  for (int Number = 0; Number < Streams; ++Number) {
    std::string First = fmt::format("c{}", Number);
    Path.call(First);
    Path.call(First + "-new", "x", fmt::format("X-Resumes: {}\r\n", First));
    CallerReply Rest = Path.call(First + "-again", "x", takeUp(First));
    Known += fieldIn(Rest.Bytes_, "x-result-code") != "216";
  }
  CHECK(Known == Streams);
}

TEST_CASE("a stream goes on at its version where that is held back by now") {
  // Guards against streams of a new version that are refused, with its servers
  // idle, by a daemon that has not admitted it.
  ForwardingHarness Path(versions(1), {breakOff("v1"), breakOff("v2")});
  std::string Begun = Path.call("c").body();
  std::size_t First = has(Begun, "v1") ? 0 : 1;
  Path.hold({First});
  CallerReply New = Path.call("d");
  CHECK(has(New.body(), First == 0 ? "v2" : "v1"));
  CallerReply Rest = Path.call("e", "x", takeUp("c"));
  CHECK(Rest.hasLastChunk());
  CHECK_FALSE(isMixed(Begun + Rest.body()));
}

TEST_CASE("a server of a version that is held back here gets no new request "
          "that is granted by a keeper that has admitted it") {
  // Guards against new work at a version whose order may be on its way, from
  // all daemons, because of one keeper that has just started.
  ForwardingHarness Path(versions(1), {breakOff("v1"), breakOff("v2")});
  Path.hold({1}, /*KeeperKnows=*/false);
  int AtHeldBack = 0;
  for (int Number = 0; Number < Streams; ++Number)
    AtHeldBack += has(Path.call(fmt::format("c{}", Number)).body(), "v2");
  CHECK(AtHeldBack == 0);
}

TEST_CASE("a stream that goes on waits until its customer may use more") {
  // Guards against streams that lose an attempt to a keeper which has just
  // taken over, and counts allotments from nothing.
  ForwardingHarness::Options Wanted = versions(1);
  Wanted.Allotment_ = {/*PerSecond_=*/5, /*Burst_=*/1};
  ForwardingHarness Path(Wanted, {breakOff("v1"), breakOff("v2")});
  std::string Begun;
  std::string CallId;
  for (int Number = 0; Begun.empty() && Number < 1000; ++Number) {
    CallId = fmt::format("c{}", Number);
    CallerReply First = Path.call(CallId);
    if (First.status() == 200)
      Begun = First.body();
  }
  CallerReply Rest = Path.call("rest", "x", takeUp(CallId));
  CHECK(Rest.hasLastChunk());
  CHECK_FALSE(isMixed(Begun + Rest.body()));
}

TEST_CASE("a stream that goes on waits for a slot beyond the objective") {
  // Guards against streams that are refused after their objective (200), with
  // most of their callers' patience left.
  ForwardingHarness::Options Wanted = versions(1);
  Wanted.MaxInFlight_ = 1;
  Wanted.Versions_ = {"v1"};
  ScriptOf Serve = [](const std::string &Request, std::size_t Number) {
    Script Answer = breakOff("v1")(Request, Number);
    if (fieldIn(Request, "x-call-id") == "long") {
      Answer.Then_ = Script::Then::KeepOpen;
      Answer.Silence_ = std::chrono::milliseconds(900);
      Answer.AfterSilence_ = eventChunk(2, "v1") + LastChunk;
    }
    return Answer;
  };
  ForwardingHarness Path(Wanted, {Serve});
  Path.call("c");
  auto Long = Path.begin("long");
  REQUIRE(Path.runUntil([&] { return Path.received() == 2; }));
  CallerReply Rest = Path.call("rest", "x", takeUp("c"));
  CHECK(Rest.hasLastChunk());
  CHECK(fieldIn(Rest.Bytes_, "x-result-code") == "");
}

TEST_CASE("a stream whose version has no server left is not begun elsewhere") {
  // Guards against a caller's second attempt that falls back to what is left.
  ForwardingHarness Path(versions(1), {breakOff("v1"), breakOff("v2")});
  std::string Begun = Path.call("c").body();
  std::size_t First = has(Begun, "v1") ? 0 : 1;
  Path.publish({}, {First});
  CallerReply Rest = Path.call("d", "x", takeUp("c"));
  CHECK(Rest.status() == 503);
  CHECK(fieldIn(Rest.Bytes_, "x-result-code") == "204");
  CHECK(Path.received() == 1);
}

TEST_CASE("a stream does not go on at a version that its keeper does not know "
          "of yet") {
  // Guards against the events of two versions in one stream: a server is
  // replaced, and the keeper still grants it for the version of before.
  auto Wanted = versions(1);
  Wanted.Versions_ = std::vector<std::string>(Servers, "v1");
  Wanted.MaxInFlight_ = 3;
  ForwardingHarness Path(Wanted, serversOfTwoVersions());
  for (int Number = 0; Number < Streams; ++Number)
    Path.call(fmt::format("c{}", Number));
  auto AtReplaced = [&] {
    std::size_t Sum = 0;
    for (std::size_t Index = 1; Index < Servers; Index += 2)
      Sum += Path.server(Index).requests().size();
    return Sum;
  };
  std::size_t Begun = AtReplaced();
  Path.publishVersions({"v1", "v2"}, /*KeeperKnows=*/false);
  // At once, so that the keeper needs all servers.
  std::vector<std::shared_ptr<CallerReply>> Rest;
  for (int Number = 0; Number < Streams; ++Number)
    Rest.push_back(Path.begin(fmt::format("d{}", Number), "x",
                              takeUp(fmt::format("c{}", Number))));
  CHECK(Path.runUntil(
      [&] { return std::ranges::all_of(Rest, &CallerReply::Ended_); }));
  CHECK(AtReplaced() == Begun);
  auto Complete = std::ranges::count_if(
      Rest, [](const auto &Reply) { return Reply->hasLastChunk(); });
  CHECK(2 * Complete >= Streams);
}
