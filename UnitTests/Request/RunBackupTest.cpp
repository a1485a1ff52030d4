/// \file
/// Runs that can't be repeated and go on with their backup when their server
/// crashes.

#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

constexpr std::size_t Servers = 8;
/// Half of the servers: if more fail, those that fail get requests again.
constexpr std::size_t Crashes = 4;
/// A prompt that takes a good part of a second to read.
const std::string LongPrompt =
    "X-Prompt-Tokens: 100000\r\nX-Answer-Tokens: 2\r\n";

using Answer = std::function<Script(const std::string &CallId)>;

Script crash(const std::string &) { return {"", Script::Then::Crash}; }

Script crashAfterTwo(const std::string &CallId) {
  return {streamHead(CallId) + eventChunk(1, "a") + eventChunk(2, "b"),
          Script::Then::Crash};
}

Script holdAfterTwo(const std::string &CallId) {
  return {streamHead(CallId) + eventChunk(1, "a") + eventChunk(2, "b"),
          Script::Then::Hold};
}

Script endAfterThird(const std::string &CallId) {
  return {streamHead(CallId) + eventChunk(3, "c") + LastChunk};
}

Script refuse(const std::string &CallId) { return {refusal(CallId)}; }

/// A path on which most servers have crashed. The call "run" gets \p First at
/// the first server and \p Next at one that it goes on at.
class CrashingFleet {
public:
  CrashingFleet(Answer First, Answer Next, bool NonIdempotent = true)
      : First_(std::move(First)), Next_(std::move(Next)),
        Path_(options(NonIdempotent),
              std::vector<ScriptOf>(
                  Servers, [this](const std::string &Request, std::size_t) {
                    return answer(Request);
                  })) {
    // A call that can be repeated ends a second server too.
    std::size_t Calls = NonIdempotent ? Crashes : Crashes / 2;
    for (std::size_t Number = 0; Number < Calls; ++Number) {
      std::string Name = fmt::format("crash-{}", Number);
      Path_.call(Name, Name);
    }
    // Teaches the keeper the speed of each server that is left.
    std::vector<std::shared_ptr<CallerReply>> Calm;
    for (std::size_t Number = 0; Number < 2 * Servers; ++Number)
      Calm.push_back(Path_.begin(fmt::format("calm-{}", Number), "calm",
                                 "X-Answer-Tokens: 2\r\n"));
    REQUIRE(Path_.runUntil([&] {
      return std::ranges::all_of(
          Calm, [](const auto &Reply) { return Reply->Ended_; });
    }));
  }

  ForwardingHarness &path() { return Path_; }
  CallerReply run() { return Path_.call("run", "run", LongPrompt); }
  const std::vector<std::string> &first() const { return FirstSends_; }
  const std::vector<std::string> &next() const { return NextSends_; }

private:
  static ForwardingHarness::Options options(bool NonIdempotent) {
    ForwardingHarness::Options Wanted;
    Wanted.Kind_ =
        NonIdempotent ? RequestKind::Stream : RequestKind::Idempotent;
    Wanted.NonIdempotent_ = NonIdempotent;
    Wanted.MaxInFlight_ = 1;
    Wanted.RunMemory_.Backups_ = true;
    return Wanted;
  }

  Script answer(const std::string &Request) {
    std::string CallId = fieldIn(Request, "x-call-id");
    if (CallId.starts_with("crash"))
      return crash(CallId);
    if (CallId.starts_with("calm"))
      return {streamHead(CallId) + eventChunk(1, "a") + eventChunk(2, "b") +
              LastChunk};
    bool Continues = !fieldIn(Request, "x-memory-from").empty();
    (Continues ? NextSends_ : FirstSends_).push_back(Request);
    return Continues ? Next_(CallId) : First_(CallId);
  }

  Answer First_;
  Answer Next_;
  std::vector<std::string> FirstSends_;
  std::vector<std::string> NextSends_;
  ForwardingHarness Path_;
};

std::size_t countOf(const std::string &Text, const std::string &Part) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

} // namespace

TEST_CASE("a stream goes on at the server that has the backup of its run") {
  // Guards against events that are lost or sent twice when a server crashes.
  CrashingFleet Fleet(crashAfterTwo, endAfterThird);
  CallerReply Reply = Fleet.run();
  REQUIRE(Fleet.first().size() == 1);
  REQUIRE(Fleet.next().size() == 1);
  std::string Target = fieldIn(Fleet.first().front(), "x-memory-backup");
  REQUIRE_FALSE(Target.empty());
  CHECK(fieldIn(Fleet.next().front(), "x-memory-from") == Target + "/run");
  CHECK(fieldIn(Fleet.next().front(), "last-event-id") == "2");
  CHECK(Reply.hasLastChunk());
  CHECK(countOf(Reply.Bytes_, "HTTP/1.1 ") == 1);
  for (int Id = 1; Id <= 3; ++Id)
    CHECK(countOf(Reply.Bytes_, fmt::format("id: {}\n", Id)) == 1);
}

TEST_CASE("a run that is lost before its first event goes on with its backup") {
  // Guards against an error for a caller that has got nothing yet.
  CrashingFleet Fleet(crash, endAfterThird);
  CallerReply Reply = Fleet.run();
  REQUIRE(Fleet.next().size() == 1);
  CHECK(fieldIn(Fleet.next().front(), "last-event-id").empty());
  CHECK(Reply.status() == 200);
  CHECK(Reply.hasLastChunk());
}

TEST_CASE("a run whose backup is lost too is neither sent anew nor not run") {
  // Guards against a request that runs twice, or is called not run.
  for (const Answer &Next : {Answer(refuse), Answer(crash)}) {
    CrashingFleet Cut(crashAfterTwo, Next);
    CallerReply Partial = Cut.run();
    CHECK(Cut.first().size() == 1);
    CHECK(Cut.next().size() == 1);
    CHECK(Partial.status() == 200);
    CHECK(Partial.Ended_);
    CHECK_FALSE(Partial.hasLastChunk());
    CrashingFleet Unheard(crash, Next);
    CallerReply Unknown = Unheard.run();
    CHECK(Unheard.first().size() == 1);
    CHECK(Unheard.next().size() == 1);
    for (int NotRun : {200, 408, 421, 429, 503})
      CHECK(Unknown.status() != NotRun);
  }
}

TEST_CASE("a run whose caller has left doesn't go on with its backup") {
  // Guards against runs for nobody.
  CrashingFleet Fleet(holdAfterTwo, endAfterThird);
  auto Reply = Fleet.path().begin("run", "run", LongPrompt);
  REQUIRE(Fleet.path().runUntil(
      [&] { return Reply->Bytes_.find("id: 2") != std::string::npos; }));
  ForwardingHarness::disconnect(*Reply);
  CHECK(Fleet.path()
            .call("calm-later", "calm", "X-Answer-Tokens: 2\r\n")
            .status() == 200);
  CHECK(Fleet.next().empty());
}

TEST_CASE("requests that can be repeated have no backup") {
  // Guards against links that are full of backups that nobody needs.
  CrashingFleet Fleet(endAfterThird, endAfterThird, false);
  Fleet.run();
  REQUIRE(Fleet.first().size() == 1);
  CHECK(fieldIn(Fleet.first().front(), "x-memory-backup").empty());
}
