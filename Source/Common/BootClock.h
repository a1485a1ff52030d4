#pragma once
/// \file
/// A clock that continues while a VM is suspended. The steady clock stops then:
/// a lease measured by it would look fresh after a suspension that was longer
/// than the lease.

#include <chrono>
#include <ctime>

namespace samphireshunt {

struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // Names required by the standard.
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
