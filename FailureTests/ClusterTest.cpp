/// \file
/// Tests of the test infrastructure: a process that cannot start reports the
/// reason, and a process that ends unexpectedly fails the test.

#include "FailureTests/Cluster.h"
#include "FailureTests/TestHooks.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace samphireshunt::tests;

namespace {

/// Captures test failures reported through the hooks during its lifetime.
class CapturedFailures {
public:
  CapturedFailures() : PreviousHook_(testHooks().Fail_) {
    testHooks().Fail_ = [this](const std::string &Problem) {
      Failures_.push_back(Problem);
    };
  }
  ~CapturedFailures() { testHooks().Fail_ = std::move(PreviousHook_); }
  CapturedFailures(const CapturedFailures &) = delete;
  CapturedFailures &operator=(const CapturedFailures &) = delete;

  std::string text() const { return joined(Failures_); }

private:
  std::function<void(const std::string &)> PreviousHook_;
  std::vector<std::string> Failures_;
};

/// Runs a shell script as a child process, calls \p Act with it and destroys
/// it. \returns the failures reported meanwhile.
std::string failuresOf(const std::string &Script,
                       const std::function<void(ChildProcess &)> &Act) {
  TestFolder Folder;
  CapturedFailures Failures;
  {
    ChildProcess Shell({"/bin/sh", "-c", Script}, Folder.path() + "/sh.log");
    Act(Shell);
  }
  return Failures.text();
}

void awaitEnd(ChildProcess &Process) { Process.readAll(); }

void stop(ChildProcess &Process) {
  Process.readLine();
  Process.signal(SIGTERM);
  Process.readAll();
}

bool contains(const std::string &Text, const std::string &Expected) {
  return Text.find(Expected) != std::string::npos;
}

} // namespace

TEST_CASE("a cluster whose daemon can't start says why") {
  // If the constructor of Cluster throws while its thread is still running, the
  // destruction of that thread ends the program with "terminate called without
  // an active exception". The exception, and with it the reason why a process
  // did not start, would be lost.
  ClusterOptions Options;
  Options.DaemonFlags_ = {"--no_such_flag"};
  std::string Reason;
  try {
    Cluster TestCluster(Options);
  } catch (const std::exception &Error) {
    Reason = Error.what();
  }
  CHECK_MESSAGE(contains(Reason, "samphireshuntd ended"), Reason);
  CHECK_MESSAGE(contains(Reason, "exit status 1"), Reason);
  CHECK_MESSAGE(contains(Reason, "no_such_flag"), Reason);
}

TEST_CASE("a process that ends by itself fails the test that started it") {
  // A daemon with a rare segmentation fault, about one in some thousand
  // requests, would go unnoticed: the other daemons serve its callers, and
  // killing the crashed process at the end of the test looks the same as
  // killing a running one.
  CHECK(contains(failuresOf("echo last words >&2; kill -SEGV $$", awaitEnd),
                 "ended by itself: signal 11"));
  CHECK(contains(failuresOf("echo last words >&2; exit 3", awaitEnd),
                 "last words"));
  CHECK(contains(failuresOf("exit 0", awaitEnd),
                 "ended by itself: exit status 0"));
  CHECK(contains(
      failuresOf("trap 'exit 1' TERM; echo 1; while :; do :; done", stop),
      "ended by itself: exit status 1"));
}

TEST_CASE("a process that the test ends does not fail the test") {
  auto Leave = [](ChildProcess &) {};
  CHECK(failuresOf("exec sleep 600", Leave).empty());
  CHECK(failuresOf("trap 'exit 0' TERM; echo 1; while :; do :; done", stop)
            .empty());
  auto Crash = [](ChildProcess &Process) {
    Process.signal(SIGSEGV);
    CHECK(Process.wait() == -1);
  };
  CHECK(failuresOf("exec sleep 600", Crash).empty());
}

TEST_CASE("a sanitizer's report fails the test even if the test then kills "
          "the process") {
  auto Report = [](ChildProcess &Process) { Process.readLine(); };
  CHECK(contains(failuresOf("echo '==1==ERROR: AddressSanitizer: some-error' "
                            ">&2; echo 1; while :; do :; done",
                            Report),
                 "some-error"));
}
