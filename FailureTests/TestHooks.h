#pragma once
/// \file
/// Callbacks from processes and folders to the test that uses them.
/// Measurements use these classes outside of tests and keep the default hooks.

#include <functional>
#include <string>

namespace samphireshunt::tests {

struct TestHooks {
  /// Marks the running test as failed and continues. The default writes to
  /// stderr.
  std::function<void(const std::string &Problem)> Fail_;
  /// Takes over a folder that is no longer used. The default removes it.
  std::function<void(const std::string &Path)> ReleaseFolder_;
};

/// \returns the hooks of this program.
TestHooks &testHooks();

} // namespace samphireshunt::tests
