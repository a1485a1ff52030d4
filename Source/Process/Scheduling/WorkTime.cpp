#include "Process/Scheduling/WorkTime.h"

#include <algorithm>
#include <cmath>

namespace samphireshunt {

namespace {

using std::chrono::duration;
using std::chrono::nanoseconds;

/// Figures outside of these can't be times that work takes.
constexpr std::uint32_t MinPercent = 10;
constexpr std::uint32_t MaxPercent = 5000;
constexpr double Hundred = 100;
/// A server is in a slow moment while its factor exceeds the usual one by half:
/// smaller differences are within what one request differs from another.
constexpr double SlowFactor = 1.5;
/// Weight of earlier readings for each new one: about the last thousand count,
/// which a busy cell gets within some seconds.
constexpr double ReadingDecay = 0.999;
/// The length of slow moments that is assumed before any was seen to end, and
/// how many moments the assumption counts for.
constexpr double AssumedSlowSeconds = 0.3;
constexpr double AssumedSlowMoments = 2;
/// Readings that are further apart say nothing about one slow moment.
constexpr nanoseconds MaxApart = std::chrono::seconds(1);

double secondsOf(nanoseconds Time) { return duration<double>(Time).count(); }

nanoseconds scaled(nanoseconds Time, double Factor) {
  return nanoseconds(
      static_cast<std::int64_t>(static_cast<double>(Time.count()) * Factor));
}

} // namespace

std::optional<WorkTimeFactor>
WorkTimeFactor::fromPercent(std::uint32_t Percent) {
  if (Percent < MinPercent || Percent > MaxPercent)
    return std::nullopt;
  return of(Percent / Hundred);
}

nanoseconds WorkTimeFactor::applyTo(nanoseconds Usual) const {
  return scaled(Usual, Value_);
}

nanoseconds WorkTimeFactor::removeFrom(nanoseconds Taken) const {
  return scaled(Taken, 1 / Value_);
}

void WorkTimePattern::learn(WorkTimeFactor Read) {
  Sum_ = Sum_ * ReadingDecay + Read.value();
  Weight_ = Weight_ * ReadingDecay + 1;
  ++Readings_;
}

void WorkTimePattern::learn(WorkTimeFactor Earlier, WorkTimeFactor Later,
                            nanoseconds Apart) {
  if (Earlier.value() < SlowFactor || Apart > MaxApart)
    return;
  bool Ended = Later.value() < SlowFactor;
  // A moment that ended between two readings is taken to have ended halfway.
  SlowSeconds_ =
      SlowSeconds_ * ReadingDecay + secondsOf(Apart) * (Ended ? 0.5 : 1.0);
  SlowEnds_ = SlowEnds_ * ReadingDecay + (Ended ? 1 : 0);
}

WorkTimeFactor WorkTimePattern::mean() const {
  return Weight_ == 0 ? WorkTimeFactor() : WorkTimeFactor::of(Sum_ / Weight_);
}

nanoseconds WorkTimePattern::slowTime() const {
  double Seconds = (SlowSeconds_ + AssumedSlowSeconds * AssumedSlowMoments) /
                   (SlowEnds_ + AssumedSlowMoments);
  return std::chrono::duration_cast<nanoseconds>(duration<double>(Seconds));
}

void WorkTime::read(WorkTimeFactor Read, TimePoint Now,
                    WorkTimePattern &Pattern) {
  Pattern.learn(Read);
  if (Last_)
    Pattern.learn(*Last_, Read, Now - LastRead_);
  Last_ = Read;
  LastRead_ = Now;
}

WorkTimeFactor WorkTime::expectedAt(TimePoint Now,
                                    const WorkTimePattern &Pattern) const {
  if (!Last_)
    return {};
  double Mean = Pattern.mean().value();
  double Age = std::max(0.0, secondsOf(Now - LastRead_));
  double Left = std::exp(-Age / secondsOf(Pattern.slowTime()));
  return WorkTimeFactor::of(Mean + (Last_->value() - Mean) * Left);
}

/// The difference from the mean falls exponentially; this is its mean over the
/// time.
WorkTimeFactor WorkTime::expectedOver(TimePoint Now, nanoseconds Time,
                                      const WorkTimePattern &Pattern) const {
  if (!Last_)
    return {};
  double Mean = Pattern.mean().value();
  double Difference = expectedAt(Now, Pattern).value() - Mean;
  double Lengths = secondsOf(Time) / secondsOf(Pattern.slowTime());
  constexpr double Short = 1e-3;
  if (Lengths < Short)
    return WorkTimeFactor::of(Mean + Difference);
  return WorkTimeFactor::of(Mean +
                            Difference * (1 - std::exp(-Lengths)) / Lengths);
}

} // namespace samphireshunt
