/// \file
/// Runs a scenario with real daemons and stand-in engines: once with the
/// baseline (each daemon schedules by itself and takes the better of two
/// choices by stale load reports), once with keepers and, on request, with
/// keepers that leave out a decision. All runs have the same seed and load.
/// Prints a table.

#include "Bench/Figures.h"
#include "Common/Hash.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iterator>
#include <thread>

ABSL_FLAG(std::string, scenario, "steady", "Name of a scenario, or all.");
ABSL_FLAG(std::string, leave_out, "",
          "Decisions, separated by commas; an extra run leaves out each.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the load.");
ABSL_FLAG(
    bool, alone, false,
    "Also run without the lowest tier, to show what the others get alone.");

namespace samphireshunt::bench {

namespace {

using std::chrono::steady_clock;
using tests::CallRequest;
using tests::Cluster;
using tests::Json;

constexpr int Daemons = 4;
const std::vector<std::string> Customers = {"alpha", "beta", "gamma"};

std::string keyOf(const std::string &Customer) { return "key-" + Customer; }

/// \returns the cluster's document with the customers of the scenarios added.
Json documentOf(const Cluster &Fleet) {
  Json Document = Fleet.document();
  Document["customers"] = Json::array();
  for (const std::string &Name : Customers)
    Document["customers"].push_back(
        {{"name", Name},
         {"keyDigests", {"sha256:" + sha256Hex(keyOf(Name))}},
         {"defaultTier", "silver"},
         {"allowedTiers", {"gold", "bronze"}}});
  return Document;
}

/// A call with the time at which it is due.
struct PlannedCall {
  milliseconds At_;
  const LoadStream *Source_;
};

std::vector<PlannedCall> planCalls(const Scenario &Run, bool WithoutLowest,
                                   pcg32 &Random) {
  std::vector<PlannedCall> Calls;
  for (const LoadStream &Source : Run.Streams_) {
    if (WithoutLowest && Source.Tier_ == "bronze")
      continue;
    // Exponential gaps model arrivals from many independent callers.
    double At = static_cast<double>(Source.Begin_.count());
    while (true) {
      constexpr double Steps = 1U << 20U;
      double Uniform = (Random(1U << 20U) + 1.0) / (Steps + 1.0);
      At += -std::log(Uniform) * 1000.0 / Source.RequestsPerSecond_;
      if (At >= static_cast<double>(Source.End_.count()))
        break;
      Calls.push_back({milliseconds(static_cast<std::int64_t>(At)), &Source});
    }
  }
  std::ranges::stable_sort(Calls, {}, &PlannedCall::At_);
  return Calls;
}

std::string repeatWord(const std::string &Word, int Tokens) {
  constexpr std::size_t BytesPerToken = 4;
  std::string Text;
  while (Text.size() < static_cast<std::size_t>(Tokens) * BytesPerToken)
    Text += Word;
  return Text;
}

class Runner {
public:
  Runner(const Scenario &Run, tests::ClusterOptions Options)
      : Scenario_(Run), Fleet_(std::move(Options)),
        Random_(absl::GetFlag(FLAGS_seed)) {
    if (Fleet_.apply(documentOf(Fleet_), {"--wait"}) != 0)
      throw std::runtime_error("the cluster rejected the scenario's document");
  }

  RunFigures run(bool WithoutLowest) {
    auto Calls = planCalls(Scenario_, WithoutLowest, Random_);
    auto Started = steady_clock::now();
    std::thread EventThread([this, Started] { runEvents(Started); });
    std::vector<std::future<tests::CallRecord>> Pending;
    std::vector<MeasuredCall> Measured;
    for (std::size_t Index = 0; Index < Calls.size(); ++Index) {
      std::this_thread::sleep_until(Started + Calls[Index].At_);
      MeasuredCall Call;
      CallRequest Request = buildRequest(Calls[Index], Index, Call);
      Pending.push_back(Fleet_.start(std::move(Request)));
      Measured.push_back(std::move(Call));
    }
    EventThread.join();
    for (std::size_t Index = 0; Index < Pending.size(); ++Index)
      Measured[Index].Record_ = Pending[Index].get();
    RunFigures Figures =
        computeFigures(Measured, Fleet_.folder(), Scenario_.Length_);
    Figures.Violations_ = Fleet_.violations({.DaemonsKilled_ = true}).size();
    return Figures;
  }

private:
  void runEvents(steady_clock::time_point Started) {
    for (const ScenarioEvent &Planned : Scenario_.Events_) {
      std::this_thread::sleep_until(Started + Planned.At_);
      Planned.Action_(Fleet_, documentOf(Fleet_));
    }
  }

  CallRequest buildRequest(const PlannedCall &Planned, std::size_t Index,
                           MeasuredCall &Call) {
    const LoadStream &Source = *Planned.Source_;
    int Daemon = 1 + static_cast<int>(Index % Daemons);
    // A load balancer detects a daemon that is down and uses the next one.
    if (!Fleet_.process("vm-" + std::to_string(Daemon)).running())
      Daemon = 1 + Daemon % Daemons;
    CallRequest Request = Fleet_.stream(Daemon);
    Request.CustomerKey_ = keyOf(Source.Customer_);
    Request.Tier_ = Source.Tier_;
    Request.MaxTokens_ = Source.AnswerTokens_;
    Request.Timeout_ = Source.Deadline_;
    Request.Prompt_.clear();
    if (Source.SharedFiles_ > 0) {
      Call.SharedFile_ = static_cast<int>(
          Random_(static_cast<std::uint32_t>(Source.SharedFiles_)));
      Call.FileTokens_ = Source.FileTokens_;
      Request.Prompt_ = repeatWord(fmt::format("file {} ", Call.SharedFile_),
                                   Source.FileTokens_);
    }
    Request.Prompt_ += repeatWord(Request.Nonce_ + " ", Source.PromptTokens_);
    Call.Customer_ = Source.Customer_;
    Call.Tier_ = Source.Tier_;
    Call.Deadline_ = Source.Deadline_;
    Call.Started_ = Planned.At_;
    Call.UniqueTokens_ = Source.PromptTokens_ + 1;
    return Request;
  }

  const Scenario &Scenario_;
  Cluster Fleet_;
  pcg32 Random_;
};

tests::ClusterOptions clusterOptions(const Scenario &Run,
                                     std::vector<std::string> DaemonFlags) {
  tests::ClusterOptions Options;
  Options.Daemons_ = Daemons;
  Options.Steps_ = engineSteps();
  Options.Models_ = static_cast<int>(Options.Steps_.size());
  // More than an engine processes at once, so that the daemons have to find the
  // effective limit.
  Options.MaxInFlight_ = 32;
  Options.Relays_ = Run.Name_ == "daemon-cut";
  Options.DaemonFlags_ = std::move(DaemonFlags);
  Options.DaemonFlags_.push_back("--log_level=warning");
  return Options;
}

void printRun(const std::string &Name, const RunFigures &Run) {
  for (const auto &[Tier, Figures] : Run.Tiers_)
    fmt::print("| {} | {} | {} | {} | {:.1f} | {:.0f} | {:.0f} | {:.0f} |\n",
               Name, Tier, Figures.Requests_, Figures.Good_,
               Figures.GoodPerSecond_, Figures.FirstTokenP50Ms_,
               Figures.FirstTokenP95Ms_, Figures.GapP95Ms_);
  std::string Codes;
  for (const auto &[Code, Count] : Run.ByCode_)
    Codes += fmt::format(" {}:{}", Code, Count);
  std::string ByCustomer;
  for (const auto &[Customer, Figures] : Run.Customers_)
    ByCustomer +=
        fmt::format(" {} {}/{}", Customer, Figures.Good_, Figures.Requests_);
  fmt::print("| {} | all | customers{} | not good by code{} | wasted prefill "
             "{:.0f} of {:.0f} tokens ({:.1f} %) | violations {} | | |\n",
             Name, ByCustomer, Codes, Run.WastedTokens_, Run.PrefillTokens_,
             100 * Run.wastedFraction(), Run.Violations_);
  std::fflush(stdout);
}

void printRatios(const RunFigures &Baseline, const RunFigures &Ours) {
  for (const auto &[Tier, Figures] : Ours.Tiers_) {
    auto Before = Baseline.Tiers_.find(Tier);
    if (Before != Baseline.Tiers_.end())
      fmt::print(
          "ratio of goodput, {}: {:.2f}\n", Tier,
          static_cast<double>(Figures.Good_) /
              std::max<double>(1, static_cast<double>(Before->second.Good_)));
  }
  fmt::print("ratio of wasted prefill: {:.2f}\n\n",
             Ours.WastedTokens_ / std::max(1.0, Baseline.WastedTokens_));
}

RunFigures runOnce(const Scenario &Run, const std::string &Name,
                   std::vector<std::string> Flags, bool WithoutLowest = false) {
  Runner Single(Run, clusterOptions(Run, std::move(Flags)));
  RunFigures Figures = Single.run(WithoutLowest);
  printRun(Name, Figures);
  return Figures;
}

void measure(const Scenario &Run) {
  fmt::print("### {}: {} (seed {})\n\n", Run.Name_, Run.Description_,
             absl::GetFlag(FLAGS_seed));
  fmt::print("| run | tier | asked | good | good/s | first token p50 ms | p95 "
             "ms | gap p95 ms |\n|---|---|---|---|---|---|---|---|\n");
  auto Baseline = runOnce(Run, "two choices", {"--scheduling=two-choices"});
  auto Ours = runOnce(Run, "keepers", {});
  if (absl::GetFlag(FLAGS_alone))
    runOnce(Run, "keepers, without bronze", {}, true);
  std::vector<std::string> LeftOut =
      absl::StrSplit(absl::GetFlag(FLAGS_leave_out), ',', absl::SkipEmpty());
  for (const std::string &Name : LeftOut)
    runOnce(Run, "without " + Name, {"--leave_out=" + Name});
  fmt::print("\n");
  printRatios(Baseline, Ours);
}

} // namespace

} // namespace samphireshunt::bench

int main(int ArgumentCount, char **Arguments) {
  using namespace samphireshunt::bench;
  absl::ParseCommandLine(ArgumentCount, Arguments);
  std::string Wanted = absl::GetFlag(FLAGS_scenario);
  bool Found = false;
  for (const Scenario &Run : allScenarios()) {
    if (Wanted != "all" && Wanted != Run.Name_)
      continue;
    Found = true;
    measure(Run);
  }
  if (!Found)
    fmt::print(stderr, "unknown scenario '{}'\n", Wanted);
  return Found ? 0 : 2;
}
