#pragma once
/// \file
/// Tells from questions that stay unanswered whether this daemon reaches any
/// other one. The code is free of I/O; the current time is passed in.
///
/// Load pattern: a daemon is cut off from all others while callers and servers
/// still reach it, and callers come to it with streams that broke off
/// elsewhere. Only other daemons know where these began.

#include "Common/Ids.h"
#include "Common/TimePoint.h"

#include <cstddef>
#include <set>

namespace samphireshunt {

class PeerReach {
public:
  struct Options {
    /// Fewer daemons may all have ended at once.
    std::size_t MinAsked_ = 3;
    /// By then all answer that are in reach and not starved of processor time.
    std::chrono::milliseconds AnswerTime_{100};
  };

  explicit PeerReach(Options Settings) : Options_(Settings) {}

  /// A question that is answered at once was sent to \p To.
  void asked(const VmId &To, TimePoint Now);
  /// A message of another daemon came, or its system ended a connection.
  void heard() { Silent_.clear(); }
  /// \returns whether several daemons should have answered by now, and nothing
  /// was heard of any daemon since they were asked.
  bool isLost(TimePoint Now) const;

private:
  Options Options_;
  /// Daemons that were asked since one was heard, up to the number that counts.
  std::set<VmId> Silent_;
  /// When the last one was added.
  TimePoint Asked_;
};

} // namespace samphireshunt
