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

TEST_CASE("members are looked at once until one of them changes") {
  // Load: a request asks for its cell's keeper, and each change of a member
  // asks again for all that wait and run.
  auto Members = fleet(300);
  int Looks = 0;
  KeeperChoice Choice([&] {
    ++Looks;
    return Members;
  });
  for (int Round = 0; Round < 100; ++Round)
    for (std::uint32_t Index = 0; Index < 8; ++Index)
      CHECK(Choice.keeperOf(cell(Index), {}) ==
            keeperOf(cell(Index), Members)->Id_);
  CHECK(Looks == 8);
  VmId Gone = *Choice.keeperOf(cell(0), {});
  std::erase_if(Members, [&](const Member &One) { return One.Id_ == Gone; });
  Choice.membersChanged();
  CHECK(Choice.keeperOf(cell(0), {}) == keeperOf(cell(0), Members)->Id_);
}

TEST_CASE("those that can't be reached are passed over") {
  auto Members = fleet(3);
  KeeperChoice Choice([&] { return Members; });
  VmId First = *Choice.keeperOf(cell(0), {});
  VmId Second = *Choice.keeperOf(cell(0), {First});
  CHECK(Second != First);
  CHECK(Choice.keeperOf(cell(0), {}) == First);
  CHECK(Choice.keeperOf(cell(0), {VmId("vm-0"), VmId("vm-1"), VmId("vm-2")}) ==
        std::nullopt);
}

// Each of many keepers has too small a part of an allotment for a request.
TEST_CASE("a pool of many cells has few keepers, each with as many cells") {
  constexpr std::uint32_t Cells = 62;
  auto Members = fleet(300);
  KeeperChoice Choice([&] { return Members; });
  std::map<VmId, std::uint32_t> Kept;
  for (std::uint32_t Index = 0; Index < Cells; ++Index) {
    VmId Keeper = *Choice.keeperOf(cell(Index), {});
    ++Kept[Keeper];
    CHECK(Keeper == keeperOf(cell(Index % MostKeepers), Members)->Id_);
  }
  CHECK(Kept.size() <= MostKeepers);
  for (const auto &[Keeper, Count] : Kept)
    CHECK(Count >= Cells / MostKeepers);
}
