#pragma once
/// \file
/// A process of a failure test.

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace samphireshunt::tests {

/// Started on construction; killed on destruction, if it still runs.
///
/// A process that ends by itself fails the test (TestHooks::Fail_), also when
/// the test never looks at it: callers and other daemons hide such an end. It
/// ends as it should only if the test kills it, sends it the signal that it
/// ends by, or asks for its end by SIGTERM or SIGINT and it exits with 0.
class ChildProcess {
public:
  /// Runs \p Command; its standard error goes to \p LogPath.
  ChildProcess(const std::vector<std::string> &Command,
               const std::string &LogPath);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Waits for the next line that it writes. Throws at its end, with how it
  /// ended and the end of its log.
  nlohmann::json readLine();
  /// All that it still writes, until its end.
  std::string readAll();
  void signal(int Number);
  void kill();
  void freeze();
  void wake();
  /// Waits for its end, which the caller must judge if it is an exit.
  /// \returns the exit status; -1 after a signal.
  [[nodiscard]] int wait();
  bool running() const { return Pid_ > 0; }

private:
  /// Takes note of its end. \returns how it ended.
  std::string reap(int Status);
  bool askedToEnd() const;
  void checkEnd(int Status);
  void checkReports() const;
  std::string describe(const std::string &What) const;

  std::string Program_;
  std::string LogPath_;
  /// Where its own lines begin: several processes may write one log in turn.
  std::size_t LogBegin_ = 0;
  pid_t Pid_ = -1;
  int Output_ = -1;
  std::set<int> Sent_; ///< Signals from the test.
};

} // namespace samphireshunt::tests
