#include "Process/Streams/PeerReach.h"

namespace samphireshunt {

void PeerReach::asked(const VmId &To, TimePoint Now) {
  if (Silent_.size() < Options_.MinAsked_ && Silent_.insert(To).second)
    Asked_ = Now;
}

bool PeerReach::isLost(TimePoint Now) const {
  return Silent_.size() >= Options_.MinAsked_ &&
         Now - Asked_ >= Options_.AnswerTime_;
}

} // namespace samphireshunt
