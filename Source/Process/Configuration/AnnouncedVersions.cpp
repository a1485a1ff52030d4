#include "Process/Configuration/AnnouncedVersions.h"

#include "Version/VersionedDocument.h"

namespace samphireshunt {

void AnnouncedVersions::noteAnnounced(const VmId &Peer, DocumentVersion Version,
                                      DocumentVersion Active, TimePoint Now) {
  if (Version > MaxDocumentVersion || Version <= Active ||
      (Newest_ && Version <= Newest_->Version_))
    return;
  std::erase_if(IgnoredUntil_,
                [Now](const auto &Item) { return Item.second <= Now; });
  if (!IgnoredUntil_.contains(Peer))
    Newest_ = Announcement{Peer, Version, Now, Now};
}

void AnnouncedVersions::notDelivered(const VmId &Peer, TimePoint Now) {
  IgnoredUntil_[Peer] = Now + Options_.IgnoreTime_;
  if (Newest_ && Newest_->Announcer_ == Peer)
    Newest_.reset();
}

bool AnnouncedVersions::waitsFor(DocumentVersion Arriving,
                                 std::chrono::nanoseconds MaxWait,
                                 TimePoint Now) {
  if (!Newest_)
    return true;
  bool Limited = MaxWait.count() > 0 && Newest_->Version_ > Arriving;
  if (Limited && Now - Newest_->Since_ >= MaxWait)
    return false;
  Newest_->AskableSince_ = Now;
  return true;
}

std::optional<AnnouncedVersions::Announcement>
AnnouncedVersions::missing(DocumentVersion Active, TimePoint Now) {
  if (Newest_ && Newest_->Version_ <= Active)
    Newest_.reset();
  if (Newest_ && Now - Newest_->AskableSince_ >= Options_.DeliveryTimeout_)
    notDelivered(VmId(Newest_->Announcer_), Now);
  return Newest_;
}

std::optional<AnnouncedVersions::Announcement>
AnnouncedVersions::due(DocumentVersion Active, TimePoint Now) {
  auto Wanted = missing(Active, Now);
  bool Due = Wanted && Now - Wanted->Since_ >= Options_.RequestDelay_;
  return Due ? Wanted : std::nullopt;
}

} // namespace samphireshunt
