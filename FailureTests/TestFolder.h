#pragma once
/// \file
/// A temporary folder for a test, with the logs of its processes.

#include <string>

namespace samphireshunt::tests {

/// Creates a temporary folder on construction and throws std::runtime_error if
/// that fails. The destructor passes it to TestHooks::ReleaseFolder_, which
/// removes or retains it depending on whether the test failed.
class TestFolder {
public:
  TestFolder();
  ~TestFolder();
  TestFolder(const TestFolder &) = delete;
  TestFolder &operator=(const TestFolder &) = delete;

  const std::string &path() const { return Path_; }

private:
  std::string Path_;
};

/// \returns the last lines of a log, not before byte offset \p Begin, each
/// ending in a line break.
std::string logTail(const std::string &Path, std::size_t Begin = 0);
/// \returns the last lines of all logs in a folder.
std::string logTails(const std::string &Folder);

} // namespace samphireshunt::tests
