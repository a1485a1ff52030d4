/// \file
/// What a process writes when it ends by itself; each case ends a copy of this
/// one.

#include "Common/CrashReport.h"

#include <doctest/doctest.h>

#include <array>
#include <csignal>
#include <functional>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

using namespace samphireshunt;

namespace {

struct Ended {
  int Signal_ = 0;
  std::string Said_;
};

/// Runs \p Fault in a copy of this process, with the report in place.
Ended endBy(const std::function<void()> &Fault) {
  std::array<int, 2> Pipe{};
  REQUIRE(pipe(Pipe.data()) == 0);
  pid_t Child = fork();
  REQUIRE(Child >= 0);
  if (Child == 0) {
    reportCrashes("vm-1", Pipe[1]);
    Fault();
    _exit(0);
  }
  close(Pipe[1]);
  Ended Seen;
  std::array<char, 1024> Space;
  for (ssize_t Count = 0;
       (Count = read(Pipe[0], Space.data(), Space.size())) > 0;)
    Seen.Said_.append(Space.data(), static_cast<std::size_t>(Count));
  close(Pipe[0]);
  int Status = 0;
  waitpid(Child, &Status, 0);
  Seen.Signal_ = WIFSIGNALED(Status) ? WTERMSIG(Status) : 0;
  return Seen;
}

void fail() { throw std::runtime_error("a \"bad\" end"); }

bool holds(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_CASE("a process that a signal ends says where it was") {
  // Symptom: a daemon's log stops in the middle of a second, all its callers'
  // connections close, and nothing tells why.
  // Cause: a process that ends by a signal writes nothing by itself.
  Ended Seen = endBy([] { std::raise(SIGFPE); });
  CHECK(Seen.Signal_ == SIGFPE);
  CHECK(holds(Seen.Said_, R"("vm":"vm-1","category":"process")"));
  CHECK(holds(Seen.Said_, R"("event":"ended-by-signal","signal":"8")"));
  CHECK(holds(Seen.Said_, R"("stack":[")"));
  CHECK(Seen.Said_.ends_with("]}\n"));
}

TEST_CASE("a process that an uncaught exception ends says which and where") {
  // The same symptom; where no handler of SIGABRT is run, the line must be
  // written before the process aborts itself.
  Ended Seen = endBy([]() noexcept { fail(); });
  CHECK(Seen.Signal_ == SIGABRT);
  CHECK(holds(Seen.Said_, R"("event":"ended-by-exception")"));
  CHECK(holds(Seen.Said_, R"("detail":"a  bad  end")"));
  CHECK(holds(Seen.Said_, R"("stack":[")"));
  CHECK(Seen.Said_.find('\n') == Seen.Said_.size() - 1);
}
