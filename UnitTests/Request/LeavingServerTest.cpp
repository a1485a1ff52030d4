/// \file
/// Servers that say in their answers that they leave.

#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

Script answer(const std::string &Request, std::size_t) {
  return {completeAnswer(fieldIn(Request, "x-call-id"), "answer")};
}

Script addLeaving(Script Answer) {
  std::size_t LineEnd = Answer.Bytes_.find("\r\n");
  Answer.Bytes_.insert(LineEnd, "\r\nX-Server-Leaving: 1");
  return Answer;
}

ForwardingHarness::Options idempotent() {
  ForwardingHarness::Options Wanted;
  Wanted.Kind_ = RequestKind::Idempotent;
  return Wanted;
}

} // namespace

TEST_CASE("a server that says that it leaves gets no more requests") {
  // Guards against a daemon that knows of leaving servers from the platform's
  // service only, which may be down or late.
  auto Answers = [](const std::string &Request, std::size_t Number) {
    return addLeaving(answer(Request, Number));
  };
  auto Rejects = [](const std::string &Request, std::size_t) {
    return addLeaving({refusal(fieldIn(Request, "x-call-id"))});
  };
  auto Fails = [](const std::string &Request, std::size_t) {
    return addLeaving(
        {completeAnswer(fieldIn(Request, "x-call-id"), "failed", 500)});
  };
  for (const ScriptOf &Leaving :
       {ScriptOf(Answers), ScriptOf(Rejects), ScriptOf(Fails)}) {
    ForwardingHarness Path(idempotent(), {Leaving, answer, answer});
    for (std::size_t Number = 0; Number < 30; ++Number)
      CHECK(Path.call("c" + std::to_string(Number)).status() == 200);
    CHECK(Path.server(0).requests().size() == 1);
    // The service still calls the server ready.
    Path.publish();
    CHECK(Path.call("later").status() == 200);
    CHECK(Path.server(0).requests().size() == 1);
  }
}

TEST_CASE("a request that was granted before goes to another server") {
  // Guards against requests that are on their way to a server when it says that
  // it leaves.
  ForwardingHarness Path(idempotent(), {answer, answer});
  Path.onConnect([&] { Path.say(0, LeavingNotice()); });
  CHECK(Path.call("c").status() == 200);
  CHECK(Path.server(0).requests().empty());
  CHECK(Path.server(1).requests().size() == 1);
}

TEST_CASE("a server that leaves while its connection opens gets nothing") {
  // Guards against new work for a server that has left since the grant.
  using Indexes = std::vector<std::size_t>;
  for (bool Gone : {false, true}) {
    ForwardingHarness Path(idempotent(), {answer, answer});
    Path.onConnect([&] {
      Path.publish(Gone ? Indexes() : Indexes{0},
                   Gone ? Indexes{0} : Indexes());
    });
    CHECK(Path.call("c").status() == 200);
    CHECK(Path.server(0).requests().empty());
    CHECK(Path.server(1).requests().size() == 1);
  }
}
