/// \file
/// Promise: a higher tier is never shed while a lower tier is still served.

#include "FailureTests/Cluster.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

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
  std::vector<std::future<CallRecord>> High;
  for (int Index = 0; Index < 60; ++Index)
    High.push_back(Fleet.start(tiered(Fleet, 1 + Index % 3, "gold", 60, 1500)));
  bool Shed = false;
  std::vector<CallRecord> Low;
  // As soon as the first of the highest tier is shed, the lower ones ask.
  for (auto &Call : High)
    if (!Shed &&
        Call.wait_for(std::chrono::seconds(3)) == std::future_status::ready) {
      Shed = true;
      for (int Daemon = 1; Daemon <= 3; ++Daemon)
        Low.push_back(Fleet.run(tiered(Fleet, Daemon, "bronze", 5, 1000)));
    }
  auto HighRecords = finish(High);
  CHECK(countOutcome(HighRecords, "not-run") > 0);
  CHECK(countOutcome(HighRecords, "answered") > 0);
  REQUIRE(Low.size() == 3);
  CHECK(countOutcome(Low, "not-run") == 3);
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
