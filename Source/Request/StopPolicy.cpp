#include "Request/StopPolicy.h"

namespace samphireshunt {

using std::chrono::milliseconds;

namespace {

/// The longest time that opening a connection to a server takes, over relays,
/// less what is left for the last answers after the runs end.
constexpr milliseconds ConnectTime{950};
/// For the last answers, however late this process comes to them.
constexpr milliseconds AnswerTime{100};

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
  bool MayConnect = Rest >= ConnectTime;
  return MayConnect && mayGoOn(Early, Rest, Request) ? StopDecision::GoOn
                                                     : StopDecision::Refuse;
}

bool mayEndUnfinished(const CurrentStop &Stop,
                      std::optional<milliseconds> SinceRunsEnded) {
  return Stop.Since_ >= Stop.Times_.ProcessEnd_ && SinceRunsEnded &&
         *SinceRunsEnded >= AnswerTime;
}

} // namespace samphireshunt
