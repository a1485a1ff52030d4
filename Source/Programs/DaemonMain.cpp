#include "Programs/DaemonMain.h"

#include "Common/CrashReport.h"
#include "Common/Log.h"
#include "Common/ProcessMemory.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <memory>
#include <unistd.h>

namespace samphireshunt {

namespace {

constexpr int ExitBadSetting = 2;
constexpr int ExitFault = 1;

int printFailure(const Failure &Cause) {
  fmt::print(stderr, "samphireshuntd: {} {}: {}\n",
             static_cast<int>(Cause.Code_), describe(Cause.Code_).Name_,
             Cause.Detail_);
  return ExitBadSetting;
}

Result<std::unique_ptr<Daemon>> start(int ArgumentCount, char **Arguments,
                                      PlatformAdapter Adapter) {
  auto Configured = Settings::parse(ArgumentCount, Arguments);
  if (!Configured)
    return Configured.error();
  initializeLog(Configured->Vm_.str(),
                spdlog::level::from_str(Configured->LogLevel_),
                Configured->LogOutput_);
  reportCrashes(Configured->Vm_.str(), STDERR_FILENO);
  auto Started = Daemon::create(std::move(*Configured), std::move(Adapter));
  if (!Started)
    return Started.error();
  fmt::print("{}\n", (*Started)->describeAddresses());
  std::fflush(stdout);
  return Started;
}

} // namespace

int daemonMain(int ArgumentCount, char **Arguments, PlatformAdapter Adapter) {
  returnLargeBlocks();
  // A SIGHUP may arrive before the daemon handles it, and a reader of the logs
  // may close its end of the pipe. Neither may end the process.
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGPIPE, SIG_IGN);
  std::unique_ptr<Daemon> Running;
  try {
    auto Started = start(ArgumentCount, Arguments, std::move(Adapter));
    if (!Started)
      return printFailure(Started.error());
    Running = std::move(*Started);
  } catch (const std::exception &Error) {
    fmt::print(stderr, "samphireshuntd: {}\n", Error.what());
    return ExitFault;
  }
  // Exceptions are not caught here. An exception from a handler would unwind
  // the stack that threw it and destroy a daemon whose threads are running, and
  // the crash report would contain neither the exception nor its origin.
  return Running->run();
}

} // namespace samphireshunt
