#include "FailureTests/ChildProcess.h"

#include "FailureTests/TestFolder.h"
#include "FailureTests/TestHooks.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT: POSIX specifies this name.

namespace samphireshunt::tests {

namespace {

/// Appears in the first line of every sanitizer report, after "ERROR: " or
/// "WARNING: ".
const std::string SanitizerMarker = "Sanitizer: ";

std::size_t fileSize(const std::string &Path) {
  std::error_code Error;
  auto Size = std::filesystem::file_size(Path, Error);
  return Error ? 0 : Size;
}

std::string exitDescription(int Status) {
  if (WIFEXITED(Status))
    return fmt::format("exit status {}", WEXITSTATUS(Status));
  return fmt::format("signal {} ({})", WTERMSIG(Status),
                     ::strsignal(WTERMSIG(Status)));
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &Command,
                           const std::string &LogPath)
    : Program_(std::filesystem::path(Command[0]).filename().string()),
      LogPath_(LogPath), LogBegin_(fileSize(LogPath)) {
  int Pipe[2];
  if (::pipe2(Pipe, O_CLOEXEC) != 0)
    throw std::runtime_error("cannot create a pipe");
  constexpr int LogPermissions = 0644;
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_adddup2(&Actions, Pipe[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(&Actions, STDERR_FILENO, LogPath.c_str(),
                                   O_CREAT | O_WRONLY | O_APPEND,
                                   LogPermissions);
  // A child that inherited a listening socket would keep its port open.
  constexpr int FirstInherited = 3;
  posix_spawn_file_actions_addclosefrom_np(&Actions, FirstInherited);
  std::vector<char *> Arguments;
  std::ranges::transform(Command, std::back_inserter(Arguments),
                         [](const std::string &Argument) {
                           return const_cast<char *>(Argument.c_str());
                         });
  Arguments.push_back(nullptr);
  int Error = ::posix_spawn(&Pid_, Arguments[0], &Actions, nullptr,
                            Arguments.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  ::close(Pipe[1]);
  Output_ = Pipe[0];
  if (Error == 0)
    return;
  ::close(Output_);
  throw std::runtime_error("cannot start " + Command[0]);
}

ChildProcess::~ChildProcess() {
  kill();
  ::close(Output_);
}

nlohmann::json ChildProcess::readLine() {
  std::string Text;
  char Byte = 0;
  while (::read(Output_, &Byte, 1) == 1 && Byte != '\n')
    Text.push_back(Byte);
  if (!Text.empty())
    return nlohmann::json::parse(Text);
  int Status = 0;
  ::waitpid(Pid_, &Status, 0);
  throw std::runtime_error(
      describe("ended before it reported its addresses: " + reap(Status)));
}

std::string ChildProcess::readAll() {
  std::string Text;
  char Buffer[4096];
  ssize_t Count = 0;
  while ((Count = ::read(Output_, Buffer, sizeof(Buffer))) > 0)
    Text.append(Buffer, static_cast<std::size_t>(Count));
  return Text;
}

void ChildProcess::signal(int Number) {
  if (Pid_ <= 0)
    return;
  SentSignals_.insert(Number);
  ::kill(Pid_, Number);
}

void ChildProcess::kill() {
  if (Pid_ <= 0)
    return;
  // The signal has no effect on a process that has already exited: waitpid()
  // still returns its original exit status.
  signal(SIGKILL);
  int Status = 0;
  ::waitpid(Pid_, &Status, 0);
  checkExit(Status);
}

void ChildProcess::freeze() { signal(SIGSTOP); }
void ChildProcess::resume() { signal(SIGCONT); }

int ChildProcess::wait() {
  if (Pid_ <= 0)
    return -1;
  int Status = 0;
  ::waitpid(Pid_, &Status, 0);
  if (!WIFEXITED(Status)) {
    checkExit(Status);
    return -1;
  }
  reap(Status);
  checkReports();
  return WEXITSTATUS(Status);
}

std::size_t ChildProcess::mostMemory() const {
  std::ifstream Lines(fmt::format("/proc/{}/status", Pid_));
  constexpr std::string_view Field = "VmHWM:";
  constexpr std::size_t BytesPerKib = 1024;
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with(Field))
      return std::stoul(Line.substr(Field.size())) * BytesPerKib;
  return 0;
}

std::string ChildProcess::reap(int Status) {
  Pid_ = -1;
  return exitDescription(Status);
}

bool ChildProcess::terminationRequested() const {
  return SentSignals_.contains(SIGTERM) || SentSignals_.contains(SIGINT);
}

void ChildProcess::checkExit(int Status) {
  std::string Description = reap(Status);
  bool Expected = WIFEXITED(Status)
                      ? WEXITSTATUS(Status) == 0 && terminationRequested()
                      : SentSignals_.contains(WTERMSIG(Status));
  if (!Expected)
    return testHooks().Fail_(describe("ended by itself: " + Description));
  // The process may already have been failing when the test ended it, so its
  // log is checked for sanitizer reports even after an expected end.
  checkReports();
}

void ChildProcess::checkReports() const {
  if (logTail(LogPath_, LogBegin_).find(SanitizerMarker) != std::string::npos)
    testHooks().Fail_(describe("wrote a sanitizer report"));
}

std::string ChildProcess::describe(const std::string &Problem) const {
  return fmt::format("{} {}; last lines of {}:\n{}", Program_, Problem,
                     LogPath_, logTail(LogPath_, LogBegin_));
}

} // namespace samphireshunt::tests
