/// \file
/// Tests of the log line of a crashing process; each test ends a fork of the
/// test process.

#include "Common/CrashReport.h"

#include <doctest/doctest.h>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iterator>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace samphireshunt;

namespace {

/// Makes \p Descriptor non-blocking, as the log does, and fills it.
void fill(int Descriptor) {
  fcntl(Descriptor, F_SETFL, O_NONBLOCK);
  constexpr char Byte = '\n';
  while (write(Descriptor, &Byte, 1) == 1) {
  }
}

struct FaultResult {
  int Signal_ = 0;
  std::string Output_;
};

/// Waits until \p Child sleeps or has ended.
void awaitIdle(pid_t Child) {
  char State = 'R';
  while (State != 'S' && State != 'Z') {
    std::ifstream Stat("/proc/" + std::to_string(Child) + "/stat");
    std::string Text{std::istreambuf_iterator<char>(Stat), {}};
    State = Text.at(Text.rfind(')') + 2);
    std::this_thread::yield();
  }
}

enum class Reader { Waiting, Behind };

/// Runs \p Fault in a forked process with crash reports installed.
/// \returns the signal that ended the process, or 0, and what it wrote.
FaultResult runFault(const std::function<void()> &Fault,
                     Reader OfLog = Reader::Waiting) {
  std::array<int, 2> Pipe{};
  REQUIRE(pipe(Pipe.data()) == 0);
  pid_t Child = fork();
  REQUIRE(Child >= 0);
  if (Child == 0) {
    reportCrashes("vm-1", Pipe[1]);
    if (OfLog == Reader::Behind)
      fill(Pipe[1]);
    Fault();
    _exit(0);
  }
  close(Pipe[1]);
  if (OfLog == Reader::Behind)
    awaitIdle(Child);
  FaultResult Result;
  std::array<char, 1024> Space;
  for (ssize_t Count = 0;
       (Count = read(Pipe[0], Space.data(), Space.size())) > 0;)
    Result.Output_.append(Space.data(), static_cast<std::size_t>(Count));
  close(Pipe[0]);
  int Status = 0;
  waitpid(Child, &Status, 0);
  Result.Signal_ = WIFSIGNALED(Status) ? WTERMSIG(Status) : 0;
  return Result;
}

void fail() { throw std::runtime_error("a \"bad\" end"); }

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_CASE("a process that is ended by a signal logs where it was") {
  // A process that ends by a signal writes nothing by itself. Without the
  // report, a daemon's log would stop, all its callers' connections close, and
  // the cause remain unknown.
  FaultResult Result = runFault([] { std::raise(SIGFPE); });
  CHECK(Result.Signal_ == SIGFPE);
  CHECK(contains(Result.Output_, R"("vm":"vm-1","category":"process")"));
  CHECK(contains(Result.Output_, R"("event":"ended-by-signal","signal":"8")"));
  CHECK(contains(Result.Output_, R"("stack":[")"));
  CHECK(Result.Output_.ends_with("]}\n"));
}

TEST_CASE(
    "a process that is ended by an uncaught exception logs which and where") {
  // An uncaught exception ends the process. Where no handler of SIGABRT is run,
  // the line must be written before the process aborts itself.
  FaultResult Result = runFault([]() noexcept { fail(); });
  CHECK(Result.Signal_ == SIGABRT);
  CHECK(contains(Result.Output_, R"("event":"ended-by-exception")"));
  CHECK(contains(Result.Output_, R"("detail":"a  bad  end")"));
  CHECK(contains(Result.Output_, R"("stack":[")"));
  CHECK(Result.Output_.find('\n') == Result.Output_.size() - 1);
}

TEST_CASE("a process whose log is not read in time logs its end") {
  // Guards against a crash without a line, just when much is logged.
  FaultResult Result = runFault([] { std::raise(SIGFPE); }, Reader::Behind);
  CHECK(Result.Signal_ == SIGFPE);
  CHECK(contains(Result.Output_, R"("event":"ended-by-signal","signal":"8")"));
  CHECK(Result.Output_.ends_with("]}\n"));
}
