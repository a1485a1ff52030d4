#pragma once
/// \file
/// The daemon's settings: flags, each with an environment variable
/// SAMPHIRESHUNT_<NAME>. A flag on the command line goes first.

#include "Common/Ids.h"
#include "Common/Log.h"
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
  /// What this VM's network link carries, in Mbit/s; 0 is unknown.
  std::uint32_t LinkMbps_ = 0;
  /// Peers to join when the platform does not answer.
  std::vector<Endpoint> SeedPeers_;
  /// 0: requests are served by the control thread.
  std::size_t Threads_ = 2;
  std::size_t MaxConnections_ = 10000;
  std::chrono::milliseconds ReadTimeout_{30000};
  std::chrono::milliseconds DrainDelay_{5000};
  std::chrono::milliseconds DrainTimeout_{600000};
  /// How long after SIGTERM requests are taken that may last for long.
  std::chrono::milliseconds DrainAdmit_{600000};
  /// After the delay, a stop waits until no connection was taken for this
  /// long; 0: it takes no more at once.
  std::chrono::milliseconds DrainQuiet_{0};
  std::string LogLevel_;
  LogOutput LogOutput_ = LogOutput::StandardOutput;
  /// Where /metrics is served as well; an unspecified port is nowhere.
  Endpoint Metrics_;
  /// How long a key may work that was taken away; 0: the configuration in
  /// force is always taken as the newest.
  std::chrono::milliseconds RevocationBound_{0};
  /// How long after its acceptance a configuration may not be in force yet; 0:
  /// no bound.
  std::chrono::milliseconds ApplyBound_{0};
  /// Requests are served by their objectives, with a guaranteed part of each
  /// tier, rather than strictly by tier.
  bool ByObjective_ = false;
  /// How often each tier is served whatever higher tiers ask for, by
  /// objectives: a part of how often all are.
  double GuaranteedShare_ = 0.3;
  /// One daemon in so many reads the platform's service; 0: all do.
  std::size_t DaemonsPerReader_ = 12;
  /// Repeats of requests: their part of all requests, and how many on top in
  /// the whole fleet, within the window.
  double RepeatRatio_ = 0.2;
  double RepeatExtra_ = 10;
  std::chrono::milliseconds RepeatWindow_{10000};
  /// What customers may use within a window beyond their allotments: a part of
  /// those, and on top an amount in their unit.
  std::chrono::milliseconds AllotmentWindow_{8000};
  double AllotmentOverrun_ = 0;
  double AllotmentCredit_ = 0;
  /// The file that the flags were read from, for a reload.
  std::string FlagFile_;
  /// Every daemon schedules by itself; the baseline of measurements.
  bool TwoChoices_ = false;
  /// Decisions that a measurement leaves out.
  std::vector<std::string> LeftOut_;
  /// Where traces go; an unspecified port is nowhere.
  Endpoint TraceCollector_;

  /// Reads flags and environment. \returns BadSetting with all that is wrong.
  static Result<Settings> parse(int ArgumentCount, char **Arguments);
  /// Reads the flag file once more. \returns BadSetting, and leaves the flags
  /// as they were, when any of it is wrong.
  Result<Settings> reload() const;
};

} // namespace samphireshunt
