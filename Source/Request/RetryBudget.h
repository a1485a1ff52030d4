#pragma once
/// \file
/// Retry budget: limits how often requests may be sent to a second server. The
/// current time is always an argument.
///
/// When a pool fails or refuses many requests, retrying all of them would
/// double its load at that very time. Retries are therefore limited to a
/// fraction of the pool's requests, plus a small allowance for pools with few
/// requests. Each daemon counts its own requests and uses its share of the
/// allowance.

#include "Common/Ids.h"
#include "Common/SlidingCount.h"

#include <map>

namespace samphireshunt {

class RetryBudget {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Options {
    /// Retries per request within the window.
    double Ratio_ = 0.2;
    /// Additional retries within the window, for the whole fleet together.
    double Allowance_ = 10;
    std::chrono::milliseconds Window_{10000};
  };

  explicit RetryBudget(Options Settings) : Options_(Settings) {}

  /// Counts a request of \p Pool, which extends its budget.
  void recordRequest(const PoolName &Pool, TimePoint Now);
  /// \returns true, and counts the retry, when the budget of \p Pool allows one
  /// more in a fleet of \p Daemons daemons.
  bool tryRetry(const PoolName &Pool, std::size_t Daemons, TimePoint Now);

  /// \returns whether tryRetry() would allow one more; counts nothing.
  bool hasRetry(const PoolName &Pool, std::size_t Daemons, TimePoint Now);

private:
  static constexpr std::size_t Slots = 10;
  struct Counts {
    explicit Counts(std::chrono::milliseconds Window)
        : Requests_(Window), Retries_(Window) {}
    SlidingCount<Slots> Requests_;
    SlidingCount<Slots> Retries_;
  };
  Counts &countsOf(const PoolName &Pool);

  Options Options_;
  std::map<PoolName, Counts> Pools_;
};

} // namespace samphireshunt
