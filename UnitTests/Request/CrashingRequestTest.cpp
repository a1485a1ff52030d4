/// \file
/// Requests that crash the servers that run them.

#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

constexpr std::size_t Servers = 10;
/// Servers that a request may reach after it has crashed three.
constexpr std::size_t AllowedRetries = 3;
constexpr std::size_t MaxReached = 3 + AllowedRetries;

/// Ends the server for each request whose body contains "poison".
Script crashOnPoison(const std::string &Request, std::size_t) {
  if (Request.find("poison") != std::string::npos)
    return {"", Script::Then::Crash};
  return {completeAnswer(fieldIn(Request, "x-call-id"), "answer")};
}

} // namespace

TEST_CASE("a request that crashes servers stops reaching them") {
  // Guards against a request that comes again under new ids and ends one server
  // after the other.
  for (RequestKind Kind : {RequestKind::Stream, RequestKind::NonIdempotent,
                           RequestKind::Idempotent}) {
    ForwardingHarness Path(optionsOf(Kind),
                           std::vector<ScriptOf>(Servers, crashOnPoison));
    for (std::size_t Attempt = 0; Attempt < Servers; ++Attempt)
      Path.call("c" + std::to_string(Attempt), "poison");
    CHECK(Path.received() <= MaxReached);
    CHECK(Path.call("other", "harmless").status() == 200);
  }
}

TEST_CASE("the refusal is final and says that the request was not run") {
  // Guards against an answer that invites the caller to send it again.
  ForwardingHarness Path(optionsOf(RequestKind::NonIdempotent),
                         std::vector<ScriptOf>(Servers, crashOnPoison));
  CallerReply Last;
  for (std::size_t Attempt = 0; Attempt <= MaxReached; ++Attempt)
    Last = Path.call("c" + std::to_string(Attempt), "poison");
  CHECK(Last.status() == 503);
  CHECK(fieldIn(Last.Bytes_, "x-result-code") == "113");
  CHECK(fieldIn(Last.Bytes_, "x-outcome") == "not-run");
  CHECK(fieldIn(Last.Bytes_, "retry-after").empty());
}

TEST_CASE("a lost connection alone is no crash") {
  // Guards against harmless requests that are refused after a network fault.
  auto Reset = [](const std::string &, std::size_t) {
    return Script{"", Script::Then::Reset};
  };
  ForwardingHarness Path(optionsOf(RequestKind::NonIdempotent),
                         std::vector<ScriptOf>(Servers, Reset));
  for (std::size_t Attempt = 0; Attempt < Servers; ++Attempt)
    CHECK(fieldIn(Path.call("c" + std::to_string(Attempt)).Bytes_,
                  "x-result-code") != "113");
}

TEST_CASE("a leaving server that ends is no crash") {
  // Guards against harmless requests that are refused after a release, which
  // ends servers that still run them.
  std::vector<ScriptOf> Scripts;
  ForwardingHarness *Target = nullptr;
  for (std::size_t Index = 0; Index < Servers; ++Index)
    Scripts.emplace_back([&Target, Index](const std::string &, std::size_t) {
      Target->publish({Index});
      return Script{"", Script::Then::Crash};
    });
  ForwardingHarness Path(optionsOf(RequestKind::NonIdempotent), Scripts);
  Target = &Path;
  for (std::size_t Attempt = 0; Attempt < Servers; ++Attempt)
    CHECK(fieldIn(Path.call("c" + std::to_string(Attempt)).Bytes_,
                  "x-result-code") != "113");
}
