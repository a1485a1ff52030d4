#pragma once
/// \file
/// What a process says when a signal or an exception ends it.

#include <string_view>

namespace samphireshunt {

/// Makes each signal that ends this process by a fault of its own, and each
/// exception that nobody catches, write one line to \p Descriptor first: the
/// signal and the address that was touched, or what the exception says, and the
/// stack. A process that ends so loses all requests that it runs, and without
/// the line its logs stop in the middle of a calm second: which of many
/// suspects it was can't be told. \p Origin names the VM. Called once, from the
/// main thread, before others are started.
void reportCrashes(std::string_view Origin, int Descriptor);

} // namespace samphireshunt
