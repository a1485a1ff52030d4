#include "Process/Scheduling/EngineSpeed.h"

#include <algorithm>

namespace samphireshunt {

namespace {

/// An engine without samples is assumed to be a fast one, so that it is tried
/// and its first answers can be measured. The faster engines in use read 100
/// tokens in a millisecond.
constexpr double AssumedNanosPerToken = 10000;
/// Decay of the weight of earlier samples for each new one: about the last
/// thirty count.
constexpr double SampleDecay = 0.97;
/// Number of samples that the assumed speed of the pool counts for.
constexpr double AssumedSampleCount = 3;
/// The assumed samples have prompts of length 0 and of this length.
constexpr double AssumedLength = 4000;
/// Maximum number of earlier streamed tokens that count beside the newest
/// stream: those of a second or two of a fully loaded engine.
constexpr double MaxEarlierTokens = 2000;

} // namespace

void EngineSpeed::Line::add(double X, double Y, double Weight) {
  Weight_ += Weight;
  X_ += Weight * X;
  Y_ += Weight * Y;
  XX_ += Weight * X * X;
  XY_ += Weight * X * Y;
}

void EngineSpeed::Line::fade(double Factor) {
  for (double *Sum : {&Weight_, &X_, &Y_, &XX_, &XY_})
    *Sum *= Factor;
}

void EngineSpeed::firstToken(Tokens Unread, Nanos Delay) {
  Line_.fade(SampleDecay);
  Line_.add(static_cast<double>(Unread.count()),
            static_cast<double>(Delay.count()), 1);
  ++Samples_;
  fit();
}

/// Fits the fixed time and the time per token. Samples of a single prompt
/// length cannot separate the two, so the whole delay is then attributed to the
/// tokens.
void EngineSpeed::fit() {
  double Spread = Line_.Weight_ * Line_.XX_ - Line_.X_ * Line_.X_;
  double Mean = Line_.Y_ / Line_.Weight_;
  double MeanLength = Line_.X_ / Line_.Weight_;
  double PerToken =
      Spread <= 0 ? 0
                  : (Line_.Weight_ * Line_.XY_ - Line_.X_ * Line_.Y_) / Spread;
  double MaxPerToken = MeanLength > 0 ? Mean / MeanLength : 0;
  bool OneLength = Spread <= Line_.Weight_ * Line_.Weight_;
  NanosPerToken_ =
      OneLength ? MaxPerToken : std::clamp(PerToken, 0.0, MaxPerToken);
  FixedNanos_ = std::max(0.0, Mean - NanosPerToken_ * MeanLength);
}

/// Weighs streams by their number of tokens, since a short answer says little
/// about the speed.
void EngineSpeed::stream(Tokens Count, Nanos Time) {
  if (Count.count() <= 0)
    return;
  auto NewTokens = static_cast<double>(Count.count());
  double Factor =
      std::min(1.0, MaxEarlierTokens / std::max(1.0, StreamTokens_));
  StreamTokens_ = StreamTokens_ * Factor + NewTokens;
  StreamNanos_ = StreamNanos_ * Factor + static_cast<double>(Time.count());
}

EngineSpeed::Nanos EngineSpeed::timeBetweenTokens() const {
  if (!known())
    return Nanos(0);
  return Nanos(static_cast<std::int64_t>(StreamNanos_ / StreamTokens_));
}

void EngineSpeed::assume(const EngineSpeed &Typical) {
  if (Samples_ > 0 || !Typical.known())
    return;
  Line_ = Line();
  for (double Length : {0.0, AssumedLength})
    Line_.add(Length, Typical.FixedNanos_ + Typical.NanosPerToken_ * Length,
              AssumedSampleCount / 2);
  fit();
  constexpr double AssumedTokens = 50;
  StreamTokens_ = AssumedTokens;
  StreamNanos_ =
      AssumedTokens * static_cast<double>(Typical.timeBetweenTokens().count());
}

double EngineSpeed::nanosPerToken() const {
  return Line_.Weight_ > 0 ? NanosPerToken_ : AssumedNanosPerToken;
}

EngineSpeed::Nanos EngineSpeed::readingTime(Tokens Unread) const {
  double Time = nanosPerToken() * static_cast<double>(Unread.count());
  return Nanos(static_cast<std::int64_t>(Time));
}

Tokens EngineSpeed::longestPromptWithin(Nanos Time) const {
  // Bounds the result when the fitted time per token is zero.
  constexpr double MinNanosPerToken = 1;
  double Count = static_cast<double>(std::max(Time, Nanos(0)).count()) /
                 std::max(MinNanosPerToken, nanosPerToken());
  return Tokens(static_cast<std::int64_t>(Count));
}

EngineSpeed::Nanos EngineSpeed::timeToFirstToken(Tokens Unread) const {
  return Nanos(static_cast<std::int64_t>(FixedNanos_)) + readingTime(Unread);
}

} // namespace samphireshunt
