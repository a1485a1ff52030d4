#pragma once
/// \file
/// The daemon's settings: flags, each with an environment variable
/// SAMPHIRESHUNT_<NAME>. A flag on the command line goes first.

#include "Common/Ids.h"
#include "Common/ResultCode.h"
#include "Connection/Http.h"

#include <chrono>
#include <string>
#include <vector>

namespace samphireshunt {

struct Settings {
  VmId Vm_;
  DataCenterName DataCenter_;
  Endpoint Callers_;
  Endpoint Peers_;
  Endpoint Operators_;
  Endpoint Platform_;
  std::chrono::milliseconds PlatformTimeout_{1000};
  /// What other daemons and operators are told; empty: the addresses bound.
  std::string AdvertisedPeers_;
  std::string AdvertisedOperators_;
  /// Peers to join when the platform does not answer.
  std::vector<Endpoint> SeedPeers_;
  std::size_t Threads_ = 2;
  std::size_t MaxConnections_ = 10000;
  std::chrono::milliseconds ReadTimeout_{30000};
  std::chrono::milliseconds DrainDelay_{5000};
  std::chrono::milliseconds DrainTimeout_{600000};
  std::string LogLevel_;
  /// Every daemon schedules by itself; the baseline of measurements.
  bool TwoChoices_ = false;
  /// Decisions that a measurement leaves out.
  std::vector<std::string> LeftOut_;
  /// Where traces go; an unspecified port is nowhere.
  Endpoint TraceCollector_;

  /// Reads flags and environment. \returns BadSetting with all that is wrong.
  static Result<Settings> parse(int ArgumentCount, char **Arguments);
};

} // namespace samphireshunt
