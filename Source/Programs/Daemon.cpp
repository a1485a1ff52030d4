#include "Programs/Daemon.h"

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Common/ProcessMemory.h"
#include "Process/Configuration/MeasuredPlatform.h"
#include "Process/Keeping/KeeperMessages.h"
#include "Process/Membership/PeerPort.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <iterator>

namespace samphireshunt {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Subtracted from the revocation bound for the time between the last check of
/// the freshness lease and the arrival at the engine: the dispatch and the
/// network.
constexpr milliseconds RevocationMargin{300};
/// Subtracted from the bound for changes: within this time readers learn of
/// each change.
constexpr milliseconds ApplyMargin{800};
/// Minimum idle timeout of callers' connections.
constexpr milliseconds MinIdleTimeout{30000};
/// Added to the configured idle timeout, since callers start to measure it at a
/// different moment than this daemon.
constexpr milliseconds IdleSlack{1000};
/// After an outage of the platform's service, servers whose registration
/// expired in the meantime register again; the platform guarantees this within
/// about two seconds.
constexpr milliseconds RegisterAgainTime{2400};
/// Delay by which changes that arrive together are processed together.
constexpr milliseconds RefreshDelay{5};
/// The owner of a roll-out acts only while what it knows of the platform's
/// service is at most this old.
constexpr milliseconds RolloutStateAge{3000};
/// After a longer time without the list, a version may have served and left
/// meanwhile. Confirmations are up to 3.2 s apart.
constexpr milliseconds MaxDirectoryGap{4000};

Incarnation newIncarnation() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  auto Millis = std::chrono::duration_cast<milliseconds>(Now).count();
  return Incarnation(static_cast<std::uint64_t>(Millis));
}

const VmId &ingressOf(const Decision &Taken) {
  return std::visit(
      [](const auto &Value) -> const VmId & { return Value.Ingress_; }, Taken);
}

constexpr std::size_t BytesPerMb = 1000 * 1000;
/// Two documents of the largest size, in whatever encoding, at once.
constexpr std::size_t OperatorBytes = 4 * BytesPerMb;

/// \returns how many bytes may be held for callers: a third of the process's
/// memory. Another third is for the process itself, and the last one for bytes
/// that the kernel has received and not yet passed on.
std::size_t bufferBytes(std::uint32_t MemoryMb) {
  constexpr std::size_t Parts = 3;
  return MemoryMb * BytesPerMb / Parts;
}

/// \returns the bytes at which the process is ended; 0 if that is not known.
std::size_t processMemory(const Settings &Configured) {
  if (Configured.ProcessMemoryMb_ > 0)
    return static_cast<std::size_t>(Configured.ProcessMemoryMb_ * BytesPerMb);
  return vmMemoryBytes();
}

/// \returns how many bytes the kernel may hold of what callers send and this
/// process does not read, and as many of heads that are not whole; 0: without
/// limit.
std::size_t receiveBytes(const Settings &Configured) {
  constexpr std::size_t Parts = 16;
  return processMemory(Configured) / Parts;
}

/// \returns how many callers' connections there may be: a fifth of the memory
/// is for them.
std::size_t maxConnections(const Settings &Configured) {
  constexpr std::size_t Parts = 5;
  constexpr std::size_t ConnectionBytes = 16 * 1024;
  constexpr std::size_t Fewest = 256;
  std::size_t Memory = processMemory(Configured);
  if (Memory == 0)
    return Configured.MaxConnections_;
  return std::min(Configured.MaxConnections_,
                  std::max(Fewest, Memory / Parts / ConnectionBytes));
}

/// \returns how many bytes of answers, as many of requests' bodies, and as many
/// of other daemons' messages may be held. An eighth: a body is held up to
/// three times while it is sent.
std::size_t wholeMessageBytes(const Settings &Configured) {
  constexpr std::size_t Parts = 8;
  if (Configured.WholeMessagesMb_ > 0)
    return Configured.WholeMessagesMb_ * BytesPerMb;
  if (Configured.MemoryMb_ > 0)
    return Configured.MemoryMb_ * BytesPerMb / Parts;
  std::size_t Known = processMemory(Configured);
  return Known > 0 ? Known / Parts : MemoryBudget::NoLimit;
}

/// \returns the largest state of another daemon that is unpacked, in bytes: it
/// is held twice while its entries are taken in.
std::size_t maxStateBytes(const Settings &Configured) {
  constexpr std::size_t Parts = 6;
  constexpr std::size_t Largest = 64 * BytesPerMb;
  std::size_t Memory = processMemory(Configured);
  return Memory > 0 ? std::min(Memory / Parts, Largest) : Largest;
}

/// \returns the longest value of the platform's service that is read. Its text
/// is held in base64, parsed and decoded beside the version in force; a text
/// of another daemon takes less.
StoreLimits storeLimits(const Settings &Configured) {
  constexpr std::size_t MemoryPerByte = 10;
  constexpr std::size_t OwnBytes = 24 * BytesPerMb;
  constexpr std::size_t Smallest = 3 * BytesPerMb;
  constexpr std::size_t Largest = 64 * BytesPerMb;
  std::size_t Memory = processMemory(Configured);
  if (Memory == 0)
    return {Largest};
  std::size_t Free = Memory - std::min(Memory, OwnBytes);
  return {std::clamp(Free / MemoryPerByte, Smallest, Largest)};
}

/// \returns how long a newer configuration may be known without being active;
/// 0: without limit.
milliseconds applyTime(milliseconds Bound) {
  return std::max(Bound - ApplyMargin, Bound / 2);
}

Scheduler::Options schedulingOptions(const Settings &Configured) {
  auto IsEnabled = [&](std::string_view Name) {
    return std::ranges::count(Configured.DisabledDecisions_, Name) == 0;
  };
  Scheduler::Options Options;
  Options.TwoChoices_ = Configured.TwoChoices_;
  Options.StrictTiers_ = IsEnabled("tiers");
  Options.FairCustomers_ = IsEnabled("fairness");
  Options.RefuseInfeasible_ = IsEnabled("feasibility");
  Options.Preempt_ = IsEnabled("preemption");
  Options.UsePrefixes_ = IsEnabled("prefixes");
  Options.UseSpeeds_ = IsEnabled("speeds");
  Options.AdaptLimits_ = IsEnabled("limits");
  Options.LimitPauses_ = IsEnabled("pauses");
  Options.CountMissedSeparately_ = IsEnabled("late-apart");
  Options.DeferLongAnswers_ = IsEnabled("lengths");
  Options.ScheduleRetries_ = IsEnabled("returns");
  Options.ReserveFastEngines_ = IsEnabled("quick");
  Options.SuspendStreams_ = IsEnabled("suspension");
  Options.BackUpRuns_ = IsEnabled("backups");
  Options.UseWorkTimes_ = IsEnabled("work-time");
  if (Configured.ByObjective_) {
    Options.GuaranteedShare_ = Configured.GuaranteedShare_;
    Options.RefuseLongWaits_ = true;
    Options.Preempt_ = false;
  }
  if (Configured.TwoChoices_)
    Options.StrictTiers_ = Options.RefuseInfeasible_ = Options.Preempt_ = false;
  return Options;
}

} // namespace

Result<std::unique_ptr<Daemon>> Daemon::create(Settings Configured,
                                               PlatformAdapter Adapter) {
  std::unique_ptr<Daemon> Built(
      new Daemon(std::move(Configured), std::move(Adapter)));
  auto Wired = Built->wire();
  if (!Wired)
    return Wired.error();
  return Built;
}

Daemon::Daemon(Settings Configured, PlatformAdapter Adapter)
    : Settings_(std::move(Configured)), Adapter_(std::move(Adapter)),
      Freshness_(Settings_.RevocationBound_.count() > 0
                     ? Settings_.RevocationBound_ - RevocationMargin
                     : milliseconds(0),
                 applyTime(Settings_.ApplyBound_), MaxDirectoryGap),
      Memory_(bufferBytes(Settings_.MemoryMb_), wholeMessageBytes(Settings_)),
      OperatorMemory_(0, OperatorBytes), Incarnation_(newIncarnation()),
      MemberSnapshot_(std::make_shared<std::vector<Member>>()),
      RelayCandidates_(std::make_shared<std::vector<RelayCandidate>>()),
      MemberLog_(Control_), PreviousProcess_(Incarnation_, steady_clock::now()),
      KeeperChoice_([this] { return Members_->keepers(); }), Signals_(Control_),
      DrainTimer_(Control_), RefreshTimer_(Control_) {
  Memory_.onLevelChanged([](MemoryLevel Level) {
    logEvent(LogCategory::Request, spdlog::level::info, "memory-level",
             {{"level", std::string(memoryLevelName(Level))}});
  });
  Origin_ = stableHash(Settings_.Vm_.str(), Incarnation_.count());
  ReadLimits_ = storeLimits(Settings_);
  Platform_ = measuredPlatform(
      notingRefusedItems(Adapter_.Hooks_(Settings_.Platform_,
                                         Settings_.PlatformTimeout_,
                                         ReadLimits_),
                         RefusedItems_),
      [this](const std::string &Call, bool Succeeded,
             std::chrono::microseconds Time) {
        Metrics_.reportPlatformCall(Call, Succeeded, Time);
      });
  RetryBudget::Options Budget;
  Budget.Ratio_ = Settings_.RetryRatio_;
  Budget.Allowance_ = Settings_.ExtraRetries_;
  Budget.Window_ = Settings_.RetryWindow_;
  Budget.Started_ = steady_clock::now();
  RetryBudget_ = std::make_unique<RetryBudget>(Budget);
  Claims_ = std::make_unique<ClaimStore>(Platform_, ClaimStore::Options());
}

Daemon::~Daemon() = default;

Result<void> Daemon::wire() {
  Udp::socket Datagrams(Control_);
  if (auto Done = wirePeers(Datagrams); !Done)
    return Done;
  if (auto Done = wireRelay(); !Done)
    return Done;
  if (auto Done = wireOperators(); !Done)
    return Done;
  wireMembership(std::move(Datagrams));
  wireKeeper();
  wireOrigins();
  wireConfiguration();
  return wireCallers();
}

PeerNetwork::Hooks Daemon::peerHooks() {
  PeerNetwork::Hooks Hooks;
  Hooks.RequestReceived_ = [this](const VmId &From, wire::EnvelopeT Message) {
    Members_->heardOnLink(From, steady_clock::now());
    Origins_->heardOther(From);
    onPeerRequest(From, std::move(Message));
  };
  Hooks.ReplyReceived_ = [this](const VmId &From, wire::EnvelopeT Message) {
    Members_->heardOnLink(From, steady_clock::now());
    Origins_->heardOther(From);
    onPeerResponse(From, std::move(Message));
  };
  Hooks.LinkEnded_ = [this](const VmId &Other) {
    Members_->linkEnded(Other, steady_clock::now());
  };
  Hooks.LinkDown_ = [this](const VmId &To, LinkLoss Loss) {
    Grants_->onLinkDown(To, Loss);
    if (Loss == LinkLoss::Reset)
      Origins_->otherEnded(To);
    Origins_->onLinkDown(To);
    if (PeerFollower_)
      PeerFollower_->onLinkDown(To);
  };
  Hooks.PeerConnected_ = [this](const VmId &From) {
    Keeper_->ingressReconnected(From);
  };
  Hooks.PeerDisconnected_ = [this](const VmId &From) {
    Keeper_->ingressDisconnected(From);
  };
  Hooks.Awaiting_ = [this](const VmId &To) {
    return Grants_->awaiting(To) || Origins_->awaiting(To) ||
           (PeerFollower_ && PeerFollower_->awaiting(To));
  };
  Hooks.AddressOf_ = [this](const VmId &To) -> std::optional<std::string> {
    auto Known = Members_->find(To);
    return Known ? std::optional(Known->Address_) : std::nullopt;
  };
  return Hooks;
}

Result<void> Daemon::wirePeers(Udp::socket &Datagrams) {
  auto OpenStreams = [this]() -> Result<Endpoint> {
    PeerNetwork::Options Options;
    Options.Memory_ = &Memory_;
    auto Peers = PeerNetwork::create(Control_, Settings_.Peers_, Settings_.Vm_,
                                     Options, peerHooks());
    if (!Peers)
      return Peers.error();
    Peers_ = std::move(*Peers);
    return Peers_->address();
  };
  auto OpenDatagrams = [&](const Endpoint &Address) -> Result<void> {
    auto Bound = MembershipService::bind(Control_, Address);
    if (!Bound)
      return Bound.error();
    Datagrams = std::move(*Bound);
    return {};
  };
  return openOnSamePort(Settings_.Peers_, OpenStreams, OpenDatagrams);
}

Result<void> Daemon::wireRelay() {
  RelayServer::Options Options;
  Options.Address_ = Settings_.Relay_;
  auto Open = [this](RelayTarget Target) {
    return openForRelay(std::move(Target));
  };
  auto Created = RelayServer::create(Control_, Options, std::move(Open));
  if (!Created)
    return Created.error();
  Relay_ = std::move(*Created);
  return {};
}

Awaitable<RelayedSocket> Daemon::openForRelay(RelayTarget Target) {
  auto Snapshot = Documents_.snapshot();
  const BackendServer *Server =
      Snapshot->activeServer(Target.Service_, Target.Pool_, Target.Server_);
  RelayedSocket Refused;
  Refused.Result_ = RelayResult::UnknownServer;
  if (!Server)
    co_return Refused;
  Refused.Result_ = RelayResult::NotNow;
  if (!Grants_->holds()->maySend(Server->Name_, Server->Incarnation_,
                                 steady_clock::now()))
    co_return Refused;
  auto Executor = co_await asio::this_coro::executor;
  auto &Context = asio::query(Executor, asio::execution::context);
  auto Found = std::ranges::find_if(
      Workers_, [&](const auto &Known) { return Known->Context_ == &Context; });
  ServerTarget Known{std::move(Target), Server->Address_};
  co_return co_await (*Found)->Servers_->openForRelay(std::move(Known));
}

std::vector<RelayCandidate> Daemon::relayCandidates() const {
  std::vector<RelayCandidate> Candidates;
  for (const Member &Known : Members_->others()) {
    auto Address = parseEndpoint(Known.Address_);
    if (Known.Status_ != MemberStatus::Alive || Known.RelayPort_ == 0 ||
        !Address)
      continue;
    Candidates.push_back({Known.Id_,
                          Endpoint(Address->address(), Known.RelayPort_),
                          Known.DataCenter_ == Settings_.DataCenter_});
  }
  return Candidates;
}

void Daemon::wireMembership(Udp::socket Datagrams) {
  Member Self;
  Self.Id_ = Settings_.Vm_;
  Self.Incarnation_ = Incarnation_;
  Self.DataCenter_ = Settings_.DataCenter_;
  Self.LinkMbps_ = Settings_.LinkMbps_;
  Self.RelayPort_ = Relay_->address().port();
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
  Members_->onHeard([this] {
    if (Follower_)
      Follower_->heardOther();
  });
  Members_->onRestarted([this](const Member &Restarted) {
    ++RestartedMembers_;
    MemberLog_.restarted(Restarted);
  });
  Members_->onVanished([this](const VmId &Id, const ProcessEnd &End) {
    MemberLog_.vanished(Id, End, steady_clock::now());
  });
  MembershipService::Hooks Hooks;
  Hooks.MemoryPercent_ = [this] {
    return memoryPercent(processMemoryBytes(), processMemory(Settings_));
  };
  Hooks.PreviousEndSeen_ = [this](const VmId &From, const ProcessEnd &End) {
    PreviousProcess_.onReport(From, End, steady_clock::now());
  };
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
    ServiceName Service(Version.service);
    DocumentVersion Seen(Version.version);
    if (Configuration_)
      Configuration_->versionAnnounced(From, Service, Seen);
    if (PeerFollower_ && Service == Adapter_.Layout_->Service_)
      PeerFollower_->onVersionAnnounced(From, Seen);
  };
  Hooks.Floors_ = [this] { return Keeper_->floors(); };
  Hooks.FloorSeen_ = [this](const PoolFloor &Floor) {
    Keeper_->onRemoteFloor(Floor);
  };
  Hooks.CrashDigest_ = [this] { return Crashes_.digest(); };
  Hooks.CrashRecords_ = [this](bool Differs) {
    return Crashes_.recordsToSend(Differs);
  };
  Hooks.CrashSeen_ = [this](const wire::CrashRecordT &Received) {
    Crashes_.recordReceived(Received);
  };
  Membership_ =
      MembershipService::create(Control_, std::move(Datagrams), *Members_,
                                MembershipService::Options(), std::move(Hooks));
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
  ClientHooks.Check_ = [this](const VmId &Id) { Membership_->check(Id); };
  ClientHooks.Ended_ = [this](const ServerName &Server,
                              const ServedSample &Sample) {
    Crashes_.requestEnded(Server, Sample);
    reportParts(Server, Sample);
  };
  Grants_ = std::make_unique<GrantClient>(Control_, Settings_.Vm_,
                                          std::move(ClientHooks));
  KeeperService::Hooks Hooks;
  Hooks.Decided_ = [this](const CellId &, const Decision &Taken) {
    onDecided(Taken);
  };
  Hooks.Orphaned_ = [this](const OrphanedRequest &Orphan) {
    Engines_->handleOrphan(Orphan);
  };
  Hooks.AloneInFleet_ = [this] { return Members_->others().empty(); };
  Hooks.IsKeeper_ = [this](const CellId &Cell) {
    return keeperFor(Cell, {}) == Settings_.Vm_;
  };
  Hooks.LiveShare_ = [this] { return Members_->liveShare(); };
  Hooks.FloorRaised_ = [this] { Membership_->spreadUpdates(); };
  Hooks.Ended_ = [this](const ServerName &Server, const ServedSample &Sample) {
    Crashes_.requestEnded(Server, Sample);
  };
  Hooks.StandingOf_ = [this](const RequestFingerprint &Request) {
    return Crashes_.standing(Request);
  };
  Hooks.Granted_ = [this](const CellId &Cell, const ServerName &Server) {
    if (Rollouts_)
      Rollouts_->granted(Cell, Server);
  };
  Hooks.Served_ = [this](const CellId &Cell, const RunningRequest &Request,
                         const ServedSample &Sample) {
    if (Rollouts_)
      Rollouts_->ended(Cell, Request, Sample);
  };
  Hooks.CanaryGrantsLeft_ = [this](const CellId &Cell) {
    return Rollouts_ ? Rollouts_->canaryGrantsLeft(Cell) : 0;
  };
  CrashTracker::Hooks CrashHooks;
  CrashHooks.Refused_ = [this](const RequestFingerprint &Request) {
    asio::post(Control_, [this, Request] { Keeper_->refuseCrashing(Request); });
  };
  CrashHooks.Spread_ = [this] {
    asio::post(Control_, [this] { Membership_->spreadUpdates(); });
  };
  Crashes_.setHooks(std::move(CrashHooks));
  KeeperService::Options Options;
  Options.Scheduling_ = schedulingOptions(Settings_);
  Options.Scheduling_.Seed_ = Origin_;
  // One request ahead per server raises the mean value of answers. Over eight
  // seeds, with none and with one ahead, it is 0.619 and 0.652 on the hardest
  // day of Red Clay, and 0.561 and 0.569 on that of Quilotoa Alto.
  auto IsEnabled = [&](std::string_view Name) {
    return std::ranges::count(Settings_.DisabledDecisions_, Name) == 0;
  };
  if (Settings_.ByObjective_ && IsEnabled("ahead"))
    Options.AheadPerServer_ = 1;
  Options.ReserveHeadroom_ = IsEnabled("room");
  Options.Allotments_.Window_ = Settings_.AllotmentWindow_;
  Options.Allotments_.Overrun_ = Settings_.AllotmentOverrun_;
  Options.Allotments_.Credit_ = Settings_.AllotmentCredit_;
  Keeper_ = std::make_unique<KeeperService>(Control_, Documents_, Options,
                                            std::move(Hooks));
  Grants_->setLocalKeeper(Keeper_.get());
  Engines_ = std::make_unique<EngineMonitor>(Control_, Documents_, *Keeper_,
                                             EngineMonitor::Options());
}

/// Reports a crash to the daemons that collect those of the parts that may have
/// caused it.
void Daemon::reportParts(const ServerName &Server, const ServedSample &Sample) {
  auto Records = Crashes_.partRecords(Server, Sample);
  if (Records.empty())
    return;
  std::vector<VmId> Fleet = recordKeeperCandidates();
  Fleet.push_back(Settings_.Vm_);
  for (wire::CrashRecordT &Record : Records) {
    VmId To = crashCollector(*Record.request, Fleet);
    if (To != Settings_.Vm_)
      Peers_->send(To, encodeMessage(std::move(Record)));
  }
}

void Daemon::wireOrigins() {
  StreamOriginService::Hooks Hooks;
  Hooks.Send_ = [this](const VmId &To, std::string Message) {
    Peers_->send(To, std::move(Message));
  };
  Hooks.Reply_ = [this](const VmId &To, std::string Message) {
    Peers_->reply(To, std::move(Message));
  };
  Hooks.Others_ = [this] { return recordKeeperCandidates(); };
  Hooks.VersionOf_ = [this](const UnrecordedStream &Stream) {
    return versionOf(Stream);
  };
  Hooks.ConfirmList_ = [this] { PeerFollower_->confirmSoon(); };
  Origins_ = std::make_unique<StreamOriginService>(
      Control_, StreamOriginService::Options(), std::move(Hooks));
}

std::vector<VmId> Daemon::recordKeeperCandidates() const {
  std::vector<VmId> Candidates;
  for (const Member &Other : Members_->others())
    if (Other.Status_ == MemberStatus::Alive ||
        Other.Status_ == MemberStatus::Suspect)
      Candidates.push_back(Other.Id_);
  return Candidates;
}

StreamVersion Daemon::versionOf(const UnrecordedStream &Stream) const {
  // The servers of the product's own documents have no versions.
  if (!View_)
    return {StreamVersion::Proof::Shown, {}};
  return VersionTimeline_.versionOf(
      Stream, {Freshness_.confirmedAt(), Freshness_.unbrokenSince()});
}

void Daemon::wireRollouts() {
  RolloutService::Hooks Hooks;
  Hooks.Put_ = Platform_.Put_;
  Hooks.KeeperOf_ = [this](const CellId &Cell) { return keeperFor(Cell, {}); };
  Hooks.CellCount_ = [this](const PoolName &Pool) {
    auto Snapshot = Documents_.snapshot();
    const ServiceConfiguration *Service =
        Snapshot->service(Adapter_.Layout_->Service_);
    const samphireshunt::Pool *Known = Service ? Service->pool(Pool) : nullptr;
    return Known ? cellCount(*Known) : 0;
  };
  Hooks.Send_ = [this](const VmId &To, std::string Message) {
    Peers_->send(To, std::move(Message));
  };
  Hooks.Reply_ = [this](const VmId &To, std::string Message) {
    Peers_->reply(To, std::move(Message));
  };
  // Posted, since the selection may change while entries are applied.
  Hooks.SelectionChanged_ = [this] {
    asio::post(Control_, [this] { View_->publishAgain(); });
  };
  Hooks.IsCurrent_ = [this] {
    return PeerFollower_->hasSource() &&
           Freshness_.age(BootClock::now()) < RolloutStateAge;
  };
  Hooks.LiveShare_ = [this] { return Members_->liveShare(); };
  Hooks.CountRunning_ =
      [this](const PoolName &Pool,
             const std::function<bool(const ServerName &)> &Matches) {
        return Keeper_->countRunning(Pool, Matches);
      };
  RolloutService::Options Options;
  Options.Owner_.ExposureShare_ = Settings_.RolloutExposureShare_;
  Options.Owner_.ExposureSlack_ = Settings_.RolloutExposureSlack_;
  Rollouts_ = std::make_unique<RolloutService>(
      Control_, Settings_.Vm_, Adapter_.Layout_->Service_, Adapter_.Rollouts_,
      Options, std::move(Hooks));
}

void Daemon::wireFollower() {
  wireRollouts();
  View_ = std::make_unique<StoreView>(Documents_, *Adapter_.Layout_,
                                      StoreView::Times{RegisterAgainTime});
  StoreView::Hooks ViewHooks;
  ViewHooks.DaemonEntryRead_ = [this](const VmId &Id, const KeyValue &Entry) {
    Follower_->onDaemonEntry(Id, Entry);
    onDaemonRegistered(Id, Entry.Value_);
  };
  ViewHooks.Changed_ = [this] { PeerFollower_->onChanged(); };
  ViewHooks.RolloutEntryChanged_ = [this](const KeyValue &Entry) {
    Rollouts_->entryChanged(Entry);
  };
  ViewHooks.SelectServers_ = [this](ServersByPool Registered) {
    VersionTimeline_.note(Registered, BootClock::now());
    return Rollouts_->select(std::move(Registered));
  };
  // Posted, since the servers may not be noted yet.
  ViewHooks.Applied_ = [this] {
    asio::post(Control_,
               [this] { Origins_->listConfirmed(Freshness_.confirmedAt()); });
  };
  View_->setHooks(std::move(ViewHooks));
  Follower_ = std::make_unique<StoreFollower>(
      Control_, Platform_, *View_, Freshness_, StoreFollower::Options());
  PeerFollower::Hooks Hooks;
  Hooks.ChooseReaders_ = [this] {
    if (!ReaderChoice_)
      ReaderChoice_ = chooseReaders(Members_->self(), Members_->keepers(),
                                    Settings_.DaemonsPerReader_);
    return *ReaderChoice_;
  };
  Hooks.Send_ = [this](const VmId &To, std::string Message) {
    Peers_->send(To, std::move(Message));
  };
  Hooks.Reply_ = [this](const VmId &To, std::string Message) {
    Peers_->reply(To, std::move(Message));
  };
  PeerFollower::Options Options;
  Options.MaxTextBytes_ = maxTextBytesFor(processMemory(Settings_));
  Options.MaxStateBytes_ = maxStateBytes(Settings_);
  PeerFollower_ =
      std::make_unique<PeerFollower>(Control_, Incarnation_, *Follower_, *View_,
                                     Freshness_, Options, std::move(Hooks));
}

void Daemon::onDaemonRegistered(const VmId &Id, const std::string &Text) {
  if (Id == Settings_.Vm_ || Members_->find(Id))
    return;
  scheduleRefresh();
  auto Address = parseEndpoint(Text);
  if (Address)
    return Membership_->join(*Address);
  logEvent(LogCategory::Membership, spdlog::level::err, "bad-address",
           {{"member", Id.str()}, {"detail", Address.error().Detail_}});
}

void Daemon::wireConfiguration() {
  Documents_.onChanged([this](const ServiceName &Service, DocumentVersion) {
    onDocumentChanged(Service);
  });
  TraceExporter::Options TraceOptions;
  TraceOptions.Collector_ = Settings_.TraceCollector_;
  TraceOptions.Vm_ = Settings_.Vm_.str();
  Traces_ = std::make_unique<TraceExporter>(Control_, TraceOptions);
  if (Adapter_.Layout_)
    return wireFollower();
  ConfigurationSync::Hooks Hooks;
  Hooks.RequestDocument_ = [this](const VmId &From,
                                  const ServiceName &Service) {
    wire::DocumentRequestT Request;
    Request.service = Service.str();
    Peers_->send(From, encodeMessage(std::move(Request)));
  };
  Hooks.VmsListed_ = [this](const std::vector<ListedVm> &Listed) {
    onVmsListed(Listed);
  };
  Hooks.HeardFromPeer_ = [this] {
    return Membership_->protocol().receivedFromPeer();
  };
  Configuration_ = std::make_unique<ConfigurationSync>(
      Control_, Platform_, Documents_, Freshness_, ConfigurationSync::Options(),
      std::move(Hooks));
  // Documents count as current from when they were read until a newer version
  // is seen.
  Freshness_.renew(BootClock::now());
}

RequestServices Daemon::requestServices(ServerConnector &Servers) {
  TraceSink Sink;
  if (Settings_.TraceCollector_.port() != 0)
    Sink = [this](TraceRecord Record) { Traces_->offer(std::move(Record)); };
  auto IsProcessAlive = [this](const VmId &Vm, Incarnation Process) {
    if (Vm == Settings_.Vm_)
      return Process == Incarnation_;
    auto Known = MemberSnapshot_.read();
    return std::ranges::any_of(*Known, [&](const Member &Other) {
      return Other.Id_ == Vm && Other.Incarnation_ == Process &&
             Other.Status_ != MemberStatus::Dead;
    });
  };
  return {Documents_,
          *Grants_,
          *Claims_,
          Servers,
          Crashes_,
          Settings_.Vm_,
          Incarnation_,
          IsProcessAlive,
          [this](const RequestReport &Seen) { Metrics_.report(Seen); },
          Sink,
          Adapter_.Dialect_,
          Freshness_,
          *RetryBudget_,
          [this] { return currentStop(); },
          *Origins_,
          Memory_,
          schedulingOptions(Settings_).SuspendStreams_};
}

std::unique_ptr<Daemon::Worker> Daemon::makeWorker(bool OnControlThread) {
  auto Made = std::make_unique<Worker>();
  Made->Context_ = &Control_;
  if (!OnControlThread)
    Made->Context_ =
        WorkerContexts_.emplace_back(std::make_unique<asio::io_context>(1))
            .get();
  ServerConnector::Options Connecting;
  Connecting.Connect_ = Adapter_.ConnectServer_;
  ServerConnector::Hooks Hooks;
  Hooks.Relays_ = [this] { return RelayCandidates_.read(); };
  Hooks.IsOwnAddress_ = [this](const Endpoint &Address) {
    return OwnAddresses_.contains(Address);
  };
  Made->Servers_ = std::make_unique<ServerConnector>(
      *Made->Context_, std::move(Connecting), std::move(Hooks));
  Made->Callers_ = std::make_unique<CallerService>(
      requestServices(*Made->Servers_), [this] { return isReady(); },
      [this] { return nextRequestId(); });
  return Made;
}

/// \returns the limits for callers that the active configuration allows, and at
/// least those of this program's settings.
HttpLimits Daemon::callerLimits() const {
  HttpLimits Limits{HttpServerOptions().MaxHeaderBytes_,
                    HttpServerOptions().MaxBodyBytes_, Settings_.ReadTimeout_};
  auto Snapshot = Documents_.snapshot();
  for (const auto &[Name, Service] : Snapshot->Services_) {
    const ServiceLimits &Configured = Service.Document_->Limits_;
    Limits.MaxHeaderBytes_ =
        std::max(Limits.MaxHeaderBytes_, Configured.MaxHeaderBytes_);
    Limits.MaxBodyBytes_ =
        std::max(Limits.MaxBodyBytes_, Configured.MaxBodyBytes_);
    if (Configured.IdleTimeout_.count() > 0)
      Limits.IdleTimeout_ = std::max({Limits.IdleTimeout_, MinIdleTimeout,
                                      Configured.IdleTimeout_ + IdleSlack});
  }
  return Limits;
}

void Daemon::reportCut(const HttpRequest &Request, CutReason Reason) {
  Metrics_.reportCut(Reason);
  constexpr std::uint32_t LinesPerSecond = 20;
  thread_local LogSampler Sampler(LinesPerSecond);
  auto Dropped =
      Sampler.admit(static_cast<int>(Reason), std::chrono::steady_clock::now());
  if (Dropped)
    logEvent(LogCategory::Request, spdlog::level::info, "caller-cut",
             {{"call", Adapter_.Dialect_.ReadCall_(Request.Fields_).CallId_},
              {"reason", std::string(cutReasonName(Reason))},
              {"dropped", std::to_string(*Dropped)}});
}

HttpResponse Daemon::refuseUnread(const Failure &Cause) {
  Verdict Ended;
  Ended.Code_ = Cause.Code_;
  Ended.Detail_ = Cause.Detail_;
  RequestId Id = nextRequestId();
  constexpr std::uint32_t LinesPerSecond = 20;
  thread_local LogSampler Sampler(LinesPerSecond);
  auto Dropped = Sampler.admit(static_cast<int>(Cause.Code_),
                               std::chrono::steady_clock::now());
  if (Dropped)
    logEvent(LogCategory::Request, spdlog::level::info, "request-unread",
             {{"request", Id.str()},
              {"code", std::to_string(static_cast<int>(Cause.Code_))},
              {"detail", Cause.Detail_},
              {"dropped", std::to_string(*Dropped)}});
  return finalResponse(Id, Ended);
}

Result<void> Daemon::wireCallers() {
  std::vector<asio::io_context *> Contexts;
  std::map<asio::execution_context *, CallerService *> ByContext;
  bool OnControlThread = Settings_.Threads_ == 0;
  std::size_t Count = std::max<std::size_t>(1, Settings_.Threads_);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    auto Added = makeWorker(OnControlThread);
    Contexts.push_back(Added->Context_);
    ByContext[Added->Context_] = Added->Callers_.get();
    Workers_.push_back(std::move(Added));
  }
  Relay_->start(Contexts);
  HttpServerOptions Options;
  Options.Address_ = Settings_.Callers_;
  Options.MaxConnections_ = maxConnections(Settings_);
  Options.ReadTimeout_ = Settings_.ReadTimeout_;
  Options.Limits_ = [this] { return callerLimits(); };
  Options.ReceiveBytes_ = receiveBytes(Settings_);
  Options.Fields_ = Adapter_.Dialect_.Fields_;
  // Checks only state that all workers share.
  Options.CheckBody_ =
      [Any = Workers_.front()->Callers_.get()](const HttpRequest &Head) {
        return Any->checkHead(Head);
      };
  Options.Handler_ = [ByContext](HttpExchange &Exchange) -> Awaitable<void> {
    auto Executor = co_await asio::this_coro::executor;
    auto &Context = asio::query(Executor, asio::execution::context);
    co_await ByContext.at(&Context)->handle(Exchange);
  };
  Options.Cut_ = [this](const HttpRequest &Request, CutReason Reason) {
    reportCut(Request, Reason);
  };
  Options.Refusal_ = [this](const Failure &Cause) {
    return refuseUnread(Cause);
  };
  auto Server = HttpServer::create(Control_, std::move(Contexts), Memory_,
                                   std::move(Options));
  if (!Server)
    return Server.error();
  CallerServer_ = std::move(*Server);
  noteOwnAddresses();
  return {};
}

/// Called before any worker runs.
void Daemon::noteOwnAddresses() {
  std::vector<Endpoint> Listening = {CallerServer_->address(),
                                     OperatorServer_->address(),
                                     Peers_->address(), Relay_->address()};
  if (MetricsServer_)
    Listening.push_back(MetricsServer_->address());
  OwnAddresses_ = OwnAddresses(std::move(Listening), machineAddresses());
}

Result<void> Daemon::wireOperators() {
  OperatorService::Hooks Hooks;
  Hooks.IsReady_ = [this] { return isAcceptingCallers(); };
  Hooks.Status_ = [this] { return status(); };
  Hooks.Metrics_ = [this] { return metrics(); };
  Hooks.Vms_ = [this] { return vms(); };
  Operators_ = std::make_unique<OperatorService>(Platform_, std::move(Hooks));
  auto Server = HttpServer::create(Control_, {&Control_}, OperatorMemory_,
                                   operatorOptions(Settings_.Operators_));
  if (!Server)
    return Server.error();
  OperatorServer_ = std::move(*Server);
  if (Settings_.Metrics_.port() == 0)
    return {};
  auto Metrics = HttpServer::create(Control_, {&Control_}, OperatorMemory_,
                                    operatorOptions(Settings_.Metrics_));
  if (!Metrics)
    return Metrics.error();
  MetricsServer_ = std::move(*Metrics);
  return {};
}

HttpServerOptions Daemon::operatorOptions(const Endpoint &Address) {
  constexpr std::size_t MaxConnections = 256;
  HttpServerOptions Options;
  Options.Address_ = Address;
  Options.MaxConnections_ = MaxConnections;
  Options.MaxBodyBytes_ = OperatorBytes / 2;
  Options.ReceiveBytes_ = OperatorBytes;
  Options.Handler_ = [this](HttpExchange &Exchange) {
    return Operators_->handle(Exchange);
  };
  return Options;
}

std::optional<VmId>
Daemon::keeperFor(const CellId &Cell,
                  const std::vector<VmId> &Unreachable) const {
  if (Settings_.TwoChoices_)
    return Settings_.Vm_;
  return KeeperChoice_.keeperOf(Cell, Unreachable);
}

void Daemon::onPeerRequest(const VmId &From, wire::EnvelopeT Message) {
  if (const auto *Ask = Message.body.AsAsk())
    Keeper_->requestGrant(CellId::fromWire(Ask->cell), askFromWire(*Ask, From));
  else if (const auto *Withdraw = Message.body.AsWithdraw())
    Keeper_->withdraw(CellId::fromWire(Withdraw->cell), fromWire(Withdraw->id),
                      AskNumber(Withdraw->ask));
  else if (const auto *Running = Message.body.AsRunning())
    Keeper_->running(CellId::fromWire(Running->cell),
                     runningFromWire(*Running, From));
  else if (const auto *First = Message.body.AsFirstToken())
    Keeper_->firstToken(CellId::fromWire(First->cell), fromWire(First->id),
                        sampleFromWire(*First));
  else if (const auto *Goes = Message.body.AsNotSuspended())
    Keeper_->notSuspended(CellId::fromWire(Goes->cell), fromWire(Goes->id));
  else if (const auto *Limit = Message.body.AsServerLimit())
    Keeper_->limitRead(CellId::fromWire(Limit->cell), ServerName(Limit->server),
                       fromWire(Limit->id), rateFromWire(*Limit));
  else if (const auto *Notice = Message.body.AsServerNotice()) {
    auto Said = statementFromWire(*Notice);
    if (Said)
      Said->Ingress_ = From;
    if (Said && Notice->relayed)
      Grants_->hold(*Said);
    else if (Said)
      Keeper_->noticeRead(*Said);
  } else if (const auto *Done = Message.body.AsDone()) {
    if (Done->cell && !Done->cell->service.empty())
      Keeper_->done(CellId::fromWire(Done->cell), fromWire(Done->id),
                    sampleFromWire(*Done), AskNumber(Done->ask));
    else
      Keeper_->returnGrant(fromWire(Done->id), AskNumber(Done->ask));
  } else if (const auto *Record = Message.body.AsStreamOrigin())
    Origins_->onRecord(*Record);
  else if (const auto *Crash = Message.body.AsCrashRecord())
    Crashes_.recordReceived(*Crash);
  else if (const auto *Origin = Message.body.AsOriginAsk())
    Origins_->onAsk(From, *Origin);
  else if (const auto *Report = Message.body.AsRolloutReport();
           Report && Rollouts_)
    Rollouts_->onReport(From, *Report);
  else if (const auto *Request = Message.body.AsDocumentRequest())
    sendDocument(From, ServiceName(Request->service));
  else if (const auto *Follow = Message.body.AsFollow();
           Follow && PeerFollower_)
    PeerFollower_->onFollow(From, *Follow);
  else if (const auto *Text = Message.body.AsTextAsk(); Text && PeerFollower_)
    PeerFollower_->onTextRequest(From, *Text);
}

void Daemon::sendDocument(const VmId &To, const ServiceName &Service) {
  auto Snapshot = Documents_.snapshot();
  const ServiceConfiguration *Active = Snapshot->service(Service);
  if (!Active || !Active->Source_)
    return;
  wire::DocumentReplyT Reply;
  Reply.service = Service.str();
  Reply.version = Active->Version_.count();
  Reply.envelope = Active->Source_->encode();
  Peers_->reply(To, encodeMessage(std::move(Reply)));
}

void Daemon::onPeerResponse(const VmId &From, wire::EnvelopeT Message) {
  if (const auto *Grant = Message.body.AsGrant())
    Grants_->onDecision(grantFromWire(*Grant), From);
  else if (const auto *Refusal = Message.body.AsRefuse())
    Grants_->onDecision(refusalFromWire(*Refusal), From);
  else if (const auto *Cancel = Message.body.AsCancel())
    Grants_->onDecision(cancelFromWire(*Cancel), From);
  else if (const auto *Suspend = Message.body.AsSuspend())
    Grants_->onDecision(suspendFromWire(*Suspend), From);
  else if (const auto *Reply = Message.body.AsDocumentReply();
           Reply && Configuration_)
    Configuration_->documentReceived(ServiceName(Reply->service),
                                     Reply->envelope);
  else if (const auto *Origin = Message.body.AsOriginAnswer())
    Origins_->onAnswer(From, *Origin);
  else if (const auto *Lease = Message.body.AsRolloutLease();
           Lease && Rollouts_)
    Rollouts_->onLease(*Lease);
  else if (const auto *State = Message.body.AsState(); State && PeerFollower_)
    PeerFollower_->onState(From, *State);
  else if (const auto *Chunk = Message.body.AsTextPart();
           Chunk && PeerFollower_)
    PeerFollower_->onTextChunk(From, *Chunk);
}

void Daemon::onDecided(const Decision &Taken) {
  const VmId &Ingress = ingressOf(Taken);
  if (Ingress == Settings_.Vm_)
    Grants_->onDecision(Taken, Settings_.Vm_);
  else
    Peers_->reply(Ingress, encodeDecision(Taken));
}

void Daemon::membersChanged() {
  KeeperChoice_.membersChanged();
  ReaderChoice_.reset();
  Origins_->membersChanged();
}

void Daemon::onMemberChanged(const Member &Changed) {
  MemberLog_.changed(Changed);
  membersChanged();
  Grants_->onMemberSeen(Changed.Id_, Changed.Incarnation_);
  scheduleRefresh();
  if (Changed.Status_ != MemberStatus::Dead)
    return;
  asio::post(Control_, [this, Id = Changed.Id_] { Keeper_->ingressDied(Id); });
}

void Daemon::onDocumentChanged(const ServiceName &) {
  applyLogLevel();
  // Refresh the schedulers immediately: a version counts as active once it is
  // adopted, and the schedulers must use it from then on.
  Keeper_->refresh();
  Membership_->spreadUpdates();
  scheduleRefresh();
}

void Daemon::applyLogLevel() {
  auto Snapshot = Documents_.snapshot();
  // The most verbose level that any service is configured with.
  auto Level = spdlog::level::from_str(Settings_.LogLevel_);
  for (const auto &[Name, Service] : Snapshot->Services_)
    Level =
        std::min(Level, spdlog::level::from_str(Service.Document_->LogLevel_));
  spdlog::set_level(Level);
}

void Daemon::scheduleRefresh() {
  if (std::exchange(RefreshPending_, true))
    return;
  RefreshTimer_.expires_after(RefreshDelay);
  RefreshTimer_.async_wait([this](const boost::system::error_code &Error) {
    RefreshPending_ = false;
    if (Error)
      return;
    MemberSnapshot_.write(
        std::make_shared<std::vector<Member>>(Members_->others()));
    RelayCandidates_.write(
        std::make_shared<std::vector<RelayCandidate>>(relayCandidates()));
    RetryBudget_->noteFleetSize(knownDaemons(), steady_clock::now());
    Keeper_->refresh();
    Grants_->rebind();
  });
}

/// \returns the number of daemons that may be running: those that are listed,
/// and those that this one has heard of and that may only be cut off.
std::size_t Daemon::knownDaemons() const {
  std::set<VmId> Known = View_ ? View_->daemons() : ListedDaemons_;
  Known.insert(Settings_.Vm_);
  std::ranges::transform(Members_->others(), std::inserter(Known, Known.end()),
                         &Member::Id_);
  return Known.size();
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
  bool Changed = Documents_.snapshot()->LeavingAddresses_ != Leaving ||
                 ListedDaemons_ != Daemons;
  ListedDaemons_ = std::move(Daemons);
  Documents_.setLeavingAddresses(std::move(Leaving));
  if (Changed)
    scheduleRefresh();
}

} // namespace samphireshunt
