#pragma once
/// \file
/// How far this daemon may trust its own judgement of others, after Lifeguard
/// (A. Dadgar, J. Phillips, J. Currey). Pure.
///
/// What goes wrong: a VM without processor time, or behind a full link, reads
/// answers late. It takes one sound daemon after the other for dead and tells
/// the whole fleet so; keepers change, and their requests move. One notices by
/// `suspect` lines that name many members and come from one daemon. A daemon
/// whose probes fail one after the other is more likely the one that is slow:
/// it waits longer before it accuses the next.

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace samphireshunt {

class LocalHealth {
public:
  /// An answer came in time.
  void good() { Score_ -= Score_ > 0 ? 1 : 0; }
  /// No answer came, this process came late to its own timers, or others took
  /// it for suspect.
  void bad() { Score_ = std::min(Score_ + 1, MostScore); }

  /// 0 is healthy.
  std::uint32_t score() const { return Score_; }
  /// \p Time as long as this daemon should wait for others.
  std::chrono::milliseconds scaled(std::chrono::milliseconds Time) const {
    return Time * (1 + Score_);
  }

private:
  /// Bounds how late the death of a member is noticed after many others died.
  static constexpr std::uint32_t MostScore = 4;

  std::uint32_t Score_ = 0;
};

} // namespace samphireshunt
