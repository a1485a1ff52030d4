#pragma once
/// \file
/// The clock used for scheduling decisions. It stops while the VM is suspended;
/// code for which time must continue then uses BootClock.h.

#include <chrono>

namespace samphireshunt {

using TimePoint = std::chrono::steady_clock::time_point;

} // namespace samphireshunt
