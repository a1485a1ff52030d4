/// \file
/// What a daemon says when an exception ends it; the case ends a copy of this
/// process.

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

/// From now on no thread can be started: there is no room for so large a stack.
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
template <class Function> std::string saidBy(Function Run) {
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
  std::string Said;
  std::array<char, 1024> Space;
  for (ssize_t Count = 0;
       (Count = read(Pipe[0], Space.data(), Space.size())) > 0;)
    Said.append(Space.data(), static_cast<std::size_t>(Count));
  close(Pipe[0]);
  waitpid(Child, nullptr, 0);
  return Said;
}

} // namespace

TEST_CASE("an exception that leaves the control thread says which and where") {
  // Symptom: a daemon ends by itself; its last line says that there was no
  // exception, or names one, but not where it came from.
  // Sequence: a handler on the control thread throws; any will do, here the
  // start of the other threads.
  // Cause: the exception was caught in the program's main function. On its way
  // there it destroyed the daemon, whose threads run: that ends the process,
  // with the stack of the destructor.
  std::string Said = saidBy([] {
    // On a thread of its own, as the test's runner would catch it otherwise.
    std::thread Control([] {
      refuseThreads();
      runDaemon();
    });
    Control.join();
  });
  CHECK(Said.find(R"("event":"ended-by-exception")") != std::string::npos);
  CHECK(Said.find("no exception") == std::string::npos);
  CHECK(Said.find("Daemon3run") != std::string::npos);
}
