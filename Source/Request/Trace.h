#pragma once
/// \file
/// The spans of one request, by W3C Trace Context: a span for each hop.

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

/// A finished trace's part of this daemon.
struct TraceRecord {
  std::string TraceId_; ///< 32 hexadecimal digits.
  std::vector<Span> Spans_;
};

/// Takes finished traces; must not wait.
using TraceSink = std::function<void(TraceRecord)>;

class Trace {
public:
  /// Goes on with the caller's trace when \p Traceparent is valid, and starts
  /// a new one otherwise. \p Seed makes ids differ between requests.
  Trace(std::string_view Traceparent, std::uint64_t Seed);

  /// Starts a span below the request's own one. \returns its number.
  std::size_t begin(std::string Name);
  void end(std::size_t Number);
  void attribute(std::size_t Number, std::string Name, std::string Value);
  /// The field for the next hop, below span \p Number.
  std::string traceparent(std::size_t Number) const;
  /// Ends every open span and gives the record away.
  TraceRecord finish();

  /// The number of the request's own span.
  static constexpr std::size_t Root = 0;

private:
  std::string nextSpanId();

  TraceRecord Record_;
  std::uint64_t Seed_;
};

} // namespace samphireshunt
