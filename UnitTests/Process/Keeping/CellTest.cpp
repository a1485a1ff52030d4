#include "Process/Keeping/Cell.h"

#include "UnitTests/Process/MemberFleet.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <set>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

Pool poolOf(int Count) {
  Pool Whole;
  for (int Index = 0; Index < Count; ++Index) {
    BackendServer Server;
    Server.Name_ = ServerName(fmt::format("engine-{}", Index));
    Whole.Servers_.push_back(std::move(Server));
  }
  return Whole;
}

CellId cell(std::uint32_t Index) {
  return {ServiceName("s"), PoolName("p"), Index};
}

} // namespace

TEST_CASE("removing a member moves only the cells that it scheduled") {
  bool Holds = rc::check([] {
    auto Members = fleet(*rc::gen::inRange(2, 20));
    std::ranges::shuffle(Members,
                         std::mt19937(*rc::gen::arbitrary<unsigned>()));
    auto RemovedIndex = *rc::gen::inRange<std::size_t>(0, Members.size());
    VmId RemovedId = Members[RemovedIndex].Id_;
    auto Remaining = Members;
    Remaining.erase(Remaining.begin() +
                    static_cast<std::ptrdiff_t>(RemovedIndex));
    for (std::uint32_t Index = 0; Index < 20; ++Index) {
      VmId Before = keeperOf(cell(Index), Members)->Id_;
      VmId After = keeperOf(cell(Index), Remaining)->Id_;
      RC_ASSERT(Before == RemovedId || Before == After);
    }
  });
  CHECK(Holds);
}

TEST_CASE("daemons with weak links schedule cells only if no link is strong") {
  // In a burst, callers would get no answer for seconds, not even a refusal,
  // and engines would work at half of their capacity, if keepers were chosen
  // without regard to their links: at twice the usual load, the messages of a
  // cell's requests saturate the link of a keeper that has a twentieth of the
  // others' bandwidth.
  auto Members = fleet(40);
  for (std::size_t Index = 0; Index < Members.size(); ++Index)
    Members[Index].LinkMbps_ = Index % 10 == 0 ? 200 : 10;
  std::set<VmId> Chosen;
  for (std::uint32_t Index = 0; Index < 200; ++Index) {
    const Member *Keeper = keeperOf(cell(Index), Members);
    CHECK(Keeper->LinkMbps_ == 200);
    Chosen.insert(Keeper->Id_);
  }
  CHECK(Chosen.size() == 4);
  std::erase_if(Members, [](const Member &Candidate) {
    return Candidate.LinkMbps_ > 10;
  });
  CHECK(keeperOf(cell(0), Members) != nullptr);
}

TEST_CASE("a cell has no keeper in an empty fleet") {
  CHECK(keeperOf(cell(0), {}) == nullptr);
}

TEST_CASE("a pool's cells contain each server once") {
  Pool Whole = poolOf(100);
  CHECK(cellCount(Whole) == 3);
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

TEST_CASE("restarted engines beside their old entries move no engine") {
  // Under load, engines would get up to twice their limit, from keepers that
  // don't know how fast they are. If 15 of 60 engines crash and return under
  // new names while their old entries remain, the pool has 75 servers. If the
  // pool then got a third cell, nearly all engines would move to keepers that
  // don't know what runs there.
  Pool Before = poolOf(60);
  Pool After = poolOf(75);
  CHECK(cellCount(After) == cellCount(Before));
  for (std::uint32_t Index = 0; Index < cellCount(Before); ++Index)
    for (const BackendServer *Server : cellServers(Before, Index))
      CHECK(cellOf(Server->Name_, cellCount(After)) == Index);
}

TEST_CASE(
    "an additional cell takes only its share of the other cells' servers") {
  Pool Whole = poolOf(1500);
  for (std::uint32_t Count = 1; Count < 32; ++Count) {
    int Moved = 0;
    for (const BackendServer &Server : Whole.Servers_) {
      auto Before = cellOf(Server.Name_, Count);
      auto After = cellOf(Server.Name_, Count + 1);
      CHECK((After == Before || After == Count));
      Moved += After != Before;
    }
    double Fraction = static_cast<double>(Moved) / 1500;
    CHECK(Fraction == doctest::Approx(1.0 / (Count + 1)).epsilon(0.35));
  }
}

TEST_CASE("cells get requests as they have servers") {
  // At the capacity limit, some cells would refuse requests while others have
  // free slots: 320 servers are split into seven cells of 38 to 55 servers, so
  // an equal share of the requests per cell overloads the small ones.
  Pool Whole = poolOf(320);
  std::uint32_t Count = cellCount(Whole);
  REQUIRE(Count == 7);
  constexpr int Requests = 32000;
  std::vector<int> RequestsOfCell(Count, 0);
  std::mt19937_64 Random(1);
  for (int Index = 0; Index < Requests; ++Index)
    ++RequestsOfCell[cellForKey(Whole, Random())];
  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    double PerServer = RequestsOfCell[Index] /
                       static_cast<double>(cellServers(Whole, Index).size());
    CHECK(PerServer == doctest::Approx(100).epsilon(0.08));
  }
}

TEST_CASE("a stream asks only at cells that have servers of its version") {
  // Guards against a version of few servers in a large pool whose streams are
  // refused by cells without any.
  Pool Whole = poolOf(400);
  Whole.Servers_[7].Version_ = SoftwareVersion("v2");
  Whole.Servers_[90].Version_ = SoftwareVersion("v2");
  auto Cells = cellsOfVersion(Whole, SoftwareVersion("v2"), 1);
  std::set<std::uint32_t> Expected = {
      cellOf(Whole.Servers_[7].Name_, cellCount(Whole)),
      cellOf(Whole.Servers_[90].Name_, cellCount(Whole))};
  CHECK(std::set(Cells.begin(), Cells.end()) == Expected);
  CHECK(Cells.size() == Expected.size());
  CHECK(cellsOfVersion(Whole, SoftwareVersion("v3"), 1).empty());
}

TEST_CASE("removing a server moves only its own sessions to other cells") {
  Pool Whole = poolOf(320);
  Pool Remaining = Whole;
  Remaining.Servers_.erase(Remaining.Servers_.begin() + 100);
  REQUIRE(cellCount(Remaining) == cellCount(Whole));
  constexpr int Sessions = 3200;
  int Moved = 0;
  std::mt19937_64 Random(1);
  for (int Index = 0; Index < Sessions; ++Index) {
    std::uint64_t Session = Random();
    Moved += cellForKey(Whole, Session) != cellForKey(Remaining, Session);
  }
  // One of 320 servers has ten of the sessions.
  CHECK(Moved <= 20);
}
