/// \file
/// The tests' own processes: what does not start says why, and what ends by
/// itself fails the test.

#include "FailureTests/Cluster.h"
#include "FailureTests/TestHooks.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace samphireshunt::tests;

namespace {

/// Takes what would fail the test, as long as it lives.
class TakenFailures {
public:
  TakenFailures() : Before_(testHooks().Fail_) {
    testHooks().Fail_ = [this](const std::string &What) {
      Taken_.push_back(What);
    };
  }
  ~TakenFailures() { testHooks().Fail_ = std::move(Before_); }
  TakenFailures(const TakenFailures &) = delete;
  TakenFailures &operator=(const TakenFailures &) = delete;

  std::string text() const { return joined(Taken_); }

private:
  std::function<void(const std::string &)> Before_;
  std::vector<std::string> Taken_;
};

/// What fails the test that starts this shell script, does \p Act and leaves
/// it; the script has written a line by then.
std::string failuresOf(const std::string &Script,
                       const std::function<void(ChildProcess &)> &Act) {
  TestFolder Folder;
  TakenFailures Failures;
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

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_CASE("a cluster whose daemon can't start says why") {
  // A run of the failure tests beside load ended with "terminate called
  // without an active exception" and nothing else: the cluster threw while it
  // was built, its thread was still running, and the program ended there. What
  // had failed was never known.
  ClusterOptions Options;
  Options.DaemonFlags_ = {"--no_such_flag"};
  std::string Why;
  try {
    Cluster Fleet(Options);
  } catch (const std::exception &Error) {
    Why = Error.what();
  }
  CHECK_MESSAGE(contains(Why, "samphireshuntd ended"), Why);
  CHECK_MESSAGE(contains(Why, "exit status 1"), Why);
  CHECK_MESSAGE(contains(Why, "no_such_flag"), Why);
}

TEST_CASE("a process that ends by itself fails the test that started it") {
  // Daemons ended with a segmentation fault, one in some thousand requests.
  // The failure tests passed all the while: a daemon that was gone at their
  // end was killed like one that ran, and the others had served its callers.
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

TEST_CASE("a process that the test ends does not fail it") {
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

TEST_CASE("a sanitizer's report fails the test also when the test kills the "
          "process meanwhile") {
  auto Report = [](ChildProcess &Process) { Process.readLine(); };
  CHECK(contains(failuresOf("echo '==1==ERROR: AddressSanitizer: some-error' "
                            ">&2; echo 1; while :; do :; done",
                            Report),
                 "some-error"));
}
