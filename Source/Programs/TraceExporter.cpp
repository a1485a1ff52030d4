#include "Programs/TraceExporter.h"

#include "Connection/Spawn.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace samphireshunt {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

Json textAttribute(const std::string &Key, const std::string &Value) {
  return {{"key", Key}, {"value", {{"stringValue", Value}}}};
}

std::string unixNanos(std::chrono::system_clock::time_point Time) {
  auto Nanos = std::chrono::duration_cast<std::chrono::nanoseconds>(
      Time.time_since_epoch());
  return std::to_string(Nanos.count());
}

Json spanToJson(const TraceRecord &Record, const Span &Value) {
  Json Encoded;
  Encoded["traceId"] = Record.TraceId_;
  Encoded["spanId"] = Value.SpanId_;
  if (!Value.ParentId_.empty())
    Encoded["parentSpanId"] = Value.ParentId_;
  Encoded["name"] = Value.Name_;
  Encoded["kind"] = 2; // SPAN_KIND_SERVER
  Encoded["startTimeUnixNano"] = unixNanos(Value.Start_);
  Encoded["endTimeUnixNano"] = unixNanos(Value.End_);
  Encoded["attributes"] = Json::array();
  for (const auto &[Key, Text] : Value.Attributes_)
    Encoded["attributes"].push_back(textAttribute(Key, Text));
  return Encoded;
}

} // namespace

TraceExporter::TraceExporter(asio::io_context &Control, Options Settings)
    : Control_(Control), Options_(std::move(Settings)) {}

void TraceExporter::start() {
  auto Run = [this]() { return run(); };
  spawnRepeated(Control_, "export-traces", std::move(Run));
}

void TraceExporter::offer(TraceRecord Record) {
  std::unique_lock Lock(Mutex_, std::try_to_lock);
  if (!Lock.owns_lock() || Queue_.size() >= Options_.MaxQueued_) {
    ++Dropped_;
    return;
  }
  Queue_.push_back(std::move(Record));
}

Awaitable<void> TraceExporter::run() {
  asio::steady_timer Timer(Control_);
  while (!Stopped_) {
    Timer.expires_after(Options_.Period_);
    co_await Timer.async_wait(asio::use_awaitable);
    std::vector<TraceRecord> Batch;
    {
      std::scoped_lock Lock(Mutex_);
      Batch.swap(Queue_);
    }
    if (Batch.empty())
      continue;
    HttpRequest Request;
    Request.Method_ = "POST";
    Request.Target_ = "/v1/traces";
    Request.Fields_["content-type"] = "application/json";
    Request.Body_ = encode(Batch);
    auto Response = co_await httpCall(Options_.Collector_, std::move(Request),
                                      Options_.Timeout_, MaxControlAnswerBytes);
    if (!Response || Response->Status_ != 200)
      Dropped_ += Batch.size();
  }
}

std::string TraceExporter::encode(const std::vector<TraceRecord> &Batch) const {
  Json Spans = Json::array();
  for (const TraceRecord &Record : Batch)
    for (const Span &Value : Record.Spans_)
      Spans.push_back(spanToJson(Record, Value));
  Json Scope;
  Scope["scope"] = {{"name", "samphireshunt"}};
  Scope["spans"] = std::move(Spans);
  Json Resource;
  Resource["resource"]["attributes"] =
      Json::array({textAttribute("service.name", "samphireshunt"),
                   textAttribute("host.name", Options_.Vm_)});
  Resource["scopeSpans"] = Json::array({std::move(Scope)});
  Json Root;
  Root["resourceSpans"] = Json::array({std::move(Resource)});
  constexpr auto Replace = Json::error_handler_t::replace;
  return Root.dump(-1, ' ', false, Replace);
}

} // namespace samphireshunt
