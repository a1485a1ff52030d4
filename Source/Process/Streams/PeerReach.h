#pragma once
/// \file
/// Tells from questions that stay unanswered whether this daemon reaches the
/// others. The code is free of I/O; the current time is passed in.
///
/// Load pattern: a few daemons are cut off from all others while callers and
/// servers still reach them, and callers come to them with streams that broke
/// off elsewhere. Only other daemons know where these began.

#include "Common/Ids.h"
#include "Common/TimePoint.h"

#include <cstddef>
#include <map>
#include <vector>

namespace samphireshunt {

class PeerReach {
public:
  struct Options {
    /// Fewer daemons may all have ended at once.
    std::size_t MinSilent_ = 4;
    /// Daemons that are cut off together still hear each other.
    std::size_t SilentForEachHeard_ = 2;
    /// By then all answer that are in reach and not starved of processor time.
    std::chrono::milliseconds AnswerTime_{100};
  };

  explicit PeerReach(Options Settings) : Options_(Settings) {}

  /// A question that is answered at once was sent to \p To.
  void asked(const VmId &To, TimePoint Now) { Silent_.try_emplace(To, Now); }
  /// A message of \p From came.
  void heard(const VmId &From, TimePoint Now);
  /// No answer of \p Other will come: its process has ended, or it is no longer
  /// in the fleet.
  void ended(const VmId &Other) { Silent_.erase(Other); }
  /// Forgets all daemons but \p Members.
  void retain(const std::vector<VmId> &Members);
  /// \returns whether \p Other should have answered by now.
  bool isSilent(const VmId &Other, TimePoint Now) const;
  /// \returns whether several daemons should have answered by now, and few
  /// others were heard of since these were asked.
  bool isLost(TimePoint Now) const;

private:
  std::size_t heardSince(TimePoint Since) const;

  Options Options_;
  /// Daemons that were not heard since they were asked, and when that was.
  std::map<VmId, TimePoint> Silent_;
  /// When daemons were heard last, while others are silent.
  std::map<VmId, TimePoint> Heard_;
};

} // namespace samphireshunt
