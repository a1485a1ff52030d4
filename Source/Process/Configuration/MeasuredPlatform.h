#pragma once
/// \file
/// Hooks that report each call of the platform's service: operators see what a
/// fleet asks of it, and how slow or lossy it is.

#include "Process/Configuration/Platform.h"

namespace samphireshunt {

/// Called after each call with its name, whether it succeeded, and its time.
using PlatformCallSeen = std::function<void(
    const std::string &Call, bool Succeeded, std::chrono::microseconds Time)>;

/// \p Inner with each call reported to \p Seen, which outlives the hooks.
PlatformHooks measuredPlatform(PlatformHooks Inner, PlatformCallSeen Seen);

} // namespace samphireshunt
