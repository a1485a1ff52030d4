#pragma once
/// \file
/// Decides whether an engine should get work, from the outcome of its requests:
/// its own health check may be wrong in either direction. The code is free of
/// I/O.
///
/// Load pattern: an engine that fails some of its requests immediately looks
/// idle and would attract more and more of them. It is excluded for a while,
/// then tried with one request at a time.

#include <chrono>

namespace samphireshunt {

class ServerHealth {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  void succeeded();
  /// Records a failed request that the engine may have run.
  void failed(TimePoint Now, double PoolFailureRate);
  /// Records that the engine could not be reached.
  void unreachable(TimePoint Now);

  bool leftOut(TimePoint Now) const { return Now < LeftOutUntil_; }
  /// True if the engine was excluded and no request has succeeded since.
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
