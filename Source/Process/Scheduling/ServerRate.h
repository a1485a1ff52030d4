#pragma once
/// \file
/// The rate of requests that a server in need accepts, as it names it in its
/// answers, and how many of them may be sent now. The code is free of I/O; the
/// current time is passed in.
///
/// Load pattern: a server that is nearly out of some resource asks for a few
/// requests a second, from all daemons together. It looks idle then, and would
/// attract more. The keeper that grants its requests counts them; a new keeper
/// begins with none, so that two of them in turn do not add up.

#include "Common/ResultCode.h"
#include "Common/TimePoint.h"

#include <compare>
#include <optional>
#include <string_view>

namespace samphireshunt {

/// Requests per second.
class RequestRate {
public:
  constexpr RequestRate() = default;
  constexpr explicit RequestRate(double PerSecond) : PerSecond_(PerSecond) {}
  constexpr double perSecond() const { return PerSecond_; }
  auto operator<=>(const RequestRate &) const = default;

private:
  double PerSecond_ = 0;
};

/// Parses a decimal number of requests per second. \returns BadServerLimit if
/// \p Text is anything else, negative or too large for a number.
Result<RequestRate> parseRequestRate(std::string_view Text);

class ServerRate {
public:
  /// Applies the rate that the server has just named.
  void name(RequestRate Named, TimePoint Now);
  /// The server names no rate any more.
  void clear() { Named_.reset(); }
  const std::optional<RequestRate> &named() const { return Named_; }
  /// \returns when the server last named its rate.
  TimePoint namedAt() const { return NamedAt_; }

  /// Adds what has become allowed by \p Now, for a keeper that may use the
  /// fraction \p Share of the rate.
  void refill(TimePoint Now, double Share);
  /// True if a request may be sent.
  bool allowsOne() const { return !Named_ || Allowed_ >= 1; }
  /// Counts a request that is sent.
  void take() { Allowed_ -= 1; }
  /// Counts a request as not sent.
  void giveBack() { Allowed_ += 1; }

private:
  std::optional<RequestRate> Named_;
  TimePoint NamedAt_;
  TimePoint Refilled_;
  double Allowed_ = 0;
};

} // namespace samphireshunt
