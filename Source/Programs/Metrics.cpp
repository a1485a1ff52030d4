#include "Programs/Metrics.h"

#include <prometheus/text_serializer.h>

namespace samphireshunt {

namespace {

/// Upper bounds in seconds.
const prometheus::Histogram::BucketBoundaries SecondsBuckets = {
    0.001, 0.003, 0.01, 0.03, 0.1, 0.33, 1, 3, 10, 30, 100};

constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

Metrics::Metrics()
    : Requests_(prometheus::BuildCounter()
                    .Name("samphireshunt_requests_total")
                    .Help("Final answers by outcome and result code.")
                    .Register(Registry_)),
      Durations_(prometheus::BuildHistogram()
                     .Name("samphireshunt_request_seconds")
                     .Help("Time from a request's head to its last byte.")
                     .Register(Registry_)),
      Waits_(prometheus::BuildHistogram()
                 .Name("samphireshunt_wait_seconds")
                 .Help("Time until the grant.")
                 .Register(Registry_)) {}

void Metrics::report(const RequestReport &Seen) {
  std::string Code = std::to_string(static_cast<int>(Seen.Code_));
  Requests_
      .Add({{"service", Seen.Service_},
            {"tier", Seen.Tier_},
            {"outcome", std::string(outcomeName(Seen.Outcome_))},
            {"code", Code}})
      .Increment();
  prometheus::Labels Labels = {{"service", Seen.Service_},
                               {"tier", Seen.Tier_}};
  auto Seconds = [](std::chrono::microseconds Time) {
    return static_cast<double>(Time.count()) / MicrosecondsPerSecond;
  };
  Durations_.Add(Labels, SecondsBuckets).Observe(Seconds(Seen.Total_));
  Waits_.Add(Labels, SecondsBuckets).Observe(Seconds(Seen.Waited_));
}

void Metrics::setGauge(const std::string &Name, double Value) {
  prometheus::BuildGauge()
      .Name("samphireshunt_" + Name)
      .Register(Registry_)
      .Add({})
      .Set(Value);
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(Registry_.Collect());
}

} // namespace samphireshunt
