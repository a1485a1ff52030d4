#include "Process/Configuration/StoreReaders.h"

#include "UnitTests/Process/MemberFleet.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

/// A fleet of \p Count daemons, of which \p Strong have a link of 200 Mbit/s
/// and the others of 20.
std::vector<Member> fleetOfMixedLinks(int Count, int Strong) {
  constexpr std::uint32_t StrongMbps = 200;
  constexpr std::uint32_t WeakMbps = 20;
  auto Members = fleet(Count);
  for (int Index = 0; Index < Count; ++Index)
    Members[static_cast<std::size_t>(Index)].LinkMbps_ =
        Index < Strong ? StrongMbps : WeakMbps;
  return Members;
}

std::vector<Member> readersOf(const std::vector<Member> &Members) {
  std::vector<Member> Readers;
  std::ranges::copy_if(
      Members, std::back_inserter(Readers), [&](const Member &Self) {
        return chooseReaders(Self, Members, DaemonsPerReader).Role_ ==
               StoreRole::Reader;
      });
  return Readers;
}

} // namespace

TEST_CASE("in a small fleet every daemon reads the service itself") {
  auto Members = fleet(12);
  for (const Member &Self : Members) {
    ReaderChoice Choice = chooseReaders(Self, Members, DaemonsPerReader);
    CHECK(Choice.Role_ == StoreRole::Alone);
    // All others, in case it loses the service.
    CHECK(Choice.Readers_.size() == 11);
    CHECK(std::ranges::count(Choice.Readers_, Self.Id_) == 0);
  }
}

TEST_CASE("in a large fleet all daemons choose the same few readers, and "
          "followers are spread evenly") {
  // If 89 daemons each had a watch and reads of their own, they would make a
  // hundred calls a second to the service.
  auto Members = fleet(89);
  std::set<VmId> Readers;
  std::map<VmId, int> Followers;
  int ReadersByRole = 0;
  for (const Member &Self : Members) {
    ReaderChoice Choice = chooseReaders(Self, Members, DaemonsPerReader);
    ReadersByRole += Choice.Role_ == StoreRole::Reader;
    if (Choice.Role_ == StoreRole::Reader)
      continue;
    REQUIRE(Choice.Readers_.size() == 7);
    Readers.insert(Choice.Readers_.begin(), Choice.Readers_.end());
    ++Followers[Choice.Readers_.front()];
  }
  CHECK(Readers.size() == 7);
  CHECK(ReadersByRole == 7);
  CHECK(std::ranges::all_of(
      Followers, [](const auto &Item) { return Item.second <= 25; }));
}

TEST_CASE("a reader in the same data centre is preferred") {
  auto Members = fleet(60);
  std::set<DataCenterName> WithReader;
  for (const Member &Self : Members)
    if (chooseReaders(Self, Members, DaemonsPerReader).Role_ ==
        StoreRole::Reader)
      WithReader.insert(Self.DataCenter_);
  for (const Member &Self : Members) {
    ReaderChoice Choice = chooseReaders(Self, Members, DaemonsPerReader);
    if (Choice.Readers_.empty() || !WithReader.contains(Self.DataCenter_))
      continue;
    auto First =
        std::ranges::find(Members, Choice.Readers_.front(), &Member::Id_);
    CHECK(First->DataCenter_ == Self.DataCenter_);
  }
}

TEST_CASE("a reader that leaves is replaced by one other, and the rest stay") {
  auto Members = fleet(60);
  std::set<VmId> Before;
  for (const Member &Self : Members)
    if (chooseReaders(Self, Members, DaemonsPerReader).Role_ ==
        StoreRole::Reader)
      Before.insert(Self.Id_);
  std::erase_if(Members,
                [&](const Member &One) { return One.Id_ == *Before.begin(); });
  std::set<VmId> After;
  for (const Member &Self : Members)
    if (chooseReaders(Self, Members, DaemonsPerReader).Role_ ==
        StoreRole::Reader)
      After.insert(Self.Id_);
  std::set<VmId> Stayed;
  std::ranges::set_intersection(Before, After,
                                std::inserter(Stayed, Stayed.begin()));
  CHECK(Stayed.size() >= Before.size() - 1);
}

TEST_CASE("in a fleet of hundreds few read the service, those with strong "
          "links") {
  // If the number of readers grew with the fleet, as if all links were as weak
  // as the weakest, 295 daemons would have 24 readers. Each asks twice a second
  // whether its state is complete, so calls to the platform's service would be
  // the largest part of the fleet's cost while nothing changes.
  auto Members = fleetOfMixedLinks(295, 18);
  auto Readers = readersOf(Members);
  CHECK(Readers.size() == 6);
  CHECK(std::ranges::all_of(
      Readers, [](const Member &Reader) { return Reader.LinkMbps_ == 200; }));
  std::map<VmId, int> Followers;
  for (const Member &Self : Members) {
    auto Choice = chooseReaders(Self, Members, DaemonsPerReader);
    if (Choice.Role_ == StoreRole::Spare)
      ++Followers[Choice.Readers_.front()];
  }
  CHECK(std::ranges::all_of(
      Followers, [](const auto &Item) { return Item.second <= 2 * 48; }));
}

TEST_CASE("a fleet without strong links has more readers") {
  // All strong VMs are lost at once.
  auto Members = fleetOfMixedLinks(277, 0);
  CHECK(readersOf(Members).size() == 11);
  // With too few strong links, daemons on weak links take the rest.
  auto Mixed = readersOf(fleetOfMixedLinks(295, 2));
  CHECK(Mixed.size() == 10);
}
