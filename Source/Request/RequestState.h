#pragma once
/// \file
/// The one decision of a request's life: dispatched, or given up.

#include <atomic>

namespace samphireshunt {

/// A deadline and a grant may come in the same instant, on two threads. If
/// both took effect, a caller would be told "not run" of a request that runs.
/// One atomic transition out of Waiting lets exactly one of them win.
class RequestState {
public:
  /// \returns true for the one call that dispatches.
  bool tryDispatch() { return leaveWaiting(State::Dispatched); }
  /// \returns true for the one call that gives the request up.
  bool tryGiveUp() { return leaveWaiting(State::GivenUp); }
  bool dispatched() const { return State_.load() == State::Dispatched; }

private:
  enum class State { Waiting, Dispatched, GivenUp };

  bool leaveWaiting(State Next) {
    State Expected = State::Waiting;
    return State_.compare_exchange_strong(Expected, Next);
  }

  std::atomic<State> State_ = State::Waiting;
};

} // namespace samphireshunt
