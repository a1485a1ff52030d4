#pragma once
/// \file
/// Whether an answer came within its route's objective and, if not, why.

#include "Version/Document.h"

#include <chrono>
#include <string_view>

namespace samphireshunt {

enum class Lateness {
  InTime,
  First,   ///< The first event, or the whole of a plain answer, came late.
  Pause,   ///< Two events of a stream were too far apart.
  Attempt, ///< In time by itself; an earlier attempt had used the time up.
};

/// E.g. "pause".
std::string_view latenessName(Lateness Value);

/// How an answer came, all in ms.
struct AnswerTimes {
  std::chrono::milliseconds First_{0};
  std::chrono::milliseconds LongestPause_{0};
  /// From the caller's first attempt to this one.
  std::chrono::milliseconds SinceFirstAttempt_{0};
};

Lateness latenessOf(const ForwardingRule &Rule, const AnswerTimes &Times);

} // namespace samphireshunt
