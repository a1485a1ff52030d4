#pragma once
/// \file
/// A sum over a sliding time window, in constant memory.

#include <array>
#include <chrono>
#include <cstddef>
#include <numeric>

namespace samphireshunt {

/// Sums amounts in \p Slots intervals of equal length. The oldest interval is
/// dropped as a whole, so that the sum covers between the window less one
/// interval and the whole window.
template <std::size_t Slots> class SlidingCount {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit SlidingCount(std::chrono::milliseconds Window)
      : SlotTime_(Window / Slots) {}

  void add(TimePoint Now, double Amount = 1) {
    advance(Now);
    Counts_[Newest_ % Slots] += Amount;
  }
  double sum(TimePoint Now) {
    advance(Now);
    return std::accumulate(Counts_.begin(), Counts_.end(), 0.0);
  }

private:
  void advance(TimePoint Now) {
    auto Index = static_cast<std::size_t>(Now.time_since_epoch() / SlotTime_);
    if (Index > Newest_ + Slots)
      Newest_ = Index - Slots;
    while (Newest_ < Index)
      Counts_[++Newest_ % Slots] = 0;
  }

  std::chrono::nanoseconds SlotTime_;
  std::array<double, Slots> Counts_{};
  std::size_t Newest_ = 0;
};

} // namespace samphireshunt
