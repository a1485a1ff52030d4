#pragma once
/// \file
/// Figures of one run: goodput and latency by tier and customer, the codes of
/// calls that were not good, and wasted prefill.

#include "Bench/Scenario.h"

#include <map>
#include <string>
#include <vector>

namespace samphireshunt::bench {

/// A call with the properties that the scenario gave it.
struct MeasuredCall {
  tests::CallRecord Record_;
  std::string Customer_;
  std::string Tier_;
  milliseconds Deadline_{0};
  milliseconds Started_{0}; ///< Since the start of the run.
  int SharedFile_ = -1; ///< Shared file that the prompt starts with; -1: none.
  int FileTokens_ = 0;
  int UniqueTokens_ = 0; ///< Prompt tokens that no other request shares.
};

/// Figures of the calls of one tier or one customer.
struct GroupFigures {
  std::size_t Requests_ = 0;
  std::size_t Good_ = 0; ///< Answered correctly within the deadline.
  double GoodPerSecond_ = 0;
  double FirstTokenP50Ms_ = 0;
  double FirstTokenP95Ms_ = 0;
  double GapP95Ms_ = 0; ///< Of the longest gap between tokens of an answer.
};

struct RunFigures {
  std::map<std::string, GroupFigures> Tiers_;
  std::map<std::string, GroupFigures> Customers_;
  std::map<int, std::size_t> ByCode_;
  double PrefillTokens_ = 0; ///< Prefilled in total.
  /// Prefilled for calls that were not good, or again for the same shared file.
  double WastedTokens_ = 0;
  std::size_t Violations_ = 0;

  double wastedFraction() const {
    return PrefillTokens_ > 0 ? WastedTokens_ / PrefillTokens_ : 0;
  }
};

/// Computes the figures of a run that took \p Length. \p Folder contains the
/// engines' ledgers.
RunFigures computeFigures(const std::vector<MeasuredCall> &Calls,
                          const std::string &Folder, milliseconds Length);

} // namespace samphireshunt::bench
