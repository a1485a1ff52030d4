#include "Request/RepeatBudget.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {
constexpr RepeatBudget::TimePoint Start{std::chrono::seconds(1000)};
const PoolName Pool("pool");
} // namespace

TEST_CASE("when every request fails, repeats stay a part of the requests") {
  // Load: all engines of a pool fail, 50 requests a second, each of which may
  // be sent twice.
  RepeatBudget Budget({.Ratio_ = 0.2, .Extra_ = 14});
  constexpr std::size_t Daemons = 7;
  int Repeats = 0;
  for (int Index = 0; Index < 500; ++Index) {
    auto Now = Start + milliseconds(20 * Index);
    Budget.noteRequest(Pool, Now);
    Repeats += Budget.tryRepeat(Pool, Daemons, Now);
  }
  CHECK(Repeats <= 0.2 * 500 + 14.0 / Daemons);
  CHECK(Repeats >= 50);
}

TEST_CASE("a pool with few requests may still repeat a little") {
  RepeatBudget Budget({.Ratio_ = 0.2, .Extra_ = 14});
  Budget.noteRequest(Pool, Start);
  CHECK(Budget.tryRepeat(Pool, 7, Start));
  CHECK_FALSE(Budget.tryRepeat(Pool, 7, Start));
  CHECK(Budget.tryRepeat(Pool, 7, Start + std::chrono::seconds(11)));
}

TEST_CASE("a daemon that knows no other has the whole of what is on top") {
  RepeatBudget Budget({.Ratio_ = 0, .Extra_ = 8});
  int Repeats = 0;
  for (int Index = 0; Index < 20; ++Index)
    Repeats += Budget.tryRepeat(Pool, 1, Start);
  CHECK(Repeats == 6);
}
