#pragma once
/// \file
/// A process of a failure test.

#include <nlohmann/json.hpp>

#include <string>
#include <sys/types.h>
#include <vector>

namespace samphireshunt::tests {

/// Started on construction; killed on destruction, if it still runs.
class ChildProcess {
public:
  /// Runs \p Command; its standard error goes to \p LogPath.
  ChildProcess(const std::vector<std::string> &Command,
               const std::string &LogPath);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Waits for the next line that it writes; fails the test at its end.
  nlohmann::json readLine();
  /// All that it still writes, until its end.
  std::string readAll();
  void signal(int Number) const;
  void kill();
  void freeze() const;
  void wake() const;
  /// Waits for its end. \returns the exit status; -1 after a signal.
  int wait();
  bool running() const { return Pid_ > 0; }

private:
  pid_t Pid_ = -1;
  int Output_ = -1;
};

} // namespace samphireshunt::tests
