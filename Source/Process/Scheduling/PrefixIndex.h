#pragma once
/// \file
/// An index of the prompt blocks that an engine has likely cached, learned from
/// the requests sent to it and from its cache events. A wrong entry costs only
/// time.

#include "Common/Ids.h"

#include <cstdint>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphireshunt {

/// Number of tokens in one block of a prompt.
inline constexpr std::int64_t BlockTokens = 64;

/// Computes a hash for each whole block of the prompt, over all text up to the
/// end of the block: equal hashes mean equal prefixes.
std::vector<std::uint64_t> prefixHashes(std::string_view Prompt);
/// A part of a prompt that other prompts may begin with too. Parts are listed
/// in prompt order.
struct PromptPart {
  std::uint64_t Id_ = 0;
  Tokens Length_;
};
/// \returns the ids of the parts that other prompts may share: all but the
/// last.
std::vector<std::uint64_t> sharedParts(std::span<const PromptPart> Parts);
/// Computes the hashes for a prompt of which only the parts are known.
std::vector<std::uint64_t> prefixHashes(std::span<const PromptPart> Parts);
/// Estimates the length of a prompt in tokens without the model's tokenizer, at
/// four bytes per token.
Tokens estimateTokens(std::string_view Prompt);

class PrefixIndex {
public:
  explicit PrefixIndex(std::size_t MaxBlocks = 65536)
      : Ceiling_(MaxBlocks), MaxBlocks_(MaxBlocks) {}

  void insert(std::span<const std::uint64_t> Prefix);
  /// Removes blocks that the engine evicted because its cache was full. The
  /// number of remaining blocks is about the engine's capacity and becomes the
  /// limit.
  void evicted(std::span<const std::uint64_t> Blocks);
  /// Raises the limit because the engine evicted nothing recently: it may hold
  /// more than was assumed.
  void nothingEvicted();
  void clear();
  /// \returns the number of leading blocks of \p Prefix that are cached.
  std::size_t cachedBlocks(std::span<const std::uint64_t> Prefix) const;
  bool contains(std::uint64_t Block) const { return ByHash_.contains(Block); }
  std::size_t size() const { return ByHash_.size(); }
  /// True when the engine likely has no room for more blocks.
  bool full() const { return ByHash_.size() + FullMargin >= MaxBlocks_; }
  std::size_t maxBlocks() const { return MaxBlocks_; }

private:
  static constexpr std::size_t FullMargin = 64;

  void touch(std::uint64_t Block);
  void dropOldest();

  std::size_t Ceiling_; ///< MaxBlocks_ never grows above it.
  std::size_t MaxBlocks_;
  std::list<std::uint64_t> LeastRecent_; ///< Front is the oldest.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> ByHash_;
};

} // namespace samphireshunt
