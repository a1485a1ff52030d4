#pragma once
/// \file
/// How often requests may be sent to a second server. Pure: the time is an
/// argument.
///
/// Load pattern: when a pool fails or refuses much, sending everything once
/// more doubles its load just then. Repeats are bounded by a part of the pool's
/// requests, and by a small number on top for pools with few of them. Each
/// daemon counts for itself, and takes its part of the number on top.

#include "Common/Ids.h"
#include "Common/SlidingCount.h"

#include <map>

namespace samphireshunt {

class RepeatBudget {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Options {
    /// Repeats by requests, within the window.
    double Ratio_ = 0.2;
    /// Repeats on top, of the whole fleet.
    double Extra_ = 10;
    std::chrono::milliseconds Window_{10000};
  };

  explicit RepeatBudget(Options Settings) : Options_(Settings) {}

  void noteRequest(const PoolName &Pool, TimePoint Now);
  /// \returns true, and counts the repeat, when there is room for it in a
  /// fleet of \p Daemons.
  bool tryRepeat(const PoolName &Pool, std::size_t Daemons, TimePoint Now);

private:
  static constexpr std::size_t Slots = 10;
  struct Counts {
    explicit Counts(std::chrono::milliseconds Window)
        : Requests_(Window), Repeats_(Window) {}
    SlidingCount<Slots> Requests_;
    SlidingCount<Slots> Repeats_;
  };
  Counts &countsOf(const PoolName &Pool);

  Options Options_;
  std::map<PoolName, Counts> Pools_;
};

} // namespace samphireshunt
