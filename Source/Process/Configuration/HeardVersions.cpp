#include "Process/Configuration/HeardVersions.h"

namespace samphireshunt {

void HeardVersions::heard(const VmId &By, DocumentVersion Version,
                          DocumentVersion InForce, TimePoint Now) {
  if (Version <= InForce || (Newest_ && Version <= Newest_->Version_))
    return;
  std::erase_if(DistrustedUntil_,
                [Now](const auto &Item) { return Item.second <= Now; });
  if (!DistrustedUntil_.contains(By))
    Newest_ = Named{By, Version, Now};
}

void HeardVersions::notHandedOver(const VmId &By, TimePoint Now) {
  DistrustedUntil_[By] = Now + Options_.Distrust_;
  if (Newest_ && Newest_->By_ == By)
    Newest_.reset();
}

std::optional<HeardVersions::Named>
HeardVersions::missing(DocumentVersion InForce, TimePoint Now) {
  if (Newest_ && Newest_->Version_ <= InForce)
    Newest_.reset();
  if (Newest_ && Now - Newest_->Since_ >= Options_.GiveUp_)
    notHandedOver(VmId(Newest_->By_), Now);
  return Newest_;
}

std::optional<HeardVersions::Named> HeardVersions::due(DocumentVersion InForce,
                                                       TimePoint Now) {
  auto Wanted = missing(InForce, Now);
  bool Due = Wanted && Now - Wanted->Since_ >= Options_.Patience_;
  return Due ? Wanted : std::nullopt;
}

} // namespace samphireshunt
