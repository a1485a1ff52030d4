#pragma once
/// \file
/// A child process started by a failure test.

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace samphireshunt::tests {

/// Starts a process on construction and kills it on destruction if it is still
/// running.
///
/// An unexpected end of the process fails the test (TestHooks::Fail_), even if
/// the test never checks this process: callers and the other daemons would
/// otherwise hide a crash. The end is expected only if the test killed the
/// process, if the process died from a signal that the test sent, or if it
/// exited with status 0 after the test sent SIGTERM or SIGINT.
class ChildProcess {
public:
  /// Runs \p Command and appends its standard error to \p LogPath. Throws
  /// std::runtime_error if the process cannot be started.
  ChildProcess(const std::vector<std::string> &Command,
               const std::string &LogPath);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Waits for the next line on the standard output and parses it as JSON.
  /// Throws std::runtime_error if the process ends first; the message contains
  /// the exit status and the last lines of its log.
  nlohmann::json readLine();
  /// Reads the remaining standard output until it is closed.
  std::string readAll();
  void signal(int Number);
  void kill();
  /// The process may end by this signal without the test sending it.
  void expectSignal(int Number) { SentSignals_.insert(Number); }
  void freeze();
  void resume();
  /// Waits for the process to end. The caller has to check the exit status; a
  /// death by a signal that the test did not send fails the test.
  /// \returns the exit status, or -1 if a signal ended the process.
  [[nodiscard]] int wait();
  /// \returns the most memory that the running process has had, in bytes; 0 if
  /// it is not known.
  std::size_t mostMemory() const;
  bool running() const { return Pid_ > 0; }
  pid_t pid() const { return Pid_; }

private:
  /// Marks the process as ended. \returns a description of the wait \p Status.
  std::string reap(int Status);
  bool terminationRequested() const;
  void checkExit(int Status);
  void checkReports() const;
  std::string describe(const std::string &Problem) const;

  std::string Program_;
  std::string LogPath_;
  /// Offset in bytes of the first log line of this process: several processes
  /// may append to the same log one after another.
  std::size_t LogBegin_ = 0;
  pid_t Pid_ = -1;
  int Output_ = -1;
  std::set<int> SentSignals_; ///< Signals that the test sent or expects.
};

} // namespace samphireshunt::tests
