#include "Request/Trace.h"

#include "Common/Hash.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphireshunt {

namespace {

constexpr std::size_t TraceIdDigits = 32;
constexpr std::size_t SpanIdDigits = 16;
constexpr std::size_t TraceIdStart = 3;
constexpr std::size_t SpanIdStart = TraceIdStart + TraceIdDigits + 1;
constexpr std::size_t TraceparentSize = SpanIdStart + SpanIdDigits + 3;

bool isHexadecimal(std::string_view Text) {
  return std::ranges::all_of(Text, [](char C) {
    return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
  });
}

bool isTraceparent(std::string_view Text) {
  return Text.size() == TraceparentSize && Text.starts_with("00-") &&
         isHexadecimal(Text.substr(TraceIdStart, TraceIdDigits)) &&
         isHexadecimal(Text.substr(SpanIdStart, SpanIdDigits));
}

} // namespace

Trace::Trace(std::string_view Traceparent, std::uint64_t Seed) : Seed_(Seed) {
  std::string Parent;
  if (isTraceparent(Traceparent)) {
    Record_.TraceId_ = Traceparent.substr(TraceIdStart, TraceIdDigits);
    Parent = Traceparent.substr(SpanIdStart, SpanIdDigits);
  } else {
    Record_.TraceId_ = fmt::format("{:016x}{:016x}", stableHash("high", Seed),
                                   stableHash("low", Seed));
  }
  begin("request");
  Record_.Spans_.front().ParentId_ = std::move(Parent);
}

std::string Trace::nextSpanId() {
  return fmt::format("{:016x}",
                     stableHash(std::to_string(Record_.Spans_.size()), Seed_));
}

std::size_t Trace::begin(std::string Name) {
  Span Started;
  Started.Name_ = std::move(Name);
  Started.SpanId_ = nextSpanId();
  if (!Record_.Spans_.empty())
    Started.ParentId_ = Record_.Spans_.front().SpanId_;
  Started.Start_ = std::chrono::system_clock::now();
  Record_.Spans_.push_back(std::move(Started));
  return Record_.Spans_.size() - 1;
}

void Trace::end(std::size_t Number) {
  Record_.Spans_[Number].End_ = std::chrono::system_clock::now();
}

void Trace::attribute(std::size_t Number, std::string Name, std::string Value) {
  Record_.Spans_[Number].Attributes_.emplace_back(std::move(Name),
                                                  std::move(Value));
}

std::string Trace::traceparent(std::size_t Number) const {
  return fmt::format("00-{}-{}-01", Record_.TraceId_,
                     Record_.Spans_[Number].SpanId_);
}

TraceRecord Trace::finish() {
  auto Now = std::chrono::system_clock::now();
  for (Span &Open : Record_.Spans_)
    if (Open.End_ == std::chrono::system_clock::time_point())
      Open.End_ = Now;
  return std::move(Record_);
}

} // namespace samphireshunt
