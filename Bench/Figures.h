#pragma once
/// \file
/// Figures of one run: goodput by tier, times, what was shed, wasted prefill.

#include "Bench/Scenario.h"

#include <map>
#include <string>
#include <vector>

namespace samphireshunt::bench {

/// A call with what the scenario knows of it.
struct MeasuredCall {
  tests::CallRecord Record_;
  std::string Customer_;
  std::string Tier_;
  milliseconds Deadline_{0};
  milliseconds Started_{0}; ///< Since the run's start.
  int File_ = -1;
  int FileTokens_ = 0;
  int OwnTokens_ = 0; ///< Prompt tokens that no other request has.
};

struct TierFigures {
  std::size_t Asked_ = 0;
  std::size_t Good_ = 0; ///< Complete, correct, within the deadline.
  double GoodPerSecond_ = 0;
  double FirstTokenP50Ms_ = 0;
  double FirstTokenP95Ms_ = 0;
  double GapP95Ms_ = 0; ///< Longest gap between tokens of an answer.
};

struct RunFigures {
  std::map<std::string, TierFigures> Tiers_;
  std::map<std::string, TierFigures> Customers_;
  std::map<int, std::size_t> ByCode_;
  double PrefillTokens_ = 0; ///< Worked on in all.
  double WastedTokens_ = 0;  ///< Discarded, or repeated although known.
  std::size_t Violations_ = 0;

  double wastedPart() const {
    return PrefillTokens_ > 0 ? WastedTokens_ / PrefillTokens_ : 0;
  }
};

/// Works out the figures. \p Folder holds the engines' ledgers.
RunFigures figures(const std::vector<MeasuredCall> &Calls,
                   const std::string &Folder, milliseconds Length);

} // namespace samphireshunt::bench
