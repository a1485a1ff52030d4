#pragma once
/// \file
/// The daemon's settings: flags, each of which can also be set by an
/// environment variable SAMPHIRESHUNT_<NAME>. A flag on the command line takes
/// precedence.

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
  /// Addresses announced to other daemons and to operators; if empty, the bound
  /// addresses.
  std::string AdvertisedPeers_;
  std::string AdvertisedOperators_;
  /// Bandwidth of this VM's network link in Mbit/s; 0 is unknown.
  std::uint32_t LinkMbps_ = 0;
  /// Memory that this process may use in MB; 0: no bound.
  std::uint32_t MemoryMb_ = 0;
  /// The memory at which the platform ends the process; 0: that of the VM.
  double ProcessMemoryMb_ = 0;
  /// Memory for bodies of requests, as much for answers, and as much for
  /// messages of other daemons, in MB; 0: an eighth of the memory.
  std::uint32_t WholeMessagesMb_ = 0;
  /// Daemons to join while the platform is unavailable.
  std::vector<Endpoint> SeedPeers_;
  /// Number of worker threads. 0: the control thread serves requests.
  std::size_t Threads_ = 2;
  std::size_t MaxConnections_ = 10000;
  std::chrono::milliseconds ReadTimeout_{30000};
  std::chrono::milliseconds DrainDelay_{5000};
  std::chrono::milliseconds DrainTimeout_{600000};
  /// How long after SIGTERM requests that may take long are still accepted.
  std::chrono::milliseconds DrainAdmit_{600000};
  /// After DrainDelay_, a stop waits until no connection has been accepted for
  /// this long. 0: no connection is accepted after the delay.
  std::chrono::milliseconds DrainQuiet_{0};
  std::string LogLevel_;
  LogOutput LogOutput_ = LogOutput::StandardOutput;
  /// An additional address for /metrics; port 0 means none.
  Endpoint Metrics_;
  /// Where connections of other daemons to servers are relayed.
  Endpoint Relay_;
  /// How long a revoked key may still be accepted. 0: no bound, the active
  /// configuration is always assumed to be the newest.
  std::chrono::milliseconds RevocationBound_{0};
  /// The longest time from the acceptance of a configuration until it is
  /// active. 0: no bound.
  std::chrono::milliseconds ApplyBound_{0};
  /// Requests are scheduled by their objectives, with a guaranteed share for
  /// each tier, instead of strictly by tier.
  bool ByObjective_ = false;
  /// The minimum ratio of granted to received requests in each tier, regardless
  /// of the requests of higher tiers, when scheduling by objectives; a fraction
  /// of that ratio over all tiers.
  double GuaranteedShare_ = 0.3;
  /// One of this many daemons reads the platform's service. 0: all daemons read
  /// it.
  std::size_t DaemonsPerReader_ = 12;
  /// Limits of retries of requests within RetryWindow_: the ratio to all
  /// requests, and an additional number for the whole fleet.
  double RetryRatio_ = 0.2;
  double ExtraRetries_ = 10;
  std::chrono::milliseconds RetryWindow_{10000};
  /// What customers may use beyond their allotments within AllotmentWindow_: a
  /// fraction of the allotment, and an additional amount in the unit of the
  /// allotment.
  std::chrono::milliseconds AllotmentWindow_{8000};
  double AllotmentOverrun_ = 0;
  double AllotmentCredit_ = 0;
  /// How many requests of a pool may reach a version that is not proven: a
  /// fraction of all of them, and an additional number.
  double RolloutExposureShare_ = 0.1;
  double RolloutExposureSlack_ = 50;
  /// The file from which the flags were read, for a reload.
  std::string FlagFile_;
  /// Every daemon schedules by itself; a baseline for benchmarks.
  bool TwoChoices_ = false;
  /// Scheduling decisions that are disabled, for benchmarks.
  std::vector<std::string> DisabledDecisions_;
  /// The address to which traces are sent; port 0 means none.
  Endpoint TraceCollector_;

  /// Reads flags and environment variables.
  /// \returns BadSetting with all errors that were found.
  static Result<Settings> parse(int ArgumentCount, char **Arguments);
  /// Reads the flag file again.
  /// \returns BadSetting, and leaves the flags unchanged, when it contains an
  /// error.
  Result<Settings> reload() const;
};

} // namespace samphireshunt
