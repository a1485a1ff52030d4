#include "Process/Configuration/DirectoryView.h"

#include "Common/Hash.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphireshunt {

namespace {

bool sameServer(const RegisteredServer &Left, const RegisteredServer &Right) {
  const BackendServer &A = Left.Server_;
  const BackendServer &B = Right.Server_;
  return Left.Pool_ == Right.Pool_ && A.Address_ == B.Address_ &&
         A.DataCenter_ == B.DataCenter_ && A.Leaving_ == B.Leaving_ &&
         A.MaxInFlight_ == B.MaxInFlight_ && A.Incarnation_ == B.Incarnation_;
}

std::uint64_t digestOf(const RegisteredServer &Known) {
  const BackendServer &Server = Known.Server_;
  return stableHash(fmt::format(
      "{}\n{}\n{}\n{}\n{}\n{}\n{}", Known.Pool_.str(), Server.Name_.str(),
      formatEndpoint(Server.Address_), Server.DataCenter_.str(),
      Server.Leaving_, Server.MaxInFlight_, Server.Incarnation_.count()));
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

void DirectoryView::erase(std::map<ServerName, Entry>::iterator Found) {
  Entries_.erase(Found);
  Digest_.reset();
}

bool DirectoryView::remove(const ServerName &Name) {
  auto Found = Entries_.find(Name);
  if (Found == Entries_.end())
    return false;
  erase(Found);
  return true;
}

bool DirectoryView::seen(const RegisteredServer &Server) {
  Entry &Target = Entries_[Server.Server_.Name_];
  // What an earlier process of the server wrote may be read late, from a daemon
  // that is behind. Taken in, it would bring a leaving state, or an address,
  // back that is no longer true.
  if (Server.Server_.Incarnation_ < Target.Server_.Server_.Incarnation_)
    return false;
  Target.Missing_ = false;
  if (sameServer(Target.Server_, Server))
    return false;
  Target.Server_ = Server;
  Digest_.reset();
  return true;
}

bool DirectoryView::missing(const ServerName &Name, BootTime Now) {
  auto Found = Entries_.find(Name);
  if (Found == Entries_.end())
    return false;
  if (inOutage(Now)) {
    Found->second.Missing_ = true;
    return false;
  }
  erase(Found);
  return true;
}

bool DirectoryView::listed(const std::set<ServerName> &Names, BootTime Now) {
  std::vector<ServerName> Gone;
  for (const auto &[Name, Known] : Entries_)
    if (!Names.contains(Name))
      Gone.push_back(Name);
  bool Changed = false;
  for (const ServerName &Name : Gone)
    Changed |= missing(Name, Now);
  return Changed;
}

bool DirectoryView::keepOnly(const std::set<ServerName> &Names) {
  auto Removed = std::erase_if(
      Entries_, [&](const auto &Item) { return !Names.contains(Item.first); });
  Digest_.reset();
  return Removed > 0;
}

void DirectoryView::outageBegan() { Outage_ = true; }

void DirectoryView::outageEnded(BootTime Now) {
  if (Outage_)
    KeepUntil_ = Now + RegisterAgainTime_;
  Outage_ = false;
}

bool DirectoryView::dropUnseen(BootTime Now) {
  if (inOutage(Now))
    return false;
  auto Dropped = std::erase_if(
      Entries_, [](const auto &Item) { return Item.second.Missing_; });
  Digest_.reset();
  return Dropped > 0;
}

std::optional<BootTime> DirectoryView::nextDrop() const {
  bool Any = std::ranges::any_of(
      Entries_, [](const auto &Item) { return Item.second.Missing_; });
  if (Outage_ || !Any)
    return std::nullopt;
  return KeepUntil_;
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
