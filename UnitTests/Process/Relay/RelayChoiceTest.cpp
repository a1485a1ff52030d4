#include "Process/Relay/RelayChoice.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <set>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start{seconds(100)};

std::vector<RelayCandidate> fleet(std::size_t Near, std::size_t Far) {
  std::vector<RelayCandidate> All;
  for (std::size_t Index = 0; Index < Near + Far; ++Index)
    All.push_back(
        {VmId(fmt::format("vm-{}", Index)), Endpoint(), Index < Near});
  return All;
}

} // namespace

TEST_CASE("relays of the own data centre go first, and share the work") {
  // Guards against one daemon that relays for all, and against traffic between
  // data centres.
  auto Fleet = fleet(4, 8);
  RelayChoice Choice;
  std::map<VmId, int> Chosen;
  for (std::uint64_t Key = 0; Key < 400; ++Key) {
    const RelayCandidate *Found = Choice.next(Fleet, {}, Key, Start);
    REQUIRE(Found);
    CHECK(Found->Near_);
    ++Chosen[Found->Id_];
  }
  for (const auto &[Id, Count] : Chosen)
    CHECK(Count > 50);
}

TEST_CASE("a request finds a path although its whole data centre has none") {
  // Guards against requests that ask only daemons that are cut off together
  // with their own.
  auto Fleet = fleet(100, 300);
  RelayChoice Choice;
  for (std::uint64_t Key = 0; Key < 50; ++Key) {
    std::vector<VmId> Asked;
    bool Connected = false;
    while (!Connected && Asked.size() < 3) {
      const RelayCandidate *Found = Choice.next(Fleet, Asked, Key, Start);
      REQUIRE(Found);
      Asked.push_back(Found->Id_);
      Connected = !Found->Near_;
      Choice.answered(*Found,
                      Connected ? RelayResult::Connected : RelayResult::NoPath,
                      Start);
    }
    CHECK(Connected);
    CHECK(Asked.size() <= (Key < 2 ? 2 : 1));
  }
}

TEST_CASE("a daemon without a path is asked again after a second") {
  // Guards against daemons that stay avoided after their links are back, and
  // against requests that wait for daemons that are known to have none.
  auto Fleet = fleet(0, 1);
  RelayChoice Choice;
  Choice.answered(Fleet[0], RelayResult::NoPath, Start);
  CHECK_FALSE(Choice.next(Fleet, {}, 1, Start + milliseconds(900)));
  CHECK(Choice.anyWithoutPath(Fleet, Start + milliseconds(900)));
  CHECK(Choice.next(Fleet, {}, 1, Start + milliseconds(1000)));
}

TEST_CASE("a server that is down says nothing about the daemons asked") {
  // Guards against relays that are avoided because of one server.
  auto Fleet = fleet(1, 0);
  RelayChoice Choice;
  for (RelayResult Result : {RelayResult::Refused, RelayResult::Silent,
                             RelayResult::UnknownServer}) {
    Choice.answered(Fleet[0], Result, Start);
    CHECK(Choice.next(Fleet, {}, 1, Start));
  }
}
