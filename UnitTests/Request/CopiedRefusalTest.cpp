/// \file
/// Servers that send an answer twice, the second time when the connection is in
/// use again.

#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <array>
#include <map>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

ForwardingHarness::Options kind(RequestKind Kind) {
  auto Wanted = optionsOf(Kind);
  Wanted.Retries_.Allowance_ = 100;
  return Wanted;
}

/// Sends \p First for the first request and what \p Next makes of its id for
/// the others.
ScriptOf firstThen(const std::string &First,
                   std::function<std::string(const std::string &)> Next) {
  return [=](const std::string &Request, std::size_t Number) -> Script {
    return {Number == 0 ? First : Next(fieldIn(Request, "x-call-id"))};
  };
}

std::string repeated(const std::string &Text, int Times) {
  std::string All;
  for (int Time = 0; Time < Times; ++Time)
    All += Text;
  return All;
}

/// Two servers with room for one request each. The one that does not hold the
/// request "busy" refuses the request "order" once, as a process that has just
/// taken its address, and sends a copy of that when it gets the request again.
struct ReplacedServer {
  explicit ReplacedServer(ForwardingHarness::Options Wanted)
      : Path_(Wanted, {script(0), script(1)}) {}

  ScriptOf script(std::size_t Index) {
    return [this, Index](const std::string &Request, std::size_t) -> Script {
      std::string Id = fieldIn(Request, "x-call-id");
      if (Id == "busy") {
        Replaced_ = 1 - Index;
        return {"", Script::Then::Hold};
      }
      if (!std::exchange(Refused_, true))
        return {misdirected(Id, "other")};
      ++Runs_;
      bool Reused = Path_.server(Replaced_).connections() == 1;
      if (Index == Replaced_ && Reused)
        return {misdirected(Id, "other")};
      Script Answered{completeAnswer(Id, "answer")};
      Answered.ToOthers_ = Index == Replaced_ ? misdirected(Id, "other") : "";
      return Answered;
    };
  }

  std::size_t Replaced_ = 0;
  bool Refused_ = false;
  std::size_t Runs_ = 0;
  ForwardingHarness Path_;
};

/// Servers that refuse requests, lose their places to new processes, and send
/// copies of their refusals: at once, a little later, or before or behind the
/// answer to a later request on the same connection. A seed chooses.
class CopyingServers {
public:
  static constexpr std::size_t Count = 3;

  CopyingServers(std::uint64_t Seed, RequestKind Kind)
      : Random_{pcg32(Seed, 0), pcg32(Seed, 1), pcg32(Seed, 2)},
        Path_(options(Kind), {script(0), script(1), script(2)}) {}

  /// Sends some requests at the same time.
  void playRound() {
    constexpr int Together = 10;
    std::vector<std::shared_ptr<CallerReply>> Replies;
    std::size_t First = Next_;
    for (int Each = 0; Each < Together; ++Each)
      Replies.push_back(Path_.begin("c" + std::to_string(Next_++)));
    REQUIRE(Path_.runUntil(
        [&] { return std::ranges::all_of(Replies, &CallerReply::Ended_); }));
    for (std::size_t Each = 0; Each < Replies.size(); ++Each)
      check("c" + std::to_string(First + Each), *Replies[Each]);
  }

  int Answered_ = 0;
  int Copies_ = 0;

private:
  static ForwardingHarness::Options options(RequestKind Kind) {
    auto Wanted = kind(Kind);
    Wanted.MaxInFlight_ = 2;
    Wanted.Retries_.Allowance_ = 1000;
    return Wanted;
  }

  void check(const std::string &Id, const CallerReply &Reply) {
    CAPTURE(Id);
    CHECK(Runs_[Id] <= 1);
    bool Promised = Reply.status() == 503 || Reply.status() == 429;
    CHECK_FALSE((Promised && Runs_[Id] > 0));
    if (Reply.status() != 200)
      return;
    ++Answered_;
    CHECK(Reply.body() == "answer to " + Id);
  }

  ScriptOf script(std::size_t Index) {
    return [this, Index](const std::string &Request, std::size_t) {
      return decide(Index, fieldIn(Request, "x-call-id"));
    };
  }

  Script decide(std::size_t Index, const std::string &Id) {
    constexpr std::uint32_t OneOfRefused = 3;
    std::vector<std::string> &Late =
        Late_[{Index, Path_.server(Index).serving()}];
    pcg32 &Random = Random_[Index];
    if (Random(OneOfRefused) > 0) {
      ++Runs_[Id];
      std::string Before;
      for (const std::string &Copy : std::exchange(Late, {}))
        Before += Copy;
      Copies_ += Before.empty() ? 0 : 1;
      return {Before + completeAnswer(Id, "answer to " + Id)};
    }
    bool Replaced = Random(2) == 0;
    std::string Refusal = Replaced ? misdirected(Id, "other") : refusal(Id);
    // The entry of the process that refuses comes while the request goes on.
    if (Replaced)
      Path_.rename(Index, "process-" + std::to_string(++Processes_));
    Script Refused{Refusal};
    switch (Random(4)) {
    case 0:
      Refused.Bytes_ += Refusal;
      break;
    case 1:
      Refused.Silence_ = std::chrono::milliseconds(1);
      Refused.AfterSilence_ = Refusal;
      break;
    case 2:
      Late.push_back(Refusal);
      break;
    default:
      break;
    }
    return Refused;
  }

  /// Of each server, so that its choices don't depend on the others' requests.
  std::array<pcg32, Count> Random_;
  std::size_t Next_ = 1;
  std::size_t Processes_ = 0;
  std::map<std::string, int> Runs_;
  /// Copies to come, by server and connection.
  std::map<std::pair<std::size_t, std::size_t>, std::vector<std::string>> Late_;
  ForwardingHarness Path_;
};

} // namespace

TEST_CASE(
    "the copy of a refusal is not the answer to the request's next send") {
  // Guards against a request that runs twice: the copy bears its id, and comes
  // while the server works on the request on the same connection.
  for (auto Kind : {RequestKind::NonIdempotent, RequestKind::Stream}) {
    auto Wanted = kind(Kind);
    Wanted.MaxInFlight_ = 1;
    ReplacedServer Test(Wanted);
    ForwardingHarness &Path = Test.Path_;
    auto Busy = Path.begin("busy");
    REQUIRE(Path.runUntil([&] { return Path.received() == 1; }));
    auto Reply = Path.begin("order");
    REQUIRE(
        Path.runUntil([&] { return Test.Refused_ && Path.waiting() == 1; }));
    Path.rename(Test.Replaced_, "server-7");
    REQUIRE(Path.runUntil([&] { return Path.received() == 3; }));
    Path.server(1 - Test.Replaced_).resetConnections();
    CHECK(Path.runUntil([&] { return Reply->Ended_; }));
    CHECK(Reply->body() == "answer");
    CHECK(Test.Runs_ == 1);
    CHECK(Path.server(Test.Replaced_).connections() == 2);
  }
}

TEST_CASE("second answers to earlier requests are passed over") {
  // Guards against runs that are lost to their callers although the id tells
  // that the first answer on the connection is not theirs.
  struct Case {
    std::string Name_;
    std::string Before_;
    int Status_;
  };
  const std::string Copy = refusal("c1");
  const std::string Chunked =
      "HTTP/1.1 503 Full\r\nX-Call-Id: c1\r\nX-Not-Run: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n" +
      chunk("full") + LastChunk;
  const std::vector<Case> Cases = {
      {"none", "", 200},
      {"one", Copy, 200},
      {"in chunks", Chunked, 200},
      {"of an answer", completeAnswer("c1", "one"), 200},
      {"as many as are passed over", repeated(Copy, 4), 200},
      {"one too many", repeated(Copy, 5), 502},
      {"an id that the connection never carried", refusal("c9"), 502},
      {"none known by its end", "HTTP/1.1 503 Full\r\nX-Call-Id: c1\r\n\r\n",
       502}};
  for (const Case &Each : Cases)
    for (auto Kind : {RequestKind::NonIdempotent, RequestKind::Stream}) {
      CAPTURE(Each.Name_);
      ForwardingHarness Path(
          kind(Kind), {firstThen(Copy, [&](const std::string &Id) {
            return Each.Before_ + completeAnswer(Id, "whole");
          })});
      CHECK(Path.call("c1").status() == 503);
      auto Reply = Path.call("c2");
      CHECK(Reply.status() == Each.Status_);
      CHECK((Reply.body() == "whole") == (Each.Status_ == 200));
      CHECK(Path.received() == 2);
      CHECK(Path.server(0).connections() == 1);
    }
}

TEST_CASE("a second answer without end is given up at the deadline") {
  // Guards against a request that stays for ever, as its server sends all the
  // time.
  const std::string Head = "HTTP/1.1 503 Full\r\nX-Call-Id: c1\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  auto Wanted = kind(RequestKind::NonIdempotent);
  Wanted.Timeout_ = std::chrono::milliseconds(200);
  ForwardingHarness Path(
      Wanted, {[&](const std::string &, std::size_t Number) -> Script {
        if (Number == 0)
          return {refusal("c1")};
        Script Endless{Head, Script::Then::Repeat};
        Endless.AfterSilence_ = chunk("a");
        return Endless;
      }});
  CHECK(Path.call("c1").status() == 503);
  CHECK(Path.call("c2").status() / 100 == 5);
}

TEST_CASE("among servers that copy refusals no request runs twice") {
  // Guards against a request that runs twice, is told that it has not run
  // although it has, or gets the answer to another one.
  constexpr int Rounds = 20;
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed)
    for (auto Kind : {RequestKind::NonIdempotent, RequestKind::Stream}) {
      CAPTURE(Seed);
      CopyingServers Test(Seed, Kind);
      for (int Round = 0; Round < Rounds; ++Round)
        Test.playRound();
      CHECK(Test.Answered_ > Rounds);
      CHECK(Test.Copies_ > 0);
    }
}

TEST_CASE("after HEAD no answer of the connection is passed over") {
  // Guards against a length without a body, by which the next answer would be
  // taken for that body.
  auto Wanted = kind(RequestKind::NonIdempotent);
  Wanted.Method_ = "HEAD";
  ForwardingHarness Path(Wanted,
                         {firstThen(refusal("c1"), [&](const std::string &Id) {
                           return refusal("c1") + completeAnswer(Id, "");
                         })});
  for (auto [Id, Status] : {std::pair("c1", 503), std::pair("c2", 502)}) {
    // It has no body, whatever length is stated.
    auto Reply = Path.begin(Id);
    CHECK(Path.runUntil([&] { return Reply->status() > 0; }));
    CHECK(Reply->status() == Status);
  }
}

TEST_CASE("a request without an id shares its connection with no other") {
  // Guards against an answer that reaches another caller: without an id nothing
  // tells the second answer to one request from the first to the next.
  ForwardingHarness Path(
      kind(RequestKind::NonIdempotent),
      {[](const std::string &Request, std::size_t) -> Script {
        return {completeAnswer(fieldIn(Request, "x-call-id"), "answer")};
      }});
  for (const char *Id : {"", "c1", "", "c2"})
    CHECK(Path.call(Id).status() == 200);
  CHECK(Path.server(0).connections() == 3);
}
