#include "Process/Scheduling/StreamSuspension.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace samphireshunt {

StreamSuspension::StoppedAt StreamSuspension::stoppedAt() const {
  StoppedAt Counts;
  for (const auto &[Id, Order] : Orders_)
    ++Counts[Order.Server_];
  for (const auto &[Id, Server] : Stopped_)
    ++Counts[Server];
  return Counts;
}

bool StreamSuspension::isEligible(const SuspensionCandidate &Run,
                                  TierIndex Above,
                                  const StoppedAt &Counts) const {
  auto Times = Times_.find(Run.Id_);
  bool Spared =
      Times != Times_.end() && Times->second.Orders_ >= Options_.MaxTimes_;
  auto AtServer = static_cast<std::size_t>(static_cast<double>(Run.Slots_) *
                                           Options_.MaxShare_);
  auto Stopped = Counts.find(Run.Server_);
  bool HasEnough = Stopped != Counts.end() &&
                   Stopped->second >= std::max<std::size_t>(1, AtServer);
  return Run.Tier_ > Above && !Spared && Run.Rest_ >= Options_.MinRest_ &&
         Run.Left_ >= Run.Rest_ + Options_.MinSlack_ &&
         !Orders_.contains(Run.Id_) && !HasEnough;
}

std::vector<SuspensionCandidate>
StreamSuspension::choose(std::vector<SuspensionCandidate> Candidates,
                         TierIndex Above, std::size_t Wanted,
                         std::size_t Slots) const {
  auto Limit =
      static_cast<std::size_t>(static_cast<double>(Slots) * Options_.MaxShare_);
  std::size_t Taken = Orders_.size() + Stopped_.size();
  std::size_t Free = Limit > Taken ? Limit - Taken : 0;
  std::size_t Copies =
      Options_.Copies_ > Orders_.size() ? Options_.Copies_ - Orders_.size() : 0;
  Wanted = std::min({Wanted, Free, Copies});
  StoppedAt Counts = stoppedAt();
  std::erase_if(Candidates, [&](const SuspensionCandidate &Run) {
    return !isEligible(Run, Above, Counts);
  });
  std::ranges::sort(Candidates, [](const auto &Left, const auto &Right) {
    return std::tuple(Right.Tier_, Right.Rest_, Left.Id_) <
           std::tuple(Left.Tier_, Left.Rest_, Right.Id_);
  });
  std::vector<SuspensionCandidate> Chosen;
  std::set<ServerName> Used;
  for (SuspensionCandidate &Run : Candidates) {
    if (Chosen.size() >= Wanted)
      break;
    if (Used.insert(Run.Server_).second)
      Chosen.push_back(std::move(Run));
  }
  return Chosen;
}

void StreamSuspension::ordered(const SuspensionCandidate &Run, TimePoint Now) {
  Orders_[Run.Id_] = {Run.Server_, Now};
  ++OrdersInAll_;
  Count &Times = Times_[Run.Id_];
  ++Times.Orders_;
  Times.Last_ = Now;
}

void StreamSuspension::waits(const RequestId &Id, const ServerName &Server) {
  goesOn(Id);
  Stopped_.emplace(Id, Server);
}

void StreamSuspension::goesOn(const RequestId &Id) {
  Orders_.erase(Id);
  Stopped_.erase(Id);
}

void StreamSuspension::declined(const RequestId &Id) {
  FailedInAll_ += Orders_.count(Id);
  goesOn(Id);
}

void StreamSuspension::ended(const RequestId &Id) {
  goesOn(Id);
  Times_.erase(Id);
}

void StreamSuspension::forgetOld(TimePoint Now) {
  std::vector<RequestId> Lost;
  for (const auto &[Id, Order] : Orders_)
    if (Now - Order.Ordered_ > Options_.OrderTime_)
      Lost.push_back(Id);
  std::ranges::for_each(Lost, [this](const RequestId &Id) { declined(Id); });
  std::erase_if(Times_, [&](const auto &Item) {
    return Now - Item.second.Last_ > Options_.TimesKept_;
  });
}

void StreamSuspension::promise(const ServerName &Server, const RequestId &Id) {
  Promised_.try_emplace(Server, Id);
}

bool StreamSuspension::mayTake(const ServerName &Server,
                               const RequestId &Id) const {
  auto Found = Promised_.find(Server);
  return Found == Promised_.end() || Found->second == Id;
}

} // namespace samphireshunt
