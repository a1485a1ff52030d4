#include "Request/WaitPlan.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};

ForwardingRule stream() {
  ForwardingRule Rule;
  Rule.Kind_ = RequestKind::Stream;
  Rule.Objective_ = milliseconds(500);
  Rule.MaxEventGap_ = milliseconds(400);
  return Rule;
}

RequestTimes times(milliseconds SinceFirstAttempt) {
  return {Start, Start + milliseconds(15000), SinceFirstAttempt};
}

} // namespace

TEST_CASE("a first attempt waits within its objective, one that came back for "
          "as long as its caller stays") {
  // Load: a burst of 5 s at twice the capacity; see WaitPlan.h.
  WaitPlan First = planWait(stream(), times(milliseconds(0)), Start);
  CHECK(First.MaxWait_ == milliseconds(500));
  CHECK(First.Objective_ == Start + milliseconds(500));
  WaitPlan Back = planWait(stream(), times(milliseconds(3000)), Start);
  // Callers stay for 3200 ms without an event.
  CHECK(Back.MaxWait_ == milliseconds(2400));
  CHECK(Back.Objective_ == Start);
}

TEST_CASE("a request that asks a second cell has waited already") {
  // Symptom: callers of streams leave after 3.2 s without any answer: 865 on a
  // day of high load.
  // Sequence: a request waits for 2.4 s at one cell, is refused, and asks the
  // pool's next cell.
  // Cause: it was allowed to wait there for another 2.4 s.
  WaitPlan Again =
      planWait(stream(), times(milliseconds(3000)), Start + milliseconds(2300));
  CHECK(Again.MaxWait_ == milliseconds(100));
  Again =
      planWait(stream(), times(milliseconds(3000)), Start + milliseconds(2500));
  CHECK(Again.MaxWait_ == milliseconds(1));
}

TEST_CASE("a caller that comes back states less time than is usual") {
  UsualTimeouts Usual;
  CHECK(Usual.sinceFirstAttempt("r", milliseconds(6000), Start).count() == 0);
  CHECK(Usual.sinceFirstAttempt("r", milliseconds(5000), Start).count() == 0);
  CHECK(Usual.sinceFirstAttempt("r", milliseconds(4000), Start) ==
        milliseconds(2000));
  CHECK(Usual.sinceFirstAttempt("other", milliseconds(4000), Start).count() ==
        0);
}

TEST_CASE("a limit that callers no longer state is forgotten") {
  UsualTimeouts Usual;
  Usual.sinceFirstAttempt("r", milliseconds(6000), Start);
  for (int Second = 1; Second <= 70; ++Second)
    Usual.sinceFirstAttempt("r", milliseconds(2000),
                            Start + std::chrono::seconds(Second));
  CHECK(Usual
            .sinceFirstAttempt("r", milliseconds(2000),
                               Start + std::chrono::seconds(71))
            .count() == 0);
}
