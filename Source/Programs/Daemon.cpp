#include "Programs/Daemon.h"

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Process/KeeperMessages.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <csignal>

namespace samphireshunt {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds DrainCheckInterval{50};
/// Changes that come together are worked off together.
constexpr milliseconds RefreshDelay{5};

Incarnation newIncarnation() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  auto Millis = std::chrono::duration_cast<milliseconds>(Now).count();
  return Incarnation(static_cast<std::uint64_t>(Millis));
}

const VmId &entryOf(const Decision &Taken) {
  return std::visit(
      [](const auto &Value) -> const VmId & { return Value.Entry_; }, Taken);
}

Scheduler::Options schedulingOptions(const Settings &Configured) {
  auto Taken = [&](std::string_view Name) {
    return std::ranges::count(Configured.LeftOut_, Name) == 0;
  };
  Scheduler::Options Options;
  Options.TwoChoices_ = Configured.TwoChoices_;
  Options.StrictTiers_ = Taken("tiers");
  Options.FairCustomers_ = Taken("fairness");
  Options.RefuseInfeasible_ = Taken("feasibility");
  Options.Preempt_ = Taken("preemption");
  Options.UsePrefixes_ = Taken("prefixes");
  Options.UseSpeeds_ = Taken("speeds");
  Options.AdaptLimits_ = Taken("limits");
  if (Configured.TwoChoices_)
    Options.StrictTiers_ = Options.RefuseInfeasible_ = Options.Preempt_ = false;
  return Options;
}

} // namespace

Result<std::unique_ptr<Daemon>> Daemon::create(Settings Configured) {
  std::unique_ptr<Daemon> Built(new Daemon(std::move(Configured)));
  auto Wired = Built->wire();
  if (!Wired)
    return Wired.error();
  return Built;
}

Daemon::Daemon(Settings Configured)
    : Settings_(std::move(Configured)), Incarnation_(newIncarnation()),
      MemberSnapshot_(std::make_shared<std::vector<Member>>()),
      Signals_(Control_), DrainTimer_(Control_), RefreshTimer_(Control_) {
  Origin_ = stableHash(Settings_.Vm_.str(), Incarnation_.count());
  Platform_ = httpPlatform(Settings_.Platform_, Settings_.PlatformTimeout_);
  Claims_ = std::make_unique<ClaimStore>(Platform_, ClaimStore::Options());
}

Daemon::~Daemon() = default;

Result<void> Daemon::wire() {
  if (auto Done = wirePeers(); !Done)
    return Done;
  if (auto Done = wireOperators(); !Done)
    return Done;
  if (auto Done = wireMembership(); !Done)
    return Done;
  wireKeeper();
  wireConfiguration();
  return wireCallers();
}

Result<void> Daemon::wirePeers() {
  PeerNetwork::Hooks Hooks;
  Hooks.Asked_ = [this](const VmId &From, wire::EnvelopeT Message) {
    onAsked(From, std::move(Message));
  };
  Hooks.Answered_ = [this](const VmId &From, wire::EnvelopeT Message) {
    onAnswered(From, std::move(Message));
  };
  Hooks.LinkDown_ = [this](const VmId &To) { Grants_->onLinkDown(To); };
  Hooks.AskerGone_ = [this](const VmId &From) { Keeper_->entryGone(From); };
  Hooks.Awaiting_ = [this](const VmId &To) { return Grants_->awaiting(To); };
  Hooks.AddressOf_ = [this](const VmId &To) -> std::optional<std::string> {
    auto Known = Members_->find(To);
    return Known ? std::optional(Known->Address_) : std::nullopt;
  };
  auto Peers = PeerNetwork::create(Control_, Settings_.Peers_, Settings_.Vm_,
                                   std::move(Hooks));
  if (!Peers)
    return Peers.error();
  Peers_ = std::move(*Peers);
  return {};
}

Result<void> Daemon::wireMembership() {
  Member Self;
  Self.Id_ = Settings_.Vm_;
  Self.Incarnation_ = Incarnation_;
  Self.DataCenter_ = Settings_.DataCenter_;
  Self.Address_ = Settings_.AdvertisedPeers_.empty()
                      ? formatEndpoint(Peers_->address())
                      : Settings_.AdvertisedPeers_;
  Self.OperatorAddress_ = Settings_.AdvertisedOperators_.empty()
                              ? formatEndpoint(OperatorServer_->address())
                              : Settings_.AdvertisedOperators_;
  MemberTable::Options TableOptions;
  TableOptions.Seed_ = Origin_;
  Members_ = std::make_unique<MemberTable>(std::move(Self), TableOptions);
  Members_->onChanged(
      [this](const Member &Changed) { onMemberChanged(Changed); });
  MembershipService::Hooks Hooks;
  Hooks.Versions_ = [this] {
    std::vector<wire::ServiceVersionT> Versions;
    auto Snapshot = Documents_.snapshot();
    for (const auto &[Name, Service] : Snapshot->Services_) {
      wire::ServiceVersionT Version;
      Version.service = Name.str();
      Version.version = Service.Version_.count();
      Versions.push_back(std::move(Version));
    }
    return Versions;
  };
  Hooks.VersionSeen_ = [this](const VmId &From,
                              const wire::ServiceVersionT &Version) {
    Configuration_->versionSeen(From, ServiceName(Version.service),
                                DocumentVersion(Version.version));
  };
  Hooks.Floors_ = [this] { return Keeper_->floors(); };
  Hooks.FloorSeen_ = [this](const PoolFloor &Floor) {
    Keeper_->floorSeen(Floor);
  };
  auto Service =
      MembershipService::create(Control_, Peers_->address(), *Members_,
                                MembershipService::Options(), std::move(Hooks));
  if (!Service)
    return Service.error();
  Membership_ = std::move(*Service);
  return {};
}

void Daemon::wireKeeper() {
  GrantClient::Hooks ClientHooks;
  ClientHooks.KeeperOf_ = [this](const CellId &Cell,
                                 const std::vector<VmId> &Unreachable) {
    return keeperFor(Cell, Unreachable);
  };
  ClientHooks.Send_ = [this](const VmId &To, std::string Message) {
    Peers_->send(To, std::move(Message));
  };
  ClientHooks.Suspect_ = [this](const VmId &Id) {
    Members_->suspect(Id, steady_clock::now());
  };
  Grants_ = std::make_unique<GrantClient>(Control_, Settings_.Vm_,
                                          std::move(ClientHooks));
  KeeperService::Hooks Hooks;
  Hooks.Decided_ = [this](const CellId &, const Decision &Taken) {
    onDecided(Taken);
  };
  Hooks.Orphaned_ = [this](const OrphanedRequest &Orphan) {
    Engines_->cleanOrphan(Orphan);
  };
  Hooks.AloneInFleet_ = [this] { return Members_->others().empty(); };
  Hooks.IsKeeper_ = [this](const CellId &Cell) {
    return keeperFor(Cell, {}) == Settings_.Vm_;
  };
  Hooks.LiveShare_ = [this] { return Members_->liveShare(); };
  Hooks.FloorRaised_ = [this] { Membership_->spreadNews(); };
  KeeperService::Options Options;
  Options.Scheduling_ = schedulingOptions(Settings_);
  Options.Scheduling_.Seed_ = Origin_;
  Keeper_ = std::make_unique<KeeperService>(Control_, Documents_, Options,
                                            std::move(Hooks));
  Grants_->setLocalKeeper(Keeper_.get());
  Engines_ = std::make_unique<EngineMonitor>(Control_, Documents_, *Keeper_,
                                             EngineMonitor::Options());
}

void Daemon::wireConfiguration() {
  ConfigurationSync::Hooks Hooks;
  Hooks.AskPeer_ = [this](const VmId &From, const ServiceName &Service) {
    wire::DocumentRequestT Request;
    Request.service = Service.str();
    Peers_->send(From, encodeMessage(std::move(Request)));
  };
  Hooks.VmsListed_ = [this](const std::vector<ListedVm> &Listed) {
    onVmsListed(Listed);
  };
  Hooks.HeardFromPeer_ = [this] { return Membership_->heardFromPeer(); };
  Configuration_ = std::make_unique<ConfigurationSync>(
      Control_, Platform_, Documents_, ConfigurationSync::Options(),
      std::move(Hooks));
  Documents_.onChanged([this](const ServiceName &Service, DocumentVersion) {
    onDocumentChanged(Service);
  });
  TraceExporter::Options TraceOptions;
  TraceOptions.Collector_ = Settings_.TraceCollector_;
  TraceOptions.Vm_ = Settings_.Vm_.str();
  Traces_ = std::make_unique<TraceExporter>(Control_, TraceOptions);
}

Result<void> Daemon::wireCallers() {
  std::vector<asio::io_context *> Contexts;
  std::map<asio::execution_context *, CallerService *> ByContext;
  TraceSink Sink;
  if (Settings_.TraceCollector_.port() != 0)
    Sink = [this](TraceRecord Record) { Traces_->offer(std::move(Record)); };
  for (std::size_t Index = 0; Index < Settings_.Threads_; ++Index) {
    auto Added = std::make_unique<Worker>();
    RequestServices Services{
        Documents_,
        *Grants_,
        *Claims_,
        Added->Connections_,
        Settings_.Vm_,
        Incarnation_,
        [this](const VmId &Vm, Incarnation Process) {
          if (Vm == Settings_.Vm_)
            return Process == Incarnation_;
          auto Known = MemberSnapshot_.read();
          return std::ranges::any_of(*Known, [&](const Member &Other) {
            return Other.Id_ == Vm && Other.Incarnation_ == Process &&
                   Other.Status_ != MemberStatus::Dead;
          });
        },
        [this](const RequestReport &Seen) { Metrics_.report(Seen); },
        Sink};
    Added->Callers_ = std::make_unique<CallerService>(
        std::move(Services), [this] { return isReady(); },
        [this] { return nextRequestId(); });
    Contexts.push_back(&Added->Context_);
    ByContext[&Added->Context_] = Added->Callers_.get();
    Workers_.push_back(std::move(Added));
  }
  HttpServerOptions Options;
  Options.Address_ = Settings_.Callers_;
  Options.MaxConnections_ = Settings_.MaxConnections_;
  Options.ReadTimeout_ = Settings_.ReadTimeout_;
  Options.Handler_ = [ByContext](HttpExchange &Exchange) -> Awaitable<void> {
    auto Executor = co_await asio::this_coro::executor;
    auto &Context = asio::query(Executor, asio::execution::context);
    co_await ByContext.at(&Context)->handle(Exchange);
  };
  Options.Refusal_ = [this](Failure Cause) {
    Verdict Ended;
    Ended.Code_ = Cause.Code_;
    Ended.Detail_ = Cause.Detail_;
    return finalResponse(nextRequestId(), Ended);
  };
  auto Server =
      HttpServer::create(Control_, std::move(Contexts), std::move(Options));
  if (!Server)
    return Server.error();
  CallerServer_ = std::move(*Server);
  return {};
}

Result<void> Daemon::wireOperators() {
  OperatorService::Hooks Hooks;
  Hooks.IsReady_ = [this] { return isReady() && !Draining_; };
  Hooks.Status_ = [this] { return status(); };
  Hooks.Metrics_ = [this] { return metrics(); };
  Hooks.Vms_ = [this] { return vms(); };
  Operators_ = std::make_unique<OperatorService>(Platform_, std::move(Hooks));
  HttpServerOptions Options;
  Options.Address_ = Settings_.Operators_;
  Options.MaxConnections_ = 256;
  Options.Handler_ = [this](HttpExchange &Exchange) {
    return Operators_->handle(Exchange);
  };
  auto Server = HttpServer::create(Control_, {&Control_}, std::move(Options));
  if (!Server)
    return Server.error();
  OperatorServer_ = std::move(*Server);
  return {};
}

std::optional<VmId>
Daemon::keeperFor(const CellId &Cell,
                  const std::vector<VmId> &Unreachable) const {
  if (Settings_.TwoChoices_)
    return Settings_.Vm_;
  std::vector<Member> Candidates = Members_->keepers();
  std::erase_if(Candidates, [&](const Member &Candidate) {
    return std::ranges::count(Unreachable, Candidate.Id_) > 0;
  });
  const Member *Keeper = keeperOf(Cell, Candidates);
  return Keeper ? std::optional(Keeper->Id_) : std::nullopt;
}

void Daemon::onAsked(const VmId &From, wire::EnvelopeT Message) {
  Keeper_->entryBack(From);
  if (const auto *Ask = Message.body.AsAsk())
    Keeper_->ask(CellId::fromWire(Ask->cell), askFromWire(*Ask, From));
  else if (const auto *Withdraw = Message.body.AsWithdraw())
    Keeper_->withdraw(CellId::fromWire(Withdraw->cell), fromWire(Withdraw->id));
  else if (const auto *Running = Message.body.AsRunning())
    Keeper_->running(CellId::fromWire(Running->cell),
                     runningFromWire(*Running, From));
  else if (const auto *First = Message.body.AsFirstToken())
    Keeper_->firstToken(CellId::fromWire(First->cell), fromWire(First->id),
                        {std::chrono::microseconds(First->delay_us)});
  else if (const auto *Done = Message.body.AsDone()) {
    if (Done->cell && !Done->cell->service.empty())
      Keeper_->done(CellId::fromWire(Done->cell), fromWire(Done->id),
                    sampleFromWire(*Done));
    else
      Keeper_->handBack(fromWire(Done->id));
  } else if (const auto *Request = Message.body.AsDocumentRequest())
    sendDocument(From, ServiceName(Request->service));
}

void Daemon::sendDocument(const VmId &To, const ServiceName &Service) {
  auto Snapshot = Documents_.snapshot();
  const ServiceConfiguration *InForce = Snapshot->service(Service);
  if (!InForce)
    return;
  wire::DocumentReplyT Reply;
  Reply.service = Service.str();
  Reply.version = InForce->Version_.count();
  Reply.envelope = InForce->Source_->encode();
  Peers_->reply(To, encodeMessage(std::move(Reply)));
}

void Daemon::onAnswered(const VmId &From, wire::EnvelopeT Message) {
  if (const auto *Grant = Message.body.AsGrant())
    Grants_->onDecision(
        GrantDecision{fromWire(Grant->id), ServerName(Grant->server), {}},
        From);
  else if (const auto *Refusal = Message.body.AsRefuse())
    Grants_->onDecision(RefuseDecision{fromWire(Refusal->id),
                                       static_cast<ResultCode>(Refusal->code),
                                       milliseconds(Refusal->retry_after_ms),
                                       {}},
                        From);
  else if (const auto *Cancel = Message.body.AsCancel())
    Grants_->onDecision(CancelDecision{fromWire(Cancel->id), {}, {}}, From);
  else if (const auto *Reply = Message.body.AsDocumentReply())
    Configuration_->documentReceived(ServiceName(Reply->service),
                                     Reply->envelope);
}

void Daemon::onDecided(const Decision &Taken) {
  const VmId &Entry = entryOf(Taken);
  if (Entry == Settings_.Vm_)
    Grants_->onDecision(Taken, Settings_.Vm_);
  else
    Peers_->reply(Entry, encodeDecision(Taken));
}

void Daemon::onMemberChanged(const Member &Changed) {
  logEvent(LogCategory::Membership, spdlog::level::info, "member",
           {{"member", Changed.Id_.str()},
            {"status", std::string(memberStatusName(Changed.Status_))}});
  refreshSoon();
  if (Changed.Status_ != MemberStatus::Dead)
    return;
  asio::post(Control_, [this, Id = Changed.Id_] { Keeper_->entryDead(Id); });
}

void Daemon::onDocumentChanged(const ServiceName &) {
  applyLogLevel();
  // At once: a version counts as in force when it is adopted, and then the
  // keepers' schedulers must go by it as well.
  Keeper_->refresh();
  Membership_->spreadNews();
  refreshSoon();
}

void Daemon::applyLogLevel() {
  auto Snapshot = Documents_.snapshot();
  // The most talkative level that any service asks for.
  auto Level = spdlog::level::from_str(Settings_.LogLevel_);
  for (const auto &[Name, Service] : Snapshot->Services_)
    Level =
        std::min(Level, spdlog::level::from_str(Service.Document_->LogLevel_));
  spdlog::set_level(Level);
}

void Daemon::refreshSoon() {
  if (std::exchange(RefreshPending_, true))
    return;
  RefreshTimer_.expires_after(RefreshDelay);
  RefreshTimer_.async_wait([this](const boost::system::error_code &Error) {
    RefreshPending_ = false;
    if (Error)
      return;
    MemberSnapshot_.write(
        std::make_shared<std::vector<Member>>(Members_->others()));
    Keeper_->refresh();
    Grants_->rebind();
  });
}

void Daemon::onVmsListed(const std::vector<ListedVm> &Listed) {
  std::set<Endpoint> Leaving;
  std::set<VmId> Daemons;
  for (const ListedVm &Vm : Listed) {
    auto Address = parseEndpoint(Vm.Address_);
    if (!Address)
      continue;
    if (Vm.Role_ == VmRole::Backend) {
      if (Vm.Leaving_)
        Leaving.insert(*Address);
      continue;
    }
    Daemons.insert(Vm.Id_);
    if (Vm.Id_ != Settings_.Vm_ && !Members_->find(Vm.Id_))
      Membership_->join(*Address);
  }
  Members_->forgetDead([&](const VmId &Id) { return Daemons.contains(Id); });
  bool Changed = Documents_.snapshot()->LeavingAddresses_ != Leaving;
  Documents_.setLeavingAddresses(std::move(Leaving));
  if (Changed)
    refreshSoon();
}

bool Daemon::isReady() const { return Ready_; }

RequestId Daemon::nextRequestId() { return {Origin_, NextSequence_++}; }

int Daemon::run() {
  Signals_.add(SIGTERM);
  Signals_.add(SIGINT);
  Signals_.async_wait([this](const boost::system::error_code &Error, int) {
    if (!Error)
      beginDrain();
  });
  Membership_->start();
  std::ranges::for_each(Settings_.SeedPeers_, [this](const Endpoint &Peer) {
    Membership_->join(Peer);
  });
  Configuration_->start();
  Engines_->start();
  if (Settings_.TraceCollector_.port() != 0)
    Traces_->start();
  awaitDrained();
  for (auto &Present : Workers_)
    Present->Thread_ = std::thread([&Context = Present->Context_] {
      auto Guard = asio::make_work_guard(Context);
      Context.run();
    });
  Control_.run();
  for (auto &Present : Workers_) {
    Present->Context_.stop();
    Present->Thread_.join();
  }
  logEvent(LogCategory::Process, spdlog::level::info, "stopped");
  return 0;
}

/// A planned stop. The balancer goes on sending for some seconds, so new
/// connections are still taken; others learn at once that this daemon leaves
/// and take its cells.
void Daemon::beginDrain() {
  logEvent(LogCategory::Process, spdlog::level::info, "draining");
  Draining_ = true;
  DrainStarted_ = steady_clock::now();
  Members_->leave();
  Membership_->spreadNews();
  CallerServer_->closeAfterAnswers();
  refreshSoon();
}

/// Checks regularly whether the daemon became ready, or its stop is complete.
void Daemon::awaitDrained() {
  Ready_ = Configuration_->ready();
  auto Drained = steady_clock::now() - DrainStarted_;
  if (Draining_ && Drained >= Settings_.DrainDelay_) {
    CallerServer_->stopAccepting();
    bool Idle = CallerServer_->activeExchanges() == 0;
    if (Idle || Drained >= Settings_.DrainTimeout_)
      return stopAll();
  }
  DrainTimer_.expires_after(DrainCheckInterval);
  DrainTimer_.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      awaitDrained();
  });
}

void Daemon::stopAll() {
  Membership_->stop();
  Peers_->stop();
  Keeper_->stop();
  Control_.stop();
}

} // namespace samphireshunt
