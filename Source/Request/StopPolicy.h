#pragma once
/// \file
/// What a daemon that was told to stop does with a request. The current time is
/// always an argument.
///
/// Until its dispatch a request can be refused truthfully, and its caller goes
/// to another daemon for the price of a round trip. Afterwards an end by the
/// stop loses the caller's answer. So a request is looked at again at each
/// step, and dispatched only if it can be expected to end in time.

#include <chrono>
#include <optional>

namespace samphireshunt {

/// The times of a stop, since its signal.
struct StopTimes {
  /// Balancers send as before until then.
  std::chrono::milliseconds Admit_{0};
  /// What runs then ends with what is known.
  std::chrono::milliseconds RunsEnd_{0};
  /// The process ends then, also without all answers written.
  std::chrono::milliseconds ProcessEnd_{0};
};

/// A stop that has begun.
struct CurrentStop {
  StopTimes Times_;
  std::chrono::milliseconds Since_{0};
};

enum class StopKind {
  Repeatable,   ///< Its caller may send it again after an unknown end.
  Stream,       ///< Its caller loses the rest.
  NonIdempotent ///< Its caller can't do anything about an unknown end.
};

enum class StopStage {
  Arrived,    ///< Read, and nothing done yet.
  Waiting,    ///< For its origin or its grant.
  Granted,    ///< About to be dispatched.
  Repeat,     ///< About to be sent again, from its beginning or its last event.
  Dispatched, ///< It runs, or goes on with the memory of its run.
};

enum class StopDecision {
  GoOn,
  Refuse, ///< Nothing more is sent for it; without a dispatch it is "not run".
  End     ///< It ends with what is known.
};

struct StoppingRequest {
  StopStage Stage_ = StopStage::Arrived;
  StopKind Kind_ = StopKind::NonIdempotent;
  /// The shorter of what its caller and its route leave.
  std::chrono::milliseconds Left_{0};
  /// How long nearly all runs like it take; unset: unknown.
  std::optional<std::chrono::milliseconds> Expected_;
};

/// \returns what to do with \p Request now.
StopDecision decideAtStop(const CurrentStop &Stop,
                          const StoppingRequest &Request);

/// \returns whether the process may end while requests are active.
/// \p SinceRunsEnded is the time since this process has ended their runs;
/// unset: not yet. A process that stood still then still has to answer them.
bool mayEndUnfinished(const CurrentStop &Stop,
                      std::optional<std::chrono::milliseconds> SinceRunsEnded);

} // namespace samphireshunt
