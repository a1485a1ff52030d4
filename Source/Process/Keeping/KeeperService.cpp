#include "Process/Keeping/KeeperService.h"

#include "Connection/Spawn.h"
#include "Process/Keeping/AllotmentShare.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphireshunt {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {
/// A cell that belongs to another keeper is dropped after it was unused for
/// this long.
constexpr std::chrono::seconds UnusedCellTime{10};
/// The maximum time for which messages are batched between two scheduling
/// rounds, however long the last round took. It is five times the tick interval
/// of a keeper with waiting requests.
constexpr milliseconds MaxRoundPause{50};
/// Maximum number of refusals logged each second for one result code.
constexpr std::uint32_t MaxRefusalLogsPerSecond = 20;
/// Maximum number of work times logged each second that were ignored.
constexpr std::uint32_t MaxWorkTimeLogsPerSecond = 1;
/// The minimum retry delay sent to callers of a customer that exceeds its
/// allotment, because it usually exceeds it for a while.
constexpr milliseconds MinAllotmentRetryAfter{300};

/// Returns the cost of the request that is charged to its customer's allotment.
double allotmentCost(const Allotment &Allowed, const GrantRequest &Request) {
  if (!Allowed.CountsTokens_)
    return 1;
  double Charged = static_cast<double>(Request.Prompt_.count()) +
                   static_cast<double>(Request.Answer_.count());
  return Charged == 0 ? static_cast<double>(Allowed.DefaultTokens_.count())
                      : Charged;
}
} // namespace

KeeperService::KeeperService(boost::asio::io_context &Control,
                             DocumentStore &Documents, Options Settings,
                             Hooks Callbacks)
    : Documents_(Documents), Options_(Settings), Hooks_(std::move(Callbacks)),
      Allotments_(Settings.Allotments_, steady_clock::now()),
      RefusalSampler_(MaxRefusalLogsPerSecond),
      WorkTimeSampler_(MaxWorkTimeLogsPerSecond),
      Notifications_(Control,
                     [this](const Notification &Event) { deliver(Event); }),
      Timer_(Control) {
  schedule();
}

/// Schedules the next tick: soon if requests wait, otherwise after the idle
/// interval.
void KeeperService::schedule() {
  bool Busy = std::ranges::any_of(Cells_, [](const auto &Item) {
    return Item.second->Scheduler_.waiting() > 0;
  });
  if (TickScheduled_ && (!Busy || TickIsShort_))
    return;
  TickScheduled_ = true;
  TickIsShort_ = Busy;
  Timer_.expires_after(Busy ? Options_.Tick_ : Options_.IdleTick_);
  Timer_.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    TickScheduled_ = false;
    runLogged("keeper-tick", [this] { onTick(); });
    schedule();
  });
}

void KeeperService::onTick() {
  for (auto &[Id, Target] : Cells_)
    if (Target->Scheduler_.waiting() > 0)
      decide(Id, *Target);
  checkDisconnectedIngresses();
}

void KeeperService::checkDisconnectedIngresses() {
  auto Now = steady_clock::now();
  bool AnyReleased = false;
  for (auto &[Ingress, Disconnected] : DisconnectedIngresses_) {
    if (!Disconnected.HoldsSlots_ ||
        Now - Disconnected.Since_ < Options_.SlotGrace_)
      continue;
    releaseSlots(Ingress, Disconnected);
    AnyReleased = true;
  }
  // The ingress daemon is alive but uses another keeper now, which knows what
  // it runs.
  std::erase_if(DisconnectedIngresses_, [&](const auto &Item) {
    return !Item.second.HoldsSlots_ &&
           Now - Item.second.Since_ >= Options_.IngressGrace_;
  });
  if (!AnyReleased)
    return;
  for (auto &[Cell, Target] : Cells_)
    decide(Cell, *Target);
}

/// Releases the slots of an ingress daemon whose link broke. It has reported
/// the ends of its requests to another keeper. If the requests stayed here,
/// they would occupy their slots until they are forgotten, and others would
/// wait past their deadlines although engines are idle.
void KeeperService::releaseSlots(const VmId &Ingress,
                                 DisconnectedIngress &Disconnected) {
  Disconnected.HoldsSlots_ = false;
  for (auto &[Cell, Target] : Cells_)
    for (RunningRequest &Request : removeIngress(*Target, Ingress))
      Disconnected.ReleasedRequests_.push_back({Cell, std::move(Request)});
}

KeeperService::ScheduledCell &KeeperService::scheduledCell(const CellId &Cell) {
  auto &Target = Cells_[Cell];
  auto Now = steady_clock::now();
  if (!Target) {
    Target = std::make_unique<ScheduledCell>(
        ScheduledCell{Scheduler(Options_.Scheduling_), Now, Now});
    Target->Scheduler_.setStandingHook(Hooks_.StandingOf_);
    configure(Cell, *Target);
    if (!Hooks_.AloneInFleet_()) {
      Target->Scheduler_.setWarmupEnd(Now + Options_.WarmUp_);
      Allotments_.restart(Now);
    }
    logEvent(LogCategory::Keeper, spdlog::level::info, "keeping",
             {{"cell", Cell.str()}});
  }
  Target->LastUsed_ = Now;
  return *Target;
}

void KeeperService::configure(const CellId &Cell, ScheduledCell &Target) {
  auto Snapshot = Documents_.snapshot();
  const ServiceConfiguration *Service = Snapshot->service(Cell.Service_);
  const Pool *Whole = Service ? Service->pool(Cell.Pool_) : nullptr;
  if (!Whole)
    return Target.Scheduler_.configure({}, {}, 1, 1);
  std::vector<ServerCapacity> Servers;
  for (const BackendServer *Server : cellServers(*Whole, Cell.Index_)) {
    bool Active = Snapshot->isActive(*Server);
    Servers.push_back({Server->Name_,
                       Server->MaxInFlight_ + Options_.AheadPerServer_, Active,
                       Whole->CacheTokens_, Options_.AheadPerServer_,
                       Server->Incarnation_, Server->Canary_, Server->Version_,
                       Server->DataCenter_, Server->HeldBack_});
  }
  std::map<CustomerName, CustomerPolicy> Policies;
  for (const Customer &Known : Service->Document_->Customers_)
    Policies[Known.Name_] = {Known.Weight_, Known.MaxInFlight_};
  auto TierCount =
      static_cast<std::uint32_t>(Service->Document_->Tiers_.size());
  Target.Scheduler_.configure(std::move(Servers), std::move(Policies),
                              TierCount, Whole->MaxWaiting_);
  Target.Scheduler_.setTokensPerEvent(Whole->TokensPerEvent_);
  Target.Scheduler_.setMovesRuns(Whole->RunMemory_.Moves_);
  Scheduler::BackupCost Cost;
  Cost.BytesPerToken_ = Whole->RunMemory_.BytesPerToken_;
  Cost.LinkMbps_ = Whole->RunMemory_.LinkMbps_;
  Target.Scheduler_.setBackups(Whole->RunMemory_.Backups_, Cost);
  // A minority partition uses only its share of the engines. A majority
  // partition uses all of them: if it scaled down as well, the minority's share
  // would be idle while the partition lasts. Requests granted in excess by both
  // wait in the engines.
  double Share = Hooks_.LiveShare_();
  constexpr double Half = 0.5;
  Target.Scheduler_.setShare(Share > Half ? 1.0 : Share);
  // A daemon that stands in for the cell's keeper may do so while that one
  // grants too.
  Target.Scheduler_.setRateShare(Hooks_.IsKeeper_(Cell) ? Share : Share * Half);
}

void KeeperService::refresh() {
  auto Snapshot = Documents_.snapshot();
  ScheduledFractions_.clear();
  auto Now = steady_clock::now();
  for (const auto &[Name, Service] : Snapshot->Services_) {
    refreshService(Name, Service);
    double Share = allotmentShare(Service);
    double Before = std::exchange(AppliedShares_[Name], Share);
    if (Before == Share)
      continue;
    for (const Customer &Known : Service.Document_->Customers_)
      Allotments_.changeShare(Known.Name_, Known.Allotment_, Before, Share,
                              Now);
  }
  std::erase_if(Cells_, [&](const auto &Item) {
    const ScheduledCell &Target = *Item.second;
    return Target.Scheduler_.waiting() == 0 &&
           Now - Target.LastUsed_ > UnusedCellTime &&
           !Hooks_.IsKeeper_(Item.first);
  });
  for (auto &[Cell, Target] : Cells_) {
    configure(Cell, *Target);
    decide(Cell, *Target);
  }
}

void KeeperService::requestGrant(const CellId &Cell, GrantRequest Request) {
  if (!knowsPool(Cell))
    return postDecisions(
        Cell,
        {RefuseDecision{Request.Id_, ResultCode::NotReady, milliseconds(0),
                        Request.Ingress_, Request.Ask_}});
  ScheduledCell &Target = scheduledCell(Cell);
  bool Known = Target.Scheduler_.askOf(Request.Id_) == Request.Ask_;
  bool Numbered = Request.Ask_ != AskNumber();
  if (Numbered && (Known || isLate(Target, Request.Id_, Request.Ask_)))
    return;
  // An earlier ask may have allowed other servers.
  if (Numbered) {
    Allotments_.refund(Request.Id_);
    Target.Scheduler_.withdrawWaiting(Request.Id_);
  }
  if (auto Refusal = chargeAllotment(Cell, Request))
    return postDecisions(Cell, {*Refusal});
  auto Remote = RemoteFloors_.find({Cell.Service_, Cell.Pool_});
  auto Now = steady_clock::now();
  if (Remote != RemoteFloors_.end() && Remote->second.Until_ > Now)
    postDecisions(Cell, Target.Scheduler_.raiseFloor(
                            Remote->second.Tier_, Remote->second.Until_, Now));
  postDecisions(Cell, Target.Scheduler_.requestGrant(std::move(Request), Now));
  decide(Cell, Target);
}

bool KeeperService::isLate(const ScheduledCell &Target, const RequestId &Id,
                           AskNumber Ask) {
  return Ask != AskNumber() && Target.Scheduler_.askOf(Id) > Ask;
}

bool KeeperService::knowsPool(const CellId &Cell) const {
  auto Snapshot = Documents_.snapshot();
  const ServiceConfiguration *Service = Snapshot->service(Cell.Service_);
  return Service && Service->pool(Cell.Pool_);
}

double KeeperService::maxCellCount(const ServiceConfiguration &Service) {
  std::uint32_t Max = 1;
  for (const Pool &Known : Service.Pools_)
    Max = std::max(Max, cellCount(Known));
  return Max;
}

/// The keeper of a cell index is the same for all pools, and finding it looks
/// at all members, so it is determined once per index.
void KeeperService::refreshService(const ServiceName &Name,
                                   const ServiceConfiguration &Service) {
  if (Service.Pools_.empty())
    return;
  const PoolName &AnyPool = Service.Pools_.front().Name_;
  auto Count = static_cast<std::uint32_t>(maxCellCount(Service));
  std::vector<std::uint32_t> Scheduled;
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    if (Hooks_.IsKeeper_({Name, AnyPool, Index}))
      Scheduled.push_back(Index);
  ScheduledFractions_[Name] = static_cast<double>(Scheduled.size()) / Count;
  for (const Pool &Whole : Service.Pools_)
    for (std::uint32_t Index : Scheduled)
      if (Index < cellCount(Whole))
        scheduledCell({Name, Whole.Name_, Index});
}

double
KeeperService::allotmentShare(const ServiceConfiguration &Service) const {
  auto Found = ScheduledFractions_.find(Service.Document_->Service_);
  double Fraction = Found == ScheduledFractions_.end() ? 0 : Found->second;
  return samphireshunt::allotmentShare(Fraction, maxCellCount(Service),
                                       Hooks_.LiveShare_());
}

std::optional<RefuseDecision>
KeeperService::chargeAllotment(const CellId &Cell,
                               const GrantRequest &Request) {
  auto Snapshot = Documents_.snapshot();
  const ServiceConfiguration *Service = Snapshot->service(Cell.Service_);
  const Customer *Known =
      Service ? Service->Document_->customer(Request.Customer_) : nullptr;
  if (!Known)
    return std::nullopt;
  // A run that goes on was charged when it began.
  if (!Request.OnlyServer_.empty())
    return std::nullopt;
  const Allotment &Allowed = Known->Allotment_;
  AllotmentLedger::Charge Charge;
  Charge.Id_ = Request.Id_;
  Charge.Customer_ = Known->Name_;
  Charge.Cost_ = allotmentCost(Allowed, Request);
  Charge.LeavesRoomForHighTier_ =
      Options_.ReserveHeadroom_ && Request.Tier_.count() > 0;
  double Share = allotmentShare(*Service);
  if (Allotments_.charge(Charge, Allowed, Share, steady_clock::now()))
    return std::nullopt;
  auto RetryAfter = std::max(MinAllotmentRetryAfter,
                             Allotments_.timeUntilFit(Charge, Allowed, Share));
  return RefuseDecision{Request.Id_, ResultCode::AllotmentSpent, RetryAfter,
                        Request.Ingress_, Request.Ask_};
}

void KeeperService::withdraw(const CellId &Cell, const RequestId &Id,
                             AskNumber Ask) {
  ScheduledCell &Target = scheduledCell(Cell);
  if (isLate(Target, Id, Ask))
    return;
  Allotments_.refund(Id);
  Target.Scheduler_.withdraw(Id);
  decide(Cell, Target);
}

void KeeperService::running(const CellId &Cell, RunningRequest Request) {
  ScheduledCell &Target = scheduledCell(Cell);
  if (!isLate(Target, Request.Id_, Request.Ask_))
    Target.Scheduler_.addRunning(Request);
}

void KeeperService::notSuspended(const CellId &Cell, const RequestId &Id) {
  scheduledCell(Cell).Scheduler_.notSuspended(Id);
}

void KeeperService::firstToken(const CellId &Cell, const RequestId &Id,
                               const FirstTokenSample &Sample) {
  Scheduler &Deciding = scheduledCell(Cell).Scheduler_;
  auto Ignored = Deciding.workTimes().ignoredFigures();
  Deciding.firstToken(Id, Sample, steady_clock::now());
  if (Deciding.workTimes().ignoredFigures() == Ignored)
    return;
  if (auto Running = Deciding.findRunning(Id))
    logIgnoredWorkTime(Cell, Running->Server_, Sample.WorkTimePercent_);
}

void KeeperService::done(const CellId &Cell, const RequestId &Id,
                         const ServedSample &Sample, AskNumber Ask) {
  ScheduledCell &Target = scheduledCell(Cell);
  if (isLate(Target, Id, Ask))
    return;
  auto Ended = Target.Scheduler_.findRunning(Id);
  ServerModel *Server =
      Ended ? Target.Scheduler_.server(Ended->Server_) : nullptr;
  bool WasLeftOut = Server && Server->health().leftOut(steady_clock::now());
  bool WasReplaced = Server && Server->replaced();
  auto Ignored = Target.Scheduler_.workTimes().ignoredFigures();
  Target.Scheduler_.done(Id, Sample, steady_clock::now());
  if (Ended && Target.Scheduler_.workTimes().ignoredFigures() != Ignored)
    logIgnoredWorkTime(Cell, Ended->Server_, Sample.WorkTimePercent_);
  if (Server)
    logHealth(Cell, *Ended, Server->health(), WasLeftOut);
  bool IsBack = WasReplaced && !Server->replaced();
  if (Ended) {
    Hooks_.Ended_(Ended->Server_, Sample);
    Hooks_.Served_(Cell, *Ended, Sample);
  }
  if (Server && (Sample.Replaced_ || IsBack))
    logEvent(LogCategory::Keeper, spdlog::level::info,
             Sample.Replaced_ ? "server-replaced" : "server-answers-again",
             {{"server", Ended->Server_.str()},
              {"cell", Cell.str()},
              {"reported_by", Ended->Ingress_.str()}});
  decide(Cell, Target);
}

void KeeperService::limitRead(const CellId &Cell, const ServerName &Server,
                              const RequestId &Id,
                              const std::optional<RequestRate> &Named) {
  Scheduler &Deciding = scheduledCell(Cell).Scheduler_;
  const ServerModel *Model = Deciding.server(Server);
  if (!Model)
    return;
  auto Before = Model->rate().named();
  Deciding.limitRead(Server, Id, Named, steady_clock::now());
  if (Model->rate().named() != Before)
    logLimit(Cell, Server, Before, Model->rate().named());
}

void KeeperService::noticeRead(const ServerStatement &Said) {
  Scheduler &Deciding = scheduledCell(Said.Cell_).Scheduler_;
  const ServerModel *Model = Deciding.server(Said.Server_);
  if (!Model)
    return;
  auto Before = Model->rejections().named();
  bool WasLeaving = Model->saysLeaving();
  Deciding.noticeRead(Said.Server_, Said.Ingress_, Said.Id_, Said.Notice_,
                      steady_clock::now());
  auto After = Model->rejections().named();
  LogFields Fields = {{"server", Said.Server_.str()},
                      {"cell", Said.Cell_.str()}};
  if (After != Before) {
    Fields.emplace_back("survives",
                        After ? std::to_string(After->count()) : "none");
    logEvent(LogCategory::Keeper, spdlog::level::info, "server-brittle",
             Fields);
  }
  if (Model->saysLeaving() && !WasLeaving)
    logEvent(LogCategory::Keeper, spdlog::level::info, "server-says-leaving",
             Fields);
}

void KeeperService::logLimit(const CellId &Cell, const ServerName &Server,
                             const std::optional<RequestRate> &Before,
                             const std::optional<RequestRate> &Named) {
  auto Text = [](const std::optional<RequestRate> &Rate) {
    return Rate ? fmt::format("{}", Rate->perSecond()) : std::string("none");
  };
  logEvent(LogCategory::Keeper, spdlog::level::info, "server-limit",
           {{"server", Server.str()},
            {"cell", Cell.str()},
            {"per_second", Text(Named)},
            {"before", Text(Before)}});
}

void KeeperService::refuseCrashing(const RequestFingerprint &Request) {
  for (auto &[Cell, Target] : Cells_)
    postDecisions(Cell, Target->Scheduler_.refuseCrashing(Request));
}

void KeeperService::returnGrant(const RequestId &Id, AskNumber Ask) {
  for (auto &[Cell, Target] : Cells_) {
    if (isLate(*Target, Id, Ask))
      continue;
    Target->Scheduler_.done(Id, ServedSample(), steady_clock::now());
    decide(Cell, *Target);
  }
}

/// Runs a scheduling round, unless the pause after the last one has not ended.
/// A round looks at all engines and at the heads of all queues. On a slow VM,
/// or with long queues, a round per message would use all processor time, and
/// messages would wait for seconds; batching answers several messages in one
/// round.
void KeeperService::decide(const CellId &Cell, ScheduledCell &Target) {
  auto Now = steady_clock::now();
  if (Now < Target.NextRound_)
    return schedule();
  decideNow(Cell, Target);
  auto Ended = steady_clock::now();
  // The pause is limited, because a process that was suspended during the round
  // was not busy.
  Target.NextRound_ =
      Ended + std::min<TimePoint::duration>(
                  Options_.RoundPauseFactor_ * (Ended - Now), MaxRoundPause);
}

void KeeperService::decideNow(const CellId &Cell, ScheduledCell &Target) {
  auto Now = steady_clock::now();
  bool HadFloor = Target.Scheduler_.floor(Now).has_value();
  Target.Scheduler_.setCanaryGrants(Hooks_.CanaryGrantsLeft_(Cell));
  postDecisions(Cell, Target.Scheduler_.decide(Now));
  schedule();
  if (!HadFloor && Target.Scheduler_.floor(Now))
    Notifications_.push(RaisedFloor());
}

/// Logs a refusal with the state of the cell. The reason is known only here;
/// the ingress daemon gets only the code.
void KeeperService::logRefusal(const CellId &Cell,
                               const RefuseDecision &Refusal) {
  auto Dropped = RefusalSampler_.admit(static_cast<int>(Refusal.Code_),
                                       steady_clock::now());
  auto Found = Cells_.find(Cell);
  if (!Dropped || Found == Cells_.end())
    return;
  const Scheduler &Deciding = Found->second->Scheduler_;
  auto Usable = std::ranges::count_if(Deciding.servers(), [](const auto &Item) {
    return Item.second.usable();
  });
  logEvent(LogCategory::Keeper, spdlog::level::info, "refused",
           {{"request", Refusal.Id_.str()},
            {"code", std::to_string(static_cast<int>(Refusal.Code_))},
            {"cell", Cell.str()},
            {"entry", Refusal.Ingress_.str()},
            {"waiting", std::to_string(Deciding.waiting())},
            {"running", std::to_string(Deciding.running())},
            {"usable_servers", std::to_string(Usable)},
            {"retry_after_ms", std::to_string(Refusal.RetryAfter_.count())},
            {"dropped", std::to_string(*Dropped)}});
}

void KeeperService::logIgnoredWorkTime(const CellId &Cell,
                                       const ServerName &Server,
                                       std::uint32_t Percent) {
  auto Dropped = WorkTimeSampler_.admit(0, steady_clock::now());
  if (!Dropped)
    return;
  logEvent(LogCategory::Keeper, spdlog::level::warn, "work-time-ignored",
           {{"server", Server.str()},
            {"cell", Cell.str()},
            {"percent", std::to_string(Percent)},
            {"dropped", std::to_string(*Dropped)}});
}

void KeeperService::logHealth(const CellId &Cell, const RunningRequest &Ended,
                              const ServerHealth &Health, bool WasLeftOut) {
  bool LeftOut = Health.leftOut(steady_clock::now());
  if (LeftOut == WasLeftOut)
    return;
  logEvent(LogCategory::Keeper, spdlog::level::info,
           LeftOut ? "server-left-out" : "server-back",
           {{"server", Ended.Server_.str()},
            {"cell", Cell.str()},
            {"reported_by", Ended.Ingress_.str()},
            {"failure_rate", fmt::format("{:.2f}", Health.failureRate())}});
}

void KeeperService::postDecisions(const CellId &Cell,
                                  std::vector<Decision> Decisions) {
  for (Decision &Made : Decisions) {
    if (const auto *Refusal = std::get_if<RefuseDecision>(&Made)) {
      Allotments_.refund(Refusal->Id_);
      logRefusal(Cell, *Refusal);
    }
    if (const auto *Grant = std::get_if<GrantDecision>(&Made))
      Hooks_.Granted_(Cell, Grant->Server_);
    Notifications_.push(CellDecision{Cell, std::move(Made)});
  }
}

void KeeperService::deliver(const Notification &Event) {
  if (const auto *Made = std::get_if<CellDecision>(&Event))
    deliverDecision(*Made);
  else if (const auto *Orphan = std::get_if<OrphanedRequest>(&Event))
    Hooks_.Orphaned_(*Orphan);
  else
    Hooks_.FloorRaised_();
}

void KeeperService::deliverDecision(const CellDecision &Event) {
  if (const auto *Grant = std::get_if<GrantDecision>(&Event.Decision_)) {
    if (!isStillValid(Event.Cell_, *Grant))
      return Allotments_.refund(Grant->Id_);
    Allotments_.commit(Grant->Id_);
  }
  Hooks_.Decided_(Event.Cell_, Event.Decision_);
}

/// Returns whether the grant is still valid when it is to be delivered. It may
/// have been revoked since the decision, because its request was withdrawn or
/// its ingress daemon reconnected. If it were delivered anyway, the request
/// would run in a slot that may have been granted to another request.
bool KeeperService::isStillValid(const CellId &Cell,
                                 const GrantDecision &Grant) const {
  const Scheduler *Deciding = scheduler(Cell);
  if (!Deciding)
    return true; // The cell was dropped, which revokes no grants.
  auto Running = Deciding->findRunning(Grant.Id_);
  return Running && Running->Server_ == Grant.Server_ &&
         Running->Ingress_ == Grant.Ingress_ && Running->Ask_ == Grant.Ask_;
}

/// Removes the waiting requests of an ingress daemon whose link broke: a grant
/// could not be delivered, and its slot would stay occupied. The ingress daemon
/// requests the grant from the next keeper.
void KeeperService::ingressDisconnected(const VmId &Ingress) {
  DisconnectedIngresses_[Ingress] = {steady_clock::now(), true, {}};
  for (auto &[Cell, Target] : Cells_)
    for (const RequestId &Id : Target->Scheduler_.removeWaiting(Ingress))
      Allotments_.refund(Id);
}

/// Removes all requests of an ingress daemon that reconnected. While its
/// previous link was broken, it reported the ends of its requests to another
/// keeper. If the requests stayed here, they would occupy their slots forever,
/// and new requests would be refused although engines are idle. The ingress
/// daemon reports on its new link what waits and runs now.
void KeeperService::ingressReconnected(const VmId &Ingress) {
  DisconnectedIngresses_.erase(Ingress);
  for (auto &[Cell, Target] : Cells_) {
    removeIngress(*Target, Ingress);
    decide(Cell, *Target);
  }
}

std::vector<RunningRequest> KeeperService::removeIngress(ScheduledCell &Target,
                                                         const VmId &Ingress) {
  RemovedRequests Removed = Target.Scheduler_.removeIngressRequests(Ingress);
  for (const RequestId &Id : Removed.Waiting_)
    Allotments_.refund(Id);
  return std::move(Removed.Running_);
}

void KeeperService::ingressDied(const VmId &Ingress) {
  if (auto Disconnected = DisconnectedIngresses_.extract(Ingress))
    for (OrphanedRequest &Orphan : Disconnected.mapped().ReleasedRequests_)
      Notifications_.push(std::move(Orphan));
  for (auto &[Cell, Target] : Cells_) {
    for (RunningRequest &Request : removeIngress(*Target, Ingress))
      Notifications_.push(OrphanedRequest{Cell, std::move(Request)});
    decide(Cell, *Target);
  }
}

std::vector<PoolFloor> KeeperService::floors() const {
  auto Now = steady_clock::now();
  std::vector<PoolFloor> All;
  for (const auto &[Cell, Target] : Cells_)
    if (auto Tier = Target->Scheduler_.floor(Now))
      All.push_back(
          {Cell.Service_, Cell.Pool_, *Tier, Target->Scheduler_.floorUntil()});
  return All;
}

void KeeperService::onRemoteFloor(const PoolFloor &Floor) {
  auto Now = steady_clock::now();
  RemoteFloors_[{Floor.Service_, Floor.Pool_}] = Floor;
  for (auto &[Cell, Target] : Cells_)
    if (Cell.Service_ == Floor.Service_ && Cell.Pool_ == Floor.Pool_)
      postDecisions(
          Cell, Target->Scheduler_.raiseFloor(Floor.Tier_, Floor.Until_, Now));
}

void KeeperService::engineReport(const CellId &Cell, const ServerName &Server,
                                 bool Healthy, const LoadReport &Load) {
  auto Found = Cells_.find(Cell);
  if (Found == Cells_.end())
    return;
  Found->second->Scheduler_.report(Server, Healthy, Load);
}

void KeeperService::cacheEvicted(const CellId &Cell, const ServerName &Server,
                                 std::span<const std::uint64_t> Blocks,
                                 bool All) {
  auto Found = Cells_.find(Cell);
  if (Found == Cells_.end())
    return;
  ServerModel *Model = Found->second->Scheduler_.server(Server);
  if (!Model)
    return;
  if (All)
    Model->prefixes().clear();
  if (Blocks.empty())
    Model->prefixes().nothingEvicted();
  else
    Model->prefixes().evicted(Blocks);
}

std::size_t KeeperService::countRunning(
    const PoolName &Pool,
    const std::function<bool(const ServerName &)> &Matches) const {
  std::size_t Count = 0;
  for (const auto &[Cell, Target] : Cells_)
    if (Cell.Pool_ == Pool)
      Count += Target->Scheduler_.countRunning(Matches);
  return Count;
}

std::vector<CellId> KeeperService::cells() const {
  std::vector<CellId> Ids;
  std::ranges::transform(Cells_, std::back_inserter(Ids),
                         [](const auto &Item) { return Item.first; });
  return Ids;
}

const Scheduler *KeeperService::scheduler(const CellId &Cell) const {
  auto Found = Cells_.find(Cell);
  return Found == Cells_.end() ? nullptr : &Found->second->Scheduler_;
}

} // namespace samphireshunt
