#include "Request/Lateness.h"

namespace samphireshunt {

std::string_view latenessName(Lateness Value) {
  switch (Value) {
  case Lateness::InTime:
    return "no";
  case Lateness::First:
    return "first";
  case Lateness::Pause:
    return "pause";
  case Lateness::Attempt:
    return "attempt";
  }
  return "no";
}

Lateness latenessOf(const ForwardingRule &Rule, const AnswerTimes &Times) {
  if (Times.First_ > Rule.Objective_)
    return Lateness::First;
  bool Bounded = Rule.MaxEventGap_.count() > 0;
  if (Bounded && Times.LongestPause_ > Rule.MaxEventGap_)
    return Lateness::Pause;
  if (Times.First_ + Times.SinceFirstAttempt_ > Rule.Objective_)
    return Lateness::Attempt;
  return Lateness::InTime;
}

} // namespace samphireshunt
