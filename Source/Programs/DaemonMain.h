#pragma once
/// \file
/// The daemon's main function, for each platform that it is built for.

#include "Programs/Daemon.h"

namespace samphireshunt {

/// Reads the settings, serves until a graceful stop, and returns the exit
/// status: 2 for bad settings, 1 for a fault at the start.
int daemonMain(int ArgumentCount, char **Arguments, PlatformAdapter Adapter);

} // namespace samphireshunt
