#include "Process/Configuration/StoreReaders.h"

#include "Common/Hash.h"

#include <algorithm>

namespace samphireshunt {

namespace {

/// Any constant: the same members are chosen everywhere.
constexpr std::string_view ChoiceName = "store-readers";

/// In fleets that have readers; of a very small one, half.
constexpr std::size_t LeastReaders = 3;

std::uint64_t weightOf(const Member &Candidate) {
  return stableHash(Candidate.Id_.str(), stableHash(ChoiceName));
}

/// Those of the own data center first; among these each daemon has an order of
/// its own, so that none of them is followed by all.
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
  std::size_t Least = std::min(LeastReaders, Alive.size() / 2);
  std::size_t Count = std::max(Least, Alive.size() / PerReader);
  std::ranges::partial_sort(
      Readers, Readers.begin() + static_cast<std::ptrdiff_t>(Count),
      std::greater<>(), weightOf);
  Readers.resize(Count);
  if (std::ranges::any_of(Readers, IsSelf))
    return {StoreRole::Reader, {}};
  return {StoreRole::Spare, inOrderFor(Self, std::move(Readers))};
}

} // namespace samphireshunt
