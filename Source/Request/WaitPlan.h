#pragma once
/// \file
/// How long a forwarded request may wait for a server, and the time of its
/// objective. The current time is always an argument.
///
/// Load comes in bursts of a few seconds that are far above the capacity. If
/// the requests of such a burst were queued for as long as their callers stay
/// connected, nearly all of them would miss their objective or be given up.
/// Refused early, with a Retry-After, callers retry after the burst. A first
/// attempt therefore waits only while it can still meet its objective. A retry
/// has missed it already and may wait for as long as its caller stays
/// connected. So may a stream that goes on: refused, its caller loses what it
/// has, and it is served before new requests of its tier.

#include "Common/TimePoint.h"
#include "Version/Document.h"

#include <map>
#include <string>

namespace samphireshunt {

/// Detects retries by the timeout that a request states: callers state the same
/// timeout in each first attempt, and the remaining time in a retry.
class RetryDetector {
public:
  /// \returns the time since the caller's first attempt; 0 if this is the first
  /// attempt.
  std::chrono::milliseconds sinceFirstAttempt(const std::string &Route,
                                              std::chrono::milliseconds Stated,
                                              TimePoint Now);

private:
  struct LongestTimeout {
    std::chrono::milliseconds Current_{0};
    std::chrono::milliseconds Previous_{0};
    TimePoint PeriodStart_;
  };
  std::map<std::string, LongestTimeout> ByRoute_;
};

struct WaitPlan {
  /// When the answer, or its first event, is due.
  TimePoint Objective_;
  std::chrono::milliseconds MaxWait_{0};
};

/// A request's arrival, its deadline and the time since its first attempt.
struct RequestTimes {
  TimePoint Started_; ///< Of a stream that goes on: when it broke off.
  TimePoint Deadline_;
  std::chrono::milliseconds SinceFirstAttempt_{0};
  bool GoesOn_ = false;
};

/// \returns the plan for a grant request at \p Now, which need not be the first
/// one of its request.
WaitPlan planWait(const ForwardingRule &Rule, const RequestTimes &Times,
                  TimePoint Now);

/// \returns the plan for a stream that goes on with the memory of its run,
/// whose caller got the last event at \p LastEvent. The memory is kept for
/// \p KeepTime; 0: unknown.
WaitPlan planContinuation(const ForwardingRule &Rule, TimePoint LastEvent,
                          std::chrono::milliseconds KeepTime, TimePoint Now);

/// \returns how long a caller waits for the next event of a stream before it
/// gives the stream up.
std::chrono::milliseconds callerPatience(const ForwardingRule &Rule);

/// \returns how long a stream that can't go on elsewhere waits for a silent
/// server: until its caller has given it up.
std::chrono::milliseconds endAfterSilence(const ForwardingRule &Rule);

/// \returns how long a resumable stream waits for a silent server before it
/// goes on elsewhere.
std::chrono::milliseconds resumeAfterSilence(const ForwardingRule &Rule);

} // namespace samphireshunt
