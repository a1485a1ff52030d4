#include "Process/Configuration/StoreReaders.h"

#include "Common/Hash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace samphireshunt {

namespace {

/// Seed of the choice. Any constant will do, as long as all daemons choose the
/// same members.
constexpr std::string_view ChoiceName = "store-readers";

/// Minimum in fleets that have readers, but at most half of a very small fleet.
constexpr std::size_t MinReaders = 3;

/// The link speed on which a reader's number of followers is based, in Mbit/s.
constexpr std::size_t WeakLinkMbps = 10;

/// How many daemons a reader can serve, including itself.
std::size_t capacityOf(const Member &Reader, std::size_t PerReader) {
  std::size_t Strength = Reader.LinkMbps_ / WeakLinkMbps;
  return PerReader * std::clamp<std::size_t>(Strength, 1, MaxStrongLinkFactor);
}

/// Sorts the best readers first: by strength of the link, then in an order that
/// is the same at all daemons.
void sortAsReaders(std::vector<Member> &Members, std::size_t PerReader) {
  std::uint64_t Seed = stableHash(ChoiceName);
  std::ranges::sort(Members, std::greater<>(), [&](const Member &Candidate) {
    return std::pair(capacityOf(Candidate, PerReader),
                     stableHash(Candidate.Id_.str(), Seed));
  });
}

/// How many of \p Sorted are needed to serve all.
std::size_t readersNeeded(const std::vector<Member> &Sorted,
                          std::size_t PerReader) {
  std::size_t Served = 0;
  auto Enough = std::ranges::find_if(Sorted, [&](const Member &Reader) {
    Served += capacityOf(Reader, PerReader);
    return Served > Sorted.size();
  });
  auto Count = static_cast<std::size_t>(Enough - Sorted.begin());
  return std::max(Count, std::min(MinReaders, Sorted.size() / 2));
}

/// Readers in the daemon's own data centre come first. Among these each daemon
/// has a different order, so that they don't all follow the same one.
std::vector<VmId> inOrderFor(const Member &Self, std::vector<Member> Readers) {
  std::uint64_t Own = stableHash(Self.Id_.str());
  std::ranges::sort(Readers, {}, [&](const Member &Reader) {
    return std::pair(Reader.DataCenter_ != Self.DataCenter_,
                     stableHash(Reader.Id_.str(), Own));
  });
  std::vector<VmId> Names;
  std::ranges::transform(Readers, std::back_inserter(Names), &Member::Id_);
  return Names;
}

} // namespace

ReaderChoice chooseReaders(const Member &Self, std::span<const Member> Alive,
                           std::size_t PerReader) {
  std::vector<Member> Readers(Alive.begin(), Alive.end());
  auto IsSelf = [&](const Member &Reader) { return Reader.Id_ == Self.Id_; };
  if (PerReader == 0 || Alive.size() <= PerReader) {
    std::erase_if(Readers, IsSelf);
    return {StoreRole::Alone, inOrderFor(Self, std::move(Readers))};
  }
  sortAsReaders(Readers, PerReader);
  Readers.resize(readersNeeded(Readers, PerReader));
  if (std::ranges::any_of(Readers, IsSelf))
    return {StoreRole::Reader, {}};
  return {StoreRole::Spare, inOrderFor(Self, std::move(Readers))};
}

} // namespace samphireshunt
