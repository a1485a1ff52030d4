#pragma once
/// \file
/// Divides customers' allotments among the daemons that grant requests. Does no
/// I/O, and the time is an argument.
///
/// Load pattern: a customer sends many times its usual load to all daemons
/// while a part of the fleet is cut off from the rest, or while keepers end and
/// start. Daemons then differ for a while on who keeps a cell, and none knows
/// what the others use.
///
/// Each cell has an equal part of each allotment, and each member of the fleet
/// an equal part of that. A daemon grants the parts of the cells of which it is
/// the keeper by its own view, and of the members on its side. What it loses it
/// stops to grant at once; what it gains it grants only after the time within
/// which others notice that they have lost it.

#include "Common/TimePoint.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace samphireshunt {

/// The time from the moment when a daemon becomes the keeper of a cell until it
/// grants the cell's part of allotments. News of a member reaches a fleet
/// within it.
inline constexpr std::chrono::milliseconds AllotmentHandOver{500};

/// Returns the fraction of each allotment of a service that a daemon may grant.
///
/// The keepers of a service's cells don't know each other's counts, so each
/// grants the fraction that corresponds to its fraction of the cells; if a
/// keeper of two cells granted only one cell's share, the rest would be unused.
/// A daemon that gets grant requests without being a keeper stands in for a
/// keeper that may be granting as well, so it has no share.
///
/// \param ScheduledFraction the fraction of the service's cells that the daemon
/// schedules as their keeper; 0 if it only stands in for others.
/// \param Cells the number of the service's cells.
/// \param LiveShare the fraction of the fleet in the daemon's partition.
double allotmentShare(double ScheduledFraction, double Cells, double LiveShare);

/// What a daemon may grant of each allotment of a service.
struct AllotmentPart {
  double Share_ = 0;
  /// It is a share not of the allotment, but of the part of the tolerance that
  /// keepers leave to the daemons that stand in for them.
  bool StandsIn_ = false;
  /// The daemon has had the share since then.
  TimePoint Since_;
};

/// The cells of a service of which a daemon is the keeper by its own view.
class KeptCells {
public:
  /// Notes that the daemon keeps the cells with the indices \p Kept, of
  /// \p Count. It may grant the parts of those that it did not keep before from
  /// \p GrantsFrom on.
  void update(const std::vector<std::uint32_t> &Kept, std::uint32_t Count,
              TimePoint GrantsFrom);
  /// Notes that the process runs. A process that was paused doesn't know who
  /// kept its cells meanwhile: it waits as if it had just become their keeper.
  /// \returns whether it was paused for that long.
  bool noteRunning(TimePoint Now);
  /// \param LiveShare see allotmentShare().
  AllotmentPart part(double LiveShare, TimePoint Now) const;

private:
  std::uint32_t Count_ = 1;
  /// By the index of a cell, when its part may be granted.
  std::map<std::uint32_t, TimePoint> GrantsFrom_;
  std::optional<TimePoint> LastRun_;
};

} // namespace samphireshunt
