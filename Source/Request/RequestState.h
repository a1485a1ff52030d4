#pragma once
/// \file
/// The atomic decision whether a request is dispatched or given up.

#include <atomic>

namespace samphireshunt {

/// A deadline and a grant may occur at the same time on two threads. If both
/// took effect, the caller would get outcome "not-run" for a request that runs.
/// A single atomic transition out of Waiting ensures that only one succeeds.
class RequestState {
public:
  /// \returns true for the single call that may dispatch the request.
  bool tryDispatch() { return leaveWaiting(State::Dispatched); }
  /// \returns true for the single call that gives the request up.
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
