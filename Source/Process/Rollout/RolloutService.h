#pragma once
/// \file
/// Carries out roll-outs: applies the orders and states that are read from the
/// platform's service, counts what this daemon's keepers grant, and writes the
/// states of those that this daemon owns. Runs on the control thread.
///
/// The owner of a roll-out is the daemon that schedules the pool's first cell.
/// Keepers report to it and expose requests to the version on trial only while
/// its answers allow it. Without an owner that has the service, within a second
/// no daemon does. A state is written only on condition that the last one known
/// is still there, so two owners can't overwrite each other.

#include "Process/Configuration/Platform.h"
#include "Process/Keeping/Cell.h"
#include "Process/Rollout/RolloutOwner.h"
#include "Process/Scheduling/Scheduler.h"
#include "Version/DocumentStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace samphireshunt {

/// The keys of roll-outs in the platform's service, and functions that convert
/// their values. The name of a key is the pool's.
struct RolloutLayout {
  std::string OrderPrefix_;
  std::string RecordPrefix_;
  /// The state for the operator.
  std::string StatusPrefix_;
  std::function<Result<RolloutOrder>(const std::string &Name,
                                     const std::string &Value)>
      ReadOrder_;
  std::function<std::string(const PoolName &, const RolloutRecord &)>
      WriteStatus_;
};

class RolloutService {
public:
  struct Options {
    RolloutOwner::Options Owner_;
    /// How often keepers report while a roll-out is in progress.
    std::chrono::milliseconds ReportInterval_{250};
    /// How long an owner's answer allows a keeper to expose requests.
    std::chrono::milliseconds LeaseTime_{1000};
  };
  struct Hooks {
    std::function<Awaitable<Result<StorePosition>>(KeyValueWrite)> Put_;
    std::function<std::optional<VmId>(const CellId &)> KeeperOf_;
    /// Returns the number of cells of a pool.
    std::function<std::uint32_t(const PoolName &)> CellCount_;
    /// Send a message to another daemon, and answer one.
    std::function<void(const VmId &, std::string)> Send_;
    std::function<void(const VmId &, std::string)> Reply_;
    /// Called when the servers that may get requests may have changed.
    std::function<void()> SelectionChanged_;
    /// True while what this daemon knows of the platform's service is current.
    std::function<bool()> IsCurrent_;
    /// Returns the fraction of the fleet in this daemon's partition.
    std::function<double()> LiveShare_;
    /// Returns the number of requests of a pool that run, under keepers of this
    /// daemon, on servers that the predicate accepts.
    std::function<std::size_t(const PoolName &,
                              const std::function<bool(const ServerName &)> &)>
        CountRunning_;
  };

  RolloutService(boost::asio::io_context &Control, VmId Self,
                 ServiceName Service, RolloutLayout Layout, Options Settings,
                 Hooks Reactions);

  // Updates from the platform's service, directly or by way of a daemon.
  /// Applies an entry whose key has one of the layout's prefixes.
  void entryChanged(const KeyValue &Entry);
  /// \returns the servers that may get requests, and those that only finish
  /// theirs, out of all that are registered.
  ServersByPool select(ServersByPool Registered);

  // From the keepers of this daemon.
  void granted(const CellId &Cell, const ServerName &Server);
  void ended(const CellId &Cell, const RunningRequest &Request,
             const ServedSample &Sample);
  /// \returns how many requests may still be granted to servers on trial.
  std::uint32_t canaryGrantsLeft(const CellId &Cell) const;

  // Messages of other daemons.
  void onReport(const VmId &From, const wire::RolloutReportT &Report);
  void onLease(const wire::RolloutLeaseT &Lease);

  void stop() { Timer_.cancel(); }

  /// A roll-out as operators see it.
  struct Summary {
    PoolName Pool_;
    RolloutRecord Record_;
    bool Owned_ = false;
    std::uint64_t Granted_ = 0;
    std::uint64_t Exposed_ = 0;
    std::uint64_t BadAnswers_ = 0;
  };
  std::vector<Summary> summaries() const;

private:
  struct Rollout {
    VersionSelection Versions_;
    /// The state and the status as the service has them.
    std::string StoredRecord_;
    StorePosition RecordPosition_;
    std::string StoredStatus_;
    StorePosition StatusPosition_;
    /// What the keepers of this daemon count for the order at LedgerOrder_.
    CanaryLedger Ledger_;
    StorePosition LedgerOrder_;
    /// The outcomes that the owner has, and that owner.
    OutcomesByServer ReportedOutcomes_;
    VmId ReportedTo_;
    std::optional<RolloutOwner> Owner_;
    bool Writing_ = false;
  };

  /// True if the service has the state and its status.
  bool isStored(const PoolName &Pool, const Rollout &Known) const;
  void schedule();
  void onTick();
  void applyOrder(const PoolName &Pool, Rollout &Target, const KeyValue &Entry);
  void applyRecord(const PoolName &Pool, Rollout &Target,
                   const KeyValue &Entry);
  /// Starts to count for the order in force, unless this is done already.
  static void beginLedger(Rollout &Target);
  CellId firstCell(const PoolName &Pool) const { return {Service_, Pool, 0}; }
  RolloutOwner::Keepers keepersOf(const PoolName &Pool) const;
  void report(const PoolName &Pool, Rollout &Target);
  wire::RolloutReportT reportOf(const PoolName &Pool, Rollout &Target) const;
  wire::RolloutLeaseT answerTo(const VmId &Keeper,
                               const wire::RolloutReportT &Report);
  void own(const PoolName &Pool, Rollout &Target);
  void restore(const PoolName &Pool, Rollout &Target);
  void startWrite(const PoolName &Pool, Rollout &Target, KeyValueWrite Write);
  Awaitable<void> put(PoolName Pool, KeyValueWrite Write);
  void logStage(const PoolName &Pool, const Rollout &Target,
                const RolloutRecord &Next) const;
  const Rollout *find(const PoolName &Pool) const;

  boost::asio::io_context &Control_;
  VmId Self_;
  ServiceName Service_;
  RolloutLayout Layout_;
  Options Options_;
  Hooks Hooks_;
  std::map<PoolName, Rollout> Rollouts_;
  boost::asio::steady_timer Timer_;
  bool TickScheduled_ = false;
};

} // namespace samphireshunt
