#include "Process/Rollout/RolloutService.h"

#include "Common/Log.h"
#include "Connection/PeerMessage.h"
#include "Connection/Spawn.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphireshunt {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

WallTime wallNow() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<WallTime>(Now);
}

StorePosition positionOf(std::uint64_t Era, std::uint64_t Number) {
  return {StoreEra(Era), Revision(Number)};
}

std::unique_ptr<wire::RolloutOutcomesT>
toWire(const std::pair<ServerName, TierIndex> &Key,
       const OutcomeCounts &Counts) {
  auto Added = std::make_unique<wire::RolloutOutcomesT>();
  Added->server = Key.first.str();
  Added->tier = Key.second.count();
  Added->runs = static_cast<std::uint32_t>(Counts.Runs_);
  Added->failed = static_cast<std::uint32_t>(Counts.Failed_);
  Added->slow = static_cast<std::uint32_t>(Counts.Slow_);
  return Added;
}

RolloutStage stageFromWire(std::uint8_t Number) {
  constexpr auto Last = static_cast<std::uint8_t>(RolloutStage::Reverted);
  return static_cast<RolloutStage>(std::min(Number, Last));
}

KeeperCounts countsFromWire(const wire::RolloutReportT &Report) {
  KeeperCounts Counts;
  Counts.Granted_ = Report.granted;
  Counts.Exposed_ = Report.exposed;
  Counts.RunningOnBase_ = Report.running_on_base;
  Counts.Stage_ = stageFromWire(Report.stage);
  for (const auto &Item : Report.outcomes) {
    std::pair Key(ServerName(Item->server), TierIndex(Item->tier));
    Counts.Outcomes_[std::move(Key)] = {Item->runs, Item->failed, Item->slow};
  }
  return Counts;
}

} // namespace

RolloutService::RolloutService(boost::asio::io_context &Control, VmId Self,
                               ServiceName Service, RolloutLayout Layout,
                               Options Settings, Hooks Reactions)
    : Control_(Control), Self_(std::move(Self)), Service_(std::move(Service)),
      Layout_(std::move(Layout)), Options_(Settings),
      Hooks_(std::move(Reactions)), Timer_(Control) {}

const RolloutService::Rollout *
RolloutService::find(const PoolName &Pool) const {
  auto Found = Rollouts_.find(Pool);
  return Found == Rollouts_.end() ? nullptr : &Found->second;
}

void RolloutService::entryChanged(const KeyValue &Entry) {
  auto NameAfter = [&](const std::string &Prefix) {
    return PoolName(Entry.Key_.substr(Prefix.size()));
  };
  if (Entry.Key_.starts_with(Layout_.OrderPrefix_)) {
    PoolName Pool = NameAfter(Layout_.OrderPrefix_);
    applyOrder(Pool, Rollouts_[Pool], Entry);
  } else if (Entry.Key_.starts_with(Layout_.RecordPrefix_)) {
    PoolName Pool = NameAfter(Layout_.RecordPrefix_);
    applyRecord(Pool, Rollouts_[Pool], Entry);
  } else {
    Rollout &Target = Rollouts_[NameAfter(Layout_.StatusPrefix_)];
    Target.StoredStatus_ = Entry.Value_;
    Target.StatusPosition_ = Entry.Deleted_ ? StorePosition() : Entry.Position_;
  }
  schedule();
}

void RolloutService::applyOrder(const PoolName &Pool, Rollout &Target,
                                const KeyValue &Entry) {
  std::optional<RolloutOrder> Order;
  if (!Entry.Deleted_) {
    auto Read = Layout_.ReadOrder_(Pool.str(), Entry.Value_);
    if (!Read) {
      logEvent(LogCategory::Version, spdlog::level::err,
               "rollout-not-understood",
               {{"pool", Pool.str()},
                {"code", std::to_string(static_cast<int>(Read.error().Code_))},
                {"detail", Read.error().Detail_}});
      return;
    }
    Order = *Read;
  }
  logEvent(
      LogCategory::Version, spdlog::level::info, "rollout-ordered",
      {{"pool", Pool.str()},
       {"to", Order ? Order->Target_.str() : "none"},
       {"duration_ms", std::to_string(Order ? Order->Duration_.count() : 0)},
       {"revision", std::to_string(Entry.Position_.Revision_.count())}});
  Target.Versions_.setOrder(std::move(Order), Entry.Position_);
  beginLedger(Target);
  Hooks_.SelectionChanged_();
}

void RolloutService::applyRecord(const PoolName &Pool, Rollout &Target,
                                 const KeyValue &Entry) {
  Target.StoredRecord_ = Entry.Value_;
  Target.RecordPosition_ = Entry.Deleted_ ? StorePosition() : Entry.Position_;
  if (Entry.Deleted_)
    return;
  auto Read = RolloutRecord::decode(Entry.Value_);
  if (!Read) {
    logEvent(LogCategory::Version, spdlog::level::err, "rollout-not-understood",
             {{"pool", Pool.str()},
              {"code", std::to_string(static_cast<int>(Read.error().Code_))},
              {"detail", Read.error().Detail_}});
    return;
  }
  if (!Target.Versions_.apply(*Read))
    return;
  logEvent(LogCategory::Version, spdlog::level::info, "rollout-stage",
           {{"pool", Pool.str()},
            {"to", Read->Target_.str()},
            {"stage", std::string(rolloutStageName(Read->Stage_))},
            {"canaries", std::to_string(Read->Canaries_.size())},
            {"revision", std::to_string(Entry.Position_.Revision_.count())}});
  Hooks_.SelectionChanged_();
}

void RolloutService::beginLedger(Rollout &Target) {
  if (Target.LedgerOrder_ == Target.Versions_.orderPosition())
    return;
  Target.LedgerOrder_ = Target.Versions_.orderPosition();
  Target.Ledger_ = CanaryLedger();
  Target.ReportedOutcomes_.clear();
}

ServersByPool RolloutService::select(ServersByPool Registered) {
  BootTime Now = BootClock::now();
  ServersByPool Selected;
  for (auto &[Pool, Servers] : Registered)
    Selected[Pool] = Rollouts_[Pool].Versions_.select(std::move(Servers), Now);
  for (auto &[Pool, Known] : Rollouts_)
    if (!Registered.contains(Pool))
      Known.Versions_.select({}, Now);
  schedule();
  return Selected;
}

void RolloutService::granted(const CellId &Cell, const ServerName &Server) {
  auto Found = Rollouts_.find(Cell.Pool_);
  if (Found == Rollouts_.end() || !Found->second.Versions_.inProgress())
    return;
  const VersionSelection &Versions = Found->second.Versions_;
  const auto &Record = Versions.record();
  auto Known = Versions.servers().find(Server);
  bool OnTrial = Record && Known != Versions.servers().end() &&
                 Known->second.Version_ == Record->Target_;
  Found->second.Ledger_.granted(OnTrial);
}

void RolloutService::ended(const CellId &Cell, const RunningRequest &Request,
                           const ServedSample &Sample) {
  auto Found = Rollouts_.find(Cell.Pool_);
  if (Found == Rollouts_.end() || !Found->second.Versions_.inProgress())
    return;
  const VersionSelection &Versions = Found->second.Versions_;
  const auto &Record = Versions.record();
  auto Known = Versions.servers().find(Request.Server_);
  if (!Record || Known == Versions.servers().end())
    return;
  bool OnTrial = Known->second.Version_ == Record->Target_;
  if (OnTrial || Record->Base_.contains(Known->second.Version_))
    Found->second.Ledger_.ended(OnTrial ? Request.Server_ : ServerName(),
                                Request.Tier_, Sample);
}

std::uint32_t RolloutService::canaryGrantsLeft(const CellId &Cell) const {
  const Rollout *Known = find(Cell.Pool_);
  return Known ? Known->Ledger_.grantsLeft(steady_clock::now()) : 0;
}

bool RolloutService::isStored(const PoolName &Pool,
                              const Rollout &Known) const {
  const auto &Record = Known.Versions_.record();
  return !Record ||
         (Known.StoredRecord_ == Record->encode() &&
          Known.StoredStatus_ == Layout_.WriteStatus_(Pool, *Record));
}

/// While nothing is in progress or to be written, there is no timer.
void RolloutService::schedule() {
  bool Needed = std::ranges::any_of(Rollouts_, [this](const auto &Item) {
    const Rollout &Known = Item.second;
    return Known.Versions_.inProgress() || Known.Versions_.nextAdmission() ||
           !isStored(Item.first, Known);
  });
  if (!Needed || std::exchange(TickScheduled_, true))
    return;
  Timer_.expires_after(Options_.ReportInterval_);
  Timer_.async_wait([this](const boost::system::error_code &Error) {
    TickScheduled_ = false;
    if (Error)
      return;
    runLogged("roll-out-tick", [this] { onTick(); });
    schedule();
  });
}

void RolloutService::onTick() {
  BootTime Now = BootClock::now();
  bool Admits = false;
  for (auto &[Pool, Target] : Rollouts_) {
    auto Due = Target.Versions_.nextAdmission();
    Admits |= Due && Now >= *Due;
    if (Target.Versions_.inProgress())
      report(Pool, Target);
    own(Pool, Target);
  }
  if (Admits)
    Hooks_.SelectionChanged_();
}

RolloutOwner::Keepers RolloutService::keepersOf(const PoolName &Pool) const {
  RolloutOwner::Keepers Keepers;
  std::uint32_t Count = Hooks_.CellCount_(Pool);
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    if (auto Keeper = Hooks_.KeeperOf_({Service_, Pool, Index}))
      Keepers.insert(*Keeper);
  return Keepers;
}

/// Reports to the owner what has changed since the last report. A new owner is
/// sent everything.
void RolloutService::report(const PoolName &Pool, Rollout &Target) {
  auto Owner = Hooks_.KeeperOf_(firstCell(Pool));
  bool Counts = Target.Ledger_.grants() > 0 || keepersOf(Pool).contains(Self_);
  if (!Owner || !Counts)
    return;
  if (Target.ReportedTo_ != *Owner)
    Target.ReportedOutcomes_.clear();
  Target.ReportedTo_ = *Owner;
  wire::RolloutReportT Report = reportOf(Pool, Target);
  Target.ReportedOutcomes_ = Target.Ledger_.outcomes();
  if (*Owner == Self_)
    return onLease(answerTo(Self_, Report));
  Hooks_.Send_(*Owner, encodeMessage(std::move(Report)));
}

wire::RolloutReportT RolloutService::reportOf(const PoolName &Pool,
                                              Rollout &Target) const {
  const VersionSelection &Versions = Target.Versions_;
  wire::RolloutReportT Report;
  Report.service = Service_.str();
  Report.pool = Pool.str();
  Report.era = Target.LedgerOrder_.Era_.count();
  Report.revision = Target.LedgerOrder_.Revision_.count();
  Report.granted = Target.Ledger_.grants();
  Report.exposed = Target.Ledger_.exposed();
  if (const auto &Record = Versions.record()) {
    auto IsReplaced = [&](const ServerName &Server) {
      auto Known = Versions.servers().find(Server);
      return Known != Versions.servers().end() &&
             Known->second.Version_ != Record->Target_;
    };
    Report.running_on_base =
        static_cast<std::uint32_t>(Hooks_.CountRunning_(Pool, IsReplaced));
    Report.stage = static_cast<std::uint8_t>(Record->Stage_);
  }
  for (const auto &[Key, Counts] : Target.Ledger_.outcomes()) {
    auto Before = Target.ReportedOutcomes_.find(Key);
    if (Before == Target.ReportedOutcomes_.end() || Before->second != Counts)
      Report.outcomes.push_back(toWire(Key, Counts));
  }
  return Report;
}

void RolloutService::onReport(const VmId &From,
                              const wire::RolloutReportT &Report) {
  Hooks_.Reply_(From, encodeMessage(answerTo(From, Report)));
}

/// A daemon that does not own the roll-out, has lost the service or knows
/// another order allows nothing.
wire::RolloutLeaseT
RolloutService::answerTo(const VmId &Keeper,
                         const wire::RolloutReportT &Report) {
  wire::RolloutLeaseT Answer;
  Answer.service = Report.service;
  Answer.pool = Report.pool;
  Answer.era = Report.era;
  Answer.revision = Report.revision;
  Answer.allowed = Report.exposed;
  PoolName Pool(Report.pool);
  auto Found = Rollouts_.find(Pool);
  bool Owned = Hooks_.KeeperOf_(firstCell(Pool)) == Self_;
  if (Found == Rollouts_.end() || !Owned || !Hooks_.IsCurrent_())
    return Answer;
  Rollout &Target = Found->second;
  StorePosition Order = Target.Versions_.orderPosition();
  if (Order != positionOf(Report.era, Report.revision))
    return Answer;
  if (!Target.Owner_ || Target.Owner_->order() != Order)
    Target.Owner_.emplace(Options_.Owner_, Order);
  Answer.allowed = Target.Owner_->onReport(
      Keeper, countsFromWire(Report), keepersOf(Pool).size(),
      Hooks_.LiveShare_(), steady_clock::now());
  Answer.valid_ms = static_cast<std::uint32_t>(Options_.LeaseTime_.count());
  return Answer;
}

void RolloutService::onLease(const wire::RolloutLeaseT &Lease) {
  auto Found = Rollouts_.find(PoolName(Lease.pool));
  if (Found == Rollouts_.end() ||
      Found->second.LedgerOrder_ != positionOf(Lease.era, Lease.revision))
    return;
  Found->second.Ledger_.lease(Lease.allowed, steady_clock::now() +
                                                 milliseconds(Lease.valid_ms));
}

/// Enters the next stage of a roll-out that this daemon owns, and brings the
/// service's entries up to date.
void RolloutService::own(const PoolName &Pool, Rollout &Target) {
  bool Owned = Hooks_.KeeperOf_(firstCell(Pool)) == Self_;
  if (!Owned || !Hooks_.IsCurrent_() || Target.Writing_)
    return;
  VersionSelection &Versions = Target.Versions_;
  if (Versions.inProgress()) {
    if (!Target.Owner_ || Target.Owner_->order() != Versions.orderPosition())
      Target.Owner_.emplace(Options_.Owner_, Versions.orderPosition());
    auto Next =
        Target.Owner_->next(Versions, keepersOf(Pool), steady_clock::now(),
                            BootClock::now(), wallNow());
    if (Next) {
      logStage(Pool, Target, *Next);
      KeyValueWrite Write;
      Write.Key_ = Layout_.RecordPrefix_ + Pool.str();
      Write.Value_ = Next->encode();
      Write.Expected_ = Target.RecordPosition_;
      return startWrite(Pool, Target, std::move(Write));
    }
  }
  restore(Pool, Target);
}

/// Writes what the service lacks: a state that was lost with a restore, or the
/// status of the current state.
void RolloutService::restore(const PoolName &Pool, Rollout &Target) {
  const auto &Record = Target.Versions_.record();
  if (!Record)
    return;
  KeyValueWrite Write;
  std::string Stored = Record->encode();
  std::string Status = Layout_.WriteStatus_(Pool, *Record);
  if (Target.StoredRecord_ != Stored) {
    Write.Key_ = Layout_.RecordPrefix_ + Pool.str();
    Write.Value_ = std::move(Stored);
    Write.Expected_ = Target.RecordPosition_;
  } else if (Target.StoredStatus_ != Status) {
    Write.Key_ = Layout_.StatusPrefix_ + Pool.str();
    Write.Value_ = std::move(Status);
    Write.Expected_ = Target.StatusPosition_;
  } else {
    return;
  }
  startWrite(Pool, Target, std::move(Write));
}

void RolloutService::startWrite(const PoolName &Pool, Rollout &Target,
                                KeyValueWrite Write) {
  Target.Writing_ = true;
  auto Put = [this, Pool, Write = std::move(Write)]() {
    return put(Pool, Write);
  };
  spawnLogged(Control_, "write-rollout", std::move(Put));
}

/// A write whose answer is lost may have been made. The entry then arrives from
/// the service like one of another daemon, and the next write expects it.
Awaitable<void> RolloutService::put(PoolName Pool, KeyValueWrite Write) {
  KeyValue Entry{Write.Key_, Write.Value_, {}, false};
  auto Written = co_await Hooks_.Put_(std::move(Write));
  Rollouts_[Pool].Writing_ = false;
  if (!Written) {
    logEvent(LogCategory::Version, spdlog::level::warn, "rollout-not-written",
             {{"pool", Pool.str()},
              {"key", Entry.Key_},
              {"code", std::to_string(static_cast<int>(Written.error().Code_))},
              {"detail", Written.error().Detail_}});
    co_return;
  }
  Entry.Position_ = *Written;
  entryChanged(Entry);
}

void RolloutService::logStage(const PoolName &Pool, const Rollout &Target,
                              const RolloutRecord &Next) const {
  const VersionEvidence &Evidence = Target.Owner_->evidence();
  logEvent(LogCategory::Version, spdlog::level::info, "rollout-decided",
           {{"pool", Pool.str()},
            {"to", Next.Target_.str()},
            {"stage", std::string(rolloutStageName(Next.Stage_))},
            {"canaries", std::to_string(Next.Canaries_.size())},
            {"answers", std::to_string(Evidence.runs())},
            {"bad_answers", std::to_string(Evidence.badAnswers())},
            {"evidence", fmt::format("{:.1f}", Evidence.strongest())},
            {"exposed", std::to_string(Target.Owner_->exposed())},
            {"granted", std::to_string(Target.Owner_->granted())},
            {"elapsed_ms",
             std::to_string((Next.StageBegan_ - Next.Started_).count())}});
}

std::vector<RolloutService::Summary> RolloutService::summaries() const {
  std::vector<Summary> All;
  for (const auto &[Pool, Known] : Rollouts_) {
    if (!Known.Versions_.record())
      continue;
    Summary Added;
    Added.Pool_ = Pool;
    Added.Record_ = *Known.Versions_.record();
    Added.Owned_ = Hooks_.KeeperOf_(firstCell(Pool)) == Self_;
    if (Known.Owner_) {
      Added.Granted_ = Known.Owner_->granted();
      Added.Exposed_ = Known.Owner_->exposed();
      Added.BadAnswers_ = Known.Owner_->evidence().badAnswers();
    }
    All.push_back(std::move(Added));
  }
  return All;
}

} // namespace samphireshunt
