/// \file
/// Guarantee: a higher tier is never shed while a lower tier is still served.

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
  TimePoint Start_;
  std::future<CallRecord> Call_;
};

TimedCall startTimed(Cluster &Fleet, CallRequest Request) {
  auto Now = std::chrono::steady_clock::now();
  return {Now, Fleet.start(std::move(Request))};
}

std::vector<CallRecord> finishTimed(std::vector<TimedCall> &Calls) {
  std::vector<CallRecord> Records;
  for (TimedCall &Timed : Calls)
    Records.push_back(Timed.Call_.get());
  return Records;
}

} // namespace

TEST_CASE("long streams of the lowest tier are preempted by the highest") {
  // The lowest tier occupies every engine with long answers when a burst of the
  // highest tier arrives, whose deadlines are shorter than those answers take.
  // Engines do not know tiers, so without preemption of running requests the
  // highest tier would be refused while a batch job continues to stream.
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
  // The highest tier exceeds the capacity of the engines while lower tiers keep
  // sending requests to every daemon. If each request were admitted on its own
  // and not compared with higher tiers, gold could be refused and bronze
  // answered in the same second.
  ClusterOptions Options;
  Options.MaxInFlight_ = 1;
  Cluster Fleet(Options);
  // The deadlines are staggered, so that requests are shed continuously.
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
      Sheds.push_back(High[Index].Start_ + HighRecords[Index].Total_);
  REQUIRE(Sheds.size() > 10);
  // A lower tier may be answered before the first request is shed or after the
  // last one, but never in between.
  auto [First, Last] = std::ranges::minmax(Sheds);
  std::size_t LowDuringSheds = 0;
  for (std::size_t Index = 0; Index < Low.size(); ++Index) {
    TimePoint End = Low[Index].Start_ + LowRecords[Index].Total_;
    bool Inside = Low[Index].Start_ > First && End < Last;
    LowDuringSheds += Inside;
    CHECK_FALSE((Inside && LowRecords[Index].Outcome_ == "answered"));
  }
  CHECK(LowDuringSheds > 5);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("a burst of the lowest tier does not slow down the highest") {
  // Hundreds of requests of the lowest tier wait while the highest tier sends
  // one now and then. If requests were served in the order of arrival, the
  // highest tier would miss its deadlines during a batch run.
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
