#include "Process/Keeping/KeeperChoice.h"

#include "UnitTests/Process/MemberFleet.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

CellId cell(std::uint32_t Index) {
  return {ServiceName("s"), PoolName("p"), Index};
}

} // namespace

TEST_CASE("a choice is cached until a member changes") {
  // Each request needs its cell's keeper, and each change of a member repeats
  // the choice for all waiting and running requests.
  auto Members = fleet(300);
  int Lookups = 0;
  KeeperChoice Choice([&] {
    ++Lookups;
    return Members;
  });
  for (int Round = 0; Round < 100; ++Round)
    for (std::uint32_t Index = 0; Index < 8; ++Index)
      CHECK(Choice.keeperOf(cell(Index), {}) ==
            keeperOf(cell(Index), Members)->Id_);
  CHECK(Lookups == 8);
  VmId Removed = *Choice.keeperOf(cell(0), {});
  std::erase_if(Members, [&](const Member &Candidate) {
    return Candidate.Id_ == Removed;
  });
  Choice.membersChanged();
  CHECK(Choice.keeperOf(cell(0), {}) == keeperOf(cell(0), Members)->Id_);
}

TEST_CASE("unreachable members are skipped") {
  auto Members = fleet(3);
  KeeperChoice Choice([&] { return Members; });
  VmId First = *Choice.keeperOf(cell(0), {});
  VmId Second = *Choice.keeperOf(cell(0), {First});
  CHECK(Second != First);
  CHECK(Choice.keeperOf(cell(0), {}) == First);
  CHECK(Choice.keeperOf(cell(0), {VmId("vm-0"), VmId("vm-1"), VmId("vm-2")}) ==
        std::nullopt);
}

// With many keepers, each would have too small a share of an allotment for a
// single request.
TEST_CASE("a pool of many cells has few keepers, each with as many cells") {
  constexpr std::uint32_t Cells = 62;
  auto Members = fleet(300);
  KeeperChoice Choice([&] { return Members; });
  std::map<VmId, std::uint32_t> CellsOfKeeper;
  for (std::uint32_t Index = 0; Index < Cells; ++Index) {
    VmId Keeper = *Choice.keeperOf(cell(Index), {});
    ++CellsOfKeeper[Keeper];
    CHECK(Keeper == keeperOf(cell(Index % MaxKeepers), Members)->Id_);
  }
  CHECK(CellsOfKeeper.size() <= MaxKeepers);
  for (const auto &[Keeper, Count] : CellsOfKeeper)
    CHECK(Count >= Cells / MaxKeepers);
}
