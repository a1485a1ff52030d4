#include "Process/Scheduling/ServerHealth.h"

#include <algorithm>

namespace samphireshunt {

namespace {

/// Weight of the newest request in the failure rate: about the last ten count.
constexpr double NewestWeight = 0.12;
/// A failure rate up to this excludes no engine, however low that of the pool
/// is, unless the engine is on trial: then any failure excludes it again.
constexpr double MinFailureRate = 0.3;
/// How far an engine's failure rate must exceed that of the pool. Some requests
/// fail for reasons of their own, equally at every engine.
constexpr double MinExcessOverPool = 0.22;
/// A single connection may be lost to the network; two in a row point to the
/// engine.
constexpr int UnreachableToExclude = 2;
constexpr std::chrono::milliseconds FirstExclusion{1000};
constexpr int MaxDoublings = 2;

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
  bool Worse = FailureRate_ > MinFailureRate &&
               FailureRate_ > PoolFailureRate + MinExcessOverPool;
  if (Worse || OnTrial_)
    leaveOut(Now);
}

void ServerHealth::unreachable(TimePoint Now) {
  if (++Unreachable_ >= UnreachableToExclude || OnTrial_)
    leaveOut(Now);
}

void ServerHealth::leaveOut(TimePoint Now) {
  // Requests that were sent before the exclusion fail together and count once.
  if (leftOut(Now))
    return;
  int Doublings = std::min(LeftOutTimes_++, MaxDoublings);
  LeftOutUntil_ = Now + FirstExclusion * (1 << Doublings);
  OnTrial_ = true;
}

} // namespace samphireshunt
