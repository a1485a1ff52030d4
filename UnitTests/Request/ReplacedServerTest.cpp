/// \file
/// Servers that answer 421: because of what a caller wrote, or because another
/// server has their address.

#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

constexpr std::size_t ServerCount = 6;
constexpr std::size_t Rounds = 30;
/// A request that is refused is sent to three other servers.
constexpr std::size_t ServersTried = 4;

Script refuse(const std::string &Request, const std::string &Named) {
  return {misdirected(fieldIn(Request, "x-call-id"), Named)};
}

/// Refuses requests that expect a version; it names itself if it \p Names.
ScriptOf refusesVersions(bool Names) {
  return [Names](const std::string &Request, std::size_t) -> Script {
    if (!fieldIn(Request, "x-expect-version").empty())
      return refuse(Request, Names ? fieldIn(Request, "x-expect-server") : "");
    return {completeAnswer(fieldIn(Request, "x-call-id"), "answer")};
  };
}

ForwardingHarness::Options idempotent() {
  ForwardingHarness::Options Wanted;
  Wanted.Kind_ = RequestKind::Idempotent;
  Wanted.Retries_.Allowance_ = 1000;
  return Wanted;
}

} // namespace

TEST_CASE("a caller that expects a version takes no server from others") {
  // Guards against a whole pool out of service for good by one caller's field.
  for (bool Names : {true, false}) {
    CAPTURE(Names);
    ForwardingHarness Path(
        idempotent(),
        std::vector<ScriptOf>(ServerCount, refusesVersions(Names)));
    for (std::size_t Number = 0; Number < Rounds; ++Number) {
      CHECK(Path.call(fmt::format("pinned-{}", Number), "x",
                      "X-Expect-Version: 1\r\n")
                .status() == 503);
      CHECK(Path.call(fmt::format("c{}", Number)).status() == 200);
    }
    // Each of those that a refused request tries is still tried by the last.
    for (std::size_t Index = 0; Index < ServersTried; ++Index)
      CHECK(Path.server(Index).requests().size() >= Rounds);
  }
}

TEST_CASE("another server at an address gets no requests of the one before") {
  // Guards against requests that use up their attempts at the wrong server.
  for (const char *Named : {"", "server-9"})
    for (const char *Fields : {"", "X-Expect-Version: 1\r\n"}) {
      bool Shown = *Named || !*Fields;
      CAPTURE(Named);
      CAPTURE(Fields);
      auto Other = [Named](const std::string &Request, std::size_t) {
        return refuse(Request, Named);
      };
      auto Sound = [](const std::string &Request, std::size_t) {
        return Script{completeAnswer(fieldIn(Request, "x-call-id"), "answer")};
      };
      ForwardingHarness Path(idempotent(), {Other, Sound});
      for (std::size_t Number = 0; Number < 40; ++Number)
        CHECK(Path.call(fmt::format("c{}", Number), "x", Fields).status() ==
              200);
      if (Shown)
        CHECK(Path.server(0).requests().size() == 1);
      else
        CHECK(Path.server(0).requests().size() > 1);
    }
}
