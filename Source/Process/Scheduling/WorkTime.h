#pragma once
/// \file
/// How long work takes at servers that share their machines with others, as a
/// factor of the usual time. The code is free of I/O.
///
/// Load pattern: each server is several times as slow for some hundreds of
/// milliseconds, for a part of the time, each at other moments. A short call
/// that is sent to a slow server misses its objective although others are idle;
/// a long stream meets slow and usual moments in turn wherever it is sent.

#include "Common/Ids.h"
#include "Common/TimePoint.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace samphireshunt {

/// A factor of the usual time.
class WorkTimeFactor {
public:
  constexpr WorkTimeFactor() = default;
  /// \returns nothing for a figure that is 0 or that no server can mean.
  static std::optional<WorkTimeFactor> fromPercent(std::uint32_t Percent);
  static constexpr WorkTimeFactor of(double Value) {
    WorkTimeFactor Factor;
    Factor.Value_ = Value;
    return Factor;
  }
  constexpr double value() const { return Value_; }
  /// \returns the time that work takes which usually takes \p Usual.
  std::chrono::nanoseconds applyTo(std::chrono::nanoseconds Usual) const;
  /// \returns the usual time of work that took \p Taken.
  std::chrono::nanoseconds removeFrom(std::chrono::nanoseconds Taken) const;

private:
  double Value_ = 1;
};

/// What is known of all servers of a cell together: the mean factor, and how
/// long slow moments last.
class WorkTimePattern {
public:
  /// Learns from two readings of one server, the later one \p Apart after the
  /// earlier one.
  void learn(WorkTimeFactor Earlier, WorkTimeFactor Later,
             std::chrono::nanoseconds Apart);
  /// Learns from a reading, whatever was read before.
  void learn(WorkTimeFactor Read);
  /// Counts a figure that was ignored.
  void ignored() { ++Ignored_; }

  /// The mean over time and servers; 1 while nothing was read.
  WorkTimeFactor mean() const;
  /// The mean length of a slow moment.
  std::chrono::nanoseconds slowTime() const;
  std::uint64_t readings() const { return Readings_; }
  std::uint64_t ignoredFigures() const { return Ignored_; }

private:
  double Sum_ = 0;
  double Weight_ = 0;
  /// Time between readings that were both slow, and the number of slow moments
  /// that ended between two readings; older ones weigh less.
  double SlowSeconds_ = 0;
  double SlowEnds_ = 0;
  std::uint64_t Readings_ = 0;
  std::uint64_t Ignored_ = 0;
};

/// The work time at one server.
class WorkTime {
public:
  /// Records what the server said at \p Now; \p Pattern learns from it too.
  void read(WorkTimeFactor Read, TimePoint Now, WorkTimePattern &Pattern);
  /// \returns the factor that is expected at \p Now; the usual one if the
  /// server never told any.
  WorkTimeFactor expectedAt(TimePoint Now,
                            const WorkTimePattern &Pattern) const;
  /// \returns the mean factor that is expected from \p Now on for \p Time.
  WorkTimeFactor expectedOver(TimePoint Now, std::chrono::nanoseconds Time,
                              const WorkTimePattern &Pattern) const;

private:
  std::optional<WorkTimeFactor> Last_;
  TimePoint LastRead_;
};

} // namespace samphireshunt
