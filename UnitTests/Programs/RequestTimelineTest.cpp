#include "Programs/RequestTimeline.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace samphireshunt;

namespace {

const char *const Logs =
    R"(not a log line
7.1 vm-2 {"time":"2026-06-17T08:29:05.200+00:00","level":"info","vm":"vm-2","category":"keeper","event":"refused","request":"r-1","code":"211","waiting":"40"}
{"time":"2026-06-17T08:29:05.210+00:00","level":"info","vm":"vm-1","category":"request","event":"ended","request":"r-1","call":"c-1","outcome":"not-run","code":"211"}
{"time":"2026-06-17T08:29:04.000+00:00","level":"info","vm":"vm-1","category":"version","event":"adopted","service":"s","version":"3"}
{"time":"2026-06-17T08:28:01.000+00:00","level":"info","vm":"vm-1","category":"version","event":"adopted","service":"s","version":"2"}
{"time":"2026-06-17T08:29:04.500+00:00","level":"info","vm":"vm-3","category":"process","event":"started"}
{"time":"2026-06-17T08:29:05.205+00:00","level":"info","vm":"vm-1","category":"request","event":"ended","request":"r-2","call":"c-2","code":"0"}
)";

RequestTimeline timelineOf(const std::string &Id) {
  std::istringstream Stream(Logs);
  return readTimeline(Stream, Id, 10);
}

} // namespace

TEST_CASE("the lines of a request are in order, with the state changes of its "
          "daemons") {
  auto Timeline = timelineOf("r-1");
  REQUIRE(Timeline.Found_);
  REQUIRE(Timeline.Lines_.size() == 3);
  CHECK(Timeline.Lines_[0].Event_ == "adopted");
  CHECK(Timeline.Lines_[0].Fields_ == " service=s version=3");
  CHECK(Timeline.Lines_[1].Event_ == "refused");
  CHECK(Timeline.Lines_[1].Vm_ == "vm-2");
  CHECK(Timeline.Lines_[2].Event_ == "ended");
  CHECK(Timeline.text().find("> vm-2") != std::string::npos);
}

TEST_CASE("a request is also found by the caller's own id, but not by an "
          "unknown one") {
  CHECK(timelineOf("c-1").Lines_.size() == 2);
  CHECK_FALSE(timelineOf("c-9").Found_);
}

TEST_CASE("a refusal for crashes is explained by the crashes that were seen") {
  // Guards against an operator who sees code 113 and not why.
  std::istringstream Stream(
      R"({"time":"2026-06-17T08:20:00.000+00:00","vm":"vm-3","event":"request-crashes","fingerprint":"f","server":"s-1"}
{"time":"2026-06-17T08:20:00.100+00:00","vm":"vm-1","event":"request-crashes","fingerprint":"f","server":""}
{"time":"2026-06-17T08:21:00.000+00:00","vm":"vm-3","event":"request-crashes","fingerprint":"g","server":"s-2"}
{"time":"2026-06-17T08:29:00.000+00:00","vm":"vm-1","event":"ended","request":"r-1","code":"113","fingerprint":"f"}
)");
  auto Timeline = readTimeline(Stream, "r-1", 10);
  REQUIRE(Timeline.Lines_.size() == 2);
  CHECK(Timeline.Lines_[0].Vm_ == "vm-3");
}
