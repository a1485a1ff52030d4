#include "Request/RetryBudget.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <string>
#include <thread>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr RetryBudget::TimePoint Start{seconds(1000)};
const PoolName Pool("pool");

/// Sends a retry if the budget allows one.
bool sendRetry(RetryBudget &Budget, RetryBudget::TimePoint Now,
               const PoolName &Target = Pool) {
  auto Allowed = Budget.tryRetry(Target, Now);
  if (Allowed)
    Allowed->sent();
  return Allowed.has_value();
}

/// Sends as many retries as the budget allows. \returns their number.
int sendRetries(RetryBudget &Budget, RetryBudget::TimePoint Now) {
  int Count = 0;
  while (sendRetry(Budget, Now))
    ++Count;
  return Count;
}

} // namespace

TEST_CASE("when every request fails, retries stay a fraction of the requests") {
  // All engines of a pool fail at 50 requests per second. Retrying each request
  // would double the load.
  RetryBudget Budget({.Ratio_ = 0.2, .Allowance_ = 14});
  constexpr std::size_t Daemons = 7;
  Budget.noteFleetSize(Daemons, Start);
  int Retries = 0;
  for (int Index = 0; Index < 500; ++Index) {
    auto Now = Start + milliseconds(20 * Index);
    Budget.recordRequest(Pool, Now);
    Retries += static_cast<int>(sendRetry(Budget, Now));
  }
  CHECK(Retries <= 0.2 * 500 + 14.0 / Daemons);
  CHECK(Retries >= 50);
}

TEST_CASE("a pool with few requests may still retry some of them") {
  RetryBudget Budget({.Ratio_ = 0.2, .Allowance_ = 14});
  Budget.noteFleetSize(7, Start);
  Budget.recordRequest(Pool, Start);
  CHECK(sendRetry(Budget, Start));
  CHECK_FALSE(sendRetry(Budget, Start));
  CHECK(sendRetry(Budget, Start + seconds(11)));
}

TEST_CASE("to ask for a retry takes none") {
  // Guards against streams that use up the budget by waiting.
  RetryBudget Budget({.Ratio_ = 0, .Allowance_ = 2});
  for (int Index = 0; Index < 10; ++Index)
    CHECK(Budget.hasRetry(Pool, Start));
  CHECK(sendRetry(Budget, Start));
  CHECK_FALSE(Budget.hasRetry(Pool, Start));
  CHECK_FALSE(sendRetry(Budget, Start));
}

TEST_CASE("a retry that is never sent gives its token back") {
  // Guards against callers that leave while their retry waits for a server, and
  // take the retries of others with them.
  RetryBudget Budget({.Ratio_ = 0, .Allowance_ = 2});
  {
    auto Allowed = Budget.tryRetry(Pool, Start);
    REQUIRE(Allowed);
    CHECK_FALSE(Budget.hasRetry(Pool, Start));
  }
  CHECK(Budget.hasRetry(Pool, Start));
}

TEST_CASE(
    "the only daemon has the whole allowance, and no more in any window") {
  RetryBudget Budget({.Ratio_ = 0, .Allowance_ = 8});
  int First = sendRetries(Budget, Start);
  CHECK(First >= 5);
  int Later = 0;
  for (int Tenth = 1; Tenth < 100; ++Tenth)
    Later += sendRetries(Budget, Start + milliseconds(100 * Tenth));
  CHECK(First + Later >= 6);
  CHECK(First + Later <= 8);
}

TEST_CASE("a daemon that loses sight of the others keeps to its share") {
  // Guards against daemons that are cut off from each other, each of which
  // takes the whole allowance.
  RetryBudget Budget({.Ratio_ = 0, .Allowance_ = 54});
  Budget.noteFleetSize(7, Start);
  Budget.noteFleetSize(1, Start + seconds(1));
  CHECK(sendRetries(Budget, Start + seconds(2)) <= 54.0 / 7);
  // The fleet is smaller for good.
  CHECK(sendRetries(Budget, Start + std::chrono::hours(1)) > 54.0 / 7);
}

TEST_CASE("a process begins with an empty budget") {
  // Guards against processes that end again and again: each would have the
  // retries that the one before it has sent already.
  RetryBudget Budget({.Ratio_ = 0.2, .Allowance_ = 54, .Started_ = Start});
  CHECK_FALSE(sendRetry(Budget, Start));
  for (int Index = 0; Index < 100; ++Index)
    Budget.recordRequest(Pool, Start);
  CHECK(sendRetries(Budget, Start) <= 0.2 * 100);
}

TEST_CASE("several threads together have one budget") {
  // Guards against counts that are lost, or memory that is corrupted, when two
  // workers use the budget at the same time.
  constexpr int RequestsPerThread = 20000;
  constexpr std::size_t ThreadCount = 4;
  RetryBudget Budget({.Ratio_ = 0.2, .Allowance_ = 0});
  std::array<std::thread, ThreadCount> Threads;
  std::atomic<int> Retries = 0;
  auto Use = [](RetryBudget &Used, int Index) {
    PoolName Target("pool-" + std::to_string(Index % 7));
    Used.recordRequest(Target, Start);
    return static_cast<int>(sendRetry(Used, Start, Target));
  };
  std::ranges::generate(Threads, [&] {
    return std::thread([&] {
      for (int Index = 0; Index < RequestsPerThread; ++Index)
        Retries += Use(Budget, Index);
    });
  });
  std::ranges::for_each(Threads, &std::thread::join);
  RetryBudget Alone({.Ratio_ = 0.2, .Allowance_ = 0});
  int Expected = 0;
  for (std::size_t Thread = 0; Thread < ThreadCount; ++Thread)
    for (int Index = 0; Index < RequestsPerThread; ++Index)
      Expected += Use(Alone, Index);
  CHECK(Retries.load() == Expected);
}
