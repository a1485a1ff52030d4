#include "Process/Configuration/StoreView.h"

#include "Common/Log.h"
#include "Process/Configuration/RefusedItems.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace samphireshunt {

namespace {

std::set<std::string_view> keysOf(const std::vector<KeyValue> &Entries) {
  std::set<std::string_view> Keys;
  for (const KeyValue &Entry : Entries)
    Keys.insert(Entry.Key_);
  return Keys;
}

} // namespace

StoreView::StoreView(DocumentStore &Documents, StoreLayout Layout, Times Limits)
    : Documents_(Documents), Layout_(std::move(Layout)),
      RolloutPrefixes_(Layout_.RolloutStatePrefixes_),
      Directory_(Limits.RegisterAgain_), Times_(Limits) {
  if (!Layout_.RolloutOrderPrefix_.empty())
    RolloutPrefixes_.push_back(Layout_.RolloutOrderPrefix_);
}

Result<void> StoreView::reached(const StorePosition &Answered) {
  bool Known = Position_ != StorePosition();
  if (EraRead_ && Answered.Era_ < Position_.Era_)
    return Failure{ResultCode::BadStoreEra,
                   fmt::format("era {} after {}", Answered.Era_.count(),
                               Position_.Era_.count())};
  // An era that only a daemon has reported is replaced by what the service
  // states.
  if (Known && Answered.Era_ != Position_.Era_)
    beginEra(Answered);
  EraRead_ = true;
  Position_.Era_ = Answered.Era_;
  return {};
}

/// Writes that were acknowledged after the backup was made are lost in the
/// service, but not here, and are made again.
void StoreView::beginEra(const StorePosition &First) {
  BootTime Now = Hooks_.Now_();
  logEvent(LogCategory::Version, spdlog::level::warn, "store-era",
           {{"old", std::to_string(Position_.Era_.count())},
            {"new", std::to_string(First.Era_.count())},
            {"revision_held", std::to_string(Position_.Revision_.count())},
            {"revision_told", std::to_string(First.Revision_.count())}});
  EraStart_ = EraStart{First, Now};
  EraLogged_ = false;
  Position_ = {First.Era_, Revision()};
  ConfigurationPosition_ = {};
  ReadVersion_ = {};
  Unconfirmed_.clear();
  Directory_.outageBegan();
  Directory_.outageEnded(Now);
}

/// Logs once for each era, when its configuration has been read.
void StoreView::logEra() {
  if (std::exchange(EraLogged_, true))
    return;
  auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
      Hooks_.Now_() - ConfigurationReadAt_);
  logEvent(LogCategory::Version, spdlog::level::info, "store-era-version",
           {{"era", std::to_string(Position_.Era_.count())},
            {"told", std::to_string(ReadVersion_.count())},
            {"in_force", std::to_string(version().count())},
            {"age_ms", std::to_string(Age.count())}});
}

namespace {

void logInvalid(const Failure &Cause, const StorePosition &Written) {
  logEvent(LogCategory::Version, spdlog::level::err,
           "configuration-not-understood",
           {{"code", std::to_string(static_cast<int>(Cause.Code_))},
            {"detail", Cause.Detail_},
            {"revision", std::to_string(Written.Revision_.count())}});
}

} // namespace

bool StoreView::confirmsNewest(BootTime Asked) const {
  if (TooLargeSince_)
    return false;
  if (!EraStart_)
    return true;
  if (ReadVersion_ < version())
    return false;
  return EraStart_->surelyContains(ConfigurationPosition_) ||
         Asked - EraStart_->SeenAt_ >= Times_.RegisterAgain_;
}

DocumentVersion StoreView::version() const {
  auto Snapshot = Documents_.snapshot();
  const ServiceConfiguration *Active = Snapshot->service(Layout_.Service_);
  return Active ? Active->Version_ : DocumentVersion();
}

void StoreView::apply(const KeyValue &Entry) {
  applyFrom(Source::Service, Entry);
}

void StoreView::applyFrom(Source From, const KeyValue &Entry) {
  applyGuarded(Entry.Key_, [&] { applyUnguarded(From, Entry); });
}

void StoreView::applyUnguarded(Source From, const KeyValue &Entry) {
  const std::string &Key = Entry.Key_;
  if (Key == Layout_.ConfigurationKey_ && !Entry.Deleted_)
    return adopt(Entry);
  if (Key.starts_with(Layout_.ServerPrefix_))
    return applyServer(From, Key.substr(Layout_.ServerPrefix_.size()), Entry);
  if (isRolloutKey(Key))
    return applyRollout(Entry);
  if (Key.starts_with(Layout_.DaemonPrefix_))
    applyDaemon(VmId(Key.substr(Layout_.DaemonPrefix_.size())), Entry);
}

bool StoreView::isRolloutKey(const std::string &Key) const {
  return std::ranges::any_of(RolloutPrefixes_, [&Key](const auto &Prefix) {
    return Key.starts_with(Prefix);
  });
}

void StoreView::applyRollout(const KeyValue &Entry) {
  const KeyValue *Known = Log_.find(Entry.Key_);
  if (Known && Entry.Position_ < Known->Position_)
    return;
  bool Unchanged =
      Entry.Deleted_ ? !Known : Known && Known->Position_ == Entry.Position_;
  if (Unchanged)
    return;
  if (Entry.Deleted_)
    Log_.remove(Entry.Key_);
  else
    Log_.set(Entry);
  DirectoryChanged_ = true;
  Hooks_.RolloutEntryChanged_(Entry);
}

/// An order that was lost with a restore is not withdrawn: the operator writes
/// it again.
void StoreView::retainRollouts(const std::set<std::string_view> &Keys) {
  for (const std::string &Prefix : RolloutPrefixes_) {
    auto Keep = [&](const std::string &Name) {
      const KeyValue *Known = Log_.find(Prefix + Name);
      bool OfEarlierEra = Known && Known->Position_.Era_ < Position_.Era_;
      return Keys.contains(Prefix + Name) ||
             (OfEarlierEra && Prefix == Layout_.RolloutOrderPrefix_);
    };
    for (KeyValue &Removed : Log_.removeUnless(Prefix, Keep)) {
      Removed.Deleted_ = true;
      DirectoryChanged_ = true;
      Hooks_.RolloutEntryChanged_(Removed);
    }
  }
}

/// Followers compare digests to learn whether they know the same, so
/// everything that entries decide is included.
std::uint64_t StoreView::digest() const {
  std::uint64_t Digest = Directory_.digest();
  if (Digest == 0)
    return 0;
  for (const std::string &Prefix : RolloutPrefixes_)
    Digest ^= Log_.digest(Prefix);
  return Digest;
}

void StoreView::applyDaemon(const VmId &Daemon, const KeyValue &Entry) {
  if (Entry.Deleted_) {
    Daemons_.erase(Daemon);
    return;
  }
  Daemons_.insert(Daemon);
  Hooks_.DaemonEntryRead_(Daemon, Entry);
}

void StoreView::listed(const KeyValueList &All) {
  Unconfirmed_.clear();
  Daemons_.clear();
  for (const KeyValue &Entry : All.Entries_)
    apply(Entry);
  for (const auto &[Key, Item] : All.Refused_)
    refuse(Key, Item);
  if (All.hasAllKeys())
    retainKeys(All);
  advance(All.Position_);
}

void StoreView::retainKeys(const KeyValueList &All) {
  std::set<std::string_view> Keys = keysOf(All.Entries_);
  for (const auto &[Key, Item] : All.Refused_)
    Keys.insert(Key);
  std::set<ServerName> Servers;
  for (std::string_view Key : Keys)
    if (Key.starts_with(Layout_.ServerPrefix_))
      Servers.emplace(std::string(Key.substr(Layout_.ServerPrefix_.size())));
  retainRollouts(Keys);
  std::erase_if(Rejected_, [&](const auto &Item) {
    return !Servers.contains(ServerName(Item.first));
  });
  DirectoryChanged_ |= Directory_.listed(Servers, Hooks_.Now_());
}

void StoreView::refuse(const std::string &Key, const RefusedItem &Item) {
  if (Key == Layout_.ConfigurationKey_)
    return refuseConfiguration(Item);
  KeyValue Entry{Key, "", Item.Position_, false};
  if (!Key.starts_with(Layout_.ServerPrefix_))
    return apply(Entry);
  rejectServer(Key.substr(Layout_.ServerPrefix_.size()), Entry,
               {Item.Code_, Item.Detail_});
}

void StoreView::dropMissing() {
  DirectoryChanged_ |= Directory_.dropMissing(Hooks_.Now_());
  publish();
}

void StoreView::appliedAsOf(BootTime Asked) {
  Hooks_.Applied_();
  if (Unconfirmed_.empty() || Asked < EraStart_->SeenAt_ + Times_.EntryExpiry_)
    return;
  for (const auto &[Name, Entry] : std::exchange(Unconfirmed_, {}))
    if (auto Read = Layout_.ReadServer_(Name, Entry.Value_))
      applyServerEntry(Name, Entry, *Read);
  publish();
}

void StoreView::publish() {
  bool Changed = std::exchange(DirectoryChanged_, false);
  if (Changed)
    noteServers();
  logServers();
  if (!Changed)
    return;
  Documents_.setServers(Layout_.Service_,
                        Hooks_.SelectServers_(Directory_.servers()));
  Hooks_.Changed_();
}

void StoreView::publishAgain() {
  DirectoryChanged_ = true;
  publish();
}

/// Followers receive the servers known here rather than the entries as read, so
/// that servers that only expired in an outage stay.
void StoreView::noteServers() {
  auto Removed =
      Log_.removeUnless(Layout_.ServerPrefix_, [this](const std::string &Name) {
        return Directory_.contains(ServerName(Name));
      });
  for (const KeyValue &Entry : Removed) {
    std::string Name = Entry.Key_.substr(Layout_.ServerPrefix_.size());
    Departed_.markDeparted(Name, {Entry.Position_, incarnationOf(Entry)});
    ServerLines_.push_back(
        {"server-gone",
         std::move(Name),
         {{"revision", std::to_string(Position_.Revision_.count())}}});
  }
}

Incarnation StoreView::incarnationOf(const KeyValue &Entry) const {
  auto Name = Entry.Key_.substr(Layout_.ServerPrefix_.size());
  auto Read = Layout_.ReadServer_(Name, Entry.Value_);
  return Read ? Read->Server_.Incarnation_ : Incarnation();
}

/// A daemon that regains the service retains servers that went missing
/// meanwhile for a while, since their entries may only have expired, and sends
/// these entries to its followers. A follower that has learned of the removal
/// from another daemon would send work to a server that left long ago. A backup
/// of the service has the same effect on all daemons.
Admission StoreView::admits(Source From, const std::string &Name,
                            const BackendServer &Server,
                            const StorePosition &Written) const {
  auto Known = comparedWithKnown(Name, Server, Written);
  if (Known != Admission::Admitted || Server.Leaving_)
    return Known;
  DepartedServers::Candidate Entry{Written, Server.Incarnation_,
                                   From == Source::Service};
  return Departed_.admits(Name, Entry, EraStart_);
}

/// A restored backup has the revisions of the era in which it was made, so its
/// entry may be older than the one known here although its era is later.
Admission StoreView::comparedWithKnown(const std::string &Name,
                                       const BackendServer &Server,
                                       const StorePosition &Written) const {
  const KeyValue *Known = Log_.find(Layout_.ServerPrefix_ + Name);
  // An era that only a daemon reported, and that proved wrong, can't be
  // compared with any other.
  if (!Known || Known->Position_.Era_ > Position_.Era_)
    return Admission::Admitted;
  const StorePosition &Before = Known->Position_;
  bool FromBackup = Written.Era_ > Before.Era_ && EraStart_ &&
                    !EraStart_->surelyContains(Written);
  bool Older =
      Written < Before || (FromBackup && Written.Revision_ < Before.Revision_);
  if (!Older || Server.Incarnation_ > incarnationOf(*Known))
    return Admission::Admitted;
  return FromBackup ? Admission::Unconfirmed : Admission::Refused;
}

void StoreView::deferServer(const std::string &Name, const KeyValue &Entry) {
  ServerLines_.push_back(
      {"server-doubted",
       Name,
       {{"revision", std::to_string(Entry.Position_.Revision_.count())}}});
  Unconfirmed_[Name] = Entry;
}

bool StoreView::follow(const ChangeLog::Changes &Changes,
                       const StorePosition &Reached, Revision EraFirst) {
  // A daemon that is behind would bring a leaving server back.
  if (Reached < Position_)
    return false;
  StorePosition First{Reached.Era_, EraFirst};
  bool Known = Position_ != StorePosition();
  if (Known && Reached.Era_ > Position_.Era_) {
    beginEra(EraFirst == Revision() ? Reached : First);
    EraRead_ = false;
  } else if (EraStart_ && EraFirst != Revision()) {
    EraStart_->First_ = std::min(EraStart_->First_, First);
  }
  std::set<ServerName> Servers;
  std::set<std::string_view> Unsure(Changes.Unverified_.begin(),
                                    Changes.Unverified_.end());
  for (const std::string &Key : Changes.Unverified_) {
    std::string Name = Key.substr(Layout_.ServerPrefix_.size());
    Unconfirmed_.erase(Name);
    Servers.emplace(std::move(Name));
  }
  for (const KeyValue &Entry : Changes.Entries_) {
    bool IsServer = Entry.Key_.starts_with(Layout_.ServerPrefix_);
    ServerName Name(IsServer ? Entry.Key_.substr(Layout_.ServerPrefix_.size())
                             : "");
    if (IsServer && Entry.Deleted_) {
      Unconfirmed_.erase(Name.str());
      DirectoryChanged_ |= Directory_.remove(Name);
    } else {
      bool IsUnsure = Unsure.contains(Entry.Key_);
      // A daemon that retains the server too doesn't know that it lives.
      if (IsUnsure && Directory_.isMissing(Name)) {
        Servers.insert(std::move(Name));
        continue;
      }
      applyFrom(IsUnsure ? Source::UnverifiedDaemon : Source::Daemon, Entry);
    }
    if (IsServer)
      Servers.insert(std::move(Name));
  }
  if (Changes.Complete_) {
    retainListed(Servers);
    retainRollouts(keysOf(Changes.Entries_));
  }
  advance(Reached);
  publish();
  return true;
}

ChangeLog::Changes StoreView::told(std::uint64_t Number,
                                   std::string_view ExcludedKey) const {
  ChangeLog::Changes Changes = Log_.since(Number, ExcludedKey);
  if (!Changes.Complete_)
    return Changes;
  for (const auto &[Name, Entry] : Unconfirmed_)
    Changes.Unverified_.push_back(Entry.Key_);
  for (const ServerName &Name : Directory_.missingNames())
    Changes.Unverified_.push_back(Layout_.ServerPrefix_ + Name.str());
  return Changes;
}

/// A daemon that sends its complete state may lack changes that were lost with
/// the restore: servers that registered since are retained as in an outage.
void StoreView::retainListed(const std::set<ServerName> &Servers) {
  BootTime Now = Hooks_.Now_();
  std::erase_if(Unconfirmed_, [&](const auto &Item) {
    return !Servers.contains(ServerName(Item.first));
  });
  bool EraIsNew = EraStart_ && Now < EraStart_->SeenAt_ + Times_.RegisterAgain_;
  DirectoryChanged_ |= EraIsNew ? Directory_.listed(Servers, Now)
                                : Directory_.retainOnly(Servers);
}

void StoreView::applyServer(Source From, const std::string &Name,
                            const KeyValue &Entry) {
  if (Entry.Deleted_) {
    Rejected_.erase(Name);
    Unconfirmed_.erase(Name);
    DirectoryChanged_ |=
        Directory_.markMissing(ServerName(Name), Hooks_.Now_());
    if (Directory_.isMissing(ServerName(Name)))
      ServerLines_.push_back(
          {"server-missing",
           Name,
           {{"revision", std::to_string(Entry.Position_.Revision_.count())}}});
    return;
  }
  auto Read = Layout_.ReadServer_(Name, Entry.Value_);
  if (!Read)
    return rejectServer(Name, Entry, Read.error());
  Rejected_.erase(Name);
  auto Verdict = admits(From, Name, Read->Server_, Entry.Position_);
  bool MayBeValid = EraStart_ && From != Source::UnverifiedDaemon;
  if (Verdict == Admission::Unconfirmed && MayBeValid)
    return deferServer(Name, Entry);
  if (Verdict != Admission::Admitted)
    return;
  Unconfirmed_.erase(Name);
  applyServerEntry(Name, Entry, *Read);
}

void StoreView::applyServerEntry(const std::string &Name, const KeyValue &Entry,
                                 const RegisteredServer &Read) {
  if (Read.Server_.Leaving_)
    Departed_.markDeparted(Name, {Entry.Position_, Read.Server_.Incarnation_});
  else
    Departed_.markReturned(Name);
  bool Changed = Directory_.addOrUpdate(Read);
  // Entries that the backup of an era repeats are not sent to followers again.
  bool FromBackup = EraStart_ && !EraStart_->surelyContains(Entry.Position_);
  if (Changed || !FromBackup || !Log_.find(Entry.Key_))
    Log_.set(Entry);
  if (!Changed)
    return;
  DirectoryChanged_ = true;
  ServerLines_.push_back(
      {"server-seen",
       Name,
       {{"pool", Read.Pool_.str()},
        {"address", formatEndpoint(Read.Server_.Address_)},
        {"state", Read.Server_.Leaving_ ? "leaving" : "active"},
        {"version", Read.Server_.Version_.str()},
        {"incarnation", std::to_string(Read.Server_.Incarnation_.count())},
        {"revision", std::to_string(Entry.Position_.Revision_.count())}}});
}

/// All entries of a large directory arrive at once, at every daemon, so one
/// line names many servers.
void StoreView::logServers() {
  constexpr std::size_t MaxSingleLines = 4;
  auto Lines = std::exchange(ServerLines_, {});
  std::map<std::string_view, std::vector<std::string_view>> ByEvent;
  for (ServerLine &Line : Lines) {
    ByEvent[Line.Event_].push_back(Line.Name_);
    if (Lines.size() > MaxSingleLines)
      continue;
    Line.Fields_.insert(Line.Fields_.begin(), {"server", Line.Name_});
    logEvent(LogCategory::Version, spdlog::level::info, Line.Event_,
             Line.Fields_);
  }
  if (Lines.size() <= MaxSingleLines)
    return;
  for (const auto &[Event, Names] : ByEvent)
    logEvent(LogCategory::Version, spdlog::level::info, Event,
             {{"count", std::to_string(Names.size())},
              {"servers", fmt::format("{}", fmt::join(Names, ","))},
              {"revision", std::to_string(Position_.Revision_.count())}});
}

/// An entry that can't be parsed names no server. If it overwrites a valid
/// entry, the server gets no new work, since its address and whether it still
/// accepts work are no longer known. Its running requests continue.
void StoreView::rejectServer(const std::string &Name, const KeyValue &Entry,
                             const Failure &Cause) {
  DirectoryChanged_ |= Directory_.remove(ServerName(Name));
  // The entry is read repeatedly, so each cause is logged once.
  if (std::exchange(Rejected_[Name], Cause.Detail_) == Cause.Detail_)
    return;
  logEvent(LogCategory::Version, spdlog::level::err, "server-not-understood",
           {{"server", Name},
            {"code", std::to_string(static_cast<int>(Cause.Code_))},
            {"detail", Cause.Detail_},
            {"revision", std::to_string(Entry.Position_.Revision_.count())}});
}

/// A configuration that can't be parsed leaves the last valid one active.
void StoreView::adopt(const KeyValue &Entry) {
  // The entry is read repeatedly to confirm that it is the newest.
  if (Entry.Position_ == ConfigurationPosition_)
    return TooLargeSince_.reset();
  auto Read = Layout_.ReadConfiguration_(Entry.Value_);
  if (!Read)
    return logInvalid(Read.error(), Entry.Position_);
  TooLargeSince_.reset();
  ConfigurationPosition_ = Entry.Position_;
  ReadVersion_ = Read->Version_;
  activateConfiguration(*Read, Entry);
  logEra();
}

/// The version in force stays so. One that is only too large has replaced it.
void StoreView::refuseConfiguration(const RefusedItem &Item) {
  if (Item.Code_ != ResultCode::ValueTooLarge)
    return logInvalid({Item.Code_, Item.Detail_}, Item.Position_);
  bool Known = TooLargeSince_ && TooLargePosition_ == Item.Position_;
  if (!TooLargeSince_)
    TooLargeSince_ = Hooks_.Now_();
  TooLargePosition_ = Item.Position_;
  if (Known)
    return;
  logEvent(LogCategory::Version, spdlog::level::err, "configuration-too-large",
           {{"code", std::to_string(static_cast<int>(Item.Code_))},
            {"size", std::to_string(Item.Size_)},
            {"bound", std::to_string(Item.Bound_)},
            {"revision", std::to_string(Item.Position_.Revision_.count())},
            {"in_force", std::to_string(version().count())}});
}

bool StoreView::activateConfiguration(const ReadConfiguration &Read,
                                      const KeyValue &Entry) {
  if (!Documents_.adopt(Layout_.Service_, Read.Version_, Read.Document_))
    return false;
  // Another daemon may have held it, or a newer one; the next list shows it.
  TooLargeSince_.reset();
  ConfigurationReadAt_ = Hooks_.Now_();
  Log_.set(Entry);
  Hooks_.Changed_();
  return true;
}

bool StoreView::applyText(DocumentVersion Version, std::string Text) {
  auto Read = Layout_.ReadConfiguration_(Text);
  if (!Read || Read->Version_ != Version) {
    logEvent(
        LogCategory::Version, spdlog::level::err,
        "configuration-not-understood",
        {{"version", std::to_string(Version.count())},
         {"detail", Read ? "it is of another version" : Read.error().Detail_}});
    return false;
  }
  KeyValue Entry;
  Entry.Key_ = Layout_.ConfigurationKey_;
  Entry.Value_ = std::move(Text);
  activateConfiguration(*Read, Entry);
  return true;
}

} // namespace samphireshunt
