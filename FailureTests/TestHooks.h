#pragma once
/// \file
/// What connects processes and folders with the test that uses them.
/// Measurements use them too and are no tests: they leave the defaults.

#include <functional>
#include <string>

namespace samphireshunt::tests {

struct TestHooks {
  /// Fails the running test and goes on; without a test, writes to stderr.
  std::function<void(const std::string &What)> Fail_;
  /// Takes a folder that nothing uses any more; without a test, removes it.
  std::function<void(const std::string &Path)> LeaveFolder_;
};

/// Those of this program.
TestHooks &testHooks();

} // namespace samphireshunt::tests
