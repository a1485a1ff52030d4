#include "Request/StopPolicy.h"

namespace samphireshunt {

using std::chrono::milliseconds;

namespace {

/// \returns whether a request that is not dispatched may go on. \p Rest is what
/// is left until runs end.
bool mayGoOn(bool Early, milliseconds Rest, const StoppingRequest &Request) {
  // Balancers send to other daemons by now, so a refusal costs little.
  bool Late = !Early && Request.Stage_ == StopStage::Arrived;
  if (Late && Request.Kind_ == StopKind::Stream)
    return false;
  if (Request.Left_ <= Rest || Late)
    return Request.Left_ <= Rest;
  if (Request.Expected_)
    return *Request.Expected_ <= Rest;
  return Early && Request.Kind_ != StopKind::NonIdempotent;
}

} // namespace

StopDecision decideAtStop(const CurrentStop &Stop,
                          const StoppingRequest &Request) {
  milliseconds Rest = Stop.Times_.RunsEnd_ - Stop.Since_;
  bool Over = Rest <= milliseconds(0);
  if (Request.Stage_ == StopStage::Dispatched)
    return Over ? StopDecision::End : StopDecision::GoOn;
  bool Early = Stop.Since_ < Stop.Times_.Admit_;
  return !Over && mayGoOn(Early, Rest, Request) ? StopDecision::GoOn
                                                : StopDecision::Refuse;
}

} // namespace samphireshunt
