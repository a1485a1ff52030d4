#pragma once
/// \file
/// Which daemons read the platform's service, and which follow those instead.
/// Pure.
///
/// Load pattern: every daemon that watches the service costs it a call for each
/// change, and further ones to know that its configuration is the newest, while
/// the service's rate does not grow with the fleet. Small fleets read all by
/// themselves: a daemon that is followed may freeze, and what it would have
/// told comes a second later.
///
/// Readers make most of the calls in calm. So there are few, on the strongest
/// links: one of these tells as many followers as several weak ones, and
/// sooner.

#include "Process/Membership/MemberTable.h"

#include <span>
#include <vector>

namespace samphireshunt {

/// One daemon in so many reads the service where links are weak or unknown, and
/// all do in fleets up to this: a reader tells its followers all twice a second
/// over a link of 10 Mbit/s.
inline constexpr std::size_t DaemonsPerReader = 12;
/// A stronger link carries more followers, up to so many times as many: beyond
/// that the processor that answers them binds.
inline constexpr std::size_t MostOfStrongLink = 4;

/// How a daemon reads the platform's service.
enum class StoreRole {
  Alone,  ///< In a small fleet: each for itself, and others without it.
  Reader, ///< For those that follow it.
  Spare   ///< Only while no reader can be followed.
};

struct ReaderChoice {
  StoreRole Role_ = StoreRole::Alone;
  /// The daemons to follow, the best one first: by a spare daemon always, by
  /// one that is alone while it has lost the service.
  std::vector<VmId> Readers_;
};

/// \p Alive are all members that may keep cells, \p Self included; one in
/// \p PerReader reads the service, or fewer on strong links; 0: all do.
ReaderChoice chooseReaders(const Member &Self, std::span<const Member> Alive,
                           std::size_t PerReader);

} // namespace samphireshunt
