#pragma once
/// \file
/// Logs a signal or an uncaught exception that ends the process.

#include <string_view>

namespace samphireshunt {

/// Installs handlers that write one log line to \p Descriptor before a fatal
/// signal or an uncaught exception ends this process: the signal and the
/// faulting address, or the text of the exception, and the stack. Without the
/// line, the log of a process that crashes just stops, and the cause of the
/// loss of all its requests can't be determined. \p Origin is the name of the
/// VM. Called once, from the main thread, before other threads are started.
void reportCrashes(std::string_view Origin, int Descriptor);

} // namespace samphireshunt
