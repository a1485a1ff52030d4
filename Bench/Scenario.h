#pragma once
/// \file
/// The scenarios of measurements: who asks for what when, and what fails.

#include "FailureTests/Cluster.h"

#include <functional>
#include <string>
#include <vector>

namespace samphireshunt::bench {

using std::chrono::milliseconds;

/// Requests of one customer in one tier, at a rate.
struct Stream {
  std::string Customer_;
  std::string Tier_;
  double PerSecond_ = 0;
  milliseconds Begin_{0};
  milliseconds End_{0};
  int PromptTokens_ = 100;
  std::size_t AnswerTokens_ = 20;
  milliseconds Deadline_{2000};
  /// Prompts start with one of so many files; 0: none is shared.
  int Files_ = 0;
  int FileTokens_ = 0;
};

/// Something that happens to the cluster during the run.
struct Event {
  milliseconds At_;
  std::function<void(tests::Cluster &, tests::Json Document)> Action_;
};

struct Scenario {
  std::string Name_;
  std::string Description_;
  std::vector<Stream> Streams_;
  std::vector<Event> Events_;
  milliseconds Length_{8000};
  /// Daemons that callers stop using at a time, as a balancer would.
  std::vector<std::pair<int, milliseconds>> AvoidDaemons_;
};

/// Step times of the engines, fourfold apart.
std::vector<double> engineSteps();
std::vector<Scenario> allScenarios();

} // namespace samphireshunt::bench
