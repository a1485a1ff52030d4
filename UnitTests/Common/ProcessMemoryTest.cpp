#include "Common/ProcessMemory.h"

#include <doctest/doctest.h>

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
