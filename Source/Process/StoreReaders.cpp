#include "Process/StoreReaders.h"

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

} // namespace

ReaderChoice chooseReaders(const Member &Self, std::span<const Member> Alive,
                           std::size_t PerReader) {
  if (PerReader == 0 || Alive.size() <= PerReader)
    return {StoreRole::Alone, {}};
  std::size_t Least = std::min(LeastReaders, Alive.size() / 2);
  std::size_t Count = std::max(Least, Alive.size() / PerReader);
  std::vector<Member> Readers(Alive.begin(), Alive.end());
  std::ranges::partial_sort(
      Readers, Readers.begin() + static_cast<std::ptrdiff_t>(Count),
      std::greater<>(), weightOf);
  Readers.resize(Count);
  auto IsSelf = [&](const Member &Reader) { return Reader.Id_ == Self.Id_; };
  if (std::ranges::any_of(Readers, IsSelf))
    return {StoreRole::Reader, {}};
  // Those of the own data center first; among these each follower has an order
  // of its own, so that none of them is followed by all.
  std::uint64_t Own = stableHash(Self.Id_.str());
  std::ranges::sort(Readers, {}, [&](const Member &Reader) {
    return std::pair(Reader.DataCenter_ != Self.DataCenter_,
                     stableHash(Reader.Id_.str(), Own));
  });
  ReaderChoice Choice{StoreRole::Spare, {}};
  std::ranges::transform(Readers, std::back_inserter(Choice.Readers_),
                         &Member::Id_);
  return Choice;
}

} // namespace samphireshunt
