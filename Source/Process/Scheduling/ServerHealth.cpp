#include "Process/Scheduling/ServerHealth.h"

#include <algorithm>

namespace samphireshunt {

namespace {

/// Weight of the newest request in the failure rate: about the last ten count.
constexpr double NewestWeight = 0.12;
/// A rate below this is no reason, however well the others do.
constexpr double LeastRate = 0.3;
/// How much worse than the pool an engine must be: some requests fail for
/// reasons of their own, at every engine alike.
constexpr double WorseThanPool = 0.22;
/// One connection may be lost to the network; two in a row point to the engine.
constexpr int UnreachableTimes = 2;
constexpr std::chrono::milliseconds FirstLeftOut{1000};
constexpr int MostDoublings = 2;

} // namespace

void ServerHealth::succeeded() {
  FailureRate_ -= NewestWeight * FailureRate_;
  Unreachable_ = 0;
  if (OnTrial_)
    FailureRate_ = 0;
  OnTrial_ = false;
  LeftOutTimes_ = 0;
}

void ServerHealth::failed(TimePoint Now, double PoolFailureRate) {
  FailureRate_ += NewestWeight * (1 - FailureRate_);
  bool Worse = FailureRate_ > LeastRate &&
               FailureRate_ > PoolFailureRate + WorseThanPool;
  if (Worse || OnTrial_)
    leaveOut(Now);
}

void ServerHealth::unreachable(TimePoint Now) {
  if (++Unreachable_ >= UnreachableTimes || OnTrial_)
    leaveOut(Now);
}

void ServerHealth::leaveOut(TimePoint Now) {
  // Requests that were sent before fail together; that is one occasion.
  if (leftOut(Now))
    return;
  int Doublings = std::min(LeftOutTimes_++, MostDoublings);
  LeftOutUntil_ = Now + FirstLeftOut * (1 << Doublings);
  OnTrial_ = true;
}

} // namespace samphireshunt
