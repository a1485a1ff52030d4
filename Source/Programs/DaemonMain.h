#pragma once
/// \file
/// The main function of the daemon, shared by the builds for all platforms.

#include "Programs/Daemon.h"

namespace samphireshunt {

/// Reads the settings and serves until a graceful stop is complete.
/// \returns the exit status: 2 for invalid settings, 1 for an error during the
/// start.
int daemonMain(int ArgumentCount, char **Arguments, PlatformAdapter Adapter);

} // namespace samphireshunt
