#include "Process/Keeping/KeeperChoice.h"

#include <algorithm>

namespace samphireshunt {

namespace {
/// Others are forgotten beyond so many: who is unreachable differs each time.
constexpr std::size_t MostKnown = 1000;
} // namespace

std::optional<VmId>
KeeperChoice::keeperOf(const CellId &Cell,
                       const std::vector<VmId> &Unreachable) {
  std::pair Asked(keptWith(Cell), Unreachable);
  auto Found = Known_.find(Asked);
  if (Found != Known_.end())
    return Found->second;
  std::vector<Member> Able = Candidates_();
  std::erase_if(Able, [&](const Member &Candidate) {
    return std::ranges::binary_search(Unreachable, Candidate.Id_);
  });
  const Member *Keeper = samphireshunt::keeperOf(Asked.first, Able);
  if (Known_.size() >= MostKnown)
    Known_.clear();
  auto Chosen = Keeper ? std::optional(Keeper->Id_) : std::nullopt;
  Known_[std::move(Asked)] = Chosen;
  return Chosen;
}

} // namespace samphireshunt
