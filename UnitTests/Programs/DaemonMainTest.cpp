/// \file
/// Test of the log line of a daemon that is ended by an exception; the test
/// ends a fork of the test process.

#include "Programs/DaemonMain.h"

#include <doctest/doctest.h>

#include <array>
#include <limits>
#include <pthread.h>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace samphireshunt;

namespace {

/// Makes every later start of a thread fail, since there is no room for so
/// large a stack.
void refuseThreads() {
  constexpr std::size_t LargerThanMemory = std::size_t{1} << 47;
  pthread_attr_t Attributes;
  pthread_attr_init(&Attributes);
  pthread_attr_setstacksize(&Attributes, LargerThanMemory);
  pthread_setattr_default_np(&Attributes);
}

void runDaemon() {
  std::array<std::string, 8> Words = {
      "samphireshuntd",
      "--vm_id=vm-1",
      "--data_center=here",
      "--callers_address=127.0.0.1:0",
      "--peers_address=127.0.0.1:0",
      "--operators_address=127.0.0.1:0",
      "--platform_address=127.0.0.1:1",
      "--threads=1",
  };
  std::array<char *, Words.size()> Arguments{};
  for (std::size_t Index = 0; Index < Words.size(); ++Index)
    Arguments[Index] = Words[Index].data();
  daemonMain(static_cast<int>(Arguments.size()), Arguments.data(), {});
}

/// \returns what \p Run writes to standard error.
template <class Function> std::string stderrOf(Function Run) {
  std::array<int, 2> Pipe{};
  REQUIRE(pipe(Pipe.data()) == 0);
  pid_t Child = fork();
  REQUIRE(Child >= 0);
  if (Child == 0) {
    dup2(Pipe[1], STDERR_FILENO);
    Run();
    _exit(0);
  }
  close(Pipe[1]);
  std::string Output;
  std::array<char, 1024> Space;
  for (ssize_t Count = 0;
       (Count = read(Pipe[0], Space.data(), Space.size())) > 0;)
    Output.append(Space.data(), static_cast<std::size_t>(Count));
  close(Pipe[0]);
  waitpid(Child, nullptr, 0);
  return Output;
}

} // namespace

TEST_CASE("an exception that escapes from the control thread is logged with "
          "its origin") {
  // A handler on the control thread throws; here, the start of the worker
  // threads. If main() caught the exception, the daemon would be destroyed on
  // the way there while its threads are running. That ends the process with the
  // stack of the destructor, and the log line would contain no exception, or
  // one without its origin.
  std::string Output = stderrOf([] {
    // Run on a separate thread, since the test runner would catch the exception
    // on its own.
    std::thread Control([] {
      refuseThreads();
      runDaemon();
    });
    Control.join();
  });
  CHECK(Output.find(R"("event":"ended-by-exception")") != std::string::npos);
  CHECK(Output.find("no exception") == std::string::npos);
  CHECK(Output.find("Daemon3run") != std::string::npos);
}
