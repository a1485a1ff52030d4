#pragma once
/// \file
/// Selects the daemon that relays a connection to a server. The code is free of
/// I/O; the current time is passed in.
///
/// Load pattern: a daemon without links to servers relays all its requests.
/// They are spread over the daemons that have links, first over those of its
/// own data centre. All daemons of a data centre may be without links together,
/// so one that failed is followed by one of another data centre.

#include "Common/Ids.h"
#include "Common/TimePoint.h"
#include "Connection/Http.h"
#include "Process/Relay/RelayHandshake.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace samphireshunt {

/// A daemon that relays connections.
struct RelayCandidate {
  VmId Id_;
  Endpoint Address_;
  /// In the same data centre.
  bool Near_ = false;
};

class RelayChoice {
public:
  /// \returns the candidate to ask next for the request \p Key, after those in
  /// \p Asked; nothing if there is none that may have a path.
  const RelayCandidate *next(std::span<const RelayCandidate> Candidates,
                             const std::vector<VmId> &Asked, std::uint64_t Key,
                             TimePoint Now);
  /// \returns true if a candidate is not asked because it had no path.
  bool anyWithoutPath(std::span<const RelayCandidate> Candidates,
                      TimePoint Now) const;
  void answered(const RelayCandidate &Candidate, RelayResult Result,
                TimePoint Now);

private:
  /// Why, and until when, a daemon is not asked.
  struct Avoided {
    RelayResult Result_;
    TimePoint Until_;
  };

  std::map<VmId, Avoided> Avoided_;
  /// Near candidates without a path since the last one that had one.
  int NearFailures_ = 0;
  TimePoint NearAvoidedUntil_;
};

} // namespace samphireshunt
