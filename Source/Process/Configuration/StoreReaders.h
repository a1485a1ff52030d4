#pragma once
/// \file
/// Chooses which daemons read the platform's service, and which follow those
/// instead. Pure.
///
/// Every daemon that watches the service costs it a call for each change, and
/// further calls to confirm that its configuration is the newest, while the
/// call rate that the service can take does not grow with the fleet. In small
/// fleets all daemons read the service themselves: a followed daemon may
/// freeze, and its changes then reach its followers a second later.
///
/// While nothing changes, readers make most of the calls. So there are few
/// readers, on the strongest links: one of these serves as many followers as
/// several on weak links, and faster.

#include "Process/Membership/MemberTable.h"

#include <span>
#include <vector>

namespace samphireshunt {

/// Where links are weak or unknown, one daemon in this many reads the service.
/// In fleets up to this size all do. The bound is that a reader sends
/// everything to its followers twice a second over a link of 10 Mbit/s.
inline constexpr std::size_t DaemonsPerReader = 12;
/// A stronger link carries up to this many times as many followers; beyond that
/// the processor that answers them is the bottleneck.
inline constexpr std::size_t MaxStrongLinkFactor = 4;

/// How a daemon reads the platform's service.
enum class StoreRole {
  Alone,  ///< In a small fleet: for itself, and for those that have lost the
          ///< service.
  Reader, ///< Reads for its followers.
  Spare   ///< Reads only while it can follow no reader.
};

struct ReaderChoice {
  StoreRole Role_ = StoreRole::Alone;
  /// The daemons to follow, the best one first. A spare daemon always follows
  /// one of them, a daemon that is alone only while it has lost the service, or
  /// retains servers that went missing meanwhile.
  std::vector<VmId> Readers_;
};

/// \p Alive are all members that may schedule cells, including \p Self. One in
/// \p PerReader reads the service, or fewer on strong links; 0: all do.
ReaderChoice chooseReaders(const Member &Self, std::span<const Member> Alive,
                           std::size_t PerReader);

} // namespace samphireshunt
