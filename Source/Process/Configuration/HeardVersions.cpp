#include "Process/Configuration/HeardVersions.h"

namespace samphireshunt {

void HeardVersions::heard(const VmId &Peer, DocumentVersion Version,
                          DocumentVersion Active, TimePoint Now) {
  if (Version <= Active || (Newest_ && Version <= Newest_->Version_))
    return;
  std::erase_if(DistrustedUntil_,
                [Now](const auto &Item) { return Item.second <= Now; });
  if (!DistrustedUntil_.contains(Peer))
    Newest_ = Named{Peer, Version, Now};
}

void HeardVersions::notHandedOver(const VmId &Peer, TimePoint Now) {
  DistrustedUntil_[Peer] = Now + Options_.Distrust_;
  if (Newest_ && Newest_->By_ == Peer)
    Newest_.reset();
}

std::optional<HeardVersions::Named>
HeardVersions::missing(DocumentVersion Active, TimePoint Now) {
  if (Newest_ && Newest_->Version_ <= Active)
    Newest_.reset();
  if (Newest_ && Now - Newest_->Since_ >= Options_.GiveUp_)
    notHandedOver(VmId(Newest_->By_), Now);
  return Newest_;
}

std::optional<HeardVersions::Named> HeardVersions::due(DocumentVersion Active,
                                                       TimePoint Now) {
  auto Wanted = missing(Active, Now);
  bool Due = Wanted && Now - Wanted->Since_ >= Options_.Patience_;
  return Due ? Wanted : std::nullopt;
}

} // namespace samphireshunt
