#include "Request/RepeatBudget.h"

#include <algorithm>

namespace samphireshunt {

namespace {

/// Windows slide, counts go by parts of them, and daemons come and go: a
/// quarter of the budget is left unused for what that makes of it.
constexpr double UsedPart = 0.75;

} // namespace

RepeatBudget::Counts &RepeatBudget::countsOf(const PoolName &Pool) {
  return Pools_.try_emplace(Pool, Options_.Window_).first->second;
}

void RepeatBudget::noteRequest(const PoolName &Pool, TimePoint Now) {
  countsOf(Pool).Requests_.add(Now);
}

bool RepeatBudget::tryRepeat(const PoolName &Pool, std::size_t Daemons,
                             TimePoint Now) {
  Counts &Known = countsOf(Pool);
  double Extra =
      Options_.Extra_ / static_cast<double>(std::max<std::size_t>(1, Daemons));
  double Allowed =
      UsedPart * (Options_.Ratio_ * Known.Requests_.sum(Now) + Extra);
  if (Known.Repeats_.sum(Now) + 1 > Allowed)
    return false;
  Known.Repeats_.add(Now);
  return true;
}

} // namespace samphireshunt
