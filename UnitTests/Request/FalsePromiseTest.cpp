/// \file
/// Callers that leave, or close the sending direction of their connection,
/// while servers end their requests in various ways.

#include "Request/FinalAnswer.h"
#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <vector>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

enum class Leaves { Never, EndsSending };

/// How a server ends a request that it has begun to run.
struct ServerEnd {
  const char *Name_;
  Script Answer_;
};

std::vector<ServerEnd> serverEnds() {
  const std::string Head = "HTTP/1.1 200 OK\r\nX-Call-Id: c1\r\n"
                           "X-Answer-Proof: p\r\n";
  using Then = Script::Then;
  return {{"reset", {"", Then::Reset}},
          {"closed", {"", Then::Close}},
          {"reset within the answer",
           {Head + "Content-Length: 9\r\n\r\nabc", Then::Reset}},
          {"closed within the answer",
           {Head + "Content-Length: 9\r\n\r\nabc", Then::Close}},
          {"no answer", {"", Then::Hold}},
          {"no HTTP", {"what\r\n\r\n", Then::Close}},
          {"another request's answer", {completeAnswer("c9", "x")}},
          {"full without a statement", {completeAnswer("c1", "full", 503)}},
          {"limited without a statement", {completeAnswer("c1", "slow", 429)}},
          {"late without a statement", {completeAnswer("c1", "late", 408)}},
          {"failed", {completeAnswer("c1", "failed", 500)}},
          {"stream reset", {streamHead("c1"), Then::Reset}},
          {"stream closed within an event",
           {streamHead("c1") + chunk("id: 1\nda"), Then::Close}}};
}

/// Lets the server end the request after the daemon has noticed how its caller
/// left.
void leave(ForwardingHarness &Path, const CallerReply &Call, Leaves Way) {
  if (Way == Leaves::EndsSending)
    ForwardingHarness::endSending(Call);
  Path.settle();
  Path.server(0).release();
}

} // namespace

TEST_CASE("no request that a server had is answered as one that has not run") {
  // Guards against a caller that believes the promise and sends again what has
  // run.
  for (auto Kind : {RequestKind::NonIdempotent, RequestKind::Stream})
    for (const ServerEnd &End : serverEnds())
      for (Leaves Way : {Leaves::Never, Leaves::EndsSending}) {
        CAPTURE(End.Name_);
        CAPTURE(Way == Leaves::EndsSending);
        CAPTURE(Kind == RequestKind::Stream);
        Script Late = End.Answer_;
        std::swap(Late.Bytes_, Late.AfterSilence_);
        Late.AwaitsRelease_ = true;
        auto Wanted = optionsOf(Kind);
        if (Late.Then_ == Script::Then::Hold)
          Wanted.Timeout_ = std::chrono::milliseconds(600);
        ForwardingHarness Path(
            Wanted, {[&](const std::string &, std::size_t) { return Late; }});
        auto Reply = Path.begin("c1");
        REQUIRE(Path.runUntil([&] { return Path.received() == 1; }));
        leave(Path, *Reply, Way);
        CHECK(Path.runUntil([&] { return Reply->Ended_; }));
        CHECK_FALSE(promisesNotRun(Reply->status()));
        CHECK(Path.received() == 1);
      }
}

TEST_CASE("a request that no server had is refused with a promise, whoever "
          "leaves") {
  auto Wanted = optionsOf(RequestKind::NonIdempotent);
  Wanted.MaxInFlight_ = 1;
  ForwardingHarness Path(Wanted, {[](const std::string &, std::size_t) {
                           return Script{"", Script::Then::Hold};
                         }});
  auto First = Path.begin("c1");
  REQUIRE(Path.runUntil([&] { return Path.received() == 1; }));
  auto Second = Path.begin("c2");
  REQUIRE(Path.runUntil([&] { return Path.waiting() == 1; }));
  ForwardingHarness::endSending(*Second);
  CHECK(Path.runUntil([&] { return Second->Ended_; }));
  CHECK(Second->status() == 503);
  CHECK(Path.received() == 1);
}

TEST_CASE("the own interface makes no false promise either") {
  // Guards against the same at a model engine that works on the request.
  for (auto Kind : {PoolKind::Model, PoolKind::Application})
    for (Leaves Way : {Leaves::Never, Leaves::EndsSending})
      for (auto Then : {Script::Then::Reset, Script::Then::Close}) {
        CAPTURE(Kind == PoolKind::Model);
        CAPTURE(Way == Leaves::EndsSending);
        ForwardingHarness::Options Wanted;
        Wanted.OwnInterface_ = Kind;
        Script Lost{"", Then};
        Lost.AwaitsRelease_ = true;
        ForwardingHarness Path(
            Wanted, {[&](const std::string &, std::size_t) { return Lost; }});
        auto Reply =
            Path.begin("c1", R"({"model":"m","messages":[{"content":"x"}]})",
                       "X-Request-Timeout-Ms: 2000\r\n");
        REQUIRE(Path.runUntil([&] { return Path.received() >= 1; }));
        leave(Path, *Reply, Way);
        CHECK(Path.runUntil([&] { return Reply->Ended_; }));
        CHECK_FALSE(promisesNotRun(Reply->status()));
      }
}
