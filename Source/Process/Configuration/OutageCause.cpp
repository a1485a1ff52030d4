#include "Process/Configuration/OutageCause.h"

#include <utility>

namespace samphireshunt {

std::string_view outageCauseName(OutageCause Cause) {
  return Cause == OutageCause::Own ? "own" : "service";
}

void OutageObserver::heardOther(BootTime Now) {
  if (LastHeard_ && Now - *LastHeard_ >= Options_.MinSilence_)
    Silence_ = Silence{*LastHeard_, Now};
  LastHeard_ = Now;
}

void OutageObserver::lost(BootTime Now) {
  if (!Lost_)
    Lost_ = Now;
}

OutageCause OutageObserver::regained(BootTime Now) {
  auto Lost = std::exchange(Lost_, std::nullopt);
  auto Heard = Silence_;
  if (LastHeard_ && Now - *LastHeard_ >= Options_.MinSilence_)
    Heard = Silence{*LastHeard_, Now};
  if (!Lost || !Heard)
    return OutageCause::Service;
  // A silence that began or ended at another time has another cause. A process
  // that didn't run notices the loss only after it.
  bool BeganTogether = Heard->Begin_ <= *Lost + Options_.MinSilence_ &&
                       (Heard->Begin_ + Options_.MaxNoticeTime_ >= *Lost ||
                        Heard->End_ <= *Lost);
  bool EndedTogether = Heard->End_ + Options_.MaxRegainTime_ >= Now;
  return BeganTogether && EndedTogether ? OutageCause::Own
                                        : OutageCause::Service;
}

} // namespace samphireshunt
