#pragma once
/// \file
/// What is known of the end of another daemon's process. A process that is
/// killed writes nothing, and VMs keep nothing: what it last said, and when,
/// only the other daemons know. Does no I/O, and the time is an argument.

#include "Common/Ids.h"
#include "Common/TimePoint.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace samphireshunt {

/// What a process says of itself with each probe and each ack.
struct ProcessHealth {
  /// Memory in use, in percent of what the process may have; 0 is unknown.
  std::uint8_t MemoryPercent_ = 0;
  /// The longest time lately for which its control thread did not run.
  std::chrono::milliseconds LongestStall_{0};

  bool operator==(const ProcessHealth &) const = default;
};

/// Until when the silence of a process was measured, in rising order of
/// precision.
enum class SilenceEnd : std::uint8_t {
  Unknown, ///< Nothing was ever received from the process itself.
  Noticed, ///< Until its end, or its successor, was noticed.
  LinkDown ///< Until its connections ended, as they do with the process.
};

/// Returns the name as operators see it, e.g. "link-down".
std::string_view silenceEndName(SilenceEnd Value);

struct ProcessEnd {
  Incarnation Incarnation_;
  /// Whether it had announced that it leaves.
  bool Left_ = false;
  SilenceEnd SilenceEnd_ = SilenceEnd::Unknown;
  /// The time without a message of it before its end.
  std::chrono::milliseconds Silence_{0};
  ProcessHealth LastHealth_;

  bool operator==(const ProcessEnd &) const = default;
};

/// Follows the signs of life of one process of another daemon.
class ProcessTrace {
public:
  /// A probe or an ack of the process itself was received.
  void heard(const ProcessHealth &Health, TimePoint Now);
  /// A message was received on a link with it.
  void heardOnLink(TimePoint Now);
  void linkEnded(TimePoint Now);
  const ProcessHealth &health() const { return Health_; }
  /// Returns what is known of the end of the process, noticed at \p Now.
  ProcessEnd end(Incarnation Process, bool Left, TimePoint Now) const;

private:
  std::optional<TimePoint> Heard_;
  /// When the first of its links ended after that.
  std::optional<TimePoint> LinkEnded_;
  ProcessHealth Health_;
};

/// The longest time lately for which a thread did not run.
class LongestStall {
public:
  void record(std::chrono::steady_clock::duration Stall, TimePoint Now);
  std::chrono::milliseconds get(TimePoint Now) const;

private:
  std::chrono::milliseconds Longest_{0};
  TimePoint Recorded_;
};

/// Collects what other daemons know of the end of this daemon's earlier
/// process.
class PreviousProcess {
public:
  /// What is to be logged, once.
  struct Summary {
    std::optional<ProcessEnd> End_;
    std::size_t Reporters_ = 0;
  };

  PreviousProcess(Incarnation Own, TimePoint Started)
      : Own_(Own), Started_(Started) {}

  void onReport(const VmId &From, const ProcessEnd &Report, TimePoint Now);
  /// Returns the most precise report of the last earlier process, which has
  /// left if any daemon says so.
  std::optional<ProcessEnd> end() const;
  /// Returns the summary the first time that it is due: shortly after the
  /// first report, or when none came for long.
  std::optional<Summary> takeSummary(TimePoint Now);

private:
  Incarnation Own_;
  TimePoint Started_;
  std::map<VmId, ProcessEnd> Reports_;
  std::optional<TimePoint> FirstReport_;
  bool SummaryTaken_ = false;
};

} // namespace samphireshunt
