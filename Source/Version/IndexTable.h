#pragma once
/// \file
/// Finds the elements of a list by a hash, in 12 bytes an element.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace samphireshunt {

/// A hash table of the indices of a list, which holds the elements themselves.
/// Its slots are one array: a table with a node for each element takes five
/// times as much.
class IndexTable {
public:
  IndexTable() = default;
  /// Makes room for \p Count elements; more must not be added.
  explicit IndexTable(std::size_t Count) : Slots_(Count + Count / 2 + 1) {}

  /// \returns the index that was added with \p Hash and for which
  /// \p IsWanted(index) is true.
  template <class Predicate>
  std::optional<std::size_t> find(std::uint64_t Hash,
                                  Predicate IsWanted) const {
    if (Slots_.empty())
      return std::nullopt;
    const Slot &Found = Slots_[slotOf(Hash, IsWanted)];
    return Found.Position_ == 0
               ? std::nullopt
               : std::optional(Found.Position_ - std::size_t(1));
  }

  /// Adds \p Index unless an element with \p Hash is there for which
  /// \p IsEqual(its index) is true.
  template <class Predicate>
  void tryAdd(std::uint64_t Hash, std::size_t Index, Predicate IsEqual) {
    Slot &Found = Slots_[slotOf(Hash, IsEqual)];
    if (Found.Position_ == 0)
      Found = {static_cast<std::uint32_t>(Index + 1), tagOf(Hash)};
  }

private:
  struct Slot {
    std::uint32_t Position_ = 0; ///< Index plus 1; 0 if the slot is free.
    /// Part of the hash: most other elements are told apart without a look at
    /// them.
    std::uint32_t Tag_ = 0;
  };

  static std::uint32_t tagOf(std::uint64_t Hash) {
    return static_cast<std::uint32_t>(Hash);
  }

  /// \returns the slot of the element, or the free one where it belongs. There
  /// is a free one, since a third of them are.
  template <class Predicate>
  std::size_t slotOf(std::uint64_t Hash, Predicate IsWanted) const {
    constexpr int HalfBits = 32;
    std::size_t At = ((Hash >> HalfBits) * Slots_.size()) >> HalfBits;
    while (Slots_[At].Position_ != 0) {
      const Slot &Known = Slots_[At];
      if (Known.Tag_ == tagOf(Hash) &&
          IsWanted(Known.Position_ - std::size_t(1)))
        break;
      At = At + 1 == Slots_.size() ? 0 : At + 1;
    }
    return At;
  }

  std::vector<Slot> Slots_;
};

} // namespace samphireshunt
