#include "Process/Scheduling/PrefixIndex.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>

using namespace samphireshunt;

TEST_CASE("the index holds what a plain list of the last blocks holds") {
  bool Holds = rc::check([] {
    constexpr std::size_t MaxBlocks = 8;
    PrefixIndex Index(MaxBlocks);
    std::vector<std::uint64_t> Recent; // Oldest block first.
    auto Prompts = *rc::gen::container<std::vector<std::vector<std::uint64_t>>>(
        rc::gen::container<std::vector<std::uint64_t>>(
            rc::gen::inRange<std::uint64_t>(0, 20)));
    for (auto &Prompt : Prompts) {
      // A prompt never contains a block twice, because the hash covers all text
      // before it.
      std::ranges::sort(Prompt);
      Prompt.erase(std::unique(Prompt.begin(), Prompt.end()), Prompt.end());
      Index.insert(Prompt);
      for (auto Block = Prompt.rbegin(); Block != Prompt.rend(); ++Block) {
        std::erase(Recent, *Block);
        Recent.push_back(*Block);
      }
      while (Recent.size() > MaxBlocks)
        Recent.erase(Recent.begin());
      std::size_t Cached = 0;
      while (Cached < Prompt.size() &&
             std::ranges::count(Recent, Prompt[Cached]))
        ++Cached;
      RC_ASSERT(Index.cachedBlocks(Prompt) == Cached);
      RC_ASSERT(Index.size() == Recent.size());
    }
  });
  CHECK(Holds);
}

TEST_CASE("equal hashes mean equal prefixes, block by block") {
  std::string Common(3 * 256, 'a');
  auto Left = prefixHashes(Common + std::string(256, 'b'));
  auto Right = prefixHashes(Common + std::string(256, 'c'));
  REQUIRE(Left.size() == 4);
  CHECK(std::equal(Left.begin(), Left.begin() + 3, Right.begin()));
  CHECK(Left[3] != Right[3]);
  CHECK(Left[0] != Left[1]); // Equal blocks at different positions differ.
  CHECK(prefixHashes(std::string(255, 'a')).empty());
}

TEST_CASE("the index learns how much an engine holds from what it evicts") {
  PrefixIndex Index(1000);
  std::vector<std::uint64_t> Blocks(300);
  std::iota(Blocks.begin(), Blocks.end(), 1);
  Index.insert(Blocks);
  Index.evicted(std::span(Blocks).last(100));
  CHECK(Index.size() == 200);
  CHECK(Index.maxBlocks() == 200);
  Index.insert(std::span(Blocks).last(100));
  CHECK(Index.size() == 200);
  Index.nothingEvicted();
  CHECK(Index.maxBlocks() == 225);
  Index.clear();
  Index.nothingEvicted();
  // The limit stays while the index is not full.
  CHECK(Index.maxBlocks() == 225);
}
