#include "Process/Relay/ServerPaths.h"

#include <algorithm>

namespace samphireshunt {

void ServerPaths::used(const Endpoint &Server, TimePoint Now) {
  Paths_[Server].LastUsed_ = Now;
}

bool ServerPaths::reached(const Endpoint &Server, TimePoint Now) {
  auto Found = Paths_.find(Server);
  if (Found == Paths_.end())
    return false;
  Path &Known = Found->second;
  bool WasCutOff = Known.State_ == State::CutOff;
  Known.State_ = State::Reached;
  Known.NextProbe_ = Now;
  return WasCutOff;
}

bool ServerPaths::cutOff(const Endpoint &Server, PortState Seen,
                         TimePoint Now) {
  Path &Known = Paths_[Server];
  bool New = Known.State_ != State::CutOff;
  Known.State_ = State::CutOff;
  Known.Seen_ = Seen;
  if (!New)
    return false;
  Known.NextProbe_ = Now + Options_.ProbeInterval_;
  doubtAll(Seen, Now);
  return true;
}

void ServerPaths::doubtAll(PortState Seen, TimePoint Now) {
  if (LastDoubt_ && Now - *LastDoubt_ < Options_.DoubtInterval_)
    return;
  LastDoubt_ = Now;
  for (auto &[Server, Known] : Paths_) {
    if (Known.State_ != State::Reached)
      continue;
    Known.State_ = State::Doubted;
    Known.Seen_ = Seen;
    Known.NextProbe_ = Now;
  }
}

void ServerPaths::probeFailed(const Endpoint &Server, PortState Seen) {
  auto Found = Paths_.find(Server);
  if (Found == Paths_.end() || Found->second.State_ == State::Reached)
    return;
  Found->second.State_ = State::CutOff;
  Found->second.Seen_ = Seen;
}

bool ServerPaths::isCutOff(const Endpoint &Server) const {
  auto Found = Paths_.find(Server);
  return Found != Paths_.end() && Found->second.State_ == State::CutOff;
}

bool ServerPaths::trustsIdle(const Endpoint &Server) const {
  auto Found = Paths_.find(Server);
  return Found == Paths_.end() || Found->second.State_ == State::Reached ||
         Found->second.Seen_ != PortState::Silent;
}

std::size_t ServerPaths::cutOffCount() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Paths_, [](const auto &Item) {
        return Item.second.State_ == State::CutOff;
      }));
}

bool ServerPaths::needsProbes() const {
  return std::ranges::any_of(Paths_, [](const auto &Item) {
    return Item.second.State_ != State::Reached;
  });
}

std::vector<Endpoint> ServerPaths::toProbe(TimePoint Now) {
  std::erase_if(Paths_, [&](const auto &Item) {
    return Now - Item.second.LastUsed_ > Options_.Memory_;
  });
  std::vector<Endpoint> Due;
  for (auto &[Server, Known] : Paths_) {
    if (Due.size() == Options_.MaxProbes_)
      break;
    if (Known.State_ == State::Reached || Known.NextProbe_ > Now)
      continue;
    Known.NextProbe_ = Now + Options_.ProbeInterval_;
    Due.push_back(Server);
  }
  return Due;
}

} // namespace samphireshunt
