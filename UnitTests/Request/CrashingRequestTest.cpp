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

ForwardingHarness::Options kind(RequestKind Kind) {
  ForwardingHarness::Options Wanted;
  Wanted.Kind_ = Kind;
  return Wanted;
}

} // namespace

TEST_CASE("a request that crashes servers stops reaching them") {
  // Guards against a request that comes again under new ids and ends one server
  // after the other.
  for (RequestKind Kind : {RequestKind::Stream, RequestKind::NonIdempotent,
                           RequestKind::Idempotent}) {
    ForwardingHarness Path(kind(Kind),
                           std::vector<ScriptOf>(Servers, crashOnPoison));
    for (std::size_t Attempt = 0; Attempt < Servers; ++Attempt)
      Path.call("c" + std::to_string(Attempt), "poison");
    CHECK(Path.received() <= MaxReached);
    CHECK(Path.call("other", "harmless").status() == 200);
  }
}
