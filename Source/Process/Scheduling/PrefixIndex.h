#pragma once
/// \file
/// Which blocks of prompts an engine has likely cached, from what was sent to
/// it and from its cache events. A wrong entry only costs time.

#include "Common/Ids.h"

#include <cstdint>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphireshunt {

/// Tokens in one block of a prompt.
inline constexpr std::int64_t BlockTokens = 64;

/// The hash of each whole block of the prompt, each over all text before its
/// end: equal hashes mean equal prefixes.
std::vector<std::uint64_t> prefixHashes(std::string_view Prompt);
/// A part of a prompt that other prompts may begin with too; parts stand in
/// order.
struct PromptPart {
  std::uint64_t Id_ = 0;
  Tokens Length_;
};
/// The same for a prompt of which only its parts are known.
std::vector<std::uint64_t> prefixHashes(std::span<const PromptPart> Parts);
/// A prompt's length in tokens, as far as that can be told without the
/// model's tokenizer: four bytes to a token.
Tokens estimateTokens(std::string_view Prompt);

class PrefixIndex {
public:
  explicit PrefixIndex(std::size_t MaxBlocks = 65536)
      : Ceiling_(MaxBlocks), MaxBlocks_(MaxBlocks) {}

  void insert(std::span<const std::uint64_t> Prefix);
  /// The engine evicted these blocks, since its cache was full: what is left
  /// is about what it can hold, and more is not believed from now on.
  void evicted(std::span<const std::uint64_t> Blocks);
  /// The engine evicted nothing lately: it may hold more than was thought.
  void nothingEvicted();
  void clear();
  /// How many leading blocks of \p Prefix are cached.
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
