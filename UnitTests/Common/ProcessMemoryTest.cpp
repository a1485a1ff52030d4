#include "Common/ProcessMemory.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <memory>
#include <vector>

using namespace samphireshunt;

TEST_CASE("the memory of the process and of the VM is known") {
  // Guards against a daemon killed for its memory without a figure before it.
  CHECK(processMemoryBytes() > 0);
  CHECK(mostProcessMemoryBytes() >= processMemoryBytes() / 2);
  CHECK(vmMemoryBytes() > processMemoryBytes());
}

TEST_CASE("memory in use is told apart from memory that is not known") {
  // Guards against a process that is far from its limit and seems unknown.
  CHECK(memoryPercent(0, 1000) == 0);
  CHECK(memoryPercent(1000, 0) == 0);
  CHECK(memoryPercent(1, 1000) == 1);
  CHECK(memoryPercent(900, 1000) == 90);
  CHECK(memoryPercent(9000, 1000) == 255);
}

// Sanitizers have allocators of their own, which keep what is freed.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
TEST_CASE(
    "what a large text took is given back though small blocks follow it") {
  // The allocator takes a block from its heap once a larger one was freed, and
  // keeps it while anything behind it is in use. A daemon that has read some
  // large configurations then ends for its memory.
  constexpr std::size_t MiB = 1 << 20;
  returnLargeBlocks();
  std::vector<std::unique_ptr<char[]>> Small;
  std::size_t Before = processMemoryBytes();
  for (std::size_t Size : {30 * MiB, 25 * MiB, 20 * MiB, 15 * MiB}) {
    std::vector<char> Text(Size, 'x');
    Small.push_back(std::make_unique<char[]>(1000));
    REQUIRE(processMemoryBytes() >= Before + Size / 2);
  }
  CHECK(processMemoryBytes() < Before + 5 * MiB);
}
#endif
