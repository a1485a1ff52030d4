#pragma once
/// \file
/// How long a forwarded request may wait for a server, and by when its answer
/// is wanted. Pure: the time is an argument.
///
/// Load pattern: bursts of a few seconds far above the capacity. Held for as
/// long as their callers stay, nearly all requests of a burst are answered late
/// or given up after all; refused on arrival, with a time to come back, callers
/// return when the burst is over. So a first attempt waits only while it can
/// still be answered within its objective. One that comes back has missed that
/// already: it may wait for as long as its caller stays.

#include "Common/TimePoint.h"
#include "Version/Document.h"

#include <map>
#include <string>

namespace samphireshunt {

/// Tells requests that come back by the time limit that they state: callers
/// state the same limit each time at first, and later what is left of it.
class UsualTimeouts {
public:
  /// \returns how long ago the caller's first attempt was, 0 for a first one.
  std::chrono::milliseconds sinceFirstAttempt(const std::string &Route,
                                              std::chrono::milliseconds Stated,
                                              TimePoint Now);

private:
  struct Longest {
    std::chrono::milliseconds Now_{0};
    std::chrono::milliseconds Before_{0};
    TimePoint Since_;
  };
  std::map<std::string, Longest> ByRoute_;
};

struct WaitPlan {
  TimePoint Objective_;
  std::chrono::milliseconds MaxWait_{0};
};

/// When a request came, until when its caller waits, and how long ago its
/// first attempt was.
struct RequestTimes {
  TimePoint Started_;
  TimePoint Deadline_;
  std::chrono::milliseconds SinceFirstAttempt_{0};
};

/// The plan for a request that asks for a server \p Now, maybe not for the
/// first time.
WaitPlan planWait(const ForwardingRule &Rule, const RequestTimes &Times,
                  TimePoint Now);

/// How long a caller stays with a stream that gives no event.
std::chrono::milliseconds callerPatience(const ForwardingRule &Rule);

} // namespace samphireshunt
