/// \file
/// How long a request would wait, and which tier is served below its
/// guaranteed share.
///
/// Load pattern: a burst of the lowest tier, whose long streams hold most
/// slots. It must not keep higher tiers waiting, its requests are answered
/// while they are worth most rather than all of them late, and it is never
/// shut out altogether.

#include "Process/Scheduler.h"

#include <algorithm>

namespace samphireshunt {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

/// How long a tier's arrivals and grants are remembered for its share.
constexpr std::chrono::duration<double> ShareMemory{5.0};
/// Fewer arrivals than this say nothing of a share.
constexpr double LeastArrivals = 8;
/// A tier may count on at least this part of the rate, whatever goes first.
constexpr double LeastPartOfRate = 0.2;
/// A rate taken from fewer ends than this within the window is a guess.
constexpr double LeastEnds = 5;

} // namespace

void Scheduler::TierQueue::decay(TimePoint Now) {
  std::chrono::duration<double> Since = Now - Decayed_;
  double Kept = std::max(0.0, 1.0 - Since.count() / ShareMemory.count());
  Decayed_ = Now;
  Arrived_ *= Kept;
  Granted_ *= Kept;
}

bool Scheduler::isStarving(TierQueue &Tier, TimePoint Now) {
  if (Options_.GuaranteedShare_ <= 0 || Tier.Count_ == 0)
    return false;
  Tier.decay(Now);
  return Tier.Arrived_ >= LeastArrivals &&
         Tier.Granted_ < Options_.GuaranteedShare_ * Tier.Arrived_;
}

/// What waits before a request of \p Tier, by the rate at which grants end
/// that higher tiers will not take up again; or, if that is sooner, what waits
/// in its own tier by the rate that the tier is guaranteed.
milliseconds Scheduler::predictedWait(TierIndex Tier, TimePoint Now) {
  std::size_t Own = queueIndex(Tier);
  double Before = 0;
  double HigherArrivals = 0;
  for (std::size_t Index = 0; Index <= Own; ++Index) {
    Before += static_cast<double>(Tiers_[Index].Count_);
    if (Index < Own)
      HigherArrivals += Tiers_[Index].RecentArrivals_.sum(Now);
  }
  double Ends = Ends_.sum(Now);
  if (Before == 0 || Ends < LeastEnds)
    return milliseconds(0);
  double Free = std::max(Ends - HigherArrivals, LeastPartOfRate * Ends);
  double Seconds = Before / Free;
  double Guaranteed =
      Options_.GuaranteedShare_ * Tiers_[Own].RecentArrivals_.sum(Now);
  if (Guaranteed > 0)
    Seconds = std::min(Seconds,
                       static_cast<double>(Tiers_[Own].Count_) / Guaranteed);
  std::chrono::duration<double> Wait(Seconds);
  return std::chrono::duration_cast<milliseconds>(Wait);
}

/// A request that would be refused after a long wait is refused at once.
bool Scheduler::wouldWaitTooLong(const AskedRequest &Request, TimePoint Now) {
  return Options_.RefuseLongWaits_ && Request.MaxWait_.count() > 0 &&
         predictedWait(Request.Tier_, Now) > Request.MaxWait_;
}

/// By when the request should start; 0 without an objective.
TimePoint Scheduler::urgencyOf(const AskedRequest &Request) {
  return Request.Objective_ == TimePoint() ? Request.Deadline_
                                           : Request.Objective_;
}

/// Leaves out engines that fail what they get, unless that would leave too few:
/// the others would drown in what they can't take.
void Scheduler::judgeServers(TimePoint Now) {
  auto Judged = [&](const auto &Item) {
    return Item.second.health().leftOut(Now);
  };
  auto LeftOut =
      static_cast<std::size_t>(std::ranges::count_if(Servers_, Judged));
  bool TooMany = 2 * LeftOut > Servers_.size();
  for (auto &[Name, Server] : Servers_)
    Server.setLeftOut(!TooMany && Server.health().leftOut(Now),
                      !TooMany && Server.health().onTrial());
}

double Scheduler::poolFailureRate() const {
  double Sum = 0;
  for (const auto &[Name, Server] : Servers_)
    Sum += Server.health().failureRate();
  return Servers_.empty() ? 0 : Sum / static_cast<double>(Servers_.size());
}

void Scheduler::judge(ServerModel &Server, const ServedSample &Seen,
                      TimePoint Now) {
  if (Seen.Complete_)
    Server.health().succeeded();
  else if (Seen.Faulty_ && !Seen.Reached_)
    Server.health().unreachable(Now);
  else if (Seen.Faulty_)
    Server.health().failed(Now, poolFailureRate());
}

} // namespace samphireshunt
