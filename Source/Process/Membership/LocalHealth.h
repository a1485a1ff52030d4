#pragma once
/// \file
/// Estimates how far this daemon may trust its own failure detection, after
/// Lifeguard (A. Dadgar, J. Phillips, J. Currey). Does no I/O.
///
/// A VM without processor time, or behind a saturated link, reads answers late.
/// Without this estimate it would declare one healthy daemon after the other
/// dead to the whole fleet; keepers would change, and their requests would
/// move. The log then shows `suspect` lines for many members, all from one
/// daemon. A daemon whose probes fail one after the other is more likely slow
/// itself, so it waits longer before it suspects the next member.

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace samphireshunt {

class LocalHealth {
public:
  /// Records an answer in time.
  void recordSuccess() { Score_ -= Score_ > 0 ? 1 : 0; }
  /// Records a missing answer, a late timer of this process, or that other
  /// members suspect this daemon.
  void recordFailure() { Score_ = std::min(Score_ + 1, MaxScore); }

  /// Returns the score; 0 is healthy.
  std::uint32_t score() const { return Score_; }
  /// Returns \p Time, prolonged by the score, as the time to wait for others.
  std::chrono::milliseconds
  scaledTimeout(std::chrono::milliseconds Time) const {
    return Time * (1 + Score_);
  }

private:
  /// Bounds the delay until a death is detected after many other members died.
  static constexpr std::uint32_t MaxScore = 4;

  std::uint32_t Score_ = 0;
};

} // namespace samphireshunt
