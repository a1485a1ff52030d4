#include "Common/ProcessMemory.h"

#include <doctest/doctest.h>

using namespace samphireshunt;

TEST_CASE("the memory of the process and of the VM is known") {
  // Guards against a daemon killed for its memory without a figure before it.
  CHECK(processMemoryBytes() > 0);
  CHECK(mostProcessMemoryBytes() >= processMemoryBytes() / 2);
  CHECK(vmMemoryBytes() > processMemoryBytes());
}
