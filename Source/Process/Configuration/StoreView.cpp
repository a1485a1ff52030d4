#include "Process/Configuration/StoreView.h"

#include "Common/Log.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace samphireshunt {

namespace {
/// Removed servers are kept in mind up to so many: they come and go for ever.
constexpr std::size_t MostRemoved = 10000;
} // namespace

StoreView::StoreView(DocumentStore &Documents, StoreLayout Layout,
                     BootClock::duration RegisterAgainTime)
    : Documents_(Documents), Layout_(std::move(Layout)),
      Directory_(RegisterAgainTime) {}

void StoreView::apply(const KeyValue &Entry) {
  const std::string &Key = Entry.Key_;
  if (Key == Layout_.ConfigurationKey_ && !Entry.Deleted_)
    return adopt(Entry);
  if (Key.starts_with(Layout_.ServerPrefix_))
    return applyServer(Key.substr(Layout_.ServerPrefix_.size()), Entry);
  if (Key.starts_with(Layout_.DaemonPrefix_) && !Entry.Deleted_)
    Hooks_.DaemonSeen_(VmId(Key.substr(Layout_.DaemonPrefix_.size())), Entry);
}

void StoreView::listed(const KeyValueList &All) {
  std::set<ServerName> Servers;
  for (const KeyValue &Entry : All.Entries_) {
    if (Entry.Key_.starts_with(Layout_.ServerPrefix_))
      Servers.emplace(Entry.Key_.substr(Layout_.ServerPrefix_.size()));
    apply(Entry);
  }
  std::erase_if(Rejected_, [&](const auto &Item) {
    return !Servers.contains(ServerName(Item.first));
  });
  DirectoryChanged_ |= Directory_.listed(Servers, BootClock::now());
  advance(All.Revision_);
}

void StoreView::dropUnseen() {
  DirectoryChanged_ |= Directory_.dropUnseen(BootClock::now());
  publish();
}

void StoreView::publish() {
  logServers();
  if (!std::exchange(DirectoryChanged_, false))
    return;
  noteServers();
  Documents_.setServers(Layout_.Service_, Directory_.servers());
  Hooks_.Changed_();
}

/// Followers are told what is believed, not what was read: servers that only
/// lapsed in an outage stay.
void StoreView::noteServers() {
  auto Gone =
      Log_.removeUnless(Layout_.ServerPrefix_, [this](const std::string &Name) {
        return Directory_.contains(ServerName(Name));
      });
  if (Removed_.size() > MostRemoved)
    Removed_.clear();
  for (const KeyValue &Entry : Gone)
    Removed_[Entry.Key_.substr(Layout_.ServerPrefix_.size())] = Entry.Revision_;
}

/// A daemon that regains the service keeps servers that went missing meanwhile
/// for a while, since their entries may only have lapsed, and tells its
/// followers so. A follower that has heard of the removal from another daemon
/// would send work to a server that left long ago. One that registers again has
/// an entry of a later revision.
bool StoreView::wasRemoved(const std::string &Name, Revision Told) const {
  auto Found = Removed_.find(Name);
  return Found != Removed_.end() && Told <= Found->second;
}

bool StoreView::follow(const ChangeLog::Changes &Told, Revision Revision) {
  // A daemon that is behind would bring a leaving server back.
  if (Revision < Revision_)
    return false;
  std::set<ServerName> Servers;
  for (const KeyValue &Entry : Told.Entries_) {
    bool IsServer = Entry.Key_.starts_with(Layout_.ServerPrefix_);
    ServerName Name(IsServer ? Entry.Key_.substr(Layout_.ServerPrefix_.size())
                             : "");
    if (IsServer && wasRemoved(Name.str(), Entry.Revision_))
      continue;
    if (IsServer && Entry.Deleted_)
      DirectoryChanged_ |= Directory_.remove(Name);
    else
      apply(Entry);
    if (IsServer)
      Servers.insert(std::move(Name));
  }
  if (Told.Complete_)
    DirectoryChanged_ |= Directory_.keepOnly(Servers);
  advance(Revision);
  publish();
  return true;
}

void StoreView::applyServer(const std::string &Name, const KeyValue &Entry) {
  if (Entry.Deleted_) {
    Rejected_.erase(Name);
    ServerLines_.push_back(
        {"server-gone",
         Name,
         {{"revision", std::to_string(Entry.Revision_.count())}}});
    DirectoryChanged_ |= Directory_.missing(ServerName(Name), BootClock::now());
    return;
  }
  auto Read = Layout_.ReadServer_(Name, Entry.Value_);
  if (!Read)
    return rejectServer(Name, Entry, Read.error());
  Rejected_.erase(Name);
  Log_.set(Entry);
  if (!Directory_.seen(*Read))
    return;
  DirectoryChanged_ = true;
  ServerLines_.push_back(
      {"server-seen",
       Name,
       {{"pool", Read->Pool_.str()},
        {"address", formatEndpoint(Read->Server_.Address_)},
        {"state", Read->Server_.Leaving_ ? "leaving" : "active"},
        {"incarnation", std::to_string(Read->Server_.Incarnation_.count())},
        {"revision", std::to_string(Entry.Revision_.count())}}});
}

/// All of a large directory come at once, to each daemon: one line names many.
void StoreView::logServers() {
  constexpr std::size_t MostOwnLines = 4;
  auto Lines = std::exchange(ServerLines_, {});
  std::map<std::string_view, std::vector<std::string_view>> ByEvent;
  for (ServerLine &Line : Lines) {
    ByEvent[Line.Event_].push_back(Line.Name_);
    if (Lines.size() > MostOwnLines)
      continue;
    Line.Fields_.insert(Line.Fields_.begin(), {"server", Line.Name_});
    logEvent(LogCategory::Version, spdlog::level::info, Line.Event_,
             Line.Fields_);
  }
  if (Lines.size() <= MostOwnLines)
    return;
  for (const auto &[Event, Names] : ByEvent)
    logEvent(LogCategory::Version, spdlog::level::info, Event,
             {{"count", std::to_string(Names.size())},
              {"servers", fmt::format("{}", fmt::join(Names, ","))},
              {"revision", std::to_string(Revision_.count())}});
}

/// An entry that can't be read names no server. One that was good and is
/// overwritten so gets no new work: where the server is, and whether it still
/// takes any, is no longer known. What runs there goes on.
void StoreView::rejectServer(const std::string &Name, const KeyValue &Entry,
                             const Failure &Cause) {
  DirectoryChanged_ |= Directory_.remove(ServerName(Name));
  // It is read again and again: one line for each cause.
  if (std::exchange(Rejected_[Name], Cause.Detail_) == Cause.Detail_)
    return;
  logEvent(LogCategory::Version, spdlog::level::err, "server-not-understood",
           {{"server", Name},
            {"code", std::to_string(static_cast<int>(Cause.Code_))},
            {"detail", Cause.Detail_},
            {"revision", std::to_string(Entry.Revision_.count())}});
}

/// What can't be read leaves the last good configuration in force.
void StoreView::adopt(const KeyValue &Entry) {
  // It is read again and again to know that it is the newest.
  if (Entry.Revision_ == ConfigurationRevision_)
    return;
  auto Read = Layout_.ReadConfiguration_(Entry.Value_);
  if (!Read) {
    logEvent(LogCategory::Version, spdlog::level::err,
             "configuration-not-understood",
             {{"detail", Read.error().Detail_}});
    return;
  }
  ConfigurationRevision_ = Entry.Revision_;
  ConfigurationReadAt_ = BootClock::now();
  if (!Documents_.adopt(Layout_.Service_, Read->Version_, Read->Document_))
    return;
  Log_.set(Entry);
  Hooks_.Changed_();
}

} // namespace samphireshunt
