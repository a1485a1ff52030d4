#include "Request/RetryBudget.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {
constexpr RetryBudget::TimePoint Start{std::chrono::seconds(1000)};
const PoolName Pool("pool");
} // namespace

TEST_CASE("when every request fails, retries stay a fraction of the requests") {
  // All engines of a pool fail at 50 requests per second. Retrying each request
  // would double the load.
  RetryBudget Budget({.Ratio_ = 0.2, .Allowance_ = 14});
  constexpr std::size_t Daemons = 7;
  int Retries = 0;
  for (int Index = 0; Index < 500; ++Index) {
    auto Now = Start + milliseconds(20 * Index);
    Budget.recordRequest(Pool, Now);
    Retries += Budget.tryRetry(Pool, Daemons, Now);
  }
  CHECK(Retries <= 0.2 * 500 + 14.0 / Daemons);
  CHECK(Retries >= 50);
}

TEST_CASE("a pool with few requests may still retry some of them") {
  RetryBudget Budget({.Ratio_ = 0.2, .Allowance_ = 14});
  Budget.recordRequest(Pool, Start);
  CHECK(Budget.tryRetry(Pool, 7, Start));
  CHECK_FALSE(Budget.tryRetry(Pool, 7, Start));
  CHECK(Budget.tryRetry(Pool, 7, Start + std::chrono::seconds(11)));
}

TEST_CASE("to ask for a retry takes none") {
  // Guards against streams that use up the budget by waiting.
  RetryBudget Budget({.Ratio_ = 0, .Allowance_ = 2});
  for (int Index = 0; Index < 10; ++Index)
    CHECK(Budget.hasRetry(Pool, 1, Start));
  CHECK(Budget.tryRetry(Pool, 1, Start));
  CHECK_FALSE(Budget.hasRetry(Pool, 1, Start));
  CHECK_FALSE(Budget.tryRetry(Pool, 1, Start));
}

TEST_CASE(
    "a daemon that knows no other one has the whole additional allowance") {
  RetryBudget Budget({.Ratio_ = 0, .Allowance_ = 8});
  int Retries = 0;
  for (int Index = 0; Index < 20; ++Index)
    Retries += Budget.tryRetry(Pool, 1, Start);
  CHECK(Retries == 6);
}
