/// \file
/// Promise: a higher tier is never shed while a lower tier is still served.

#include "FailureTests/Cluster.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

using namespace samphireshunt::tests;
using std::chrono::milliseconds;

namespace {

CallRequest tiered(Cluster &Fleet, int Daemon, const std::string &Tier,
                   std::size_t MaxTokens, int TimeoutMs) {
  CallRequest Request = Fleet.stream(Daemon);
  Request.Tier_ = Tier;
  Request.MaxTokens_ = MaxTokens;
  Request.Timeout_ = milliseconds(TimeoutMs);
  return Request;
}

using TimePoint = std::chrono::steady_clock::time_point;

struct TimedCall {
  TimePoint Started_;
  std::future<CallRecord> Call_;
};

TimedCall startTimed(Cluster &Fleet, CallRequest Request) {
  auto Now = std::chrono::steady_clock::now();
  return {Now, Fleet.start(std::move(Request))};
}

std::vector<CallRecord> finishTimed(std::vector<TimedCall> &Calls) {
  std::vector<CallRecord> Records;
  for (TimedCall &One : Calls)
    Records.push_back(One.Call_.get());
  return Records;
}

} // namespace

TEST_CASE("long streams of the lowest tier give way to the highest") {
  // Symptom: a crew's summary is refused while a batch job streams on.
  // Sequence: the lowest tier fills every engine with long answers; then a
  // burst of the highest tier comes, with less time than those take.
  // Cause: engines know no tiers, and what runs there was never taken back.
  ClusterOptions Options;
  Options.MaxInFlight_ = 2;
  Cluster Fleet(Options);
  std::vector<std::future<CallRecord>> Low;
  for (int Index = 0; Index < 8; ++Index)
    Low.push_back(
        Fleet.start(tiered(Fleet, 1 + Index % 3, "bronze", 1000, 20000)));
  REQUIRE(eventually([&] { return Fleet.ledgerCount("ran") == 4; }));
  std::vector<std::future<CallRecord>> High;
  for (int Index = 0; Index < 8; ++Index)
    High.push_back(Fleet.start(tiered(Fleet, 1 + Index % 3, "gold", 10, 2000)));
  auto HighRecords = finish(High);
  CHECK(countOutcome(HighRecords, "answered") == 8);
  auto LowRecords = finish(Low);
  CHECK(countOutcome(LowRecords, "partial") > 0);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("while the highest tier is shed, nothing lower is served") {
  // Symptom: gold is refused and bronze is answered in the same second.
  // Sequence: more of the highest tier than the engines can do; lower tiers
  // go on asking at every daemon.
  // Cause: each request was judged by itself, not against the tiers above.
  ClusterOptions Options;
  Options.MaxInFlight_ = 1;
  Cluster Fleet(Options);
  // Deadlines follow one another, so that requests are shed all the time.
  std::vector<TimedCall> High;
  for (int Index = 0; Index < 80; ++Index)
    High.push_back(startTimed(
        Fleet, tiered(Fleet, 1 + Index % 3, "gold", 60, 700 + 25 * Index)));
  std::vector<TimedCall> Low;
  for (int Index = 0; Index < 40; ++Index) {
    Low.push_back(
        startTimed(Fleet, tiered(Fleet, 1 + Index % 3, "bronze", 5, 400)));
    std::this_thread::sleep_for(milliseconds(50));
  }
  auto HighRecords = finishTimed(High);
  auto LowRecords = finishTimed(Low);
  CHECK(countOutcome(HighRecords, "answered") > 0);
  std::vector<TimePoint> Sheds;
  for (std::size_t Index = 0; Index < High.size(); ++Index)
    if (HighRecords[Index].Outcome_ == "not-run")
      Sheds.push_back(High[Index].Started_ + HighRecords[Index].Total_);
  REQUIRE(Sheds.size() > 10);
  // An answer to a lower tier may come before the first is shed or after the
  // last, but never between two.
  auto [First, Last] = std::ranges::minmax(Sheds);
  std::size_t Between = 0;
  for (std::size_t Index = 0; Index < Low.size(); ++Index) {
    TimePoint Ended = Low[Index].Started_ + LowRecords[Index].Total_;
    bool Inside = Low[Index].Started_ > First && Ended < Last;
    Between += Inside;
    CHECK_FALSE((Inside && LowRecords[Index].Outcome_ == "answered"));
  }
  CHECK(Between > 5);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("a burst of the lowest tier leaves the highest what it had alone") {
  // Symptom: answers of the highest tier come late during a batch run.
  // Sequence: hundreds of the lowest tier wait; the highest comes now and then.
  // Cause: requests are served in the order of their coming.
  ClusterOptions Options;
  Options.MaxInFlight_ = 2;
  Cluster Fleet(Options);
  std::vector<std::future<CallRecord>> Low;
  for (int Index = 0; Index < 300; ++Index)
    Low.push_back(
        Fleet.start(tiered(Fleet, 1 + Index % 3, "bronze", 20, 3000)));
  std::vector<std::future<CallRecord>> High;
  for (int Index = 0; Index < 20; ++Index) {
    High.push_back(Fleet.start(tiered(Fleet, 1 + Index % 3, "gold", 10, 1000)));
    std::this_thread::sleep_for(milliseconds(50));
  }
  auto HighRecords = finish(High);
  CHECK(countOutcome(HighRecords, "answered") == 20);
  finish(Low);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}
