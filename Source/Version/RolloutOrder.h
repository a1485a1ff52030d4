#pragma once
/// \file
/// An operator's order to move a pool's requests to another version of its
/// servers.

#include "Common/Ids.h"

#include <chrono>

namespace samphireshunt {

struct RolloutOrder {
  PoolName Pool_;
  SoftwareVersion Target_;
  /// The roll-out should have ended within this time.
  std::chrono::milliseconds Duration_{0};
  bool operator==(const RolloutOrder &) const = default;
};

/// A roll-out passes through the first two stages and ends in one of the last
/// two.
enum class RolloutStage {
  /// A few servers of the target version get a limited number of requests.
  Canary,
  /// All new requests go to the target version; the others finish theirs.
  Shifting,
  /// Only the target version is in service.
  Completed,
  /// The target version gets no requests.
  Reverted,
};

} // namespace samphireshunt
