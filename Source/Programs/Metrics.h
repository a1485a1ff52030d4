#pragma once
/// \file
/// Prometheus metrics. Labels have values only from the document (services,
/// tiers), the table of result codes, the calls of the platform's service and
/// the few ways in which answers end, so that their number is bounded.

#include "Request/RequestContext.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace samphireshunt {

class Metrics {
public:
  Metrics();

  /// Records one request. Thread-safe.
  void report(const RequestReport &Request);
  /// Records a caller whose connection was closed without a whole response.
  void reportCut(CutReason Reason);
  /// Records one call of the platform's service and its duration.
  void reportPlatformCall(const std::string &Call, bool Succeeded,
                          std::chrono::microseconds Time);
  /// Sets a gauge whose value is read just before each scrape.
  void setGauge(const std::string &Name, double Value);
  /// \returns all metrics in the Prometheus text format.
  std::string text() const;

private:
  prometheus::Registry Registry_;
  prometheus::Family<prometheus::Counter> &Requests_;
  prometheus::Family<prometheus::Histogram> &Durations_;
  prometheus::Family<prometheus::Histogram> &Waits_;
  prometheus::Family<prometheus::Histogram> &FirstEvents_;
  prometheus::Family<prometheus::Histogram> &Pauses_;
  prometheus::Family<prometheus::Counter> &AnswerEnds_;
  prometheus::Family<prometheus::Counter> &TakenUp_;
  prometheus::Family<prometheus::Counter> &Cuts_;
  prometheus::Family<prometheus::Counter> &PlatformCalls_;
  prometheus::Family<prometheus::Histogram> &PlatformTimes_;
};

} // namespace samphireshunt
