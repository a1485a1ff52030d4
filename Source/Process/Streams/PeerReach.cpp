#include "Process/Streams/PeerReach.h"

#include <algorithm>
#include <functional>
#include <ranges>
#include <set>

namespace samphireshunt {

void PeerReach::heard(const VmId &From, TimePoint Now) {
  if (Silent_.empty())
    return;
  Silent_.erase(From);
  Heard_[From] = Now;
  if (Silent_.empty())
    Heard_.clear();
}

void PeerReach::retain(const std::vector<VmId> &Members) {
  std::set<VmId> Kept(Members.begin(), Members.end());
  auto IsGone = [&](const auto &Item) { return !Kept.contains(Item.first); };
  std::erase_if(Silent_, IsGone);
  std::erase_if(Heard_, IsGone);
}

bool PeerReach::isSilent(const VmId &Other, TimePoint Now) const {
  auto Found = Silent_.find(Other);
  return Found != Silent_.end() && Now - Found->second >= Options_.AnswerTime_;
}

std::size_t PeerReach::heardSince(TimePoint Since) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Heard_, [&](const auto &Item) { return Item.second > Since; }));
}

bool PeerReach::isLost(TimePoint Now) const {
  std::vector<TimePoint> Asked;
  for (const auto &[Id, At] : Silent_)
    if (Now - At >= Options_.AnswerTime_)
      Asked.push_back(At);
  std::ranges::sort(Asked, std::greater());
  for (std::size_t Count = Options_.MinSilent_; Count <= Asked.size(); ++Count)
    if (heardSince(Asked[Count - 1]) * Options_.SilentForEachHeard_ <= Count)
      return true;
  return false;
}

} // namespace samphireshunt
