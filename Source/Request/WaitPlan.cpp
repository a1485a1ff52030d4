#include "Request/WaitPlan.h"

#include <algorithm>

namespace samphireshunt {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// How long the longest stated limit of a route is remembered, at least.
constexpr std::chrono::seconds Memory{30};
/// Routes that came and went are forgotten beyond so many.
constexpr std::size_t MostRoutes = 4096;
/// First attempts' limits differ too, seen by up to a sixth; one that is
/// shorter than the usual one by more than a fifth is the rest of it.
constexpr int RestDivisor = 5;
/// Of a caller's patience or time left, what may be spent with waiting; the
/// rest is for the server.
constexpr int PercentOfPatience = 75;
constexpr int PercentOfTimeLeft = 60;
constexpr int Hundred = 100;

} // namespace

milliseconds UsualTimeouts::sinceFirstAttempt(const std::string &Route,
                                              milliseconds Stated,
                                              TimePoint Now) {
  if (ByRoute_.size() > MostRoutes)
    ByRoute_.clear();
  Longest &Known = ByRoute_[Route];
  if (Now - Known.Since_ > Memory) {
    Known.Before_ = std::exchange(Known.Now_, milliseconds(0));
    Known.Since_ = Now;
  }
  Known.Now_ = std::max(Known.Now_, Stated);
  milliseconds Usual = std::max(Known.Now_, Known.Before_);
  milliseconds Missing = Usual - Stated;
  return Missing > Usual / RestDivisor ? Missing : milliseconds(0);
}

WaitPlan planWait(const ForwardingRule &Rule, const RequestTimes &Times,
                  TimePoint Now) {
  bool CameBack = Times.SinceFirstAttempt_.count() > 0;
  auto Whole = duration_cast<milliseconds>(Times.Deadline_ - Times.Started_);
  milliseconds Longest = Whole * PercentOfTimeLeft / Hundred;
  if (Rule.Kind_ == RequestKind::Stream)
    Longest =
        std::min(Longest, callerPatience(Rule) * PercentOfPatience / Hundred);
  if (!CameBack)
    Longest = std::min(Longest, Rule.Objective_);
  // Counted from the request's coming, however often it asks.
  auto Waited = duration_cast<milliseconds>(Now - Times.Started_);
  WaitPlan Plan;
  Plan.MaxWait_ = std::max(milliseconds(1), Longest - Waited);
  Plan.Objective_ = std::max(Times.Started_, Times.Started_ + Rule.Objective_ -
                                                 Times.SinceFirstAttempt_);
  return Plan;
}

milliseconds callerPatience(const ForwardingRule &Rule) {
  // Callers give a stream up after a gap of two seconds, four times its
  // objective or eight times the pause allowed, whichever is the longest.
  constexpr milliseconds LeastPatience{2000};
  constexpr int Objectives = 4;
  constexpr int Gaps = 8;
  return std::max(
      {LeastPatience, Rule.Objective_ * Objectives, Rule.MaxEventGap_ * Gaps});
}

} // namespace samphireshunt
