#include "Process/Scheduling/PrefixIndex.h"

#include "Common/Hash.h"

#include <algorithm>
#include <iterator>

namespace samphireshunt {

namespace {
constexpr std::int64_t BytesPerToken = 4;
/// Lower bound of the assumed capacity.
constexpr std::size_t MinBlocks = 64;
/// The assumed capacity grows by 1/GrowthDivisor while nothing is evicted.
constexpr std::size_t GrowthDivisor = 8;
constexpr std::size_t BlockBytes = BlockTokens * BytesPerToken;
} // namespace

std::vector<std::uint64_t> prefixHashes(std::string_view Prompt) {
  std::vector<std::uint64_t> Hashes;
  std::uint64_t Before = 0;
  while (Prompt.size() >= BlockBytes) {
    Before = stableHash(Prompt.substr(0, BlockBytes), Before);
    Hashes.push_back(Before);
    Prompt.remove_prefix(BlockBytes);
  }
  return Hashes;
}

std::vector<std::uint64_t> sharedParts(std::span<const PromptPart> Parts) {
  std::vector<std::uint64_t> Ids;
  if (!Parts.empty())
    std::ranges::transform(Parts.first(Parts.size() - 1),
                           std::back_inserter(Ids), &PromptPart::Id_);
  return Ids;
}

std::vector<std::uint64_t> prefixHashes(std::span<const PromptPart> Parts) {
  std::vector<std::uint64_t> Hashes;
  std::uint64_t Before = 0;
  std::int64_t Covered = 0;
  std::int64_t Length = 0;
  for (const PromptPart &Part : Parts) {
    Length += Part.Length_.count();
    Before = stableHash(std::to_string(Part.Id_), Before);
    // A block that spans two parts belongs to the later one.
    while (Covered + BlockTokens <= Length) {
      Covered += BlockTokens;
      Hashes.push_back(stableHash(std::to_string(Covered), Before));
    }
  }
  return Hashes;
}

Tokens estimateTokens(std::string_view Prompt) {
  auto Bytes = static_cast<std::int64_t>(Prompt.size());
  return Tokens((Bytes + BytesPerToken - 1) / BytesPerToken);
}

void PrefixIndex::insert(std::span<const std::uint64_t> Prefix) {
  // The last block is inserted first, so that the first block, which every
  // longer prefix needs, is evicted last.
  std::for_each(Prefix.rbegin(), Prefix.rend(),
                [this](std::uint64_t Block) { touch(Block); });
  dropOldest();
}

void PrefixIndex::dropOldest() {
  while (ByHash_.size() > MaxBlocks_) {
    ByHash_.erase(LeastRecent_.front());
    LeastRecent_.pop_front();
  }
}

void PrefixIndex::touch(std::uint64_t Block) {
  auto Found = ByHash_.find(Block);
  if (Found != ByHash_.end()) {
    LeastRecent_.splice(LeastRecent_.end(), LeastRecent_, Found->second);
    return;
  }
  LeastRecent_.push_back(Block);
  ByHash_[Block] = std::prev(LeastRecent_.end());
}

void PrefixIndex::evicted(std::span<const std::uint64_t> Blocks) {
  for (std::uint64_t Block : Blocks) {
    auto Found = ByHash_.find(Block);
    if (Found == ByHash_.end())
      continue;
    LeastRecent_.erase(Found->second);
    ByHash_.erase(Found);
  }
  MaxBlocks_ =
      std::clamp(ByHash_.size(), std::min(MinBlocks, Ceiling_), Ceiling_);
}

void PrefixIndex::nothingEvicted() {
  bool Full = ByHash_.size() >= MaxBlocks_;
  if (Full)
    MaxBlocks_ = std::min(Ceiling_, MaxBlocks_ + MaxBlocks_ / GrowthDivisor);
}

void PrefixIndex::clear() {
  ByHash_.clear();
  LeastRecent_.clear();
}

std::size_t
PrefixIndex::cachedBlocks(std::span<const std::uint64_t> Prefix) const {
  auto FirstMissing = std::ranges::find_if(
      Prefix, [this](std::uint64_t Block) { return !ByHash_.contains(Block); });
  return static_cast<std::size_t>(FirstMissing - Prefix.begin());
}

} // namespace samphireshunt
