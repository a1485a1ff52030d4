#include "Process/Configuration/StoreFollower.h"

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Connection/Spawn.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace samphireshunt {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// The common prefix of all keys: one watch for all of them costs one call at a
/// time.
const std::string AllKeys;

milliseconds millisUntil(BootTime Moment) {
  return std::max(milliseconds(1),
                  std::chrono::ceil<milliseconds>(Moment - BootClock::now()));
}

} // namespace

StoreFollower::StoreFollower(asio::io_context &Control, PlatformHooks Platform,
                             StoreView &View, FreshnessLease &Freshness,
                             Options Settings)
    : Control_(Control), Platform_(std::move(Platform)), View_(View),
      Freshness_(Freshness), Options_(Settings), Outage_(Settings.Outages_),
      ConfirmTimer_(Control) {}

void StoreFollower::start(VmId Self, std::string Address) {
  Self_ = std::move(Self);
  Address_ = std::move(Address);
  startWatch();
  auto Confirm = [this]() { return confirmRegularly(); };
  spawnRepeated(Control_, "confirm-store", std::move(Confirm));
}

void StoreFollower::startWatch() {
  std::uint64_t Generation = ++Generation_;
  auto Follow = [this, Generation, Again = false]() mutable {
    // What the failed one had read may not have been adopted.
    NeedsList_ |= std::exchange(Again, true);
    return follow(Generation);
  };
  spawnRepeated(Control_, "follow-store", std::move(Follow));
}

void StoreFollower::pause() {
  Paused_ = true;
  PendingPositions_.clear();
  // The followed daemon reads the service. If the outage ended only with this
  // daemon's own next list, minutes later, it would retain servers then that
  // were removed in between.
  endOutage();
  // Makes the current watch end when it returns.
  ++Generation_;
}

void StoreFollower::resume(bool AfterOutage) {
  Paused_ = false;
  Failures_ = 0;
  NeedsList_ = true;
  MaybeOutage_ = AfterOutage;
  startWatch();
}

/// A new reader confirms its state at once. Until its next confirmation,
/// seconds later, it would otherwise appear to its followers to have lost the
/// service, and all of them would read the service themselves.
void StoreFollower::setRole(StoreRole Role) {
  bool Becomes = Role == StoreRole::Reader && Role_ != Role;
  Role_ = Role;
  if (Becomes)
    ConfirmTimer_.cancel();
}

void StoreFollower::confirmSoon() {
  ConfirmWanted_ = true;
  ConfirmTimer_.cancel();
}

milliseconds StoreFollower::confirmTime() const {
  return Role_ == StoreRole::Reader ? Options_.ReaderConfirmTime_
                                    : Options_.ConfirmTime_;
}

milliseconds StoreFollower::firstPause() const {
  return Role_ == StoreRole::Spare ? Options_.SpareFirstPause_
                                   : Options_.FirstPause_;
}

milliseconds StoreFollower::maxPause() const {
  return Role_ == StoreRole::Spare ? Options_.SpareMaxPause_
                                   : Options_.MaxPause_;
}

Awaitable<void> StoreFollower::sleep(milliseconds Time) {
  asio::steady_timer Timer(Control_, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

Awaitable<void> StoreFollower::sleepUntilConfirm(milliseconds Time) {
  ConfirmTimer_.expires_after(Time);
  auto Ended = asio::as_tuple(asio::use_awaitable);
  co_await ConfirmTimer_.async_wait(Ended);
}

Awaitable<void> StoreFollower::follow(std::uint64_t Generation) {
  while (!Stopped_ && Generation == Generation_) {
    Result<void> Done;
    if (NeedsList_)
      Done = co_await listAll();
    else
      Done = co_await watchOnce(Generation);
    if (Generation != Generation_)
      co_return;
    if (!Done) {
      Failure Cause = Done.error();
      co_await failed(Cause);
      continue;
    }
    succeeded();
    if (RegisteredAddress_ != Address_)
      co_await registerSelf();
    if (!std::exchange(ListedBefore_, true))
      co_await sleep(Options_.FirstBatchTime_);
    else if (std::exchange(SawChanges_, false))
      co_await sleep(Options_.BatchTime_);
  }
}

/// A connection may go silent permanently while new ones work. A watch on it
/// receives nothing, and only another call distinguishes it from a service
/// without changes.
Awaitable<void> StoreFollower::confirmRegularly() {
  milliseconds Wait = confirmTime();
  while (!Stopped_) {
    if (!ConfirmWanted_)
      co_await sleepUntilConfirm(Wait);
    if (ConfirmWanted_)
      co_await sleep(millisUntil(LastConfirm_ + Options_.MinConfirmTime_));
    ConfirmWanted_ = false;
    if (Paused_) {
      Wait = confirmTime();
      continue;
    }
    LastConfirm_ = BootClock::now();
    bool WasLost = !platformReachable();
    auto Confirmed = co_await confirm();
    Wait = Confirmed ? confirmTime() : milliseconds(0);
    if (!Confirmed) {
      Failure Cause = Confirmed.error();
      co_await failed(Cause);
      continue;
    }
    succeeded();
    if (!Paused_ && Confirmed->Era_ != After_.Era_) {
      startWatch();
      continue;
    }
    bool Behind = After_ < *Confirmed;
    if (Behind)
      co_await sleep(Options_.MaxWatchLag_);
    bool Stalled = Behind && After_ < *Confirmed;
    if (!Paused_ && Stalled)
      noteLargeAnswer();
    if (!Paused_ && (WasLost || Stalled) && !answerArriving())
      startWatch();
  }
}

/// A large answer may take longer on a slow link than a watch may lag behind.
/// If the watch were abandoned meanwhile, the answer would start again each
/// time: the link would stay full, and the change would never arrive.
bool StoreFollower::answerArriving() const {
  return Platform_.AnswerArriving_ && Platform_.AnswerArriving_();
}

/// Only a configuration is large enough for its answer to take long.
void StoreFollower::noteLargeAnswer() {
  if (answerArriving() && !PendingPositions_.empty())
    Freshness_.newerKnown(PendingPositions_.begin()->second);
}

/// Reads one small entry, since each answer states the service's revision: the
/// state here is the newest if all changes up to that revision are applied.
/// Reading a large configuration for this would fill a slow link permanently;
/// operators would see a reader that sends as much as its link carries while
/// nothing changes. A watch that does not wait would return the revision too,
/// but it may have stopped receiving changes like one that waits, and then
/// reports no changes at a newer revision.
/// \returns the position of the service.
Awaitable<Result<StorePosition>> StoreFollower::confirm() {
  BootTime SentAt = BootClock::now();
  std::string Prefix = ownKey();
  auto Listed = co_await Platform_.List_(std::move(Prefix));
  if (!Listed)
    co_return Listed.error();
  if (auto Reached = noteReached(Listed->Position_); !Reached)
    co_return Reached.error();
  if (!Paused_)
    PendingPositions_[Listed->Position_] = SentAt;
  renewLease();
  co_return Listed->Position_;
}

void StoreFollower::appliedAsOf(BootTime SentAt) {
  ReachedAt_ = std::max(ReachedAt_, SentAt);
  View_.appliedAsOf(SentAt);
  // What is confirmed has to be visible, also if this watch has been replaced.
  View_.publish();
  if (View_.confirmsNewest(SentAt))
    Freshness_.renew(SentAt);
}

Result<void> StoreFollower::noteReached(const StorePosition &Position) {
  auto Reached = View_.reached(Position);
  // Positions applied in another era do not count as applied in this one.
  if (Reached && Position.Era_ != After_.Era_) {
    PendingPositions_.clear();
    NeedsList_ = true;
  }
  return Reached;
}

/// Renews the lease from the time at which a call was sent, but not before
/// everything up to the revision in its answer is applied.
void StoreFollower::renewLease() {
  auto Newer = PendingPositions_.upper_bound(After_);
  std::for_each(PendingPositions_.begin(), Newer,
                [this](const auto &Asked) { appliedAsOf(Asked.second); });
  PendingPositions_.erase(PendingPositions_.begin(), Newer);
  if (View_.tooLargeSince())
    Freshness_.newerKnown(*View_.tooLargeSince());
  else if (PendingPositions_.empty())
    Freshness_.newestActive();
}

void StoreFollower::succeeded() {
  if (std::exchange(Failures_, 0) > 1)
    logEvent(LogCategory::Process, spdlog::level::info, "platform-regained");
  endOutage();
  applyDirectory();
}

void StoreFollower::beginOutage() {
  InOutage_ = true;
  Outage_.lost(BootClock::now());
  View_.outageBegan();
}

void StoreFollower::endOutage() {
  if (!std::exchange(InOutage_, false))
    return;
  OutageCause Cause = Outage_.regained(BootClock::now());
  logEvent(LogCategory::Process, spdlog::level::info, "outage-ended",
           {{"cause", std::string(outageCauseName(Cause))}});
  View_.outageEnded(Cause);
}

void StoreFollower::applyDirectory() {
  scheduleDrops();
  View_.publish();
}

void StoreFollower::scheduleDrops() {
  if (View_.nextDrop() && !std::exchange(DropPlanned_, true)) {
    auto Drop = [this]() { return dropMissingLater(); };
    spawnLogged(Control_, "drop-servers", std::move(Drop));
  }
}

/// A watch may be cut although the service is available; the call after it
/// shows whether it is.
Awaitable<void> StoreFollower::failed(const Failure &Cause) {
  bool Restored = Cause.Code_ == ResultCode::StoreRestored;
  if (Restored || Cause.Code_ == ResultCode::HistoryLost) {
    logEvent(LogCategory::Process, spdlog::level::info,
             Restored ? "store-restored" : "history-lost",
             {{"revision", std::to_string(After_.Revision_.count())},
              {"era", std::to_string(After_.Era_.count())},
              {"detail", Cause.Detail_}});
    NeedsList_ = true;
    co_return;
  }
  if (Cause.Code_ == ResultCode::BadStoreEra) {
    ++BadEras_;
    if (std::exchange(BadEra_, Cause.Detail_) != Cause.Detail_)
      logEvent(LogCategory::Process, spdlog::level::err, "bad-store-era",
               {{"code", std::to_string(static_cast<int>(Cause.Code_))},
                {"detail", Cause.Detail_}});
  }
  ++Failures_;
  if (Failures_ == 1)
    co_return;
  if (Failures_ == 2)
    logEvent(LogCategory::Process, spdlog::level::warn, "platform-lost",
             {{"detail", Cause.Detail_}});
  beginOutage();
  constexpr int MaxDoublings = 5;
  int Doublings = std::min(Failures_ - 2, MaxDoublings);
  co_await sleep(std::min(firstPause() * (1 << Doublings), maxPause()));
}

Awaitable<Result<void>> StoreFollower::listAll() {
  BootTime SentAt = BootClock::now();
  std::string Prefix = AllKeys;
  auto Listed = co_await Platform_.List_(std::move(Prefix));
  if (!Listed)
    co_return Listed.error();
  // Another daemon is followed by now, and may have sent newer changes.
  if (Paused_)
    co_return Result<void>();
  if (auto Reached = noteReached(Listed->Position_); !Reached)
    co_return Reached.error();
  // If the followed daemon was only too busy to receive changes, there was no
  // outage. Treating it as one would send work for seconds more to servers that
  // were removed meanwhile.
  if (std::exchange(MaybeOutage_, false) &&
      Freshness_.age(SentAt) >= Options_.EarliestExpiry_)
    beginOutage();
  // This daemon's entry is seen again below if it still exists.
  OwnPosition_ = {};
  RegisteredAddress_.clear();
  // The outage must be over before missing servers are examined.
  endOutage();
  View_.listed(*Listed);
  After_ = Listed->Position_;
  NeedsList_ = false;
  appliedAsOf(SentAt);
  renewLease();
  co_return Result<void>();
}

Awaitable<Result<void>> StoreFollower::watchOnce(std::uint64_t Generation) {
  BootTime SentAt = BootClock::now();
  std::string Prefix = AllKeys;
  auto Changes =
      co_await Platform_.Watch_(std::move(Prefix), After_, Options_.WatchTime_);
  if (!Changes)
    co_return Changes.error();
  // Another watch may have returned newer changes since.
  if (Generation != Generation_)
    co_return Result<void>();
  if (auto Reached = noteReached(Changes->Position_); !Reached)
    co_return Reached.error();
  if (Changes->Position_.Era_ != After_.Era_)
    co_return Failure{ResultCode::StoreRestored, "a watch spans two eras"};
  // Each revision is a change of some key. A watch that no longer receives
  // changes ends without entries, although its revision shows that there were
  // some. Accepting that revision would send work to a server that left,
  // permanently.
  bool Empty = Changes->Entries_.empty() && Changes->Refused_.empty();
  if (Empty && After_ < Changes->Position_)
    co_return Failure{ResultCode::HistoryLost, "a watch omitted changes"};
  for (const KeyValue &Entry : Changes->Entries_)
    View_.apply(Entry);
  for (const auto &[Key, Item] : Changes->Refused_)
    View_.refuse(Key, Item);
  After_ = Changes->Position_;
  View_.advance(After_);
  SawChanges_ = !Empty;
  appliedAsOf(SentAt);
  renewLease();
  co_return Result<void>();
}

std::string StoreFollower::ownKey() const {
  return View_.layout().DaemonPrefix_ + Self_.str();
}

KeyValueWrite StoreFollower::ownEntry(const StorePosition &Expected) const {
  KeyValueWrite Write;
  Write.Key_ = ownKey();
  Write.Value_ = Address_;
  Write.Expected_ = Expected;
  return Write;
}

/// Other daemons find this one by its entry. A daemon that restarts at the same
/// address finds its entry and writes nothing.
Awaitable<void> StoreFollower::registerSelf() {
  KeyValueWrite Write = ownEntry(OwnPosition_);
  auto Written = co_await Platform_.Put_(std::move(Write));
  if (Written) {
    RegisteredAddress_ = Address_;
    co_return;
  }
  logEvent(LogCategory::Process, spdlog::level::warn, "not-registered",
           {{"detail", Written.error().Detail_}});
  // Another write happened in between, perhaps this one, with a lost answer.
  auto Code = Written.error().Code_;
  if (Code == ResultCode::VersionConflict || Code == ResultCode::StoreRestored)
    NeedsList_ = true;
  // The revision of the entry there may be one that can't be read, and then
  // each write meets another one.
  co_await sleep(Options_.FirstPause_);
}

Awaitable<void> StoreFollower::dropMissingLater() {
  while (auto Next = View_.nextDrop()) {
    if (BootClock::now() >= *Next)
      break;
    co_await sleep(millisUntil(*Next));
  }
  DropPlanned_ = false;
  View_.dropMissing();
}

void StoreFollower::onDaemonEntry(const VmId &Daemon, const KeyValue &Entry) {
  if (Daemon != Self_)
    return;
  OwnPosition_ = Entry.Position_;
  RegisteredAddress_ = Entry.Value_;
}

/// Daemons that join would not find this one, so it writes its entry again.
void StoreFollower::entryMissing(bool Missing) {
  EntryMissing_ = Missing;
  if (!Missing || !Paused_ || std::exchange(RegisterPlanned_, true))
    return;
  auto Again = [this]() { return registerAgain(); };
  spawnLogged(Control_, "register-again", std::move(Again));
}

Awaitable<void> StoreFollower::registerAgain() {
  auto Spread = static_cast<std::uint64_t>(Options_.RegisterSpread_.count());
  std::uint64_t Wait =
      stableHash(Self_.str()) % std::max<std::uint64_t>(Spread, 1);
  co_await sleep(milliseconds(Wait));
  RegisterPlanned_ = false;
  if (Stopped_ || !Paused_ || !std::exchange(EntryMissing_, false))
    co_return;
  KeyValueWrite Write = ownEntry({});
  auto Written = co_await Platform_.Put_(std::move(Write));
  // An existing entry is not overwritten.
  std::string Outcome = Written ? "written" : Written.error().Detail_;
  logEvent(LogCategory::Process, spdlog::level::info, "registered-again",
           {{"detail", Outcome}});
}

} // namespace samphireshunt
