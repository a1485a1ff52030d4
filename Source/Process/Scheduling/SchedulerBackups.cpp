/// \file
/// Backups of runs that can't be repeated, for the time that engines crash.

#include "Process/Scheduling/Scheduler.h"

#include <algorithm>

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
    if (Other.usable() && mayRunOn(Request, Other))
      Targets.push_back({neighborhoodOf(Other), Other.inFlight()});
  return Backups_.choose(Run, Targets, BackupCost_.LinkMbps_, Now);
}

} // namespace samphireshunt
