#include "FailureTests/ChildProcess.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <iterator>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT: the name is POSIX's.

namespace samphireshunt::tests {

ChildProcess::ChildProcess(const std::vector<std::string> &Command,
                           const std::string &LogPath) {
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
  if (Error != 0)
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
  if (Text.empty())
    throw std::runtime_error("a process ended before it told its addresses");
  return nlohmann::json::parse(Text);
}

std::string ChildProcess::readAll() {
  std::string Text;
  char Space[4096];
  ssize_t Count = 0;
  while ((Count = ::read(Output_, Space, sizeof(Space))) > 0)
    Text.append(Space, static_cast<std::size_t>(Count));
  return Text;
}

void ChildProcess::signal(int Number) const {
  if (Pid_ > 0)
    ::kill(Pid_, Number);
}

void ChildProcess::kill() {
  if (Pid_ <= 0)
    return;
  signal(SIGKILL);
  wait();
}

void ChildProcess::freeze() const { signal(SIGSTOP); }
void ChildProcess::wake() const { signal(SIGCONT); }

int ChildProcess::wait() {
  if (Pid_ <= 0)
    return -1;
  int Status = 0;
  ::waitpid(Pid_, &Status, 0);
  Pid_ = -1;
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
}

} // namespace samphireshunt::tests
