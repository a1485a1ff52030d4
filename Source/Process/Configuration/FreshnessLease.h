#pragma once
/// \file
/// How long this daemon may go on believing that its configuration is the
/// newest one. A key that is taken away must stop working within a bound, also
/// at a daemon that can't be told: what it knows lapses unless it is confirmed.
/// And since when this daemon knows of a newer one that is not here yet.

#include "Common/BootClock.h"

#include <atomic>

namespace samphireshunt {

/// Thread-safe. Measured on a clock that counts suspended time.
class FreshnessLease {
public:
  /// \p Duration 0: what was read once stays fresh. \p ApplyBound: how long a
  /// newer configuration may be known of before the older one is overdue; 0:
  /// for ever.
  explicit FreshnessLease(BootClock::duration Duration,
                          BootClock::duration ApplyBound = {})
      : Duration_(Duration), ApplyBound_(ApplyBound) {}

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
  /// The clock's beginning before the first confirmation.
  BootTime confirmedAt() const {
    return BootTime(BootClock::duration(ConfirmedAt_.load()));
  }
  /// Time since the last confirmation.
  BootClock::duration age(BootTime Now) const { return Now - confirmedAt(); }

  /// A newer configuration than the one in force is known of, at the latest
  /// since \p Since.
  void newerKnown(BootTime Since) {
    auto Told = Since.time_since_epoch().count();
    auto Known = NewerSince_.load();
    while ((Known == Never || Told < Known) &&
           !NewerSince_.compare_exchange_weak(Known, Told)) {
    }
  }
  /// The newest configuration that is known of is in force.
  void newestInForce() { NewerSince_.store(Never); }
  /// For how long a newer configuration has been known of; 0: none is.
  BootClock::duration behind(BootTime Now) const {
    auto Since = NewerSince_.load();
    if (Since == Never)
      return BootClock::duration(0);
    return Now.time_since_epoch() - BootClock::duration(Since);
  }
  /// The one in force should have been replaced by now: no request may be
  /// decided by it, with a key or without.
  bool overdue(BootTime Now) const {
    return ApplyBound_.count() > 0 && behind(Now) >= ApplyBound_;
  }

private:
  static constexpr BootClock::rep Never = 0;
  BootClock::duration Duration_;
  BootClock::duration ApplyBound_;
  std::atomic<BootClock::rep> ConfirmedAt_ = Never;
  std::atomic<BootClock::rep> NewerSince_ = Never;
};

} // namespace samphireshunt
