#include "Process/Cell.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <set>

using namespace samphireshunt;

namespace {

std::vector<Member> fleet(int Count) {
  std::vector<Member> Members;
  for (int Index = 0; Index < Count; ++Index) {
    Member Built;
    Built.Id_ = VmId(fmt::format("vm-{}", Index));
    Members.push_back(std::move(Built));
  }
  return Members;
}

CellId cell(std::uint32_t Index) {
  return {ServiceName("s"), PoolName("p"), Index};
}

} // namespace

TEST_CASE("a member that goes moves only the cells that it kept") {
  bool Holds = rc::check([] {
    auto Members = fleet(*rc::gen::inRange(2, 20));
    std::ranges::shuffle(Members,
                         std::mt19937(*rc::gen::arbitrary<unsigned>()));
    auto Gone = *rc::gen::inRange<std::size_t>(0, Members.size());
    VmId GoneId = Members[Gone].Id_;
    auto Fewer = Members;
    Fewer.erase(Fewer.begin() + static_cast<std::ptrdiff_t>(Gone));
    for (std::uint32_t Index = 0; Index < 20; ++Index) {
      VmId Before = keeperOf(cell(Index), Members)->Id_;
      VmId After = keeperOf(cell(Index), Fewer)->Id_;
      RC_ASSERT(Before == GoneId || Before == After);
    }
  });
  CHECK(Holds);
}

TEST_CASE("nobody keeps a cell in an empty fleet") {
  CHECK(keeperOf(cell(0), {}) == nullptr);
}

TEST_CASE("a pool's cells hold each server once") {
  Pool Whole;
  for (int Index = 0; Index < 100; ++Index) {
    BackendServer Server;
    Server.Name_ = ServerName(fmt::format("engine-{}", Index));
    Whole.Servers_.push_back(std::move(Server));
  }
  CHECK(cellCount(Whole) == 4);
  std::size_t Sum = 0;
  std::set<std::string> Names;
  for (std::uint32_t Index = 0; Index < cellCount(Whole); ++Index)
    for (const BackendServer *Server : cellServers(Whole, Index)) {
      ++Sum;
      Names.insert(Server->Name_.str());
    }
  CHECK(Sum == 100);
  CHECK(Names.size() == 100);
}
