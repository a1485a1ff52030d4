#include "Request/RetryBudget.h"

#include <algorithm>

namespace samphireshunt {

namespace {

/// Fraction of the budget that is used. The rest compensates for counts that
/// are only accurate to a slot of the sliding window, and for changes in the
/// number of daemons.
constexpr double UsedFraction = 0.75;

} // namespace

RetryBudget::Counts &RetryBudget::countsOf(const PoolName &Pool) {
  return Pools_.try_emplace(Pool, Options_.Window_).first->second;
}

void RetryBudget::recordRequest(const PoolName &Pool, TimePoint Now) {
  countsOf(Pool).Requests_.add(Now);
}

bool RetryBudget::hasRetry(const PoolName &Pool, std::size_t Daemons,
                           TimePoint Now) {
  Counts &PoolCounts = countsOf(Pool);
  double Extra = Options_.Allowance_ /
                 static_cast<double>(std::max<std::size_t>(1, Daemons));
  double Allowed =
      UsedFraction * (Options_.Ratio_ * PoolCounts.Requests_.sum(Now) + Extra);
  return PoolCounts.Retries_.sum(Now) + 1 <= Allowed;
}

bool RetryBudget::tryRetry(const PoolName &Pool, std::size_t Daemons,
                           TimePoint Now) {
  if (!hasRetry(Pool, Daemons, Now))
    return false;
  countsOf(Pool).Retries_.add(Now);
  return true;
}

} // namespace samphireshunt
