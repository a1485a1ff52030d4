#include "Request/WaitPlan.h"

#include <doctest/doctest.h>

#include <algorithm>

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

TEST_CASE("a first attempt waits within its objective, a retry for as long as "
          "its caller stays") {
  // The case is a burst of 5 s at twice the capacity; see WaitPlan.h.
  WaitPlan First = planWait(stream(), times(milliseconds(0)), Start);
  CHECK(First.MaxWait_ == milliseconds(500));
  CHECK(First.Objective_ == Start + milliseconds(500));
  WaitPlan Retry = planWait(stream(), times(milliseconds(3000)), Start);
  // 2400 ms are 75% of the 3200 ms that callers wait for an event.
  CHECK(Retry.MaxWait_ == milliseconds(2400));
  CHECK(Retry.Objective_ == Start);
}

TEST_CASE(
    "a stream that goes on waits while its caller stays, within its time") {
  // Guards against streams that are refused after their objective, and against
  // ones that are held beyond what leaves time for a server.
  RequestTimes Times = times(milliseconds(0));
  Times.GoesOn_ = true;
  WaitPlan Plan = planWait(stream(), Times, Start);
  CHECK(Plan.MaxWait_ == milliseconds(2400));
  CHECK(Plan.Objective_ == Start + milliseconds(500));
  CHECK(planWait(stream(), Times, Start + milliseconds(900)).MaxWait_ ==
        milliseconds(1500));
  Times.Deadline_ = Start + milliseconds(1000);
  CHECK(planWait(stream(), Times, Start).MaxWait_ == milliseconds(600));
}

TEST_CASE("the wait at a second cell includes the wait at the first one") {
  // Guards against callers of streams that disconnect after 3.2 s without an
  // answer. A request waits for 2.4 s at one cell, is refused, and requests a
  // grant from the pool's next cell, where it must not wait for another 2.4 s.
  WaitPlan Again =
      planWait(stream(), times(milliseconds(3000)), Start + milliseconds(2300));
  CHECK(Again.MaxWait_ == milliseconds(100));
  Again =
      planWait(stream(), times(milliseconds(3000)), Start + milliseconds(2500));
  CHECK(Again.MaxWait_ == milliseconds(1));
}

TEST_CASE("a retry is detected by a stated timeout below the usual one") {
  RetryDetector Detector;
  CHECK(Detector.sinceFirstAttempt("r", milliseconds(6000), Start).count() ==
        0);
  CHECK(Detector.sinceFirstAttempt("r", milliseconds(5000), Start).count() ==
        0);
  CHECK(Detector.sinceFirstAttempt("r", milliseconds(4000), Start) ==
        milliseconds(2000));
  CHECK(
      Detector.sinceFirstAttempt("other", milliseconds(4000), Start).count() ==
      0);
}

TEST_CASE("a timeout that callers no longer state is forgotten") {
  RetryDetector Detector;
  Detector.sinceFirstAttempt("r", milliseconds(6000), Start);
  for (int Second = 1; Second <= 70; ++Second)
    Detector.sinceFirstAttempt("r", milliseconds(2000),
                               Start + std::chrono::seconds(Second));
  CHECK(Detector
            .sinceFirstAttempt("r", milliseconds(2000),
                               Start + std::chrono::seconds(71))
            .count() == 0);
}

TEST_CASE("a run that goes on waits no longer than its memory is kept") {
  // Guards against requests that wait for memory which is gone.
  auto MaxWait = [](milliseconds KeepTime) {
    return planContinuation(stream(), Start, KeepTime,
                            Start + milliseconds(200))
        .MaxWait_;
  };
  CHECK(MaxWait(milliseconds(0)) == milliseconds(2200));
  CHECK(MaxWait(milliseconds(1000)) == milliseconds(800));
  CHECK(MaxWait(milliseconds(100)) == milliseconds(1));
}

TEST_CASE(
    "a silent server is left later than sound ones are silent, and in time") {
  // Guards against sound runs that are left, and against streams given up.
  auto After = [](int Objective, int Gap) {
    ForwardingRule Rule = stream();
    Rule.Objective_ = milliseconds(Objective);
    Rule.MaxEventGap_ = milliseconds(Gap);
    return resumeAfterSilence(Rule).count();
  };
  CHECK(After(800, 400) == 1600);
  CHECK(After(500, 300) == 1600);
  CHECK(After(300, 100) == 1600);
  CHECK(After(500, 100) == 1500);
  CHECK(After(0, 0) == 1600);
}

TEST_CASE(
    "a stream at a silent server is not ended before its caller gives up") {
  // Guards against answers that the daemon ends, and of which the caller would
  // have got the rest.
  constexpr auto MostDelay = milliseconds(250);
  for (int Objective : {0, 300, 800, 3000})
    for (int Gap : {0, 100, 400}) {
      ForwardingRule Rule = stream();
      Rule.Objective_ = milliseconds(Objective);
      Rule.MaxEventGap_ = milliseconds(Gap);
      auto Patience = std::max(
          {milliseconds(2000), 4 * Rule.Objective_, 8 * Rule.MaxEventGap_});
      CHECK(endAfterSilence(Rule) > Patience + MostDelay);
      CHECK(resumeAfterSilence(Rule) < Patience);
    }
}
