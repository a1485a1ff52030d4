#pragma once
/// \file
/// The cells that this daemon schedules: one scheduler per cell, which serves
/// the grant requests of all ingress daemons. The state is soft: a new keeper
/// rebuilds it from the ingress daemons. Runs on the control thread.

#include "Common/Log.h"
#include "Process/Keeping/Cell.h"
#include "Process/Keeping/KeeperMessages.h"
#include "Process/Keeping/PostedQueue.h"
#include "Process/Membership/MembershipService.h"
#include "Process/Scheduling/AllotmentLedger.h"
#include "Process/Scheduling/Scheduler.h"
#include "Version/DocumentStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <variant>

namespace samphireshunt {

/// A running request whose ingress daemon died.
struct OrphanedRequest {
  CellId Cell_;
  RunningRequest Request_;
};

class KeeperService {
public:
  struct Options {
    /// How long a new keeper waits before its first grants, so that ingress
    /// daemons can report what runs. Otherwise engines would be loaded beyond
    /// their limits.
    std::chrono::milliseconds WarmUp_{300};
    std::chrono::milliseconds Tick_{10};
    /// The interval of the tick while no requests wait.
    std::chrono::milliseconds IdleTick_{1000};
    /// After a scheduling round, messages are batched for this many times as
    /// long as the round took, so that rounds take a fifth of the time at most.
    /// With 0, each message triggers its own round.
    int RoundPauseFactor_ = 4;
    /// How long the running requests of an ingress daemon whose link broke keep
    /// their slots. An ingress daemon that still has requests here avoids the
    /// keeper for two seconds, then reconnects and reports what runs; one that
    /// does not has reported the ends of its requests to another keeper.
    std::chrono::milliseconds SlotGrace_{3000};
    /// How long those requests are remembered, from when the link broke. This
    /// must be longer than it takes to detect the ingress daemon's death;
    /// otherwise its orphans would never be cancelled.
    std::chrono::milliseconds IngressGrace_{10000};
    /// Requests granted beyond an engine's limit, which queue in the engine, so
    /// that a freed slot does not stay empty until this keeper learns of it.
    std::uint32_t AheadPerServer_ = 0;
    Scheduler::Options Scheduling_;
    AllotmentLedger::Options Allotments_;
    /// Whether lower tiers leave headroom in allotments for large requests of
    /// the highest tier.
    bool ReserveHeadroom_ = true;
  };
  /// The first three hooks are called in event-loop iterations of their own, in
  /// the order of the events they report, never on the stack of a call to this
  /// service.
  struct Hooks {
    std::function<void(const CellId &, const Decision &)> Decided_;
    std::function<void(const OrphanedRequest &)> Orphaned_;
    /// A cell of a pool raised its admission floor, which must be announced to
    /// others.
    std::function<void()> FloorRaised_;
    std::function<bool()> AloneInFleet_;
    /// Returns true if this daemon should schedule the cell.
    std::function<bool(const CellId &)> IsKeeper_;
    /// Returns the fraction of the fleet in this daemon's partition.
    std::function<double()> LiveShare_;
    /// Reports the end of a request on a server.
    std::function<void(const ServerName &, const ServedSample &)> Ended_ =
        [](const ServerName &, const ServedSample &) {};
    /// Reports a grant, and the end of a granted request.
    std::function<void(const CellId &, const ServerName &)> Granted_ =
        [](const CellId &, const ServerName &) {};
    std::function<void(const CellId &, const RunningRequest &,
                       const ServedSample &)>
        Served_ =
            [](const CellId &, const RunningRequest &, const ServedSample &) {};
    /// Returns how many requests may still be granted to canaries.
    std::function<std::uint32_t(const CellId &)> CanaryGrantsLeft_ =
        [](const CellId &) { return 0; };
    /// Returns what is known about a request's crashes.
    std::function<RequestStanding(const RequestFingerprint &)> StandingOf_ =
        [](const RequestFingerprint &) { return RequestStanding::Unsuspected; };
  };

  KeeperService(boost::asio::io_context &Control, DocumentStore &Documents,
                Options Settings, Hooks Callbacks);

  void requestGrant(const CellId &Cell, GrantRequest Request);
  /// Without a number, \p Ask is any: a daemon of an earlier version sends
  /// none.
  void withdraw(const CellId &Cell, const RequestId &Id,
                AskNumber Ask = AskNumber());
  void running(const CellId &Cell, RunningRequest Request);
  void notSuspended(const CellId &Cell, const RequestId &Id);
  void firstToken(const CellId &Cell, const RequestId &Id,
                  const FirstTokenSample &Sample);
  void done(const CellId &Cell, const RequestId &Id, const ServedSample &Sample,
            AskNumber Ask);
  /// Releases a grant that was not used and whose cell the ingress daemon no
  /// longer knows.
  void returnGrant(const RequestId &Id, AskNumber Ask);
  /// Called when the link of an ingress daemon broke. It will request its
  /// grants again, here or at another keeper.
  void ingressDisconnected(const VmId &Ingress);
  /// Called when the ingress daemon opened a new link, on which it reports all
  /// its requests here.
  void ingressReconnected(const VmId &Ingress);
  /// Called when the ingress daemon died. Its running requests become orphans.
  void ingressDied(const VmId &Ingress);
  /// Applies what an engine's answer says about the rate of requests that it
  /// accepts.
  void limitRead(const CellId &Cell, const ServerName &Server,
                 const RequestId &Id, const std::optional<RequestRate> &Named);
  /// Applies what an engine's answer says about the engine.
  void noticeRead(const ServerStatement &Said);
  /// Refuses all waiting copies of a request that crashes servers.
  void refuseCrashing(const RequestFingerprint &Request);
  /// Starts and drops cells. Called when documents or members changed.
  void refresh();
  void stop() { Timer_.cancel(); }

  std::vector<PoolFloor> floors() const;
  void onRemoteFloor(const PoolFloor &Floor);
  void engineReport(const CellId &Cell, const ServerName &Server, bool Healthy,
                    const LoadReport &Load);
  /// Applies the eviction of blocks by an engine or, with \p All, of its whole
  /// cache.
  void cacheEvicted(const CellId &Cell, const ServerName &Server,
                    std::span<const std::uint64_t> Blocks, bool All);
  std::vector<CellId> cells() const;
  /// Returns the number of requests of a pool that run on servers which
  /// \p Matches accepts.
  std::size_t
  countRunning(const PoolName &Pool,
               const std::function<bool(const ServerName &)> &Matches) const;
  const Scheduler *scheduler(const CellId &Cell) const;

private:
  struct CellDecision {
    CellId Cell_;
    Decision Decision_;
  };
  struct RaisedFloor {};
  /// An event to be delivered to a hook.
  using Notification = std::variant<CellDecision, OrphanedRequest, RaisedFloor>;
  struct ScheduledCell {
    Scheduler Scheduler_;
    TimePoint Since_;
    TimePoint LastUsed_;
    /// No scheduling round begins before this time.
    TimePoint NextRound_{};
  };

  /// An ingress daemon whose link broke.
  struct DisconnectedIngress {
    TimePoint Since_;
    bool HoldsSlots_ = true;
    /// Its running requests when their slots were released.
    std::vector<OrphanedRequest> ReleasedRequests_;
  };

  ScheduledCell &scheduledCell(const CellId &Cell);
  /// \returns whether the request has asked again since \p Ask.
  static bool isLate(const ScheduledCell &Target, const RequestId &Id,
                     AskNumber Ask);
  /// Returns false while this daemon has no configuration with the cell's pool.
  bool knowsPool(const CellId &Cell) const;
  /// Removes the ingress daemon's requests.
  /// \returns those that were running.
  std::vector<RunningRequest> removeIngress(ScheduledCell &Target,
                                            const VmId &Ingress);
  void checkDisconnectedIngresses();
  void releaseSlots(const VmId &Ingress, DisconnectedIngress &Disconnected);
  void logRefusal(const CellId &Cell, const RefuseDecision &Refusal);
  void logIgnoredWorkTime(const CellId &Cell, const ServerName &Server,
                          std::uint32_t Percent);
  void logHealth(const CellId &Cell, const RunningRequest &Ended,
                 const ServerHealth &Health, bool WasLeftOut);
  /// Returns the largest number of cells of any pool of the service.
  static double maxCellCount(const ServiceConfiguration &Service);
  /// Starts the service's cells that this daemon schedules, and records their
  /// fraction of all its cells.
  void refreshService(const ServiceName &Name,
                      const ServiceConfiguration &Service);
  double allotmentShare(const ServiceConfiguration &Service) const;
  std::optional<RefuseDecision> chargeAllotment(const CellId &Cell,
                                                const GrantRequest &Request);
  void configure(const CellId &Cell, ScheduledCell &Target);
  void decide(const CellId &Cell, ScheduledCell &Target);
  void decideNow(const CellId &Cell, ScheduledCell &Target);
  void postDecisions(const CellId &Cell, std::vector<Decision> Decisions);
  void deliver(const Notification &Event);
  void deliverDecision(const CellDecision &Event);
  void logLimit(const CellId &Cell, const ServerName &Server,
                const std::optional<RequestRate> &Before,
                const std::optional<RequestRate> &Named);
  bool isStillValid(const CellId &Cell, const GrantDecision &Grant) const;
  void schedule();
  void onTick();

  DocumentStore &Documents_;
  Options Options_;
  Hooks Hooks_;
  std::map<CellId, std::unique_ptr<ScheduledCell>> Cells_;
  std::map<VmId, DisconnectedIngress> DisconnectedIngresses_;
  AllotmentLedger Allotments_;
  std::map<ServiceName, double> ScheduledFractions_;
  /// The fraction of each allotment of a service by which buckets fill.
  std::map<ServiceName, double> AppliedShares_;
  LogSampler RefusalSampler_;
  LogSampler WorkTimeSampler_;
  std::map<std::pair<ServiceName, PoolName>, PoolFloor> RemoteFloors_;
  PostedQueue<Notification> Notifications_;
  boost::asio::steady_timer Timer_;
  bool TickScheduled_ = false;
  bool TickIsShort_ = false;
};

} // namespace samphireshunt
