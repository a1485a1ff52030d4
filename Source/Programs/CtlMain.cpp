/// \file
/// samphireshuntctl, the command-line tool for operators.

#include "Programs/CtlCommands.h"
#include "Programs/OutcomeReport.h"
#include "Programs/RequestTimeline.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>
#include <span>
#include <sstream>

ABSL_FLAG(std::string, server, "",
          "IP:port of the platform's service or of any daemon's operators "
          "address; also SAMPHIRESHUNT_SERVER.");
ABSL_FLAG(std::string, output, "text", "text or json.");
ABSL_FLAG(bool, wait, false,
          "apply and rollback: wait until it is active on every live daemon.");
ABSL_FLAG(int, wait_timeout_ms, 30000, "Limit of --wait, in ms.");
ABSL_FLAG(bool, replace_unreadable, false,
          "apply and rollback: write over a stored document that can't be "
          "read.");
ABSL_FLAG(std::int64_t, expected_version, -1,
          "apply and rollback: the version that you read; default: the one in "
          "the file's first line, as `get` prints it.");

using namespace samphireshunt;

namespace {

constexpr const char *Usage =
    "samphireshuntctl COMMAND [flags]\n"
    "  validate FILE            checks a document\n"
    "  diff FILE                shows what apply would change\n"
    "  apply FILE               makes a document the next version\n"
    "  get SERVICE              prints the active document\n"
    "  history SERVICE          lists past versions\n"
    "  rollback SERVICE VERSION makes a past version the next one\n"
    "  status                   shows every daemon\n"
    "  explain CODE|NAME|all    explains a result code\n"
    "  explain-request ID [FILE...]\n"
    "                           shows a request's timeline from daemon logs;\n"
    "                           reads standard input if there are no files\n"
    "  report [FILE...]         counts the outcomes of all requests in daemon\n"
    "                           logs, by kind, reason and time\n";

ExitStatus usage() {
  fmt::print(stderr, "{}", Usage);
  return ExitStatus::Usage;
}

std::string newChangeId() {
  std::random_device Device;
  return fmt::format("{:08x}{:08x}", Device(), Device());
}

std::string serverText() {
  std::string Text = absl::GetFlag(FLAGS_server);
  const char *Environment = std::getenv("SAMPHIRESHUNT_SERVER");
  return Text.empty() && Environment ? Environment : Text;
}

Awaitable<ExitStatus> runRemote(CtlCommands &Commands,
                                const std::vector<std::string> &Words) {
  const std::string &Name = Words[0];
  if (Name == "diff")
    return Commands.diff(Words[1]);
  if (Name == "apply")
    return Commands.apply(Words[1]);
  if (Name == "get")
    return Commands.get(Words[1]);
  if (Name == "history")
    return Commands.history(Words[1]);
  if (Name == "rollback")
    return Commands.rollback(Words[1], Words[2]);
  return Commands.status();
}

std::size_t wordsNeeded(const std::string &Command) {
  if (Command == "status")
    return 1;
  if (Command == "rollback")
    return 3;
  for (std::string_view Known :
       {"validate", "explain", "diff", "apply", "get", "history"})
    if (Command == Known)
      return 2;
  return 0;
}

/// Log lines about state changes are shown from this many seconds before a
/// request.
constexpr double ContextSeconds = 10;

/// Passes each of \p Files to \p Read, or standard input if there are none.
ExitStatus readLogs(std::span<const std::string> Files,
                    const std::function<void(std::istream &)> &Read) {
  if (Files.empty())
    Read(std::cin);
  for (const std::string &Name : Files) {
    std::ifstream File(Name);
    if (!File) {
      fmt::print(stderr, "can't read {}\n", Name);
      return ExitStatus::Usage;
    }
    Read(File);
  }
  return ExitStatus::Ok;
}

ExitStatus explainRequest(const std::vector<std::string> &Words) {
  std::stringstream Logs;
  constexpr std::size_t FirstFile = 2;
  ExitStatus Status =
      readLogs(std::span(Words).subspan(FirstFile),
               [&](std::istream &File) { Logs << File.rdbuf(); });
  if (Status != ExitStatus::Ok)
    return Status;
  RequestTimeline Timeline = readTimeline(Logs, Words[1], ContextSeconds);
  if (!Timeline.Found_) {
    fmt::print(stderr, "the logs contain no line of request {}\n", Words[1]);
    return ExitStatus::NotFound;
  }
  fmt::print("{}", Timeline.text());
  return ExitStatus::Ok;
}

ExitStatus report(const std::vector<std::string> &Words) {
  OutcomeReport Report;
  ExitStatus Status = readLogs(std::span(Words).subspan(1),
                               [&](std::istream &File) { Report.read(File); });
  if (Status != ExitStatus::Ok)
    return Status;
  if (Report.total() == 0) {
    fmt::print(stderr, "the logs contain no end of a request\n");
    return ExitStatus::NotFound;
  }
  bool Json = absl::GetFlag(FLAGS_output) == "json";
  constexpr int Indent = 2;
  fmt::print("{}\n", Json ? Report.json().dump(Indent) : Report.text());
  return ExitStatus::Ok;
}

ExitStatus run(const std::vector<std::string> &Words) {
  if (Words.size() >= 2 && Words[0] == "explain-request")
    return explainRequest(Words);
  if (!Words.empty() && Words[0] == "report")
    return report(Words);
  if (Words.empty() || wordsNeeded(Words[0]) != Words.size())
    return usage();
  CtlOptions Options;
  Options.Json_ = absl::GetFlag(FLAGS_output) == "json";
  Options.Wait_ = absl::GetFlag(FLAGS_wait);
  Options.WaitTimeout_ =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_wait_timeout_ms));
  Options.ExpectedVersion_ = absl::GetFlag(FLAGS_expected_version);
  Options.ReplaceUnreadable_ = absl::GetFlag(FLAGS_replace_unreadable);
  Options.ChangeId_ = newChangeId();
  bool Local = Words[0] == "validate" || Words[0] == "explain";
  if (!Local) {
    auto Server = parseEndpoint(serverText());
    if (!Server) {
      fmt::print(stderr, "--server: {}\n", Server.error().Detail_);
      return ExitStatus::Usage;
    }
    constexpr std::chrono::milliseconds Timeout{2000};
    // Daemons have less memory than the computer that runs this.
    constexpr StoreLimits Limits{64 * 1000 * 1000};
    Options.Platform_ = httpPlatform(*Server, Timeout, Limits);
  }
  CtlCommands Commands(std::move(Options));
  if (Words[0] == "validate")
    return Commands.validate(Words[1]);
  if (Words[0] == "explain")
    return Commands.explain(Words[1]);
  boost::asio::io_context Context(1);
  ExitStatus Status = ExitStatus::Unavailable;
  std::exception_ptr Fault;
  auto Remote = [&]() { return runRemote(Commands, Words); };
  boost::asio::co_spawn(Context, std::move(Remote),
                        [&](std::exception_ptr Error, ExitStatus Returned) {
                          Fault = Error;
                          Status = Returned;
                        });
  Context.run();
  if (Fault)
    std::rethrow_exception(Fault);
  return Status;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  absl::SetProgramUsageMessage(Usage);
  auto Left = absl::ParseCommandLine(ArgumentCount, Arguments);
  std::vector<std::string> Words(Left.begin() + 1, Left.end());
  try {
    return static_cast<int>(run(Words));
  } catch (const std::exception &Error) {
    fmt::print(stderr, "samphireshuntctl: {}\n", Error.what());
    return static_cast<int>(ExitStatus::Unavailable);
  }
}
