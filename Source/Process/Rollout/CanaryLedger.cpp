#include "Process/Rollout/CanaryLedger.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace samphireshunt {

namespace {

using Micros = TimeHistogram::Micros;

/// A time counts as slow beyond this many times the quantile below.
constexpr double SlowFactor = 1.5;
constexpr double UsualQuantile = 0.95;
/// With fewer usual times, nothing counts as slow.
constexpr std::uint64_t MinUsualTimes = 30;

std::optional<Micros> timeBetweenTokens(const ServedSample &Sample) {
  auto Later = Sample.Generated_ - Sample.FirstEventTokens_;
  if (Sample.FirstToken_.count() == 0 || Later.count() <= 0)
    return std::nullopt;
  return (Sample.Duration_ - Sample.FirstToken_) / Later.count();
}

bool exceeds(Micros Time, const TimeHistogram &Usual) {
  if (Usual.count() < MinUsualTimes)
    return false;
  auto Limit = static_cast<double>(Usual.quantile(UsualQuantile).count());
  return static_cast<double>(Time.count()) > SlowFactor * Limit;
}

} // namespace

OutcomeCounts &OutcomeCounts::operator+=(const OutcomeCounts &Other) {
  Runs_ += Other.Runs_;
  Failed_ += Other.Failed_;
  Slow_ += Other.Slow_;
  return *this;
}

OutcomeCounts OutcomeCounts::operator-(const OutcomeCounts &Other) const {
  return {Runs_ - Other.Runs_, Failed_ - Other.Failed_, Slow_ - Other.Slow_};
}

void TimeHistogram::add(Micros Time) {
  double Doublings =
      std::log2(static_cast<double>(std::max<std::int64_t>(1, Time.count())));
  auto Index = static_cast<std::size_t>(Doublings * BucketsPerDoubling);
  ++Buckets_[std::min(Index, BucketCount - 1)];
  ++Count_;
}

Micros TimeHistogram::quantile(double Fraction) const {
  double Left = Fraction * static_cast<double>(Count_);
  std::size_t Index = 0;
  while (Index + 1 < BucketCount && Left > Buckets_[Index]) {
    Left -= Buckets_[Index];
    ++Index;
  }
  double Doublings =
      static_cast<double>(Index + 1) / static_cast<double>(BucketsPerDoubling);
  return Micros(static_cast<std::int64_t>(std::exp2(Doublings)));
}

void CanaryLedger::granted(bool ToCanary) {
  ++Granted_;
  Exposed_ += ToCanary ? 1 : 0;
}

/// A crash says nothing about the answers of a version, and requests that never
/// reached a server were not answered by any.
void CanaryLedger::ended(const ServerName &Canary, TierIndex Tier,
                         const ServedSample &Sample) {
  bool Judged = Sample.Complete_ || Sample.Faulty_;
  if (!Sample.Reached_ || Sample.Crashed_ || Sample.Replaced_ || !Judged)
    return;
  UsualTimes &Usual = Usual_[Tier];
  OutcomeCounts Counts;
  Counts.Runs_ = 1;
  Counts.Failed_ = Sample.Faulty_ ? 1 : 0;
  Counts.Slow_ = Sample.Complete_ && isSlow(Usual, Sample) ? 1 : 0;
  Outcomes_[{Canary, Tier}] += Counts;
  if (Canary.empty() && Sample.Complete_)
    learn(Usual, Sample);
}

bool CanaryLedger::isSlow(const UsualTimes &Usual, const ServedSample &Sample) {
  bool FirstIsSlow = Sample.FirstToken_.count() > 0 &&
                     exceeds(Sample.FirstToken_, Usual.FirstToken_);
  if (auto Between = timeBetweenTokens(Sample))
    return FirstIsSlow || exceeds(*Between, Usual.BetweenTokens_);
  return FirstIsSlow || exceeds(Sample.Duration_, Usual.Whole_);
}

void CanaryLedger::learn(UsualTimes &Usual, const ServedSample &Sample) {
  if (Sample.FirstToken_.count() > 0)
    Usual.FirstToken_.add(Sample.FirstToken_);
  if (auto Between = timeBetweenTokens(Sample))
    Usual.BetweenTokens_.add(*Between);
  else
    Usual.Whole_.add(Sample.Duration_);
}

void CanaryLedger::lease(std::uint64_t Allowed, TimePoint Until) {
  Allowed_ = Allowed;
  LeaseEnd_ = Until;
}

std::uint32_t CanaryLedger::grantsLeft(TimePoint Now) const {
  if (Now >= LeaseEnd_ || Allowed_ <= Exposed_)
    return 0;
  constexpr std::uint64_t Max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(Max, Allowed_ - Exposed_));
}

} // namespace samphireshunt
