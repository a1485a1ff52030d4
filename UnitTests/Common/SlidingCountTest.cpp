#include "Common/SlidingCount.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

TEST_CASE("amounts that are older than the window don't count") {
  SlidingCount<5> Count(milliseconds(1000));
  SlidingCount<5>::TimePoint Now{std::chrono::seconds(100)};
  Count.add(Now, 3);
  Count.add(Now + milliseconds(500));
  CHECK(Count.sum(Now + milliseconds(500)) == 4);
  CHECK(Count.sum(Now + milliseconds(1000)) == 1);
  CHECK(Count.sum(Now + milliseconds(1500)) == 0);
  Count.add(Now + std::chrono::hours(5));
  CHECK(Count.sum(Now + std::chrono::hours(5)) == 1);
}
