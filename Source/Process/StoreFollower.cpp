#include "Process/StoreFollower.h"

#include "Common/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace samphireshunt {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// The prefix of every key: one watch for all costs one call at a time.
const std::string AllKeys;

milliseconds millisUntil(BootTime Moment) {
  return std::max(milliseconds(1),
                  std::chrono::ceil<milliseconds>(Moment - BootClock::now()));
}

} // namespace

StoreFollower::StoreFollower(asio::io_context &Control, PlatformHooks Platform,
                             DocumentStore &Documents,
                             FreshnessLease &Freshness, StoreLayout Layout,
                             Options Settings, Hooks Reactions)
    : Control_(Control), Platform_(std::move(Platform)), Documents_(Documents),
      Freshness_(Freshness), Layout_(std::move(Layout)), Options_(Settings),
      Hooks_(std::move(Reactions)), Directory_(Settings.RegisterAgainTime_) {}

void StoreFollower::start(VmId Self, std::string Address) {
  Self_ = std::move(Self);
  Address_ = std::move(Address);
  startWatch();
  auto Confirm = [this]() { return confirmRegularly(); };
  asio::co_spawn(Control_, std::move(Confirm), asio::detached);
}

void StoreFollower::startWatch() {
  std::uint64_t Generation = ++Generation_;
  auto Follow = [this, Generation]() { return follow(Generation); };
  asio::co_spawn(Control_, std::move(Follow), asio::detached);
}

Awaitable<void> StoreFollower::pause(milliseconds Time) {
  asio::steady_timer Timer(Control_, Time);
  co_await Timer.async_wait(asio::use_awaitable);
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
    if (std::exchange(SawChanges_, false))
      co_await pause(Options_.GatherTime_);
  }
}

/// A connection may go silent for good while new ones work: a watch on it hears
/// nothing, and nothing tells it apart from a calm service but another call.
Awaitable<void> StoreFollower::confirmRegularly() {
  milliseconds Wait = Options_.ConfirmTime_;
  while (!Stopped_) {
    co_await pause(Wait);
    bool WasLost = !platformReachable();
    auto Present = co_await confirm();
    Wait = Present ? Options_.ConfirmTime_ : milliseconds(0);
    if (!Present) {
      Failure Cause = Present.error();
      co_await failed(Cause);
      continue;
    }
    succeeded();
    bool Behind = After_ < *Present;
    if (Behind)
      co_await pause(Options_.BehindTime_);
    if (WasLost || (Behind && After_ < *Present))
      startWatch();
  }
}

/// \returns the service's revision.
Awaitable<Result<Revision>> StoreFollower::confirm() {
  BootTime SentAt = BootClock::now();
  std::string Prefix = Layout_.ConfigurationKey_;
  auto Listed = co_await Platform_.List_(std::move(Prefix));
  if (!Listed)
    co_return Listed.error();
  std::ranges::for_each(Listed->Entries_,
                        [this](const KeyValue &Entry) { apply(Entry); });
  Freshness_.renew(SentAt);
  co_return Listed->Revision_;
}

void StoreFollower::succeeded() {
  if (std::exchange(Failures_, 0) > 1)
    logEvent(LogCategory::Process, spdlog::level::info, "platform-regained");
  Directory_.outageEnded(BootClock::now());
  applyDirectory();
}

void StoreFollower::applyDirectory() {
  if (Directory_.nextDrop() && !std::exchange(DropPlanned_, true)) {
    auto Drop = [this]() { return dropUnseenLater(); };
    asio::co_spawn(Control_, std::move(Drop), asio::detached);
  }
  if (std::exchange(DirectoryChanged_, false))
    publish();
}

/// A watch may be cut although the service is well; the call after it tells.
Awaitable<void> StoreFollower::failed(const Failure &Cause) {
  if (Cause.Code_ == ResultCode::HistoryLost) {
    logEvent(LogCategory::Process, spdlog::level::info, "history-lost",
             {{"revision", std::to_string(After_.count())}});
    NeedsList_ = true;
    co_return;
  }
  ++Failures_;
  if (Failures_ == 1)
    co_return;
  if (Failures_ == 2)
    logEvent(LogCategory::Process, spdlog::level::warn, "platform-lost",
             {{"detail", Cause.Detail_}});
  Directory_.outageBegan();
  constexpr int MostDoublings = 4;
  int Doublings = std::min(Failures_ - 2, MostDoublings);
  co_await pause(std::min(Options_.FirstPause_ * (1 << Doublings),
                          Options_.LongestPause_));
}

Awaitable<Result<void>> StoreFollower::listAll() {
  BootTime SentAt = BootClock::now();
  std::string Prefix = AllKeys;
  auto Listed = co_await Platform_.List_(std::move(Prefix));
  if (!Listed)
    co_return Listed.error();
  // The outage is over before what is missing is looked at.
  Directory_.outageEnded(BootClock::now());
  std::set<ServerName> Servers;
  for (const KeyValue &Entry : Listed->Entries_) {
    if (Entry.Key_.starts_with(Layout_.ServerPrefix_))
      Servers.emplace(Entry.Key_.substr(Layout_.ServerPrefix_.size()));
    apply(Entry);
  }
  DirectoryChanged_ |= Directory_.listed(Servers, BootClock::now());
  After_ = Listed->Revision_;
  NeedsList_ = false;
  Freshness_.renew(SentAt);
  co_return Result<void>();
}

Awaitable<Result<void>> StoreFollower::watchOnce(std::uint64_t Generation) {
  BootTime SentAt = BootClock::now();
  std::string Prefix = AllKeys;
  auto Changes =
      co_await Platform_.Watch_(std::move(Prefix), After_, Options_.WatchTime_);
  if (!Changes)
    co_return Changes.error();
  // Another watch may have told of newer changes since.
  if (Generation != Generation_)
    co_return Result<void>();
  for (const KeyValue &Entry : Changes->Entries_)
    apply(Entry);
  After_ = Changes->Revision_;
  SawChanges_ = !Changes->Entries_.empty();
  Freshness_.renew(SentAt);
  co_return Result<void>();
}

/// Other daemons find this one by its entry. A daemon that starts again at the
/// same address finds its entry and writes nothing.
Awaitable<void> StoreFollower::registerSelf() {
  KeyValueWrite Write;
  Write.Key_ = Layout_.DaemonPrefix_ + Self_.str();
  Write.Value_ = Address_;
  Write.Expected_ = OwnRevision_;
  auto Written = co_await Platform_.Put_(std::move(Write));
  if (Written) {
    RegisteredAddress_ = Address_;
    co_return;
  }
  logEvent(LogCategory::Process, spdlog::level::warn, "not-registered",
           {{"detail", Written.error().Detail_}});
  // Another write came between, maybe this one whose answer was lost.
  if (Written.error().Code_ == ResultCode::VersionConflict)
    NeedsList_ = true;
  else
    co_await pause(Options_.FirstPause_);
}

Awaitable<void> StoreFollower::dropUnseenLater() {
  while (auto Next = Directory_.nextDrop()) {
    if (BootClock::now() >= *Next)
      break;
    co_await pause(millisUntil(*Next));
  }
  DropPlanned_ = false;
  if (Directory_.dropUnseen(BootClock::now()))
    publish();
}

void StoreFollower::apply(const KeyValue &Entry) {
  const std::string &Key = Entry.Key_;
  if (Key == Layout_.ConfigurationKey_ && !Entry.Deleted_)
    return adopt(Entry.Value_);
  if (Key.starts_with(Layout_.ServerPrefix_))
    return applyServer(Key.substr(Layout_.ServerPrefix_.size()), Entry);
  if (!Key.starts_with(Layout_.DaemonPrefix_) || Entry.Deleted_)
    return;
  VmId Daemon(Key.substr(Layout_.DaemonPrefix_.size()));
  if (Daemon != Self_)
    return Hooks_.DaemonSeen_(Daemon, Entry.Value_);
  OwnRevision_ = Entry.Revision_;
  RegisteredAddress_ = Entry.Value_;
}

void StoreFollower::applyServer(const std::string &Name,
                                const KeyValue &Entry) {
  if (Entry.Deleted_) {
    logEvent(LogCategory::Version, spdlog::level::info, "server-gone",
             {{"server", Name},
              {"revision", std::to_string(Entry.Revision_.count())}});
    DirectoryChanged_ |= Directory_.missing(ServerName(Name), BootClock::now());
    return;
  }
  auto Read = Layout_.ReadServer_(Name, Entry.Value_);
  if (!Read) {
    logEvent(LogCategory::Version, spdlog::level::err, "server-not-understood",
             {{"server", Name}, {"detail", Read.error().Detail_}});
    return;
  }
  if (!Directory_.seen(*Read))
    return;
  DirectoryChanged_ = true;
  logEvent(LogCategory::Version, spdlog::level::info, "server-seen",
           {{"server", Name},
            {"pool", Read->Pool_.str()},
            {"address", formatEndpoint(Read->Server_.Address_)},
            {"state", Read->Server_.Leaving_ ? "leaving" : "active"},
            {"revision", std::to_string(Entry.Revision_.count())}});
}

/// What can't be read leaves the last good configuration in force.
void StoreFollower::adopt(const std::string &Value) {
  auto Read = Layout_.ReadConfiguration_(Value);
  if (!Read) {
    logEvent(LogCategory::Version, spdlog::level::err,
             "configuration-not-understood",
             {{"detail", Read.error().Detail_}});
    return;
  }
  Documents_.adopt(Layout_.Service_, Read->Version_, Read->Document_);
}

void StoreFollower::publish() {
  Documents_.setServers(Layout_.Service_, Directory_.servers());
}

} // namespace samphireshunt
