#include "Programs/DaemonMain.h"

#include "Common/CrashReport.h"
#include "Common/Log.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
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

} // namespace

int daemonMain(int ArgumentCount, char **Arguments, PlatformAdapter Adapter) {
  // A reload may be asked for before the daemon listens for it, and a reader of
  // the logs may go: neither may end the process.
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    auto Configured = Settings::parse(ArgumentCount, Arguments);
    if (!Configured)
      return reportFailure(Configured.error());
    initializeLog(Configured->Vm_.str(),
                  spdlog::level::from_str(Configured->LogLevel_),
                  Configured->LogOutput_);
    reportCrashes(Configured->Vm_.str(), STDERR_FILENO);
    auto Started = Daemon::create(std::move(*Configured), std::move(Adapter));
    if (!Started)
      return reportFailure(Started.error());
    fmt::print("{}\n", (*Started)->describeAddresses());
    std::fflush(stdout);
    return (*Started)->run();
  } catch (const std::exception &Error) {
    fmt::print(stderr, "samphireshuntd: {}\n", Error.what());
    return ExitFault;
  }
}

} // namespace samphireshunt
