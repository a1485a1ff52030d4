#include "Process/Scheduling/EngineSpeed.h"

#include <algorithm>

namespace samphireshunt {

namespace {

/// Before anything was seen an engine is taken for a quick one: it is tried,
/// and the first answers tell. Reading 100 tokens takes a millisecond on the
/// quicker engines in use.
constexpr double AssumedNanosPerToken = 10000;
/// What earlier samples keep of their weight: some thirty count.
constexpr double KeptWeight = 0.97;
/// Of what other engines of the pool are like, so many samples are assumed.
constexpr double AssumedSamples = 3;
/// Two prompt lengths that the assumed samples stand for.
constexpr double AssumedLength = 4000;
/// So many earlier streamed tokens count beside the newest stream: those of a
/// second or two of a full engine.
constexpr double StreamMemory = 2000;

} // namespace

void EngineSpeed::Line::add(double X, double Y, double Weight) {
  Weight_ += Weight;
  X_ += Weight * X;
  Y_ += Weight * Y;
  XX_ += Weight * X * X;
  XY_ += Weight * X * Y;
}

void EngineSpeed::Line::fade(double Kept) {
  for (double *Sum : {&Weight_, &X_, &Y_, &XX_, &XY_})
    *Sum *= Kept;
}

void EngineSpeed::firstToken(Tokens Unread, Nanos Delay) {
  Line_.fade(KeptWeight);
  Line_.add(static_cast<double>(Unread.count()),
            static_cast<double>(Delay.count()), 1);
  ++Samples_;
  fit();
}

/// With prompts of one length nothing tells the fixed part from the part of
/// each token: then all of the delay counts for the tokens.
void EngineSpeed::fit() {
  double Spread = Line_.Weight_ * Line_.XX_ - Line_.X_ * Line_.X_;
  double Mean = Line_.Y_ / Line_.Weight_;
  double MeanLength = Line_.X_ / Line_.Weight_;
  double PerToken =
      Spread <= 0 ? 0
                  : (Line_.Weight_ * Line_.XY_ - Line_.X_ * Line_.Y_) / Spread;
  double Most = MeanLength > 0 ? Mean / MeanLength : 0;
  bool OneLength = Spread <= Line_.Weight_ * Line_.Weight_;
  NanosPerToken_ = OneLength ? Most : std::clamp(PerToken, 0.0, Most);
  FixedNanos_ = std::max(0.0, Mean - NanosPerToken_ * MeanLength);
}

/// Streams count by their tokens: of many short answers none tells much.
void EngineSpeed::stream(Tokens Count, Nanos Time) {
  if (Count.count() <= 0)
    return;
  auto New = static_cast<double>(Count.count());
  double Kept = std::min(1.0, StreamMemory / std::max(1.0, StreamTokens_));
  StreamTokens_ = StreamTokens_ * Kept + New;
  StreamNanos_ = StreamNanos_ * Kept + static_cast<double>(Time.count());
}

EngineSpeed::Nanos EngineSpeed::betweenTokens() const {
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
              AssumedSamples / 2);
  fit();
  constexpr double AssumedTokens = 50;
  StreamTokens_ = AssumedTokens;
  StreamNanos_ =
      AssumedTokens * static_cast<double>(Typical.betweenTokens().count());
}

double EngineSpeed::nanosPerToken() const {
  return Line_.Weight_ > 0 ? NanosPerToken_ : AssumedNanosPerToken;
}

EngineSpeed::Nanos EngineSpeed::reading(Tokens Unread) const {
  double Time = nanosPerToken() * static_cast<double>(Unread.count());
  return Nanos(static_cast<std::int64_t>(Time));
}

Tokens EngineSpeed::readable(Nanos Time) const {
  // No engine reads so quickly that a prompt of any length takes no time.
  constexpr double LeastNanosPerToken = 1;
  double Count = static_cast<double>(std::max(Time, Nanos(0)).count()) /
                 std::max(LeastNanosPerToken, nanosPerToken());
  return Tokens(static_cast<std::int64_t>(Count));
}

EngineSpeed::Nanos EngineSpeed::untilFirstToken(Tokens Unread) const {
  return Nanos(static_cast<std::int64_t>(FixedNanos_)) + reading(Unread);
}

} // namespace samphireshunt
