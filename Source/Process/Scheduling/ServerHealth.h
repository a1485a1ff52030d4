#pragma once
/// \file
/// Whether an engine should get work, judged by what its requests came to
/// rather than by its own health check, which may lie either way. Pure.
///
/// Load pattern: an engine that fails part of its requests at once looks idle,
/// and would draw more and more of them. It is left out for a while, then tried
/// by one request at a time.

#include <chrono>

namespace samphireshunt {

class ServerHealth {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  void succeeded();
  /// The engine failed a request that it may have run.
  void failed(TimePoint Now, double PoolFailureRate);
  /// The engine could not be reached.
  void unreachable(TimePoint Now);

  bool leftOut(TimePoint Now) const { return Now < LeftOutUntil_; }
  /// It was left out, and nothing has succeeded since.
  bool onTrial() const { return OnTrial_; }
  double failureRate() const { return FailureRate_; }

private:
  void leaveOut(TimePoint Now);

  double FailureRate_ = 0;
  int Unreachable_ = 0;
  int LeftOutTimes_ = 0;
  bool OnTrial_ = false;
  TimePoint LeftOutUntil_;
};

} // namespace samphireshunt
