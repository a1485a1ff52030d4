#pragma once
/// \file
/// Whether an answer met its route's objective and, if not, the reason.

#include "Version/Document.h"

#include <chrono>
#include <string_view>

namespace samphireshunt {

enum class Lateness {
  InTime,
  First,   ///< The first event, or a plain answer, missed the objective.
  Pause,   ///< The pause between two events of a stream was too long.
  Attempt, ///< In time by itself, but earlier attempts used up the time.
};

/// \returns the value of the log field "late", e.g. "pause".
std::string_view latenessName(Lateness Value);

/// Measured times of an answer.
struct AnswerTimes {
  std::chrono::milliseconds First_{0};
  std::chrono::milliseconds LongestPause_{0};
  /// Time between the caller's first attempt and this one.
  std::chrono::milliseconds SinceFirstAttempt_{0};
};

/// Classifies an answer's times by the objective of its route.
Lateness latenessOf(const ForwardingRule &Rule, const AnswerTimes &Times);

} // namespace samphireshunt
