#include "Programs/Metrics.h"

#include <prometheus/text_serializer.h>

namespace samphireshunt {

namespace {

/// Upper bounds of the histogram buckets in seconds.
const prometheus::Histogram::BucketBoundaries SecondsBuckets = {
    0.001, 0.003, 0.01, 0.03, 0.1, 0.33, 1, 3, 10, 30, 100};

double seconds(std::chrono::duration<double> Time) { return Time.count(); }

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
                 .Register(Registry_)),
      FirstEvents_(prometheus::BuildHistogram()
                       .Name("samphireshunt_first_event_seconds")
                       .Help("Time until a stream's first event.")
                       .Register(Registry_)),
      Pauses_(prometheus::BuildHistogram()
                  .Name("samphireshunt_longest_pause_seconds")
                  .Help("Longest pause between two events of a stream.")
                  .Register(Registry_)),
      AnswerEnds_(prometheus::BuildCounter()
                      .Name("samphireshunt_answer_ends_total")
                      .Help("Servers' answers by how their end is known, and "
                            "whether a stream ended within an event.")
                      .Register(Registry_)),
      TakenUp_(prometheus::BuildCounter()
                   .Name("samphireshunt_streams_taken_up_total")
                   .Help("Streams that callers took up again, by how it is "
                         "known where they began.")
                   .Register(Registry_)),
      Cuts_(prometheus::BuildCounter()
                .Name("samphireshunt_callers_cut_total")
                .Help("Callers' connections that were closed after their "
                      "request was read and without a whole response.")
                .Register(Registry_)),
      PlatformCalls_(prometheus::BuildCounter()
                         .Name("samphireshunt_platform_calls_total")
                         .Help("Calls of the platform's service.")
                         .Register(Registry_)),
      PlatformTimes_(prometheus::BuildHistogram()
                         .Name("samphireshunt_platform_call_seconds")
                         .Help("Time of a call of the platform's service.")
                         .Register(Registry_)) {}

void Metrics::report(const RequestReport &Request) {
  std::string Code = std::to_string(static_cast<int>(Request.Code_));
  Requests_
      .Add({{"service", Request.Service_},
            {"tier", Request.Tier_},
            {"outcome", std::string(outcomeName(Request.Outcome_))},
            {"code", Code}})
      .Increment();
  prometheus::Labels Labels = {{"service", Request.Service_},
                               {"tier", Request.Tier_}};
  Durations_.Add(Labels, SecondsBuckets).Observe(seconds(Request.Total_));
  Waits_.Add(Labels, SecondsBuckets).Observe(seconds(Request.Waited_));
  if (const AnswerEnd &End = Request.AnswerEnd_; End.KnownBy_)
    AnswerEnds_
        .Add({{"known_by", std::string(bodyEndName(*End.KnownBy_))},
              {"inside_event", End.InsideEvent_ ? "yes" : "no"}})
        .Increment();
  if (Request.OriginSource_)
    TakenUp_
        .Add({{"origin", std::string(originSourceName(*Request.OriginSource_))},
              {"code", Code}})
        .Increment();
  if (!Request.FirstEvent_)
    return;
  FirstEvents_.Add(Labels, SecondsBuckets)
      .Observe(seconds(*Request.FirstEvent_));
  Pauses_.Add(Labels, SecondsBuckets).Observe(seconds(Request.LongestPause_));
}

void Metrics::reportCut(CutReason Reason) {
  Cuts_.Add({{"reason", std::string(cutReasonName(Reason))}}).Increment();
}

void Metrics::reportPlatformCall(const std::string &Call, bool Succeeded,
                                 std::chrono::microseconds Time) {
  PlatformCalls_.Add({{"call", Call}, {"result", Succeeded ? "ok" : "failed"}})
      .Increment();
  PlatformTimes_.Add({{"call", Call}}, SecondsBuckets).Observe(seconds(Time));
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
