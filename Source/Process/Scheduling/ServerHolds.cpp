#include "Process/Scheduling/ServerHolds.h"

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

bool ServerHolds::maySend(const ServerName &Server, Incarnation Process,
                          TimePoint) const {
  auto Found = Holds_.find(Server);
  return Found == Holds_.end() || !Found->second.Leaving_ ||
         Found->second.Process_ != Process;
}

void ServerHolds::forgetOld(TimePoint Now) {
  std::erase_if(Holds_, [Now](const auto &Item) {
    return Now - Item.second.Heard_ > Memory;
  });
}

} // namespace samphireshunt
