/// \file
/// Backups of runs that can't be repeated, for the time that engines crash.

#include "Process/Scheduling/Scheduler.h"

#include <algorithm>
#include <utility>

namespace samphireshunt {

namespace {

EngineNeighborhood neighborhoodOf(const ServerModel &Server) {
  const ServerCapacity &Capacity = Server.capacity();
  return {Capacity.Name_, Capacity.DataCenter_, Capacity.Version_};
}

} // namespace

void Scheduler::recordCrash(const ServerModel &Server, TimePoint Now) {
  Backups_.crashed(neighborhoodOf(Server), Now);
}

/// \returns the engine that takes the backup of a run at \p Server; an empty
/// name if it is not backed up.
ServerName Scheduler::backupFor(const GrantRequest &Request,
                                const ServerModel &Server, TimePoint Now) {
  bool Possible = BacksUpRuns_ && Options_.BackUpRuns_ &&
                  Request.NonIdempotent_ && Request.Answer_.count() > 0 &&
                  Request.OnlyServer_.empty();
  if (!Possible || !Backups_.anyDanger(Now))
    return {};
  Tokens Whole = Request.Prompt_ + expectedAnswer(Request);
  BackupNeed Run{neighborhoodOf(Server), expectedService(Request, Server),
                 Whole.count() * BackupCost_.BytesPerToken_};
  std::vector<BackupTarget> Targets;
  for (const auto &[Name, Other] : Servers_)
    if (&Other != &Server && Other.usable() && mayRunOn(Request, Other))
      Targets.push_back({neighborhoodOf(Other), Other.inFlight()});
  return Backups_.choose(Run, Targets, BackupCost_.LinkMbps_, Now);
}

/// Grants the requests of the tier that go on with a run at one server, in the
/// order of their arrival. Their callers have waited before, and the memory
/// that they go on with takes up room there.
void Scheduler::grantContinuing(TierQueue &Tier, TimePoint Now,
                                std::vector<Decision> &Out) {
  std::vector<std::pair<std::uint64_t, RequestId>> Continuing;
  for (const auto &[Id, Server] : Suspension_.waiting()) {
    const WaitingRequest &Request = Waiting_.at(Id);
    if (&Tiers_[queueIndex(Request.Details_.Tier_)] == &Tier)
      Continuing.emplace_back(Request.Arrival_, Id);
  }
  std::ranges::sort(Continuing);
  for (const auto &[Arrival, Id] : Continuing)
    grantAtOwnServer(Id, Now, Out);
}

/// Grants a request that goes on with a run, if its server can take it now.
void Scheduler::grantAtOwnServer(const RequestId &Id, TimePoint Now,
                                 std::vector<Decision> &Out) {
  const GrantRequest &Details = Waiting_.at(Id).Details_;
  ServerModel *Server = server(Details.OnlyServer_);
  if (!Server || !canTake(Details, *Server, Now) ||
      atMaxInFlight(Details.Customer_))
    return;
  TierQueue &Tier = Tiers_[queueIndex(Details.Tier_)];
  CustomerName Customer =
      Options_.FairCustomers_ ? Details.Customer_ : CustomerName();
  grantTo(Tier, Customer, Placement{Id, Server}, Now, Out);
}

} // namespace samphireshunt
