#include "Process/Configuration/DirectoryView.h"

#include "Common/Hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace samphireshunt {

namespace {

/// The fields in which two entries of a server may differ.
auto comparedFields(const RegisteredServer &Known) {
  const BackendServer &Server = Known.Server_;
  return std::tie(Known.Pool_, Server.Address_, Server.DataCenter_,
                  Server.Leaving_, Server.MaxInFlight_, Server.Incarnation_,
                  Server.Version_);
}

std::uint64_t digestOf(const RegisteredServer &Known) {
  const auto &[Pool, Address, DataCenter, Leaving, MaxInFlight, Process,
               Version] = comparedFields(Known);
  return stableHash(fmt::format(
      "{}\n{}\n{}\n{}\n{}\n{}\n{}\n{}", Pool.str(), Known.Server_.Name_.str(),
      formatEndpoint(Address), DataCenter.str(), Leaving, MaxInFlight,
      Process.count(), Version.str()));
}

} // namespace

std::uint64_t DirectoryView::digest() const {
  if (!Digest_) {
    Digest_ = 0;
    for (const auto &[Name, Known] : Entries_)
      *Digest_ ^= digestOf(Known.Server_);
  }
  return *Digest_;
}

bool DirectoryView::noteRemoved(std::size_t Count) {
  if (Count > 0)
    Digest_.reset();
  return Count > 0;
}

bool DirectoryView::remove(const ServerName &Name) {
  return noteRemoved(Entries_.erase(Name));
}

bool DirectoryView::addOrUpdate(const RegisteredServer &Server) {
  Entry &Target = Entries_[Server.Server_.Name_];
  // An entry that an earlier process of the server wrote may arrive late, from
  // a daemon that is behind. Applying it would restore an outdated leaving
  // state or address.
  if (Server.Server_.Incarnation_ < Target.Server_.Server_.Incarnation_)
    return false;
  Target.Missing_ = false;
  if (comparedFields(Target.Server_) == comparedFields(Server))
    return false;
  Target.Server_ = Server;
  Digest_.reset();
  return true;
}

bool DirectoryView::markMissing(const ServerName &Name, BootTime Now) {
  auto Found = Entries_.find(Name);
  if (Found == Entries_.end())
    return false;
  if (inOutage(Now)) {
    Found->second.Missing_ = true;
    return false;
  }
  Entries_.erase(Found);
  return noteRemoved(1);
}

bool DirectoryView::listed(const std::set<ServerName> &Names, BootTime Now) {
  std::vector<ServerName> Absent;
  for (const auto &[Name, Known] : Entries_)
    if (!Names.contains(Name))
      Absent.push_back(Name);
  bool MostAbsent = 2 * Absent.size() > Entries_.size();
  if (std::exchange(OwnOutageEnded_, false) && MostAbsent)
    RetainUntil_ = Now + RegisterAgainTime_;
  bool Changed = false;
  for (const ServerName &Name : Absent)
    Changed |= markMissing(Name, Now);
  return Changed;
}

bool DirectoryView::retainOnly(const std::set<ServerName> &Names) {
  auto Removed = std::erase_if(
      Entries_, [&](const auto &Item) { return !Names.contains(Item.first); });
  return noteRemoved(Removed);
}

void DirectoryView::outageBegan() { Outage_ = true; }

void DirectoryView::outageEnded(BootTime Now, OutageCause Cause) {
  if (Outage_ && Cause == OutageCause::Service)
    RetainUntil_ = Now + RegisterAgainTime_;
  OwnOutageEnded_ = Outage_ && Cause == OutageCause::Own;
  Outage_ = false;
}

bool DirectoryView::dropMissing(BootTime Now) {
  if (inOutage(Now))
    return false;
  auto Dropped = std::erase_if(
      Entries_, [](const auto &Item) { return Item.second.Missing_; });
  return noteRemoved(Dropped);
}

std::optional<BootTime> DirectoryView::nextDrop() const {
  bool Any = std::ranges::any_of(
      Entries_, [](const auto &Item) { return Item.second.Missing_; });
  if (Outage_ || !Any)
    return std::nullopt;
  return RetainUntil_;
}

std::vector<ServerName> DirectoryView::missingNames() const {
  std::vector<ServerName> Names;
  for (const auto &[Name, Known] : Entries_)
    if (Known.Missing_)
      Names.push_back(Name);
  return Names;
}

ServersByPool DirectoryView::servers() const {
  ServersByPool Servers;
  for (const auto &[Name, Known] : Entries_)
    Servers[Known.Server_.Pool_].push_back(Known.Server_.Server_);
  return Servers;
}

} // namespace samphireshunt
