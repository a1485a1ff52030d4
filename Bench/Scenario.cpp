#include "Bench/Scenario.h"

#include <algorithm>
#include <iterator>

namespace samphireshunt::bench {

using tests::Cluster;
using tests::Json;

namespace {

/// Requests per second with the default lengths that the four engines can serve
/// together, with batches of 8, answers of 20 tokens, steps of 5, 7, 10 and 20
/// ms, and some prefill.
constexpr double Capacity = 150;
constexpr milliseconds WholeRun{8000};

LoadStream defaultStream(const std::string &Customer, const std::string &Tier,
                         double CapacityFraction) {
  LoadStream Built;
  Built.Customer_ = Customer;
  Built.Tier_ = Tier;
  Built.RequestsPerSecond_ = CapacityFraction * Capacity;
  Built.End_ = WholeRun;
  return Built;
}

/// \returns streams of all tiers that add up to \p Load times the capacity.
std::vector<LoadStream> allTiers(double Load) {
  return {defaultStream("alpha", "gold", 0.2 * Load),
          defaultStream("beta", "silver", 0.3 * Load),
          defaultStream("gamma", "bronze", 0.5 * Load)};
}

ScenarioEvent fault(milliseconds At, std::string Name, Json Body) {
  return {At, [=](Cluster &Fleet, Json) { Fleet.faults(Name, Body); }};
}

Scenario overloaded(std::string Name, std::string Description,
                    std::vector<ScenarioEvent> Events) {
  Scenario Built;
  Built.Name_ = std::move(Name);
  Built.Description_ = std::move(Description);
  Built.Streams_ = allTiers(2.0);
  Built.Events_ = std::move(Events);
  return Built;
}

Scenario bursts() {
  Scenario Built = overloaded("bursts", "bronze burst, then gold burst", {});
  Built.Streams_ = allTiers(0.6);
  LoadStream Low = defaultStream("gamma", "bronze", 3.0);
  Low.Begin_ = milliseconds(1000);
  Low.End_ = milliseconds(4000);
  LoadStream High = defaultStream("alpha", "gold", 0.7);
  High.Begin_ = milliseconds(3000);
  High.End_ = milliseconds(6000);
  Built.Streams_.push_back(Low);
  Built.Streams_.push_back(High);
  return Built;
}

Scenario flood() {
  Scenario Built = overloaded("flood", "one customer floods its tier", {});
  Built.Streams_ = {defaultStream("alpha", "silver", 0.2),
                    defaultStream("beta", "silver", 0.2),
                    defaultStream("gamma", "silver", 2.0)};
  return Built;
}

Scenario longShort() {
  Scenario Built = overloaded("long-short", "some a hundred times longer", {});
  LoadStream Long = defaultStream("gamma", "bronze", 0.02);
  Long.AnswerTokens_ = 1000;
  Long.PromptTokens_ = 4000;
  Long.Deadline_ = milliseconds(30000);
  LoadStream Short = defaultStream("alpha", "gold", 2.0);
  Short.AnswerTokens_ = 5;
  Short.PromptTokens_ = 40;
  Short.Deadline_ = milliseconds(1000);
  Built.Streams_ = {Short, defaultStream("beta", "silver", 0.4), Long};
  return Built;
}

Scenario prefixes() {
  Scenario Built = overloaded("prefixes", "long shared files, few engines", {});
  LoadStream Files = defaultStream("alpha", "gold", 0.25);
  Files.SharedFiles_ = 12;
  Files.FileTokens_ = 4000;
  Files.AnswerTokens_ = 10;
  Files.Deadline_ = milliseconds(3000);
  LoadStream More = Files;
  More.Customer_ = "beta";
  More.Tier_ = "silver";
  Built.Streams_ = {Files, More};
  return Built;
}

Scenario enginesLeave() {
  auto Leave = [](Cluster &Fleet, Json Document) {
    for (Json &Server : Document["pools"][0]["servers"])
      if (Server["name"] == "model-1" || Server["name"] == "model-3")
        Server["state"] = "leaving";
    Fleet.apply(Document);
  };
  return overloaded("half-leave", "half of the engines leave",
                    {{milliseconds(3000), Leave}});
}

Scenario daemonKilled() {
  Scenario Built =
      overloaded("daemon-killed", "the model pool's keeper is killed",
                 {{milliseconds(3000), [](Cluster &Fleet, Json) {
                     int Keeper = Fleet.keeperOf("models");
                     Fleet.process("vm-" + std::to_string(Keeper)).kill();
                   }}});
  return Built;
}

Scenario daemonFrozen() {
  Scenario Built = overloaded("daemon-frozen",
                              "the model pool's keeper is stopped for 2 s", {});
  auto Keeper = std::make_shared<std::string>();
  Built.Events_ = {{milliseconds(3000),
                    [Keeper](Cluster &Fleet, Json) {
                      *Keeper =
                          "vm-" + std::to_string(Fleet.keeperOf("models"));
                      Fleet.process(*Keeper).freeze();
                    }},
                   {milliseconds(5000), [Keeper](Cluster &Fleet, Json) {
                      Fleet.process(*Keeper).resume();
                    }}};
  return Built;
}

Scenario daemonCut() {
  Scenario Built = overloaded(
      "daemon-cut", "the model pool's keeper is cut from the others", {});
  auto Link = std::make_shared<std::string>();
  Built.Events_ = {{milliseconds(3000),
                    [Link](Cluster &Fleet, Json) {
                      *Link =
                          "relay-" + std::to_string(Fleet.keeperOf("models"));
                      Fleet.faults(*Link, {{"mode", "silent"}});
                    }},
                   {milliseconds(6000), [Link](Cluster &Fleet, Json) {
                      Fleet.faults(*Link, {{"mode", "pass"}});
                    }}};
  return Built;
}

} // namespace

std::vector<double> engineSteps() { return {5, 7, 10, 20}; }

std::vector<Scenario> allScenarios() {
  Scenario Steady = overloaded("steady", "0.6 of the capacity", {});
  Steady.Streams_ = allTiers(0.6);
  return {Steady,
          overloaded("overload", "all tiers at 2 times the capacity", {}),
          bursts(),
          flood(),
          longShort(),
          prefixes(),
          overloaded("slow-engine", "the fastest engine at a quarter",
                     {fault(milliseconds(3000), "model-1", {{"slow", 4.0}})}),
          enginesLeave(),
          overloaded("platform-down", "the platform is down all the time",
                     {fault(milliseconds(0), "platform", {{"outage", true}})}),
          daemonKilled(),
          daemonFrozen(),
          daemonCut()};
}

} // namespace samphireshunt::bench
