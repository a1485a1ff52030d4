#pragma once
/// \file
/// The decisions of the daemon that carries out a roll-out: how many requests
/// each keeper may expose to the version on trial, and when the roll-out enters
/// its next stage. Pure: the times are arguments.
///
/// A roll-out starts with a few servers of the target version, which together
/// get a small share of all requests; each of them is as loaded as a server in
/// service, so that a version that is bad under load shows it. The trial lasts
/// for most of the time that the order leaves. Then all new requests go to the
/// target version, and once the others have finished theirs, the roll-out is
/// completed: the operator stops the old servers at that moment.

#include "Process/Rollout/VersionEvidence.h"
#include "Process/Rollout/VersionSelection.h"

#include <optional>
#include <vector>

namespace samphireshunt {

/// What one keeper has counted since it learned of the order.
struct KeeperCounts {
  std::uint64_t Granted_ = 0;
  std::uint64_t Exposed_ = 0;
  /// Running requests on servers that the target version replaces.
  std::uint64_t RunningOnBase_ = 0;
  RolloutStage Stage_ = RolloutStage::Canary;
  OutcomesByServer Outcomes_;
};

class RolloutOwner {
public:
  struct Options {
    /// Limit of exposed requests, as a share of all requests of the service and
    /// an additional number.
    double ExposureShare_ = 0.1;
    double ExposureSlack_ = 50;
    /// Reports older than this say nothing about a keeper any more.
    std::chrono::milliseconds ReportTimeout_{1000};
  };

  RolloutOwner(Options Limits, StorePosition Order)
      : Options_(Limits), Order_(Order) {}

  /// The order that this object carries out.
  const StorePosition &order() const { return Order_; }
  /// Applies a keeper's report. Its outcomes may lack those that did not change
  /// since the last one.
  /// \returns how many requests the keeper may have exposed in total from now
  /// on. \p Keepers is the number of the service's keepers, \p LiveShare the
  /// fraction of the fleet that is reachable.
  std::uint64_t onReport(const VmId &Keeper, KeeperCounts Counts,
                         std::size_t Keepers, double LiveShare, TimePoint Now);

  /// The daemons that schedule the service's cells.
  using Keepers = std::set<VmId>;
  /// \returns the state that follows the current one of \p Versions, if
  /// anything changes. \p CellKeepers must have reported before a roll-out can
  /// be completed.
  std::optional<RolloutRecord> next(const VersionSelection &Versions,
                                    const Keepers &CellKeepers, TimePoint Now,
                                    BootTime BootNow, WallTime WallNow);

  const VersionEvidence &evidence() const { return Evidence_; }
  std::uint64_t exposed() const;
  std::uint64_t granted() const;

private:
  struct Report {
    KeeperCounts Counts_;
    TimePoint At_;
  };

  std::optional<RolloutRecord> start(const VersionSelection &Versions,
                                     WallTime WallNow) const;
  std::optional<RolloutRecord> afterCanary(const VersionSelection &Versions,
                                           TimePoint Now, BootTime BootNow,
                                           WallTime WallNow);
  std::optional<RolloutRecord> afterShifting(const VersionSelection &Versions,
                                             const Keepers &CellKeepers,
                                             TimePoint Now, WallTime WallNow);
  static std::set<ServerName> chooseCanaries(const VersionSelection &Versions,
                                             BootTime BootNow);
  bool isDrained(const Keepers &CellKeepers, TimePoint Now) const;
  bool baseIsGone(bool Gone, TimePoint Now);
  /// Notes when this owner first saw the state's order and its stage.
  void noteStage(const RolloutRecord &Current, TimePoint Now, WallTime WallNow);
  std::chrono::milliseconds elapsed(TimePoint Now) const;

  Options Options_;
  StorePosition Order_;
  std::map<VmId, Report> Reports_;
  VersionEvidence Evidence_;
  /// The version has proved bad; what the order says can't change that.
  bool Bad_ = false;
  std::optional<TimePoint> BaseGoneSince_;
  /// The time of day may jump, so it is read only once: for how long the
  /// roll-out has lasted when this owner first sees it.
  std::optional<TimePoint> FirstSeen_;
  std::chrono::milliseconds ElapsedBefore_{0};
  std::optional<RolloutStage> Stage_;
  TimePoint StageSeen_;
};

} // namespace samphireshunt
