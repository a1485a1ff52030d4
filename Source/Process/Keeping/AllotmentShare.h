#pragma once
/// \file
/// Divides customers' allotments among the daemons that grant requests. Does no
/// I/O.
///
/// Load pattern: a customer sends many times its usual load to all daemons
/// while a part of the fleet is cut off from the rest. Each side then grants
/// from the same allotments, and neither side knows what the other one uses.

namespace samphireshunt {

/// Returns the fraction of each allotment of a service that a daemon may grant.
///
/// The keepers of a service's cells don't know each other's counts, so each
/// grants the fraction that corresponds to its fraction of the cells; if a
/// keeper of two cells granted only one cell's share, the rest would be unused.
/// A daemon that gets grant requests without being a keeper stands in for a
/// keeper that may be granting as well, so it grants half of one cell's share.
///
/// \param ScheduledFraction the fraction of the service's cells that the daemon
/// schedules as their keeper; 0 if it only stands in for others.
/// \param Cells the number of the service's cells.
/// \param LiveShare the fraction of the fleet in the daemon's partition.
double allotmentShare(double ScheduledFraction, double Cells, double LiveShare);

} // namespace samphireshunt
