#include "Process/Configuration/ConfigurationSync.h"

#include "Common/Log.h"
#include "Connection/Spawn.h"
#include "Process/Configuration/RefusedItems.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace samphireshunt {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

ConfigurationSync::ConfigurationSync(asio::io_context &Control,
                                     PlatformHooks Platform,
                                     DocumentStore &Documents,
                                     FreshnessLease &Freshness,
                                     Options Settings, Hooks Reactions)
    : Control_(Control), Platform_(std::move(Platform)), Documents_(Documents),
      Freshness_(Freshness), Options_(Settings), Hooks_(std::move(Reactions)),
      Started_(steady_clock::now()) {}

void ConfigurationSync::start() {
  Started_ = steady_clock::now();
  auto Watch = [this]() { return watchDocuments(); };
  auto List = [this]() { return listVms(); };
  spawnRepeated(Control_, "watch-documents", std::move(Watch));
  spawnRepeated(Control_, "list-vms", std::move(List));
}

Awaitable<void> ConfigurationSync::pause(milliseconds Time) {
  asio::steady_timer Timer(Control_, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

Awaitable<void> ConfigurationSync::watchDocuments() {
  StorePosition After;
  while (!Stopped_) {
    // Revision 0 requests everything, without waiting.
    bool All = After.Revision_ == Revision();
    auto Wait = All ? milliseconds(0) : Options_.WatchTime_;
    auto Changes = co_await Platform_.Watch_(DocumentKeyPrefix, After, Wait);
    PlatformReachable_ = Changes.has_value();
    logReachable(Changes ? Failure() : Changes.error());
    if (!Changes) {
      co_await pause(Options_.RetryTime_);
      continue;
    }
    for (const KeyValue &Entry : Changes->Entries_)
      applyGuarded(Entry.Key_, [&] { adoptEntry(Entry); });
    for (const auto &[Key, Item] : Changes->Refused_)
      refuseEntry(Key, Item);
    // After a restore from an older backup, the watch must not wait for the old
    // revision, which the service may not reach for a long time. Nor is a
    // revision of the former era valid, since the service assigns it again.
    bool SameEra = All || Changes->Position_.Era_ == After.Era_;
    After = Changes->Position_;
    if (!SameEra)
      After.Revision_ = {};
    PlatformRead_ = true;
  }
}

/// A call may fail although the service is available; the one after it shows
/// whether it is.
void ConfigurationSync::logReachable(const Failure &Cause) {
  constexpr int LostAt = 2;
  if (PlatformReachable_) {
    if (std::exchange(Failures_, 0) >= LostAt)
      logEvent(LogCategory::Process, spdlog::level::info, "platform-regained");
  } else if (++Failures_ == LostAt) {
    logEvent(LogCategory::Process, spdlog::level::warn, "platform-lost",
             {{"code", std::to_string(static_cast<int>(Cause.Code_))},
              {"detail", Cause.Detail_}});
  }
}

void ConfigurationSync::adoptEntry(const KeyValue &Entry) {
  std::string_view Prefix(DocumentKeyPrefix);
  ServiceName Service(Entry.Key_.substr(Prefix.size()));
  documentReceived(Service, Entry.Value_);
}

/// What the document says is unknown, so the one in force counts as replaced.
void ConfigurationSync::refuseEntry(const std::string &Key,
                                    const RefusedItem &Item) {
  if (Item.Code_ != ResultCode::ValueTooLarge)
    return;
  std::string_view Prefix(DocumentKeyPrefix);
  TooLarge_.emplace(Key.substr(std::min(Prefix.size(), Key.size())));
  noteLag();
}

void ConfigurationSync::documentReceived(const ServiceName &Service,
                                         const std::string &Encoded) {
  auto Decoded = VersionedDocument::decode(Encoded);
  if (!Decoded) {
    logEvent(LogCategory::Version, spdlog::level::err, "undecodable",
             {{"service", Service.str()},
              {"code", std::to_string(static_cast<int>(Decoded.error().Code_))},
              {"detail", Decoded.error().Detail_}});
    return;
  }
  TooLarge_.erase(Service);
  auto &Newest = NewestAnnounced_[Service];
  Newest = std::max(Newest, Decoded->Version_);
  Documents_.adopt(Service, *Decoded);
  noteLag();
}

void ConfigurationSync::versionAnnounced(const VmId &From,
                                         const ServiceName &Service,
                                         DocumentVersion Version) {
  // No document has it, so this daemon would wait for it for good.
  if (Version > MaxDocumentVersion)
    return;
  auto &Newest = NewestAnnounced_[Service];
  Newest = std::max(Newest, Version);
  auto Snapshot = Documents_.snapshot();
  const ServiceConfiguration *Active = Snapshot->service(Service);
  DocumentVersion Known =
      Active ? std::max(Active->Version_, Active->UnsupportedVersion_)
             : DocumentVersion(0);
  if (Version > Known)
    Hooks_.RequestDocument_(From, Service);
  noteLag();
}

bool ConfigurationSync::upToDate() const {
  auto Snapshot = Documents_.snapshot();
  return std::ranges::all_of(NewestAnnounced_, [&](const auto &Item) {
    const ServiceConfiguration *Active = Snapshot->service(Item.first);
    return Active && std::max(Active->Version_, Active->UnsupportedVersion_) >=
                         Item.second;
  });
}

void ConfigurationSync::noteLag() {
  if (upToDate() && TooLarge_.empty())
    Freshness_.newestActive();
  else
    Freshness_.newerKnown(BootClock::now());
}

Awaitable<void> ConfigurationSync::listVms() {
  while (!Stopped_) {
    auto Listed = co_await Platform_.Vms_();
    if (Listed) {
      auto IsDaemon = [](const ListedVm &Vm) {
        return Vm.Role_ == VmRole::System;
      };
      ExpectsPeers_ = std::ranges::count_if(*Listed, IsDaemon) > 1;
      Hooks_.VmsListed_(*Listed);
    }
    co_await pause(Options_.ListInterval_);
  }
}

/// A read of the platform may be stale, and peers may have a newer version that
/// was accepted just before an outage. A daemon that began to serve with an old
/// version would revert it for its callers, so it first waits for a peer, or
/// until it is known that there is none.
bool ConfigurationSync::ready() {
  auto Snapshot = Documents_.snapshot();
  if (Snapshot->Services_.empty())
    return false;
  if (WasReady_)
    return true;
  bool Waited = steady_clock::now() - Started_ > Options_.JoinTime_;
  bool Joined =
      Hooks_.HeardFromPeer_() || (PlatformRead_ && (!ExpectsPeers_ || Waited));
  WasReady_ = Joined && upToDate();
  return WasReady_;
}

} // namespace samphireshunt
