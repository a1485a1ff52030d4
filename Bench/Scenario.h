#pragma once
/// \file
/// The scenarios of measurements: the load over time, and the faults.

#include "FailureTests/Cluster.h"

#include <functional>
#include <string>
#include <vector>

namespace samphireshunt::bench {

using std::chrono::milliseconds;

/// Requests of one customer in one tier at a constant mean rate.
struct LoadStream {
  std::string Customer_;
  std::string Tier_;
  double RequestsPerSecond_ = 0;
  milliseconds Begin_{0};
  milliseconds End_{0};
  int PromptTokens_ = 100;
  std::size_t AnswerTokens_ = 20;
  milliseconds Deadline_{2000};
  /// Number of shared files that prompts start with; 0: prompts share nothing.
  int SharedFiles_ = 0;
  int FileTokens_ = 0;
};

/// An action on the cluster at a time after the start of the run.
struct ScenarioEvent {
  milliseconds At_;
  std::function<void(tests::Cluster &, tests::Json Document)> Action_;
};

struct Scenario {
  std::string Name_;
  std::string Description_;
  std::vector<LoadStream> Streams_;
  std::vector<ScenarioEvent> Events_;
  milliseconds Length_{8000};
  /// Daemons with the time at which callers stop using them, as a load balancer
  /// does.
  std::vector<std::pair<int, milliseconds>> AvoidDaemons_;
};

/// \returns the step times of the engines in ms. The slowest engine takes four
/// times as long as the fastest.
std::vector<double> engineSteps();
std::vector<Scenario> allScenarios();

} // namespace samphireshunt::bench
