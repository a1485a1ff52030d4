#pragma once
/// \file
/// The clock of decisions: it stands still while the VM is suspended; what must
/// not uses BootClock.h.

#include <chrono>

namespace samphireshunt {

using TimePoint = std::chrono::steady_clock::time_point;

} // namespace samphireshunt
