#pragma once
/// \file
/// Wraps platform hooks so that each call of the platform's service is
/// reported. Operators see how many calls a fleet makes, and how slow or lossy
/// the service is.

#include "Process/Configuration/Platform.h"

namespace samphireshunt {

/// Called after each call with its name, whether it succeeded, and its
/// duration.
using PlatformCallObserver = std::function<void(
    const std::string &Call, bool Succeeded, std::chrono::microseconds Time)>;

/// Wraps \p Inner so that each call is reported to \p Observer, which must
/// outlive the hooks.
PlatformHooks measuredPlatform(PlatformHooks Inner,
                               PlatformCallObserver Observer);

} // namespace samphireshunt
