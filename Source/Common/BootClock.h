#pragma once
/// \file
/// A clock that counts the time for which a VM is suspended. The steady clock
/// stands still then: a lease measured by it would look fresh after a pause
/// that outlasted it.

#include <chrono>
#include <ctime>

namespace samphireshunt {

struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The standard's names for them.
  // NOLINTNEXTLINE
  static constexpr bool is_steady = true;
  // NOLINTNEXTLINE
  static time_point now() {
    timespec Time{};
    clock_gettime(CLOCK_BOOTTIME, &Time);
    return time_point(std::chrono::seconds(Time.tv_sec) +
                      std::chrono::nanoseconds(Time.tv_nsec));
  }
};

using BootTime = BootClock::time_point;

} // namespace samphireshunt
