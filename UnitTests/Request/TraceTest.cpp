#include "Request/Trace.h"

#include <doctest/doctest.h>

using namespace samphireshunt;

TEST_CASE(
    "a caller's trace is continued, with this daemon's spans as children") {
  const std::string Given =
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  Trace Request(Given, 42);
  std::size_t Dispatch = Request.begin("dispatch");
  std::string Next = Request.traceparent(Dispatch);
  CHECK(Next.substr(0, 36) == Given.substr(0, 36));
  CHECK(Next != Given);
  TraceRecord Record = Request.finish();
  REQUIRE(Record.Spans_.size() == 2);
  CHECK(Record.Spans_[0].ParentId_ == "b7ad6b7169203331");
  CHECK(Record.Spans_[1].ParentId_ == Record.Spans_[0].SpanId_);
  CHECK(Next.substr(36, 16) == Record.Spans_[1].SpanId_);
  CHECK(Record.Spans_[1].End_ >= Record.Spans_[1].Start_);
}

TEST_CASE("a malformed traceparent starts a new trace") {
  for (const char *Bad :
       {"", "00-zz", "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
        "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}) {
    Trace Request(Bad, 42);
    TraceRecord Record = Request.finish();
    CHECK(Record.TraceId_.size() == 32);
    CHECK(Record.Spans_[0].ParentId_.empty());
  }
}
