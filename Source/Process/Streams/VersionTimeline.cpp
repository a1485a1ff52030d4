#include "Process/Streams/VersionTimeline.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace samphireshunt {

namespace {

/// How long a version that is gone is remembered: longer than any stream lasts.
constexpr std::chrono::minutes GoneMemory{20};

} // namespace

void VersionTimeline::note(const ServersByPool &Registered, BootTime Now) {
  for (auto &[Pool, Timeline] : Pools_) {
    for (auto &[Version, Gone] : Timeline.Versions_)
      if (!Gone)
        Gone = Now;
    std::erase_if(Timeline.Versions_, [Now](const auto &Item) {
      return Now - *Item.second > GoneMemory;
    });
  }
  for (const auto &[Pool, Servers] : Registered) {
    auto [Found, New] = Pools_.try_emplace(Pool);
    if (New)
      Found->second.Began_ = Now;
    for (const BackendServer &Server : Servers)
      Found->second.Versions_[Server.Version_] = std::nullopt;
  }
}

std::optional<SoftwareVersion>
VersionTimeline::onlyVersion(const PoolName &Pool, BootTime Since,
                             BootTime CurrentSince) const {
  auto Found = Pools_.find(Pool);
  if (Found == Pools_.end())
    return std::nullopt;
  if (std::max(Found->second.Began_, CurrentSince) > Since)
    return std::nullopt;
  auto Versions = knownVersions(Pool, Since);
  if (Versions.size() != 1)
    return std::nullopt;
  return Versions.front();
}

std::vector<SoftwareVersion>
VersionTimeline::knownVersions(const PoolName &Pool, BootTime Since) const {
  std::vector<SoftwareVersion> Versions;
  auto Found = Pools_.find(Pool);
  if (Found == Pools_.end())
    return Versions;
  for (const auto &[Version, Gone] : Found->second.Versions_)
    if (!Gone || *Gone >= Since)
      Versions.push_back(Version);
  return Versions;
}

StreamVersion VersionTimeline::versionOf(const UnrecordedStream &Stream,
                                         const ListTimes &List) const {
  BootTime Since = Stream.Arrived_ - Stream.MaxAge_;
  if (knownVersions(Stream.Pool_, Since).size() > 1)
    return {StreamVersion::Proof::Several, {}};
  auto Only = onlyVersion(Stream.Pool_, Since, List.UnbrokenSince_);
  if (!Only)
    return {};
  if (List.AskedAt_ < Stream.Arrived_)
    return {StreamVersion::Proof::Unconfirmed, {}};
  return {StreamVersion::Proof::Shown, std::move(*Only)};
}

} // namespace samphireshunt
