#pragma once
/// \file
/// Prometheus metrics. Labels come from the document (services, tiers) and
/// from the table of codes only, so their number is bounded.

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
  /// Sets a gauge that is read just before each scrape.
  void setGauge(const std::string &Name, double Value);
  /// All metrics in the Prometheus text format.
  std::string text() const;

private:
  prometheus::Registry Registry_;
  prometheus::Family<prometheus::Counter> &Requests_;
  prometheus::Family<prometheus::Histogram> &Durations_;
  prometheus::Family<prometheus::Histogram> &Waits_;
};

} // namespace samphireshunt
