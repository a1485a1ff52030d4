#include "FailureTests/TestHooks.h"

#include <fmt/format.h>

#include <cstdio>
#include <filesystem>

namespace samphireshunt::tests {

TestHooks &testHooks() {
  static TestHooks Hooks{
      [](const std::string &Problem) { fmt::print(stderr, "{}\n", Problem); },
      [](const std::string &Path) { std::filesystem::remove_all(Path); }};
  return Hooks;
}

} // namespace samphireshunt::tests
