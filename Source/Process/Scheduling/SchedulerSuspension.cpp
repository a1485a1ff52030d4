/// \file
/// Suspends streams of lower tiers for requests of higher tiers that would miss
/// their objective, and grants suspended streams their servers again.

#include "Process/Scheduling/Scheduler.h"

#include <algorithm>
#include <span>

namespace samphireshunt {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// A request that gets a slot within this time needs no suspension: to stop a
/// stream takes about half of it.
constexpr std::chrono::duration<double> SoonEnough{0.1};
/// How long slots stay set aside for copies after the last one was needed:
/// bursts come in waves of some tenths of a second.
constexpr milliseconds CopyServerTime{1000};
/// A suspended stream is promised its server when less than this fraction of
/// the time is left for which it may wait.
constexpr int PromiseDivisor = 3;

} // namespace

void Scheduler::notSuspended(const RequestId &Id) {
  if (Running_.contains(Id))
    Suspension_.declined(Id);
}

/// Counts requests above the lowest tier that wait and could still meet their
/// objective, highest tier first and at most \p Limit. Those that go on with a
/// run have been in time before.
Scheduler::UnservedInTime Scheduler::unservedInTime(TimePoint Now,
                                                    std::size_t Limit) const {
  UnservedInTime Unserved;
  Unserved.Highest_ = TierIndex(static_cast<std::uint32_t>(Tiers_.size()));
  for (const TierQueue &Tier : std::span(Tiers_).first(Tiers_.size() - 1))
    for (const auto &[Served, Name] : Tier.Active_)
      for (const auto &Key : Tier.Customers_.at(Name).Requests_) {
        const GrantRequest &Details =
            Waiting_.at(std::get<RequestId>(Key)).Details_;
        if (!Details.OnlyServer_.empty() ||
            Details.Objective_ <= Now + MinFirstEventDelay)
          continue;
        Unserved.Highest_ = std::min(Unserved.Highest_, Details.Tier_);
        if (++Unserved.Count_ >= Limit)
          return Unserved;
      }
  return Unserved;
}

std::vector<SuspensionCandidate>
Scheduler::suspensionCandidates(TimePoint Now) const {
  std::vector<SuspensionCandidate> Candidates;
  for (const auto &[Id, Run] : Running_) {
    auto Server = Servers_.find(Run.Server_);
    if (!Run.Streaming_ || Server == Servers_.end() ||
        !Server->second.usable() || !Server->second.runs(Id) ||
        Run.Server_ == CopyServer_)
      continue;
    nanoseconds Whole =
        Server->second.timeBetweenTokens() * Run.ExpectedAnswer_.count();
    Candidates.push_back({Id, Run.Tier_, Run.Server_, Run.Ingress_,
                          Whole - (Now - Run.Granted_), Run.Deadline_ - Now,
                          Server->second.slots()});
  }
  return Candidates;
}

/// Keeps slots of the server with the fewest requests free while copies are
/// needed.
void Scheduler::setAsideForCopies(bool Needed, TimePoint Now) {
  if (Needed)
    CopyNeeded_ = Now;
  std::optional<ServerName> &Chosen = CopyServer_;
  ServerModel *Current = Chosen ? server(*Chosen) : nullptr;
  bool Unneeded = Now - CopyNeeded_ > CopyServerTime;
  if (Current && (Unneeded || !Current->usable())) {
    Current->setSlotsAside(0);
    Current = nullptr;
  }
  if (!Current)
    Chosen.reset();
  // A server that restarted has a new model, which sets nothing aside.
  if (Current)
    Current->setSlotsAside(
        static_cast<std::uint32_t>(Suspension_.options().Copies_));
  if (Current || !Needed)
    return;
  ServerModel *Least = nullptr;
  for (auto &[Name, Server] : Servers_)
    if (Server.usable() && !Server.capacity().Canary_ &&
        Server.slots() > Suspension_.options().Copies_ &&
        (!Least || Server.inFlight() < Least->inFlight()))
      Least = &Server;
  if (!Least)
    return;
  Least->setSlotsAside(
      static_cast<std::uint32_t>(Suspension_.options().Copies_));
  Chosen = Least->capacity().Name_;
}

void Scheduler::suspendStreams(TimePoint Now, std::vector<Decision> &Out) {
  if (!MovesRuns_ || !Options_.SuspendStreams_ || !Options_.RefuseLongWaits_ ||
      Tiers_.size() < 2 || Now < WarmupEnd_)
    return setAsideForCopies(false, Now);
  Suspension_.forgetOld(Now);
  double Soon = Ends_.sum(Now) * SoonEnough.count();
  auto Expected = static_cast<std::size_t>(Soon) + Suspension_.orders();
  UnservedInTime Unserved;
  bool NoRoom = !anyEngineHasRoom() || onlyHeldHaveRoom();
  if (!Waiting_.empty() && NoRoom)
    Unserved = unservedInTime(Now, Expected + Suspension_.options().Copies_);
  bool Needed = Unserved.Count_ > Expected;
  setAsideForCopies(Needed, Now);
  const std::optional<ServerName> &CopyTo = CopyServer_;
  if (!Needed || !CopyTo)
    return;
  const ServerModel &Target = Servers_.at(*CopyTo);
  if (Target.inFlight() + Suspension_.orders() >= Target.slots())
    return;
  std::size_t Slots = 0;
  for (const auto &[Name, Server] : Servers_)
    Slots += Server.usable() ? Server.slots() : 0;
  auto Candidates = suspensionCandidates(Now);
  std::size_t Wanted = Unserved.Count_ - Expected;
  for (const SuspensionCandidate &Run : Suspension_.choose(
           std::move(Candidates), Unserved.Highest_, Wanted, Slots)) {
    if (Target.inFlight() + Suspension_.orders() >= Target.slots())
      return;
    Suspension_.ordered(Run, Now);
    Out.push_back(SuspendDecision{Run.Id_, Run.Server_, Run.Ingress_, *CopyTo,
                                  Running_.at(Run.Id_).Ask_});
  }
}

/// Promises servers to suspended streams that can't wait much longer. While
/// higher tiers take each slot that becomes free, such streams would be lost.
void Scheduler::promiseServers(TimePoint Now) {
  Suspension_.clearPromises();
  std::vector<std::pair<TimePoint, RequestId>> Urgent;
  for (const auto &[Id, Server] : Suspension_.waiting()) {
    const WaitingRequest &Request = Waiting_.at(Id);
    auto MaxWait = Request.Details_.MaxWait_;
    ServerModel *Own = server(Server);
    bool OnlyLacksRoom = Own && Own->mayContinue() &&
                         mayRunOn(Request.Details_, *Own) &&
                         finishesInTime(Request.Details_, *Own, Now) &&
                         !atMaxInFlight(Request.Details_.Customer_);
    if (OnlyLacksRoom && MaxWait.count() > 0 &&
        Request.LatestStart_ - Now < MaxWait / PromiseDivisor)
      Urgent.emplace_back(Request.LatestStart_, Id);
  }
  std::ranges::sort(Urgent);
  for (const auto &[LatestStart, Id] : Urgent)
    Suspension_.promise(Waiting_.at(Id).Details_.OnlyServer_, Id);
}

void Scheduler::grantPromised(TimePoint Now, std::vector<Decision> &Out) {
  for (const auto &[Name, Id] : Suspension_.promised())
    grantAtOwnServer(Id, Now, Out);
}

} // namespace samphireshunt
