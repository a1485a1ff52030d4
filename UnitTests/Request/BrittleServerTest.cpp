/// \file
/// Servers that end when they have to reject too many requests.

#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

/// Rejections a second that the server survives.
constexpr std::size_t MaxRejections = 2;

/// A server that says that it is brittle and has room for one request.
class BrittleServer {
public:
  Script operator()(const std::string &Request, std::size_t Number) {
    std::string CallId = fieldIn(Request, "x-call-id");
    Script Answer{Number == 0 ? completeAnswer(CallId, "answer")
                              : refusal(CallId)};
    if (Number == 1)
      return {"", Script::Then::Hold};
    if (Number > 1)
      Rejections_.push_back(steady_clock::now());
    std::size_t LineEnd = Answer.Bytes_.find("\r\n");
    Answer.Bytes_.insert(LineEnd, "\r\nX-Server-Brittle: " +
                                      std::to_string(MaxRejections));
    return Answer;
  }
  /// \returns the largest number of rejections within a second.
  std::size_t mostInASecond() const {
    std::size_t Most = 0;
    for (auto First = Rejections_.begin(); First != Rejections_.end(); ++First)
      Most = std::max(Most, static_cast<std::size_t>(std::ranges::count_if(
                                First, Rejections_.end(), [&](auto At) {
                                  return At - *First <= seconds(1);
                                })));
    return Most;
  }
  std::size_t rejections() const { return Rejections_.size(); }

private:
  std::vector<steady_clock::time_point> Rejections_;
};

} // namespace

TEST_CASE("a brittle server rejects no more requests than it survives") {
  // Guards against a server in need that is given what it has no room for, and
  // falls over.
  BrittleServer Server;
  auto Decide = [&Server](const std::string &Request, std::size_t Number) {
    return Server(Request, Number);
  };
  ForwardingHarness::Options Wanted;
  Wanted.Kind_ = RequestKind::Idempotent;
  Wanted.MaxInFlight_ = 8;
  ForwardingHarness Path(Wanted, {Decide});
  CHECK(Path.call("first").status() == 200);
  std::vector<std::shared_ptr<CallerReply>> Calls;
  for (std::size_t Number = 0; Number < 40; ++Number)
    Calls.push_back(Path.begin("c" + std::to_string(Number)));
  auto End = steady_clock::now() + milliseconds(1500);
  Path.runUntil([&] { return steady_clock::now() >= End; });
  CHECK(Server.rejections() > 0);
  CHECK(Server.mostInASecond() <= MaxRejections);
}
