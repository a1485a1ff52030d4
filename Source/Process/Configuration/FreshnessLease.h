#pragma once
/// \file
/// How long this daemon may go on believing that its configuration is the
/// newest one. A key that is taken away must stop working within a bound, also
/// at a daemon that can't be told: what it knows lapses unless it is confirmed.

#include "Common/BootClock.h"

#include <atomic>

namespace samphireshunt {

/// Thread-safe. Measured on a clock that counts suspended time.
class FreshnessLease {
public:
  /// \p Duration 0: what was read once stays fresh.
  explicit FreshnessLease(BootClock::duration Duration) : Duration_(Duration) {}

  /// The newest configuration was read by a call that was sent at \p SentAt.
  /// An answer may lie unread in a socket while the process is paused, so the
  /// moment at which it is read says nothing.
  void renew(BootTime SentAt) {
    auto Sent = SentAt.time_since_epoch().count();
    auto Known = ConfirmedAt_.load();
    while (Known < Sent && !ConfirmedAt_.compare_exchange_weak(Known, Sent)) {
    }
  }
  bool valid(BootTime Now) const {
    auto Known = ConfirmedAt_.load();
    if (Known == Never)
      return false;
    return Duration_.count() == 0 || age(Now) < Duration_;
  }
  /// Time since the last confirmation.
  BootClock::duration age(BootTime Now) const {
    return Now.time_since_epoch() - BootClock::duration(ConfirmedAt_.load());
  }

private:
  static constexpr BootClock::rep Never = 0;
  BootClock::duration Duration_;
  std::atomic<BootClock::rep> ConfirmedAt_ = Never;
};

} // namespace samphireshunt
