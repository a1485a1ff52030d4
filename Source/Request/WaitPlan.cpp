#include "Request/WaitPlan.h"

#include <algorithm>

namespace samphireshunt {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Minimum time for which a route's longest stated timeout is remembered.
constexpr std::chrono::seconds RememberTime{30};
/// Number of routes above which all of them are forgotten, so that removed
/// routes don't accumulate.
constexpr std::size_t MaxRoutes = 4096;
/// A stated timeout that is shorter than the usual one by more than 1/5 is the
/// remaining time of a retry. Smaller differences don't count, since the
/// timeouts of first attempts vary by up to 1/6.
constexpr int RetryGapDivisor = 5;
/// Percentages of a caller's patience and of its timeout that a request may
/// wait for a grant; the rest is left for the server.
constexpr int PercentOfPatience = 75;
constexpr int PercentOfTimeout = 60;
constexpr int Hundred = 100;

} // namespace

milliseconds RetryDetector::sinceFirstAttempt(const std::string &Route,
                                              milliseconds Stated,
                                              TimePoint Now) {
  if (ByRoute_.size() > MaxRoutes)
    ByRoute_.clear();
  LongestTimeout &Known = ByRoute_[Route];
  if (Now - Known.PeriodStart_ > RememberTime) {
    Known.Previous_ = std::exchange(Known.Current_, milliseconds(0));
    Known.PeriodStart_ = Now;
  }
  Known.Current_ = std::max(Known.Current_, Stated);
  milliseconds Usual = std::max(Known.Current_, Known.Previous_);
  milliseconds Elapsed = Usual - Stated;
  return Elapsed > Usual / RetryGapDivisor ? Elapsed : milliseconds(0);
}

WaitPlan planWait(const ForwardingRule &Rule, const RequestTimes &Times,
                  TimePoint Now) {
  bool IsRetry = Times.SinceFirstAttempt_.count() > 0;
  auto Timeout = duration_cast<milliseconds>(Times.Deadline_ - Times.Started_);
  milliseconds MaxWait = Timeout * PercentOfTimeout / Hundred;
  if (Rule.Kind_ == RequestKind::Stream)
    MaxWait =
        std::min(MaxWait, callerPatience(Rule) * PercentOfPatience / Hundred);
  if (!IsRetry && !Times.GoesOn_)
    MaxWait = std::min(MaxWait, Rule.Objective_);
  // The wait counts from the request's arrival, however many grants it
  // requests.
  auto Waited = duration_cast<milliseconds>(Now - Times.Started_);
  WaitPlan Plan;
  Plan.MaxWait_ = std::max(milliseconds(1), MaxWait - Waited);
  Plan.Objective_ = std::max(Times.Started_, Times.Started_ + Rule.Objective_ -
                                                 Times.SinceFirstAttempt_);
  return Plan;
}

WaitPlan planContinuation(const ForwardingRule &Rule, TimePoint LastEvent,
                          milliseconds KeepTime, TimePoint Now) {
  milliseconds MaxWait = callerPatience(Rule) * PercentOfPatience / Hundred;
  if (KeepTime.count() > 0)
    MaxWait = std::min(MaxWait, KeepTime);
  auto Waited = duration_cast<milliseconds>(Now - LastEvent);
  WaitPlan Plan;
  Plan.MaxWait_ = std::max(milliseconds(1), MaxWait - Waited);
  Plan.Objective_ = LastEvent + Rule.MaxEventGap_;
  return Plan;
}

milliseconds callerPatience(const ForwardingRule &Rule) {
  // Callers give a stream up after a pause of two seconds, four times its
  // objective or eight times the maximum event gap, whichever is longest.
  constexpr milliseconds MinPatience{2000};
  constexpr int ObjectiveFactor = 4;
  constexpr int GapFactor = 8;
  return std::max({MinPatience, Rule.Objective_ * ObjectiveFactor,
                   Rule.MaxEventGap_ * GapFactor});
}

milliseconds endAfterSilence(const ForwardingRule &Rule) {
  // Callers begin to count when the last event reaches them, and are told of
  // none that comes in the moment in which both give up.
  constexpr milliseconds CallersFirst{300};
  return callerPatience(Rule) + CallersFirst;
}

milliseconds resumeAfterSilence(const ForwardingRule &Rule) {
  // A sound server may be silent for a second or so and go on: its run would be
  // done twice, and by then another one would hardly be ahead.
  constexpr milliseconds SoundSilence{1600};
  // Several times the pause between events of a server with a full batch.
  constexpr milliseconds MinSilence{1200};
  // Another server needs about the objective for its first event.
  milliseconds InTime = callerPatience(Rule) - Rule.Objective_;
  return std::clamp(InTime, MinSilence, SoundSilence);
}

} // namespace samphireshunt
