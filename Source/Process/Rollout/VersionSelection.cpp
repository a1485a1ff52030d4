#include "Process/Rollout/VersionSelection.h"

#include <algorithm>
#include <iterator>

namespace samphireshunt {

void VersionSelection::setOrder(std::optional<RolloutOrder> Order,
                                StorePosition Written) {
  Order_ = std::move(Order);
  OrderPosition_ = Written;
}

bool VersionSelection::apply(const RolloutRecord &Newer) {
  if (Record_ && !Newer.supersedes(*Record_))
    return false;
  Record_ = Newer;
  if (Newer.Stage_ == RolloutStage::Completed)
    Admitted_ = {Newer.Target_};
  else
    Admitted_ = Newer.Base_;
  return true;
}

bool VersionSelection::recordAnswersOrder() const {
  return Order_ && Record_ && Record_->answers(*Order_, OrderPosition_);
}

bool VersionSelection::inProgress() const {
  if (Record_ && !Record_->ended())
    return true;
  return Order_ && !recordAnswersOrder();
}

/// True for the target of an order until it is proven, and of an order that was
/// reverted. An order for the only version in service changes nothing.
bool VersionSelection::onTrial(const SoftwareVersion &Version) const {
  bool OnlyOne = Admitted_.size() == 1 && Admitted_.contains(Version);
  bool Ordered =
      Order_ && !recordAnswersOrder() && Order_->Target_ == Version && !OnlyOne;
  bool Unproven = Record_ && Record_->Stage_ != RolloutStage::Completed &&
                  Record_->Target_ == Version;
  return Ordered || Unproven;
}

/// True for versions that a completed roll-out has replaced. Their entries stay
/// for a while after the servers have stopped.
bool VersionSelection::isRetired(const SoftwareVersion &Version) const {
  return Record_ && Record_->Stage_ == RolloutStage::Completed &&
         Record_->Base_.contains(Version);
}

bool VersionSelection::isHeldBack(const SoftwareVersion &Version) const {
  return !Admitted_.contains(Version) && !onTrial(Version) &&
         !isRetired(Version);
}

void VersionSelection::note(const std::vector<BackendServer> &Registered,
                            BootTime Now) {
  std::map<ServerName, KnownServer> Noted;
  for (const BackendServer &Server : Registered) {
    auto Known = Servers_.find(Server.Name_);
    bool IsNew = Known == Servers_.end();
    Noted[Server.Name_] = {Server.Version_, Server.DataCenter_,
                           IsNew ? Now : Known->second.FirstSeen_,
                           IsNew ? Server.WarmUp_ : Known->second.WarmUp_,
                           Server.Leaving_};
  }
  Servers_ = std::move(Noted);
}

/// Admits versions that were held back long enough. All versions that a daemon
/// finds when it starts are admitted at once, and so are all if nothing else
/// could serve.
void VersionSelection::admit(BootTime Now) {
  NextAdmission_.reset();
  bool AnyServes = count([this](const SoftwareVersion &Version) {
                     return Admitted_.contains(Version);
                   }) > 0;
  std::set<SoftwareVersion> Due;
  for (const auto &[Name, Server] : Servers_) {
    const SoftwareVersion &Version = Server.Version_;
    if (!isHeldBack(Version))
      continue;
    BootTime At = Server.FirstSeen_ + HoldTime;
    if (!AnyServes || Now >= At)
      Due.insert(Version);
    else
      NextAdmission_ = std::min(NextAdmission_.value_or(At), At);
  }
  Admitted_.merge(Due);
}

VersionSelection::Use
VersionSelection::useOf(const BackendServer &Server) const {
  const SoftwareVersion &Version = Server.Version_;
  bool IsTarget = Record_ && Record_->Target_ == Version;
  if (!IsTarget) {
    bool Replaced = Record_ && Record_->Stage_ == RolloutStage::Shifting;
    if (isHeldBack(Version))
      return Use::Held;
    if (!Admitted_.contains(Version) || onTrial(Version))
      return Use::None;
    return Replaced ? Use::FinishOnly : Use::Full;
  }
  bool IsCanary = Record_->Canaries_.contains(Server.Name_);
  bool Aborted = !recordAnswersOrder();
  switch (Record_->Stage_) {
  case RolloutStage::Completed:
    return onTrial(Version) ? Use::None : Use::Full;
  case RolloutStage::Shifting:
    return Use::Full;
  case RolloutStage::Canary:
    if (!IsCanary)
      return Use::None;
    return Aborted ? Use::FinishOnly : Use::Canary;
  case RolloutStage::Reverted:
    return Use::FinishOnly;
  }
  return Use::None;
}

std::vector<BackendServer>
VersionSelection::select(std::vector<BackendServer> Registered, BootTime Now) {
  note(Registered, Now);
  admit(Now);
  std::vector<BackendServer> Selected;
  for (BackendServer &Server : Registered) {
    Use Allowed = useOf(Server);
    if (Allowed == Use::None)
      continue;
    Server.Canary_ = Allowed == Use::Canary;
    Server.HeldBack_ = Allowed == Use::Held;
    Server.Leaving_ |= Allowed == Use::FinishOnly;
    Selected.push_back(std::move(Server));
  }
  return Selected;
}

} // namespace samphireshunt
