/// \file
/// Requests of a daemon that is cut off from servers, relayed by other daemons.

#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

Script answer(const std::string &Request, std::size_t) {
  return {completeAnswer(fieldIn(Request, "x-call-id"), "answer")};
}

Script hold(const std::string &, std::size_t) {
  return {"", Script::Then::Hold};
}

ForwardingHarness::Options kind(RequestKind Kind, std::size_t Relays = 2) {
  ForwardingHarness::Options Wanted;
  Wanted.Kind_ = Kind;
  Wanted.Relays_ = Relays;
  return Wanted;
}

std::string nameOf(std::size_t Number) { return "c" + std::to_string(Number); }

} // namespace

TEST_CASE("all kinds of requests are served through another daemon, once") {
  // Guards against a daemon without links that refuses its callers, and against
  // requests that run at both ends of a relay.
  for (PortState Look : {PortState::Refused, PortState::Silent})
    for (RequestKind Kind :
         {RequestKind::Idempotent, RequestKind::NonIdempotent}) {
      ForwardingHarness Path(kind(Kind), {answer, answer, answer});
      Path.setLinks(Look);
      for (std::size_t Number = 0; Number < 20; ++Number) {
        CallerReply Reply = Path.call(nameOf(Number));
        CHECK(Reply.status() == 200);
        CHECK(Reply.body() == "answer");
      }
      CHECK(Path.received() == 20);
    }
}

TEST_CASE("a stream is relayed as it is, with its end") {
  // Guards against a stream that looks complete but is not.
  for (bool Complete : {true, false}) {
    auto Events = [Complete](const std::string &Request, std::size_t) {
      Script Sent;
      Sent.Bytes_ = streamHead(fieldIn(Request, "x-call-id")) +
                    eventChunk(1, "one") + (Complete ? LastChunk : "");
      Sent.Then_ = Complete ? Script::Then::KeepOpen : Script::Then::Reset;
      return Sent;
    };
    ForwardingHarness Path(kind(RequestKind::Stream), {Events});
    Path.setLinks(PortState::Refused);
    CallerReply Reply = Path.call("c");
    CHECK(Reply.body().find("one") != std::string::npos);
    CHECK(Reply.hasLastChunk() == Complete);
  }
}

TEST_CASE("an answer without a length is complete only if it ends normally") {
  // Guards against a relay that turns a reset into a normal end.
  for (bool Reset : {true, false}) {
    auto Unframed = [Reset](const std::string &Request, std::size_t) {
      return Script{
          "HTTP/1.1 200 OK\r\nX-Call-Id: " + fieldIn(Request, "x-call-id") +
              "\r\nX-Answer-Proof: p\r\nConnection: close\r\n\r\nall",
          Reset ? Script::Then::Reset : Script::Then::Close};
    };
    ForwardingHarness Path(kind(RequestKind::NonIdempotent), {Unframed});
    Path.setLinks(PortState::Refused);
    CHECK((Path.call("c").status() == 200) != Reset);
  }
}

TEST_CASE("a relay that is killed within an answer without a length does not "
          "make it look complete") {
  // Guards against the end of a relay that is taken for the end of an answer:
  // the sockets of a killed process are closed normally.
  for (RequestKind Kind : {RequestKind::NonIdempotent, RequestKind::Stream}) {
    auto Unfinished = [](const std::string &Request, std::size_t) {
      return Script{
          "HTTP/1.1 200 OK\r\nX-Call-Id: " + fieldIn(Request, "x-call-id") +
              "\r\nX-Answer-Proof: p\r\n\r\nid: 1\ndata: one\n\n",
          Script::Then::Hold};
    };
    ForwardingHarness Path(kind(Kind, 1), {Unfinished});
    Path.setLinks(PortState::Refused);
    auto Reply = Path.begin("c");
    REQUIRE(Path.runUntil([&] { return Path.received() == 1; }));
    // Long enough for the beginning of the answer to arrive.
    int Turns = 0;
    Path.runUntil([&] { return ++Turns > 100; });
    Path.relay(0).kill();
    CHECK(Path.runUntil([&] { return Reply->Ended_; }));
    CHECK_FALSE(Reply->hasLastChunk());
    CHECK((Kind == RequestKind::Stream || Reply->status() == 502));
  }
}

TEST_CASE("a relay that breaks after the dispatch is no proof of no run") {
  // Guards against a caller that is told not run for a request that ran.
  auto RunThenReset = [](const std::string &, std::size_t) {
    return Script{"", Script::Then::Reset};
  };
  ForwardingHarness Path(kind(RequestKind::NonIdempotent),
                         {RunThenReset, RunThenReset});
  Path.setLinks(PortState::Refused);
  CallerReply Reply = Path.call("c");
  CHECK(Reply.status() == 502);
  CHECK(fieldIn(Reply.Bytes_, "x-outcome") == "unknown");
  CHECK(Path.received() == 1);
}

TEST_CASE("a caller that leaves ends the request behind the relay") {
  // Guards against engines that work for callers that have left.
  ForwardingHarness Path(kind(RequestKind::Idempotent), {hold});
  Path.setLinks(PortState::Refused);
  auto Call = Path.begin("c");
  REQUIRE(Path.runUntil([&] { return Path.received() == 1; }));
  ForwardingHarness::disconnect(*Call);
  CHECK(Path.runUntil([&] { return Path.server(0).closed() == 1; }));
  CHECK(Path.runUntil([&] {
    return Path.relay(0).connections() + Path.relay(1).connections() == 0;
  }));
}

TEST_CASE("a daemon that is cut off blames neither servers nor requests") {
  // Guards against harmless requests that are refused for the whole fleet,
  // since their connections were reset and new ones are refused.
  ForwardingHarness *Target = nullptr;
  auto ResetWithLinks = [&Target](const std::string &Request, std::size_t) {
    if (Request.find("first") == std::string::npos)
      return answer(Request, 0);
    Target->setLinks(PortState::Refused);
    return Script{"", Script::Then::Reset};
  };
  ForwardingHarness Path(kind(RequestKind::NonIdempotent),
                         std::vector<ScriptOf>(8, ResetWithLinks));
  Target = &Path;
  for (std::size_t Number = 0; Number < 8; ++Number) {
    Path.setLinks(PortState::Open);
    CHECK(fieldIn(Path.call(nameOf(Number), "first").Bytes_, "x-result-code") ==
          "301");
  }
  CHECK(Path.call("other", "harmless").status() == 200);
}

TEST_CASE("a crash that other daemons see as well is still a crash") {
  // Guards against requests that go on ending servers because each daemon takes
  // the crash for a fault of its links.
  auto Crash = [](const std::string &, std::size_t) {
    return Script{"", Script::Then::Crash};
  };
  ForwardingHarness Path(kind(RequestKind::NonIdempotent),
                         std::vector<ScriptOf>(10, Crash));
  for (std::size_t Number = 0; Number < 10; ++Number)
    Path.call(nameOf(Number), "poison");
  CHECK(Path.received() <= 6);
}

TEST_CASE("daemons that lose their links together blame no request") {
  // Guards against harmless requests that are refused for the whole fleet,
  // since the daemons that are asked have lost their links too and don't know
  // it.
  ForwardingHarness *Target = nullptr;
  std::size_t Running = 0;
  auto ResetAll = [&](const std::string &, std::size_t) {
    if (++Running < 4)
      return Script{"", Script::Then::Hold};
    for (std::size_t Index = 0; Index < 2; ++Index)
      Target->relay(Index).setLinks(PortState::Refused);
    Target->setLinks(PortState::Refused);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Target->server(Index).resetConnections();
    return Script{"", Script::Then::Reset};
  };
  ForwardingHarness::Options Wanted = kind(RequestKind::NonIdempotent);
  Wanted.MaxInFlight_ = 1;
  ForwardingHarness Path(Wanted, std::vector<ScriptOf>(4, ResetAll));
  Target = &Path;
  std::vector<std::shared_ptr<CallerReply>> Calls;
  for (std::size_t Number = 0; Number < 4; ++Number)
    Calls.push_back(Path.begin(nameOf(Number)));
  CHECK(Path.runUntil([&] {
    return std::ranges::all_of(Calls,
                               [](const auto &Call) { return Call->Ended_; });
  }));
  CHECK(Path.crashes().snapshot()->empty());
}

TEST_CASE("without any path requests are refused at once and truthfully") {
  // Guards against callers that are held, or told that their request may have
  // run, while no daemon reaches a server.
  ForwardingHarness Path(kind(RequestKind::NonIdempotent), {answer, answer});
  Path.setLinks(PortState::Refused);
  for (std::size_t Index = 0; Index < 2; ++Index)
    Path.relay(Index).setLinks(PortState::Refused);
  for (std::size_t Number = 0; Number < 5; ++Number) {
    CallerReply Reply = Path.call(nameOf(Number));
    CHECK(Reply.status() == 503);
    CHECK(fieldIn(Reply.Bytes_, "x-outcome") == "not-run");
  }
  CHECK(Path.received() == 0);
}

TEST_CASE("a daemon about to stop relays what it has, and nothing new") {
  // Guards against requests that a planned stop of the relay cuts.
  ForwardingHarness Path(kind(RequestKind::Idempotent, 1), {hold, answer});
  Path.setLinks(PortState::Refused);
  auto Call = Path.begin("c");
  REQUIRE(Path.runUntil([&] { return Path.received() == 1; }));
  Path.relay(0).server().refuseNew();
  CHECK(Path.call("later").status() == 503);
  CHECK(Path.relay(0).connections() == 1);
  CHECK_FALSE(Call->Ended_);
}

TEST_CASE("links that are back are used again") {
  // Guards against a daemon that is relayed for as long as it runs.
  ForwardingHarness Path(kind(RequestKind::Idempotent), {answer, answer});
  Path.setLinks(PortState::Refused);
  CHECK(Path.call("c").status() == 200);
  CHECK(Path.runUntil([&] { return Path.connector().cutOffCount() > 0; }));
  Path.setLinks(PortState::Open);
  CHECK(Path.runUntil([&] { return Path.connector().cutOffCount() == 0; }));
  std::uint64_t Relayed = Path.connector().relayedCount();
  CHECK(Path.call("d").status() == 200);
  CHECK(Path.connector().relayedCount() == Relayed);
}

TEST_CASE("a check of paths for another daemon starts no further checks") {
  // Guards against daemons that make each other check a server that is down,
  // for as long as it is, in numbers that grow with the fleet.
  constexpr std::size_t Others = 12;
  ForwardingHarness Path(kind(RequestKind::Idempotent, Others), {answer});
  std::vector<RelayCandidate> All;
  for (std::size_t Index = 0; Index < Others; ++Index)
    All.push_back(Path.relay(Index).candidate());
  for (std::size_t Index = 0; Index < Others; ++Index) {
    std::vector<RelayCandidate> Known = All;
    Known.erase(Known.begin() + static_cast<std::ptrdiff_t>(Index));
    Path.relay(Index).setOthers(std::move(Known));
    Path.relay(Index).setLinks(PortState::Refused);
  }
  Path.setLinks(PortState::Refused);
  CHECK(Path.call("c").status() == 503);
  int Turns = 0;
  Path.runUntil([&] { return ++Turns > 300; });
  std::size_t Tried = 0;
  for (std::size_t Index = 0; Index < Others; ++Index)
    Tried += Path.relay(Index).connectsTried();
  // Two daemons are asked, and each of them asks two more about its own path.
  CHECK(Tried <= 2 * (2 + 2));
}
