#pragma once
/// \file
/// The spans of one request, one for each hop, propagated by W3C Trace Context.

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphireshunt {

struct Span {
  std::string Name_;
  std::string SpanId_; ///< 16 hexadecimal digits.
  std::string ParentId_;
  std::chrono::system_clock::time_point Start_;
  std::chrono::system_clock::time_point End_;
  std::vector<std::pair<std::string, std::string>> Attributes_;
};

/// The spans that this daemon contributes to a trace.
struct TraceRecord {
  std::string TraceId_; ///< 32 hexadecimal digits.
  std::vector<Span> Spans_;
};

/// Receives finished traces; must not block.
using TraceSink = std::function<void(TraceRecord)>;

class Trace {
public:
  /// Continues the caller's trace if \p Traceparent is valid and starts a new
  /// one otherwise. \p Seed makes ids differ between requests.
  Trace(std::string_view Traceparent, std::uint64_t Seed);

  /// Starts a child of the request's root span. \returns its number.
  std::size_t begin(std::string Name);
  void end(std::size_t Number);
  void attribute(std::size_t Number, std::string Name, std::string Value);
  /// \returns the traceparent field for the next hop, as a child of span
  /// \p Number.
  std::string traceparent(std::size_t Number) const;
  /// Ends every open span and moves the record out.
  TraceRecord finish();

  /// The number of the request's root span.
  static constexpr std::size_t Root = 0;

private:
  std::string nextSpanId();

  TraceRecord Record_;
  std::uint64_t Seed_;
};

} // namespace samphireshunt
