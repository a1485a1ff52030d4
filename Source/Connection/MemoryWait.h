#pragma once
/// \file
/// Waits for memory that is not free yet.

#include "Connection/Http.h"

#include <chrono>
#include <functional>

namespace samphireshunt {

/// Calls \p Take until it succeeds, for at most \p Limit. \returns whether it
/// has; false also once \p IsOver.
Awaitable<bool> waitForMemory(std::chrono::milliseconds Limit,
                              std::function<bool()> Take,
                              std::function<bool()> IsOver);

} // namespace samphireshunt
