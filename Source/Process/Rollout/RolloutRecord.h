#pragma once
/// \file
/// The state of a roll-out that all daemons share through the platform's
/// service. Pure.
///
/// Daemons may receive states in any order, and the service may come back from
/// an older backup, so a state replaces another one only if it supersedes it.

#include "Common/ResultCode.h"
#include "Process/Configuration/Platform.h"
#include "Version/RolloutOrder.h"

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace samphireshunt {

/// Time since the epoch by the clocks of VMs, which differ slightly.
using WallTime = std::chrono::milliseconds;

struct RolloutRecord {
  SoftwareVersion Target_;
  /// Where the order was written.
  StorePosition Order_;
  RolloutStage Stage_ = RolloutStage::Canary;
  WallTime Started_{0};
  /// When the current stage began.
  WallTime StageBegan_{0};
  /// The versions that were in service when the roll-out started.
  std::set<SoftwareVersion> Base_;
  /// The servers of the target version that are on trial.
  std::set<ServerName> Canaries_;
  bool operator==(const RolloutRecord &) const = default;

  bool ended() const {
    return Stage_ == RolloutStage::Completed ||
           Stage_ == RolloutStage::Reverted;
  }
  /// True if this is the state of the order written at \p Written. An order
  /// that is written again after the service was restored is the same order.
  bool answers(const RolloutOrder &Order, const StorePosition &Written) const;
  /// True if this state is newer than \p Known. An ended roll-out stays as it
  /// ended.
  bool supersedes(const RolloutRecord &Known) const;

  std::string encode() const;
  /// \returns DocumentSyntax or DocumentSchema.
  static Result<RolloutRecord> decode(const std::string &Text);
};

std::string_view rolloutStageName(RolloutStage Stage);

} // namespace samphireshunt
