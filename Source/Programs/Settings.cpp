#include "Programs/Settings.h"

#include "Programs/StopSettings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <span>

ABSL_FLAG(std::string, vm_id, "", "Name of this VM; unique in the fleet.");
ABSL_FLAG(std::string, data_center, "", "Data centre of this VM.");
ABSL_FLAG(std::string, callers_address, "0.0.0.0:8080",
          "IP:port for callers' HTTP requests.");
ABSL_FLAG(std::string, peers_address, "0.0.0.0:7946",
          "IP:port (TCP and UDP) for other daemons.");
ABSL_FLAG(std::string, operators_address, "127.0.0.1:9090",
          "IP:port for /healthz, /readyz, /metrics and /status.");
ABSL_FLAG(std::string, platform_address, "",
          "IP:port of the platform's key-value service.");
ABSL_FLAG(int, platform_timeout_ms, 1000, "Limit of one call, in ms.");
ABSL_FLAG(std::string, advertise_peers, "",
          "IP:port announced to other daemons, if not peers_address.");
ABSL_FLAG(std::string, advertise_operators, "",
          "IP:port announced to operators, if not operators_address.");
ABSL_FLAG(double, link_mbps, 0,
          "Bandwidth of this VM's network link, in Mbit/s; daemons with fast "
          "links are the first to schedule cells; 0: unknown.");
ABSL_FLAG(int, memory_mb, 0,
          "Memory that this process may use, in MB, 32 to 1048576; what it "
          "holds for slow callers is bounded by it; 0: no bound.");
ABSL_FLAG(double, process_memory_mb, 0,
          "Memory at which the platform ends this process, in MB, unread "
          "received bytes included; 0: the VM's memory.");
ABSL_FLAG(int, whole_messages_mb, 0,
          "Memory for bodies of requests, as much for answers, and as much for "
          "messages of other daemons, in MB, 1 to 65536; 0: an eighth of "
          "memory_mb or of process_memory_mb.");
ABSL_FLAG(std::string, seed_peers, "",
          "IP:port,... of daemons to join while the platform is unavailable.");
ABSL_FLAG(int, threads, 2,
          "Worker threads for requests, 0 to 64; 0: the control thread serves "
          "them.");
ABSL_FLAG(int, max_connections, 10000,
          "Callers' connections at once; fewer if process_memory_mb is not "
          "enough for 80 KiB each.");
ABSL_FLAG(int, read_timeout_ms, 30000,
          "How long a request may take to arrive, and how long an idle "
          "connection is kept open, in ms.");
ABSL_FLAG(double, stop_grace_s, 0,
          "How long after SIGTERM the supervisor kills this process, in s, 1 "
          "to 3600; the times of a stop follow from it. 0: never.");
ABSL_FLAG(int, drain_delay_ms, -1,
          "After SIGTERM, how long new connections are still accepted, in ms; "
          "-1: by stop_grace_s, without it 5000.");
ABSL_FLAG(int, drain_timeout_ms, -1,
          "After SIGTERM, how long running requests may take, in ms; -1: by "
          "stop_grace_s, without it 600000.");
ABSL_FLAG(int, drain_admit_ms, -1,
          "After SIGTERM, how long new streams are still accepted, in ms; -1: "
          "by stop_grace_s, without it 600000.");
ABSL_FLAG(int, drain_quiet_ms, -1,
          "After the drain delay, connections are accepted until there was "
          "none for this long, in ms; 0: none is accepted after the delay; -1: "
          "by stop_grace_s, without it 0.");
ABSL_FLAG(std::string, log_output, "stdout", "stdout or stderr.");
ABSL_FLAG(std::string, metrics_address, "",
          "IP:port that serves /metrics besides operators_address.");
ABSL_FLAG(std::string, relay_address, "",
          "IP:port at which other daemons that can't reach a server ask this "
          "one to relay; empty: any port at the IP of peers_address.");
ABSL_FLAG(int, apply_bound_ms, 0,
          "Longest time from the acceptance of a configuration until it is "
          "active, in ms; 0: no bound.");
ABSL_FLAG(int, revocation_bound_ms, 0,
          "How long a revoked key may still be accepted, in ms; 0: no bound.");
ABSL_FLAG(std::string, admission, "tiers",
          "tiers: strictly by tier; objectives: by latency objective, with a "
          "guaranteed share for each tier.");
ABSL_FLAG(double, guaranteed_share, 0.3,
          "With objectives: minimum ratio of granted to received requests in "
          "each tier, as a fraction of that ratio over all tiers.");
ABSL_FLAG(int, daemons_per_reader, 12,
          "One of this many daemons reads the platform's service, and the "
          "others follow it; 0: all read it.");
ABSL_FLAG(double, repeat_ratio, 0.2,
          "Ratio of retries to requests that is allowed within the window.");
ABSL_FLAG(double, repeat_extra, 10,
          "Number of additional retries that are allowed in the whole fleet.");
ABSL_FLAG(double, repeat_window_s, 10,
          "Window of the limit of retries, in seconds.");
ABSL_FLAG(double, allotment_window_s, 8,
          "Window in which the use of allotments is measured, in seconds.");
ABSL_FLAG(double, allotment_overrun, 0,
          "Tolerated use beyond an allotment, as a fraction of it.");
ABSL_FLAG(double, allotment_credit, 0,
          "Additional tolerated use, in the allotment's unit.");
ABSL_FLAG(double, rollout_exposure_share, 0.1,
          "Fraction of a pool's requests that may reach a version before it is "
          "proven.");
ABSL_FLAG(double, rollout_exposure_slack, 50,
          "Number of additional requests that may do so.");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error.");
ABSL_FLAG(std::string, scheduling, "keepers",
          "keepers; or two-choices, a baseline for benchmarks.");
ABSL_FLAG(std::string, leave_out, "",
          "For benchmarks only: scheduling decisions to disable, of tiers, "
          "fairness, feasibility, preemption, prefixes, speeds, limits, "
          "pauses, late-apart, lengths, room, returns, ahead, quick, "
          "work-time, suspension, backups.");
ABSL_FLAG(std::string, trace_collector, "",
          "IP:port that receives OTLP/HTTP JSON traces; empty: none.");

namespace samphireshunt {

using std::chrono::milliseconds;

namespace {

constexpr std::array FlagNames = {"vm_id",
                                  "data_center",
                                  "callers_address",
                                  "peers_address",
                                  "operators_address",
                                  "platform_address",
                                  "threads",
                                  "platform_timeout_ms",
                                  "advertise_peers",
                                  "seed_peers",
                                  "link_mbps",
                                  "memory_mb",
                                  "process_memory_mb",
                                  "whole_messages_mb",
                                  "advertise_operators",
                                  "max_connections",
                                  "drain_delay_ms",
                                  "drain_timeout_ms",
                                  "log_level",
                                  "trace_collector",
                                  "scheduling",
                                  "read_timeout_ms",
                                  "leave_out",
                                  "drain_quiet_ms",
                                  "log_output",
                                  "metrics_address",
                                  "relay_address",
                                  "apply_bound_ms",
                                  "revocation_bound_ms",
                                  "admission",
                                  "repeat_ratio",
                                  "repeat_extra",
                                  "repeat_window_s",
                                  "allotment_credit",
                                  "drain_admit_ms",
                                  "guaranteed_share",
                                  "daemons_per_reader",
                                  "allotment_window_s",
                                  "rollout_exposure_share",
                                  "rollout_exposure_slack",
                                  "allotment_overrun",
                                  "stop_grace_s"};

constexpr std::array<std::string_view, 17> OptionalDecisions = {
    "tiers",  "fairness", "feasibility", "preemption", "prefixes", "speeds",
    "limits", "pauses",   "late-apart",  "lengths",    "room",     "returns",
    "ahead",  "quick",    "work-time",   "suspension", "backups"};

std::string environmentName(std::string_view Flag) {
  std::string Name = "SAMPHIRESHUNT_";
  std::ranges::transform(Flag, std::back_inserter(Name), [](unsigned char C) {
    return static_cast<char>(std::toupper(C));
  });
  return Name;
}

/// Collects all errors, so that they are reported together.
class Checker {
public:
  void environment() {
    for (const char *Name : FlagNames) {
      const char *Value = std::getenv(environmentName(Name).c_str());
      std::string Error;
      if (Value && !absl::FindCommandLineFlag(Name)->ParseFrom(Value, &Error))
        addError(environmentName(Name), Error);
    }
  }
  Endpoint address(std::string_view Name, const std::string &Text,
                   bool Required = true) {
    if (Text.empty() && !Required)
      return {};
    auto Parsed = parseEndpoint(Text);
    if (!Parsed)
      addError(Name, Parsed.error().Detail_);
    return Parsed ? *Parsed : Endpoint();
  }
  int number(std::string_view Name, int Value, int Low, int High) {
    if (Value < Low || Value > High)
      addError(Name, fmt::format("{} is not from {} to {}", Value, Low, High));
    return Value;
  }
  double amount(std::string_view Name, double Value) {
    if (!(Value >= 0))
      addError(Name, fmt::format("{} is less than 0", Value));
    return Value;
  }
  std::chrono::milliseconds seconds(std::string_view Name, double Value) {
    std::chrono::duration<double> Exact(amount(Name, Value));
    return std::chrono::duration_cast<std::chrono::milliseconds>(Exact);
  }
  std::string oneOf(std::string_view Name, std::string Value,
                    std::vector<std::string_view> Allowed) {
    if (!std::ranges::count(Allowed, Value))
      addError(Name, fmt::format("'{}' is not one of {}", Value,
                                 fmt::join(Allowed, ", ")));
    return Value;
  }
  std::string text(std::string_view Name, std::string Value) {
    if (Value.empty())
      addError(Name, "must be set");
    return Value;
  }
  void addError(std::string_view Name, std::string_view Problem) {
    Problems_.push_back(fmt::format("{}: {}", Name, Problem));
  }
  const std::vector<std::string> &problems() const { return Problems_; }

private:
  std::vector<std::string> Problems_;
};

std::vector<Endpoint> addressList(Checker &Check, const std::string &Text) {
  std::vector<Endpoint> List;
  for (const std::string &Item :
       std::vector<std::string>(absl::StrSplit(Text, ',', absl::SkipEmpty())))
    List.push_back(Check.address("seed_peers", Item));
  return List;
}

void readStopTimes(Checker &Check, Settings &Read) {
  constexpr int HourMs = 3600 * 1000;
  constexpr milliseconds MinGrace{1000};
  milliseconds Grace =
      Check.seconds("stop_grace_s", absl::GetFlag(FLAGS_stop_grace_s));
  bool Known = Grace.count() > 0;
  if (Known && (Grace < MinGrace || Grace > milliseconds(HourMs)))
    return Check.addError("stop_grace_s", "is not 0, or from 1 to 3600");
  StopSettings Times = Known
                           ? stopWithin(Grace)
                           : StopSettings{Read.DrainDelay_, Read.DrainQuiet_,
                                          Read.DrainAdmit_, Read.DrainTimeout_};
  auto Take = [&](std::string_view Name, int Value, milliseconds &Into) {
    if (Value >= 0)
      Into = milliseconds(Value);
    Check.number(Name, Value, -1, HourMs);
  };
  Take("drain_delay_ms", absl::GetFlag(FLAGS_drain_delay_ms), Times.Delay_);
  Take("drain_quiet_ms", absl::GetFlag(FLAGS_drain_quiet_ms), Times.Quiet_);
  Take("drain_admit_ms", absl::GetFlag(FLAGS_drain_admit_ms), Times.Admit_);
  Take("drain_timeout_ms", absl::GetFlag(FLAGS_drain_timeout_ms),
       Times.Timeout_);
  if (auto Problem = Known ? misfit(Times, Grace) : std::nullopt)
    Check.addError("stop_grace_s", *Problem);
  Read.DrainDelay_ = Times.Delay_;
  Read.DrainQuiet_ = Times.Quiet_;
  Read.DrainAdmit_ = Times.Admit_;
  Read.DrainTimeout_ = Times.Timeout_;
}

/// \returns the settings for the current values of the flags.
Result<Settings> fromFlags(Checker Check) {
  constexpr int HourMs = 3600 * 1000;
  constexpr int MaxThreads = 64;
  constexpr int MaxConnectionsLimit = 1000000;
  constexpr double MaxLinkMbps = 1e6;
  Settings Read;
  Read.Vm_ = VmId(Check.text("vm_id", absl::GetFlag(FLAGS_vm_id)));
  Read.DataCenter_ = DataCenterName(
      Check.text("data_center", absl::GetFlag(FLAGS_data_center)));
  Read.Callers_ =
      Check.address("callers_address", absl::GetFlag(FLAGS_callers_address));
  Read.Peers_ =
      Check.address("peers_address", absl::GetFlag(FLAGS_peers_address));
  Read.Operators_ = Check.address("operators_address",
                                  absl::GetFlag(FLAGS_operators_address));
  Read.Platform_ =
      Check.address("platform_address", absl::GetFlag(FLAGS_platform_address));
  Read.PlatformTimeout_ = std::chrono::milliseconds(
      Check.number("platform_timeout_ms",
                   absl::GetFlag(FLAGS_platform_timeout_ms), 1, HourMs));
  Read.AdvertisedPeers_ = absl::GetFlag(FLAGS_advertise_peers);
  Check.address("advertise_peers", Read.AdvertisedPeers_, false);
  // Other VMs can't connect to an unspecified address.
  if (Read.Peers_.address().is_unspecified() && Read.AdvertisedPeers_.empty())
    Check.addError("advertise_peers", "must be set when peers_address is any");
  Read.AdvertisedOperators_ = absl::GetFlag(FLAGS_advertise_operators);
  Check.address("advertise_operators", Read.AdvertisedOperators_, false);
  Read.LinkMbps_ = static_cast<std::uint32_t>(std::min(
      Check.amount("link_mbps", absl::GetFlag(FLAGS_link_mbps)), MaxLinkMbps));
  constexpr int MinMemoryMb = 32;
  constexpr int MaxMemoryMb = 1048576;
  int MemoryMb =
      Check.number("memory_mb", absl::GetFlag(FLAGS_memory_mb), 0, MaxMemoryMb);
  if (MemoryMb > 0 && MemoryMb < MinMemoryMb)
    Check.addError("memory_mb", "must be 0 or at least 32");
  Read.MemoryMb_ = static_cast<std::uint32_t>(std::max(MemoryMb, 0));
  Read.ProcessMemoryMb_ = std::min(
      Check.amount("process_memory_mb", absl::GetFlag(FLAGS_process_memory_mb)),
      static_cast<double>(MaxMemoryMb));
  constexpr int MaxWholeMessagesMb = 65536;
  Read.WholeMessagesMb_ = static_cast<std::uint32_t>(
      std::max(0, Check.number("whole_messages_mb",
                               absl::GetFlag(FLAGS_whole_messages_mb), 0,
                               MaxWholeMessagesMb)));
  Read.SeedPeers_ = addressList(Check, absl::GetFlag(FLAGS_seed_peers));
  Read.Threads_ = static_cast<std::size_t>(
      Check.number("threads", absl::GetFlag(FLAGS_threads), 0, MaxThreads));
  Read.MaxConnections_ = static_cast<std::size_t>(
      Check.number("max_connections", absl::GetFlag(FLAGS_max_connections), 1,
                   MaxConnectionsLimit));
  Read.ReadTimeout_ = std::chrono::milliseconds(Check.number(
      "read_timeout_ms", absl::GetFlag(FLAGS_read_timeout_ms), 1, HourMs));
  readStopTimes(Check, Read);
  Read.Metrics_ = Check.address("metrics_address",
                                absl::GetFlag(FLAGS_metrics_address), false);
  Read.Relay_ =
      Check.address("relay_address", absl::GetFlag(FLAGS_relay_address), false);
  if (absl::GetFlag(FLAGS_relay_address).empty())
    Read.Relay_ = Endpoint(Read.Peers_.address(), 0);
  Read.ApplyBound_ = std::chrono::milliseconds(Check.number(
      "apply_bound_ms", absl::GetFlag(FLAGS_apply_bound_ms), 0, HourMs));
  Read.RevocationBound_ = std::chrono::milliseconds(
      Check.number("revocation_bound_ms",
                   absl::GetFlag(FLAGS_revocation_bound_ms), 0, HourMs));
  Read.ByObjective_ = Check.oneOf("admission", absl::GetFlag(FLAGS_admission),
                                  {"tiers", "objectives"}) == "objectives";
  Read.LogOutput_ = Check.oneOf("log_output", absl::GetFlag(FLAGS_log_output),
                                {"stdout", "stderr"}) == "stderr"
                        ? LogOutput::StandardError
                        : LogOutput::StandardOutput;
  Read.GuaranteedShare_ =
      Check.amount("guaranteed_share", absl::GetFlag(FLAGS_guaranteed_share));
  constexpr int MaxPerReader = 1000;
  Read.DaemonsPerReader_ = static_cast<std::size_t>(
      Check.number("daemons_per_reader",
                   absl::GetFlag(FLAGS_daemons_per_reader), 0, MaxPerReader));
  Read.RetryRatio_ =
      Check.amount("repeat_ratio", absl::GetFlag(FLAGS_repeat_ratio));
  Read.ExtraRetries_ =
      Check.amount("repeat_extra", absl::GetFlag(FLAGS_repeat_extra));
  Read.AllotmentWindow_ = Check.seconds(
      "allotment_window_s", absl::GetFlag(FLAGS_allotment_window_s));
  Read.AllotmentOverrun_ =
      Check.amount("allotment_overrun", absl::GetFlag(FLAGS_allotment_overrun));
  Read.AllotmentCredit_ =
      Check.amount("allotment_credit", absl::GetFlag(FLAGS_allotment_credit));
  Read.RolloutExposureShare_ = Check.amount(
      "rollout_exposure_share", absl::GetFlag(FLAGS_rollout_exposure_share));
  Read.RolloutExposureSlack_ = Check.amount(
      "rollout_exposure_slack", absl::GetFlag(FLAGS_rollout_exposure_slack));
  Read.RetryWindow_ =
      Check.seconds("repeat_window_s", absl::GetFlag(FLAGS_repeat_window_s));
  Read.LogLevel_ = absl::GetFlag(FLAGS_log_level);
  Check.oneOf("log_level", Read.LogLevel_,
              {"debug", "info", "warning", "error"});
  std::string Scheduling = absl::GetFlag(FLAGS_scheduling);
  Read.TwoChoices_ = Scheduling == "two-choices";
  if (!Read.TwoChoices_ && Scheduling != "keepers")
    Check.addError("scheduling", fmt::format("'{}' is not known", Scheduling));
  Read.DisabledDecisions_ =
      absl::StrSplit(absl::GetFlag(FLAGS_leave_out), ',', absl::SkipEmpty());
  for (const std::string &Name : Read.DisabledDecisions_)
    if (!std::ranges::count(OptionalDecisions, Name))
      Check.addError("leave_out", fmt::format("'{}' is not known", Name));
  Read.TraceCollector_ = Check.address(
      "trace_collector", absl::GetFlag(FLAGS_trace_collector), false);
  if (!Check.problems().empty())
    return Failure{ResultCode::BadSetting,
                   fmt::format("{}", fmt::join(Check.problems(), "; "))};
  return Read;
}

/// Reads lines of the form "--name=value". Empty lines and comments are
/// skipped.
std::vector<std::pair<std::string, std::string>>
readFlagFile(const std::string &Path, Checker &Check) {
  std::vector<std::pair<std::string, std::string>> Lines;
  std::ifstream File(Path);
  if (!File)
    Check.addError("flagfile", fmt::format("can't read {}", Path));
  for (std::string Line; std::getline(File, Line);) {
    if (Line.empty() || Line.starts_with('#'))
      continue;
    std::size_t Equals = Line.find('=');
    if (!Line.starts_with("--") || Equals == std::string::npos) {
      Check.addError("flagfile", fmt::format("'{}' is not --name=value", Line));
      continue;
    }
    constexpr std::size_t Dashes = 2;
    Lines.emplace_back(Line.substr(Dashes, Equals - Dashes),
                       Line.substr(Equals + 1));
  }
  return Lines;
}

/// \returns the current values of all flags, to be restored later.
std::vector<std::pair<std::string, std::string>> currentFlags() {
  std::vector<std::pair<std::string, std::string>> Current;
  for (const char *Name : FlagNames)
    Current.emplace_back(Name, absl::FindCommandLineFlag(Name)->CurrentValue());
  return Current;
}

void setFlag(const std::string &Name, const std::string &Value,
             Checker &Check) {
  std::string Error;
  bool Known = std::ranges::count(FlagNames, Name) > 0;
  if (!Known)
    return Check.addError(Name, "is not known");
  if (!absl::FindCommandLineFlag(Name)->ParseFrom(Value, &Error))
    Check.addError(Name, Error);
}

} // namespace

Result<Settings> Settings::parse(int ArgumentCount, char **Arguments) {
  absl::SetProgramUsageMessage("request scheduler daemon");
  Checker Check;
  Check.environment();
  absl::ParseCommandLine(ArgumentCount, Arguments);
  auto Read = fromFlags(std::move(Check));
  constexpr std::string_view FlagFile = "--flagfile=";
  for (std::string_view Argument :
       std::span(Arguments, static_cast<std::size_t>(ArgumentCount)))
    if (Read && Argument.starts_with(FlagFile))
      Read->FlagFile_ = Argument.substr(FlagFile.size());
  return Read;
}

Result<Settings> Settings::reload() const {
  auto Before = currentFlags();
  Checker Check;
  for (const auto &[Name, Value] : readFlagFile(FlagFile_, Check))
    setFlag(Name, Value, Check);
  auto Read = fromFlags(std::move(Check));
  if (Read) {
    Read->FlagFile_ = FlagFile_;
    return Read;
  }
  Checker Ignored;
  for (const auto &[Name, Value] : Before)
    setFlag(Name, Value, Ignored);
  return Read;
}

} // namespace samphireshunt
