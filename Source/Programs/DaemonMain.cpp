#include "Programs/DaemonMain.h"

#include "Common/CrashReport.h"
#include "Common/Log.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <memory>
#include <unistd.h>

namespace samphireshunt {

namespace {

constexpr int ExitBadSetting = 2;
constexpr int ExitFault = 1;

int reportFailure(const Failure &Cause) {
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
  // A reload may be asked for before the daemon listens for it, and a reader of
  // the logs may go: neither may end the process.
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGPIPE, SIG_IGN);
  std::unique_ptr<Daemon> Running;
  try {
    auto Started = start(ArgumentCount, Arguments, std::move(Adapter));
    if (!Started)
      return reportFailure(Started.error());
    Running = std::move(*Started);
  } catch (const std::exception &Error) {
    fmt::print(stderr, "samphireshuntd: {}\n", Error.what());
    return ExitFault;
  }
  // What leaves a handler is caught nowhere: on its way here it would unwind
  // the stack that threw it and destroy a daemon whose threads run. The line
  // about the end would name neither the exception nor its place.
  return Running->run();
}

} // namespace samphireshunt
