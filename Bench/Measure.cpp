/// \file
/// Runs a scenario with real daemons and stand-in engines, once for the
/// baseline (every daemon by itself, two choices on stale reports), once for
/// ours and, where asked, for ours with decisions left out; the same seed and
/// load each time. Prints a table.

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

ABSL_FLAG(std::string, scenario, "steady", "A scenario's name, or all.");
ABSL_FLAG(std::string, leave_out, "",
          "Decisions, separated by commas; a run each without one.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the load.");
ABSL_FLAG(bool, alone, false,
          "Also run without the lowest tier, for what the others have alone.");

namespace samphireshunt::bench {

namespace {

using std::chrono::steady_clock;
using tests::CallRequest;
using tests::Cluster;
using tests::Json;

constexpr int Daemons = 4;
const std::vector<std::string> Customers = {"alpha", "beta", "gamma"};

std::string keyOf(const std::string &Customer) { return "key-" + Customer; }

/// The cluster's document with the customers of the scenarios.
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

/// One call that is due at a time.
struct Planned {
  milliseconds At_;
  const Stream *Source_;
};

std::vector<Planned> plan(const Scenario &Run, bool WithoutLowest,
                          pcg32 &Random) {
  std::vector<Planned> Calls;
  for (const Stream &Source : Run.Streams_) {
    if (WithoutLowest && Source.Tier_ == "bronze")
      continue;
    // Arrivals as of many independent callers: exponential gaps.
    double At = static_cast<double>(Source.Begin_.count());
    while (true) {
      constexpr double Steps = 1U << 20U;
      double Uniform = (Random(1U << 20U) + 1.0) / (Steps + 1.0);
      At += -std::log(Uniform) * 1000.0 / Source.PerSecond_;
      if (At >= static_cast<double>(Source.End_.count()))
        break;
      Calls.push_back({milliseconds(static_cast<std::int64_t>(At)), &Source});
    }
  }
  std::ranges::stable_sort(Calls, {}, &Planned::At_);
  return Calls;
}

std::string repeated(const std::string &Word, int Tokens) {
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
      throw std::runtime_error("the document was not accepted");
  }

  RunFigures run(bool WithoutLowest) {
    auto Calls = plan(Scenario_, WithoutLowest, Random_);
    auto Started = steady_clock::now();
    std::thread Happenings([this, Started] { happen(Started); });
    std::vector<std::future<tests::CallRecord>> Pending;
    std::vector<MeasuredCall> Measured;
    for (std::size_t Index = 0; Index < Calls.size(); ++Index) {
      std::this_thread::sleep_until(Started + Calls[Index].At_);
      MeasuredCall Known;
      CallRequest Request = build(Calls[Index], Index, Known);
      Pending.push_back(Fleet_.start(std::move(Request)));
      Measured.push_back(std::move(Known));
    }
    Happenings.join();
    for (std::size_t Index = 0; Index < Pending.size(); ++Index)
      Measured[Index].Record_ = Pending[Index].get();
    RunFigures Seen = figures(Measured, Fleet_.folder(), Scenario_.Length_);
    Seen.Violations_ = Fleet_.violations({.DaemonsKilled_ = true}).size();
    return Seen;
  }

private:
  void happen(steady_clock::time_point Started) {
    for (const Event &Due : Scenario_.Events_) {
      std::this_thread::sleep_until(Started + Due.At_);
      Due.Action_(Fleet_, documentOf(Fleet_));
    }
  }

  CallRequest build(const Planned &Due, std::size_t Index,
                    MeasuredCall &Known) {
    const Stream &Source = *Due.Source_;
    int Daemon = 1 + static_cast<int>(Index % Daemons);
    // The balancer notices a daemon that is gone, and takes the next.
    if (!Fleet_.process("vm-" + std::to_string(Daemon)).running())
      Daemon = 1 + Daemon % Daemons;
    CallRequest Request = Fleet_.stream(Daemon);
    Request.CustomerKey_ = keyOf(Source.Customer_);
    Request.Tier_ = Source.Tier_;
    Request.MaxTokens_ = Source.AnswerTokens_;
    Request.Timeout_ = Source.Deadline_;
    Request.Prompt_.clear();
    if (Source.Files_ > 0) {
      Known.File_ =
          static_cast<int>(Random_(static_cast<std::uint32_t>(Source.Files_)));
      Known.FileTokens_ = Source.FileTokens_;
      Request.Prompt_ =
          repeated(fmt::format("file {} ", Known.File_), Source.FileTokens_);
    }
    Request.Prompt_ += repeated(Request.Nonce_ + " ", Source.PromptTokens_);
    Known.Customer_ = Source.Customer_;
    Known.Tier_ = Source.Tier_;
    Known.Deadline_ = Source.Deadline_;
    Known.Started_ = Due.At_;
    Known.OwnTokens_ = Source.PromptTokens_ + 1;
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
  // More than an engine works on at once: the right limit is to be found.
  Options.MaxInFlight_ = 32;
  Options.Relays_ = Run.Name_ == "daemon-cut";
  Options.DaemonFlags_ = std::move(DaemonFlags);
  Options.DaemonFlags_.push_back("--log_level=warning");
  return Options;
}

void printRun(const std::string &Name, const RunFigures &Run) {
  for (const auto &[Tier, Seen] : Run.Tiers_)
    fmt::print("| {} | {} | {} | {} | {:.1f} | {:.0f} | {:.0f} | {:.0f} |\n",
               Name, Tier, Seen.Asked_, Seen.Good_, Seen.GoodPerSecond_,
               Seen.FirstTokenP50Ms_, Seen.FirstTokenP95Ms_, Seen.GapP95Ms_);
  std::string Codes;
  for (const auto &[Code, Count] : Run.ByCode_)
    Codes += fmt::format(" {}:{}", Code, Count);
  std::string ByCustomer;
  for (const auto &[Customer, Seen] : Run.Customers_)
    ByCustomer += fmt::format(" {} {}/{}", Customer, Seen.Good_, Seen.Asked_);
  fmt::print("| {} | all | customers{} | not good by code{} | wasted prefill "
             "{:.0f} of {:.0f} tokens ({:.1f} %) | violations {} | | |\n",
             Name, ByCustomer, Codes, Run.WastedTokens_, Run.PrefillTokens_,
             100 * Run.wastedPart(), Run.Violations_);
  std::fflush(stdout);
}

void printRatios(const RunFigures &Baseline, const RunFigures &Ours) {
  for (const auto &[Tier, Seen] : Ours.Tiers_) {
    auto Before = Baseline.Tiers_.find(Tier);
    if (Before != Baseline.Tiers_.end())
      fmt::print(
          "ratio of goodput, {}: {:.2f}\n", Tier,
          static_cast<double>(Seen.Good_) /
              std::max<double>(1, static_cast<double>(Before->second.Good_)));
  }
  fmt::print("ratio of wasted prefill: {:.2f}\n\n",
             Ours.WastedTokens_ / std::max(1.0, Baseline.WastedTokens_));
}

RunFigures runOnce(const Scenario &Run, const std::string &Name,
                   std::vector<std::string> Flags, bool WithoutLowest = false) {
  Runner Once(Run, clusterOptions(Run, std::move(Flags)));
  RunFigures Seen = Once.run(WithoutLowest);
  printRun(Name, Seen);
  return Seen;
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
    fmt::print(stderr, "no scenario '{}'\n", Wanted);
  return Found ? 0 : 2;
}
