#include "Common/ProcessMemory.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <limits>

namespace samphireshunt {

namespace {

std::size_t pageBytes() {
  return static_cast<std::size_t>(std::max(0L, sysconf(_SC_PAGESIZE)));
}

} // namespace

std::size_t vmMemoryBytes() {
  auto Pages = static_cast<std::size_t>(std::max(0L, sysconf(_SC_PHYS_PAGES)));
  return Pages * pageBytes();
}

std::size_t processMemoryBytes() {
  // Its fields are counts of pages: the whole address space, then what of it
  // is in memory.
  std::ifstream Counts("/proc/self/statm");
  std::size_t Whole = 0;
  std::size_t InMemory = 0;
  return Counts >> Whole >> InMemory ? InMemory * pageBytes() : 0;
}

std::size_t mostProcessMemoryBytes() {
  constexpr std::size_t BytesPerKib = 1024;
  rusage Usage{};
  if (getrusage(RUSAGE_SELF, &Usage) != 0)
    return 0;
  return static_cast<std::size_t>(Usage.ru_maxrss) * BytesPerKib;
}

void returnLargeBlocks() {
  constexpr int LargeBytes = 1 << 20;
  mallopt(M_MMAP_THRESHOLD, LargeBytes);
  mallopt(M_TRIM_THRESHOLD, 2 * LargeBytes);
}

std::uint8_t memoryPercent(std::size_t Used, std::size_t Limit) {
  if (Used == 0 || Limit == 0)
    return 0;
  constexpr std::size_t Whole = 100;
  constexpr std::size_t Most = std::numeric_limits<std::uint8_t>::max();
  return static_cast<std::uint8_t>(
      std::clamp<std::size_t>(Used * Whole / Limit, 1, Most));
}

} // namespace samphireshunt
