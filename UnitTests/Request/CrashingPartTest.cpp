/// \file
/// Parts of prompts that crash the servers that begin to answer on them.

#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

constexpr std::size_t Servers = 16;
/// Servers that a part may reach after it has crashed five.
constexpr std::size_t AllowedRetries = 3;
constexpr std::size_t MaxReached = 5 + AllowedRetries;

ForwardingHarness::Options streams() {
  ForwardingHarness::Options Wanted;
  Wanted.Kind_ = RequestKind::Stream;
  return Wanted;
}

/// Ends the server before the first event for each prompt with the part bad.
Script crashOnPart(const std::string &Request, std::size_t) {
  if (fieldIn(Request, "x-prompt-parts").find("bad:") != std::string::npos)
    return {"", Script::Then::Crash};
  std::string CallId = fieldIn(Request, "x-call-id");
  return {streamHead(CallId) + eventChunk(1, "a") + eventChunk(2, "b") +
          LastChunk};
}

/// \returns a prompt whose last part belongs to the request alone.
std::string prompt(const std::string &Shared, std::size_t Number) {
  return fmt::format("X-Prompt-Parts: {},{:x}:10\r\n", Shared, 0x1000 + Number);
}

} // namespace

TEST_CASE("a part of prompts that crashes servers stops reaching them") {
  // Guards against requests that are all different, but share a part that ends
  // one server after the other.
  ForwardingHarness Path(streams(),
                         std::vector<ScriptOf>(Servers, crashOnPart));
  std::size_t Crashes = 0;
  for (std::size_t Number = 0; Number < 2 * Servers; ++Number) {
    std::string Body = fmt::format("body {}", Number);
    std::size_t Before = Path.received();
    Path.call(fmt::format("bad-{}", Number), Body,
              prompt("a:60,bad:100", Number));
    Crashes += Path.received() - Before;
    // Guards against sound requests that are refused for what they share.
    CallerReply Sound = Path.call(fmt::format("sound-{}", Number), Body,
                                  prompt("a:60,c:100", Number));
    CHECK(Sound.status() == 200);
  }
  CHECK(Crashes <= MaxReached);
}
