#pragma once
/// \file
/// How long this daemon may treat its configuration as the newest one. A
/// revoked key must stop working within a bound, even at a daemon that can't be
/// reached, so its configuration expires unless it is confirmed. Also records
/// since when this daemon has known of a newer configuration that it does not
/// have yet.

#include "Common/BootClock.h"

#include <atomic>

namespace samphireshunt {

/// Thread-safe. Uses a clock that counts suspended time.
class FreshnessLease {
public:
  /// \p Duration is how long a confirmation is valid; 0: forever. \p ApplyBound
  /// is how long a newer configuration may be known before the older one is
  /// overdue; 0: forever. Confirmations more than \p MaxGap apart leave open
  /// what there was in between; 0: never.
  explicit FreshnessLease(BootClock::duration Duration,
                          BootClock::duration ApplyBound = {},
                          BootClock::duration MaxGap = {})
      : Duration_(Duration), ApplyBound_(ApplyBound), MaxGap_(MaxGap) {}

  /// Renews the lease after the newest configuration was read by a call that
  /// was sent at \p SentAt. The time of reading proves nothing, since an answer
  /// may lie unread in a socket while the process is paused.
  void renew(BootTime SentAt) {
    auto Sent = SentAt.time_since_epoch().count();
    auto Known = ConfirmedAt_.load();
    bool Gap = MaxGap_.count() > 0 && Sent - Known > MaxGap_.count();
    if (Known == Never || Gap)
      UnbrokenSince_.store(Sent);
    while (Known < Sent && !ConfirmedAt_.compare_exchange_weak(Known, Sent)) {
    }
  }
  bool valid(BootTime Now) const {
    auto Known = ConfirmedAt_.load();
    if (Known == Never)
      return false;
    return Duration_.count() == 0 || age(Now) < Duration_;
  }
  /// The clock's epoch before the first confirmation.
  BootTime confirmedAt() const {
    return BootTime(BootClock::duration(ConfirmedAt_.load()));
  }
  /// The first of the confirmations that had no gap up to the last one; the
  /// clock's epoch before the first.
  BootTime unbrokenSince() const {
    return BootTime(BootClock::duration(UnbrokenSince_.load()));
  }
  /// Time since the last confirmation.
  BootClock::duration age(BootTime Now) const { return Now - confirmedAt(); }

  /// Records that a configuration newer than the active one has been known at
  /// least since \p Since.
  void newerKnown(BootTime Since) {
    auto Reported = Since.time_since_epoch().count();
    auto Known = NewerSince_.load();
    while ((Known == Never || Reported < Known) &&
           !NewerSince_.compare_exchange_weak(Known, Reported)) {
    }
  }
  /// Records that the newest known configuration is active.
  void newestActive() { NewerSince_.store(Never); }
  /// How long a newer configuration has been known; 0 if there is none.
  BootClock::duration behind(BootTime Now) const {
    auto Since = NewerSince_.load();
    if (Since == Never)
      return BootClock::duration(0);
    return Now.time_since_epoch() - BootClock::duration(Since);
  }
  /// How long a newer configuration may be known; 0: forever.
  BootClock::duration applyBound() const { return ApplyBound_; }
  /// True if the active configuration should have been replaced by now: no
  /// request may be decided by it, with a key or without.
  bool overdue(BootTime Now) const {
    return ApplyBound_.count() > 0 && behind(Now) >= ApplyBound_;
  }

private:
  static constexpr BootClock::rep Never = 0;
  BootClock::duration Duration_;
  BootClock::duration ApplyBound_;
  BootClock::duration MaxGap_;
  std::atomic<BootClock::rep> ConfirmedAt_ = Never;
  std::atomic<BootClock::rep> UnbrokenSince_ = Never;
  std::atomic<BootClock::rep> NewerSince_ = Never;
};

} // namespace samphireshunt
