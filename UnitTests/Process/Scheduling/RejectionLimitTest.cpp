#include "Process/Scheduling/RejectionLimit.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start{seconds(100)};

} // namespace

TEST_CASE(
    "no more requests may be rejected at a time than the server survives") {
  // Guards against requests on their way that are all rejected together.
  RejectionLimit Limit;
  Limit.name(RejectionCount(3), Start);
  Limit.advance(Start, 1.0);
  for (int Number = 0; Number < 3; ++Number) {
    CHECK(Limit.allowsOne());
    Limit.take();
  }
  CHECK_FALSE(Limit.allowsOne());
  Limit.advance(Start + milliseconds(100), 1.0);
  CHECK(Limit.allowsOne());
  Limit.rejected(Start + milliseconds(100));
  Limit.advance(Start + milliseconds(1000), 1.0);
  CHECK_FALSE(Limit.allowsOne());
  Limit.advance(Start + milliseconds(1100), 1.0);
  CHECK(Limit.allowsOne());
}

TEST_CASE("two keepers divide what a brittle server survives") {
  // Guards against partitions that each use all of it; one request remains, or
  // nobody would learn when the server has recovered.
  RejectionLimit Limit;
  Limit.name(RejectionCount(2), Start);
  Limit.advance(Start, 0.3);
  CHECK(Limit.allowsOne());
  Limit.take();
  CHECK_FALSE(Limit.allowsOne());
  Limit.clear();
  CHECK(Limit.allowsOne());
}

TEST_CASE("what is no whole number of rejections is refused") {
  // Guards against limits taken from text that names none.
  for (const char *Text : {"", "x", "-1", "1.5", "99999999999", "3 "})
    CHECK(parseRejectionCount(Text).error().Code_ ==
          ResultCode::BadServerNotice);
  CHECK(parseRejectionCount("3")->count() == 3);
}
