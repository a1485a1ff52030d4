#include "FailureTests/ChildProcess.h"

#include "FailureTests/TestFolder.h"
#include "FailureTests/TestHooks.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iterator>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT: the name is POSIX's.

namespace samphireshunt::tests {

namespace {

/// Opens each report of a sanitizer, after "ERROR: " or "WARNING: ".
const std::string ReportMark = "Sanitizer: ";

std::size_t sizeOf(const std::string &Path) {
  std::error_code Missing;
  auto Size = std::filesystem::file_size(Path, Missing);
  return Missing ? 0 : Size;
}

std::string endText(int Status) {
  if (WIFEXITED(Status))
    return fmt::format("exit status {}", WEXITSTATUS(Status));
  return fmt::format("signal {} ({})", WTERMSIG(Status),
                     ::strsignal(WTERMSIG(Status)));
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &Command,
                           const std::string &LogPath)
    : Program_(std::filesystem::path(Command[0]).filename().string()),
      LogPath_(LogPath), LogBegin_(sizeOf(LogPath)) {
  int Pipe[2];
  if (::pipe2(Pipe, O_CLOEXEC) != 0)
    throw std::runtime_error("no pipe");
  constexpr int LogPermissions = 0644;
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_adddup2(&Actions, Pipe[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(&Actions, STDERR_FILENO, LogPath.c_str(),
                                   O_CREAT | O_WRONLY | O_APPEND,
                                   LogPermissions);
  std::vector<char *> Arguments;
  std::ranges::transform(
      Command, std::back_inserter(Arguments),
      [](const std::string &Word) { return const_cast<char *>(Word.c_str()); });
  Arguments.push_back(nullptr);
  int Error = ::posix_spawn(&Pid_, Arguments[0], &Actions, nullptr,
                            Arguments.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  ::close(Pipe[1]);
  Output_ = Pipe[0];
  if (Error == 0)
    return;
  ::close(Output_);
  throw std::runtime_error("can't start " + Command[0]);
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
      describe("ended before it told its addresses: " + reap(Status)));
}

std::string ChildProcess::readAll() {
  std::string Text;
  char Space[4096];
  ssize_t Count = 0;
  while ((Count = ::read(Output_, Space, sizeof(Space))) > 0)
    Text.append(Space, static_cast<std::size_t>(Count));
  return Text;
}

void ChildProcess::signal(int Number) {
  if (Pid_ <= 0)
    return;
  Sent_.insert(Number);
  ::kill(Pid_, Number);
}

void ChildProcess::kill() {
  if (Pid_ <= 0)
    return;
  // One that has ended already keeps the status that it ended with.
  signal(SIGKILL);
  int Status = 0;
  ::waitpid(Pid_, &Status, 0);
  checkEnd(Status);
}

void ChildProcess::freeze() { signal(SIGSTOP); }
void ChildProcess::wake() { signal(SIGCONT); }

int ChildProcess::wait() {
  if (Pid_ <= 0)
    return -1;
  int Status = 0;
  ::waitpid(Pid_, &Status, 0);
  if (!WIFEXITED(Status)) {
    checkEnd(Status);
    return -1;
  }
  reap(Status);
  checkReports();
  return WEXITSTATUS(Status);
}

std::string ChildProcess::reap(int Status) {
  Pid_ = -1;
  return endText(Status);
}

bool ChildProcess::askedToEnd() const {
  return Sent_.contains(SIGTERM) || Sent_.contains(SIGINT);
}

void ChildProcess::checkEnd(int Status) {
  std::string End = reap(Status);
  bool Expected = WIFEXITED(Status) ? WEXITSTATUS(Status) == 0 && askedToEnd()
                                    : Sent_.contains(WTERMSIG(Status));
  if (!Expected)
    return testHooks().Fail_(describe("ended by itself: " + End));
  // It may have been about to end by itself when the test ended it.
  checkReports();
}

void ChildProcess::checkReports() const {
  if (logTail(LogPath_, LogBegin_).find(ReportMark) != std::string::npos)
    testHooks().Fail_(describe("has a sanitizer's report"));
}

std::string ChildProcess::describe(const std::string &What) const {
  return fmt::format("{} {}; the end of {}:\n{}", Program_, What, LogPath_,
                     logTail(LogPath_, LogBegin_));
}

} // namespace samphireshunt::tests
