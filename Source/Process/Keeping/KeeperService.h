#pragma once
/// \file
/// The cells that this daemon keeps: a scheduler each, fed by the asks of all
/// entries. State is soft: a new keeper gets it again from the entries. Runs
/// on the control thread.

#include "Common/Log.h"
#include "Process/Keeping/Cell.h"
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

/// A running request whose entry died.
struct OrphanedRequest {
  CellId Cell_;
  RunningRequest Request_;
};

class KeeperService {
public:
  struct Options {
    /// How long a new keeper listens before it grants: entries tell it what
    /// runs, so that engines are not filled twice.
    std::chrono::milliseconds WarmUp_{300};
    std::chrono::milliseconds Tick_{10};
    /// The tick while nothing waits.
    std::chrono::milliseconds IdleTick_{1000};
    /// After a round of decisions, messages are gathered for this many times as
    /// long as it took: rounds take a fifth of the time at the most. 0: each
    /// message is answered by a round of its own.
    int RoundPause_ = 4;
    /// How long the running requests of an entry whose link broke hold their
    /// places. An entry that has something here asks again after the two
    /// seconds for which it passes over a keeper, on a new link, and says what
    /// runs; one that does not has told another keeper what ended.
    std::chrono::milliseconds PlaceGrace_{3000};
    /// How long those requests are remembered. Longer than the entry's death
    /// takes to be known: forgotten before, its orphans would never be
    /// cancelled.
    std::chrono::milliseconds EntryGrace_{10000};
    /// Requests beyond an engine's limit that wait in the engine, so that a
    /// place that gets free is not empty until this keeper has heard of it.
    std::uint32_t AheadPerServer_ = 0;
    Scheduler::Options Scheduling_;
    AllotmentLedger::Options Allotments_;
    /// Lower tiers leave room in allotments for large requests of the highest.
    bool KeepRoom_ = true;
  };
  /// The first three are called in turns of their own, in the order of what
  /// they tell, never on the stack of a call to this service.
  struct Hooks {
    std::function<void(const CellId &, const Decision &)> Decided_;
    std::function<void(const OrphanedRequest &)> Orphaned_;
    /// A cell of a pool raised its floor: others must hear of it.
    std::function<void()> FloorRaised_;
    std::function<bool()> AloneInFleet_;
    /// True when this daemon should keep the cell.
    std::function<bool(const CellId &)> IsKeeper_;
    /// The part of the fleet that this daemon speaks for.
    std::function<double()> LiveShare_;
  };

  KeeperService(boost::asio::io_context &Control, DocumentStore &Documents,
                Options Settings, Hooks Reactions);

  void ask(const CellId &Cell, AskedRequest Request);
  void withdraw(const CellId &Cell, const RequestId &Id);
  void running(const CellId &Cell, RunningRequest Request);
  void firstToken(const CellId &Cell, const RequestId &Id,
                  const FirstTokenSample &Seen);
  void done(const CellId &Cell, const RequestId &Id, const ServedSample &Seen);
  /// A grant was not used, and the entry no longer knows its cell.
  void handBack(const RequestId &Id);
  /// The link of an entry broke: it will ask again, here or elsewhere.
  void entryGone(const VmId &Entry);
  /// The entry opened a new link, on which it says all that it has here.
  void entryBack(const VmId &Entry);
  /// The entry is dead: its running requests are orphans.
  void entryDead(const VmId &Entry);
  /// Documents or members changed: starts and drops cells.
  void refresh();
  void stop() { Timer_.cancel(); }

  std::vector<PoolFloor> floors() const;
  void floorSeen(const PoolFloor &Floor);
  void engineReport(const CellId &Cell, const ServerName &Server, bool Healthy,
                    const LoadReport &Seen);
  /// Blocks that an engine evicted or, with \p All, its whole cache.
  void cacheEvicted(const CellId &Cell, const ServerName &Server,
                    std::span<const std::uint64_t> Blocks, bool All);
  std::vector<CellId> cells() const;
  const Scheduler *scheduler(const CellId &Cell) const;

private:
  struct CellDecision {
    CellId Cell_;
    Decision Taken_;
  };
  struct RaisedFloor {};
  /// What others are to be told.
  using Notice = std::variant<CellDecision, OrphanedRequest, RaisedFloor>;
  struct KeptCell {
    Scheduler Scheduler_;
    TimePoint Since_;
    TimePoint LastUsed_;
    /// Before this no round of decisions begins.
    TimePoint NextRound_{};
  };

  /// An entry whose link broke.
  struct GoneEntry {
    TimePoint Since_;
    bool HoldsPlaces_ = true;
    /// What ran for it when its places were taken.
    std::vector<OrphanedRequest> Ran_;
  };

  KeptCell &kept(const CellId &Cell);
  /// False while this daemon has no configuration with the cell's pool.
  bool knows(const CellId &Cell) const;
  /// Forgets the entry's requests. \returns those that ran.
  std::vector<RunningRequest> drop(KeptCell &Target, const VmId &Entry);
  void checkGoneEntries();
  void takePlaces(const VmId &Entry, GoneEntry &Gone);
  void logRefusal(const CellId &Cell, const RefuseDecision &Refusal);
  void logHealth(const CellId &Cell, const ServerName &Server,
                 const ServerHealth &Health, bool WasLeftOut);
  /// The most cells that a pool of the service has.
  static double mostCells(const ServiceConfiguration &Service);
  /// Starts the service's cells that this daemon keeps, and notes which part
  /// of all they are.
  void refreshService(const ServiceName &Name,
                      const ServiceConfiguration &Service);
  double allotmentShare(const ServiceConfiguration &Service) const;
  std::optional<RefuseDecision> chargeAllotment(const CellId &Cell,
                                                const AskedRequest &Request);
  void configure(const CellId &Cell, KeptCell &Target);
  void decide(const CellId &Cell, KeptCell &Target);
  void decideNow(const CellId &Cell, KeptCell &Target);
  void announce(const CellId &Cell, std::vector<Decision> Decisions);
  void tell(const Notice &Next);
  void tellDecision(const CellDecision &Decided);
  bool stillStands(const CellId &Cell, const GrantDecision &Grant) const;
  void schedule();
  void onTick();

  DocumentStore &Documents_;
  Options Options_;
  Hooks Hooks_;
  std::map<CellId, std::unique_ptr<KeptCell>> Cells_;
  std::map<VmId, GoneEntry> GoneEntries_;
  AllotmentLedger Allotments_;
  std::map<ServiceName, double> KeptParts_;
  LogSampler RefusalLines_;
  std::map<std::pair<ServiceName, PoolName>, PoolFloor> RemoteFloors_;
  PostedQueue<Notice> Notices_;
  boost::asio::steady_timer Timer_;
  bool TickScheduled_ = false;
  bool TickIsShort_ = false;
};

} // namespace samphireshunt
