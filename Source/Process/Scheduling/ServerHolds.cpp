#include "Process/Scheduling/ServerHolds.h"

#include <algorithm>

namespace samphireshunt {

namespace {

/// A server that leaves is gone long before.
constexpr std::chrono::minutes Memory{10};

} // namespace

void ServerHolds::leave(const ServerName &Server, Incarnation Process,
                        TimePoint Now) {
  Hold &Known = Holds_[Server];
  Known.Leaving_ = true;
  Known.Process_ = Process;
  Known.Heard_ = Now;
}

void ServerHolds::rest(const ServerName &Server, TimePoint Until,
                       TimePoint Now) {
  Hold &Known = Holds_[Server];
  Known.RestUntil_ = std::max(Known.RestUntil_, Until);
  Known.Heard_ = Now;
}

TimePoint ServerHolds::restUntil(const ServerName &Server) const {
  auto Found = Holds_.find(Server);
  return Found == Holds_.end() ? TimePoint() : Found->second.RestUntil_;
}

bool ServerHolds::maySend(const ServerName &Server, Incarnation Process,
                          TimePoint Now) const {
  auto Found = Holds_.find(Server);
  if (Found == Holds_.end())
    return true;
  return !isLeaving(Server, Process) && Now >= Found->second.RestUntil_;
}

bool ServerHolds::isLeaving(const ServerName &Server,
                            Incarnation Process) const {
  auto Found = Holds_.find(Server);
  return Found != Holds_.end() && Found->second.Leaving_ &&
         Found->second.Process_ == Process;
}

void ServerHolds::forgetOld(TimePoint Now) {
  std::erase_if(Holds_, [Now](const auto &Item) {
    return Now - Item.second.Heard_ > Memory && Now >= Item.second.RestUntil_;
  });
}

} // namespace samphireshunt
