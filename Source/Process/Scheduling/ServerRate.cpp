#include "Process/Scheduling/ServerRate.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <string>

namespace samphireshunt {

namespace {

/// A server that names less still gets this many requests per second, since
/// only its answers tell when the limit ends.
constexpr double MinPerSecond = 0.25;
/// What was not used within this time is lost. At least one request is kept.
constexpr std::chrono::duration<double> BurstTime{0.25};

} // namespace

Result<RequestRate> parseRequestRate(std::string_view Text) {
  double PerSecond = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed =
      std::from_chars(Text.data(), End, PerSecond, std::chars_format::fixed);
  bool Valid = Parsed.ec == std::errc() && Parsed.ptr == End &&
               std::isfinite(PerSecond) && !std::signbit(PerSecond);
  if (!Valid)
    return Failure{ResultCode::BadServerLimit,
                   "'" + std::string(Text) + "' is no rate of requests"};
  return RequestRate(PerSecond);
}

void ServerRate::name(RequestRate Named, TimePoint Now) {
  if (!Named_) {
    Allowed_ = 0;
    Refilled_ = Now;
  }
  Named_ = Named;
  NamedAt_ = Now;
}

void ServerRate::refill(TimePoint Now, double Share) {
  if (!Named_ || Now <= Refilled_)
    return;
  std::chrono::duration<double> Elapsed = Now - Refilled_;
  Refilled_ = Now;
  double PerSecond = std::max(Named_->perSecond(), MinPerSecond) * Share;
  double Burst = std::max(1.0, PerSecond * BurstTime.count());
  Allowed_ = std::min(Burst, Allowed_ + PerSecond * Elapsed.count());
}

} // namespace samphireshunt
