#pragma once
/// \file
/// How much memory the VM and this process have.

#include <cstddef>

namespace samphireshunt {

/// \returns the VM's memory in bytes; 0 if it can't be read.
std::size_t vmMemoryBytes();
/// \returns what of this process is in memory now, in bytes; 0 if it can't be
/// read.
std::size_t processMemoryBytes();
/// \returns the most that was in memory since its start, in bytes; 0 if it
/// can't be read.
std::size_t mostProcessMemoryBytes();

} // namespace samphireshunt
