/// \file
/// samphireshuntd.

#include "Common/Log.h"
#include "Programs/Daemon.h"

#include <fmt/format.h>

#include <cstdio>

using namespace samphireshunt;

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

int main(int ArgumentCount, char **Arguments) {
  try {
    auto Configured = Settings::parse(ArgumentCount, Arguments);
    if (!Configured)
      return reportFailure(Configured.error());
    initializeLog(Configured->Vm_.str(),
                  spdlog::level::from_str(Configured->LogLevel_));
    auto Started = Daemon::create(std::move(*Configured));
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
