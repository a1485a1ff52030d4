#pragma once
/// \file
/// A temporary folder of a test, with the logs of its processes.

#include <string>

namespace samphireshunt::tests {

/// Given to TestHooks::LeaveFolder_ on destruction: what becomes of it depends
/// on whether the test failed.
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

/// The last lines of a log, from byte \p Begin on; each with a line break.
std::string logTail(const std::string &Path, std::size_t Begin = 0);
/// The ends of all logs in a folder.
std::string logTails(const std::string &Folder);

} // namespace samphireshunt::tests
