/// \file
/// Measures the time of a scheduling decision with 32 engines, by the number of
/// waiting requests.

#include "Process/Scheduling/Scheduler.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

using namespace samphireshunt;

namespace {

constexpr std::uint32_t Engines = 32;
constexpr std::uint32_t Tiers = 5;
constexpr int CustomerCount = 100;

GrantRequest request(std::uint64_t Number, TimePoint Now) {
  GrantRequest Built;
  Built.Id_ = {1, Number};
  Built.Tier_ = TierIndex(static_cast<std::uint32_t>(Number % Tiers));
  Built.Customer_ = CustomerName(fmt::format("c{}", Number % CustomerCount));
  Built.Deadline_ = Now + std::chrono::hours(1);
  Built.Prompt_ = Tokens(100);
  Built.Answer_ = Tokens(100);
  return Built;
}

/// Each iteration ends one request, adds one, and grants one.
void decideAtDepth(benchmark::State &State) {
  Scheduler::Options Options;
  Options.TierCount_ = Tiers;
  Scheduler Cell(Options);
  std::vector<ServerCapacity> Servers;
  for (std::uint32_t Index = 0; Index < Engines; ++Index)
    Servers.push_back({ServerName(fmt::format("e{}", Index)), 8, true});
  Cell.configure(Servers, {}, Tiers, 1000000);
  TimePoint Now{std::chrono::seconds(1000)};
  std::uint64_t Next = 1;
  std::vector<RequestId> Running;
  auto Decide = [&] {
    for (const Decision &Taken : Cell.decide(Now))
      if (const auto *Grant = std::get_if<GrantDecision>(&Taken))
        Running.push_back(Grant->Id_);
  };
  auto Depth = static_cast<std::size_t>(State.range(0));
  while (Cell.waiting() < Depth) {
    Cell.requestGrant(request(Next++, Now), Now);
    Decide();
  }
  std::size_t Oldest = 0;
  for (auto Step : State) {
    (void)Step;
    Cell.done(Running[Oldest++], ServedSample(), Now);
    Cell.requestGrant(request(Next++, Now), Now);
    Decide();
  }
}

BENCHMARK(decideAtDepth)->RangeMultiplier(10)->Range(10, 100000);

} // namespace

BENCHMARK_MAIN();
