#pragma once
/// \file
/// How much memory the VM and this process have, and what the process keeps.

#include <cstddef>
#include <cstdint>

namespace samphireshunt {

/// \returns the VM's memory in bytes; 0 if it can't be read.
std::size_t vmMemoryBytes();
/// \returns what of this process is in memory now, in bytes; 0 if it can't be
/// read.
std::size_t processMemoryBytes();
/// \returns the most that was in memory since its start, in bytes; 0 if it
/// can't be read.
std::size_t mostProcessMemoryBytes();
/// Makes the process return each block of 1 MiB or more to the system when it
/// is freed. By default the allocator keeps blocks of up to the largest size
/// that was ever freed, up to 32 MiB: after some configurations of many
/// megabytes the process holds several times what it uses.
void returnLargeBlocks();
/// \returns \p Used in percent of \p Limit, 1 to 255; 0 if either is unknown.
std::uint8_t memoryPercent(std::size_t Used, std::size_t Limit);

} // namespace samphireshunt
