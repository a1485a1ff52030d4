#pragma once
/// \file
/// Prometheus metrics. Labels come from the document (services, tiers), from
/// the table of codes and from the calls of the platform's service only, so
/// their number is bounded.

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

  /// Counts one request; from any thread.
  void report(const RequestReport &Seen);
  /// Counts one call of the platform's service, and how long it took.
  void reportPlatformCall(const std::string &Call, bool Succeeded,
                          std::chrono::microseconds Time);
  /// Sets a gauge that is read just before each scrape.
  void setGauge(const std::string &Name, double Value);
  /// All metrics in the Prometheus text format.
  std::string text() const;

private:
  prometheus::Registry Registry_;
  prometheus::Family<prometheus::Counter> &Requests_;
  prometheus::Family<prometheus::Histogram> &Durations_;
  prometheus::Family<prometheus::Histogram> &Waits_;
  prometheus::Family<prometheus::Histogram> &FirstEvents_;
  prometheus::Family<prometheus::Histogram> &Pauses_;
  prometheus::Family<prometheus::Counter> &PlatformCalls_;
  prometheus::Family<prometheus::Histogram> &PlatformTimes_;
};

} // namespace samphireshunt
