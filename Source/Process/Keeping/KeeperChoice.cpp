#include "Process/Keeping/KeeperChoice.h"

#include <algorithm>

namespace samphireshunt {

namespace {
/// The cache is cleared at this size, because the set of unreachable members is
/// part of its keys and differs each time.
constexpr std::size_t MaxCached = 1000;
} // namespace

std::optional<VmId>
KeeperChoice::keeperOf(const CellId &Cell,
                       const std::vector<VmId> &Unreachable) {
  std::pair Key(keeperCell(Cell), Unreachable);
  auto Found = Known_.find(Key);
  if (Found != Known_.end())
    return Found->second;
  std::vector<Member> Candidates = Candidates_();
  std::erase_if(Candidates, [&](const Member &Candidate) {
    return std::ranges::binary_search(Unreachable, Candidate.Id_);
  });
  const Member *Keeper = samphireshunt::keeperOf(Key.first, Candidates);
  if (Known_.size() >= MaxCached)
    Known_.clear();
  auto Chosen = Keeper ? std::optional(Keeper->Id_) : std::nullopt;
  Known_[std::move(Key)] = Chosen;
  return Chosen;
}

} // namespace samphireshunt
