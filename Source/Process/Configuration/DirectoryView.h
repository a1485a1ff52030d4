#pragma once
/// \file
/// The backend servers that registered with the platform. Pure: the time is an
/// argument.
///
/// The entry of a silent server expires, but entries also expire when the
/// platform's service is unavailable. Dropping them at once would lose all
/// servers in an outage; keeping them forever would send work to a server that
/// has left. So entries that go missing in an outage are retained until the
/// live servers have registered again, unless only this daemon was cut off.

#include "Common/BootClock.h"
#include "Process/Configuration/OutageCause.h"
#include "Version/DocumentStore.h"

#include <optional>
#include <set>

namespace samphireshunt {

/// One server as it registered itself.
struct RegisteredServer {
  PoolName Pool_;
  BackendServer Server_;
};

class DirectoryView {
public:
  explicit DirectoryView(BootClock::duration RegisterAgainTime)
      : RegisterAgainTime_(RegisterAgainTime) {}

  /// Adds or updates a server.
  /// \returns true if this changed the result of servers().
  bool addOrUpdate(const RegisteredServer &Server);
  /// Called when the entry was removed, or is missing in a complete list.
  bool markMissing(const ServerName &Name, BootTime Now);
  /// Called when a complete list was read; servers that are not in it are
  /// missing.
  bool listed(const std::set<ServerName> &Names, BootTime Now);

  /// Called when the service became unreachable.
  void outageBegan();
  /// Called when the service answers again. After an outage of this daemon's
  /// own nothing is retained: the service's list is right as it is. If that
  /// list lacks most of the known servers, they were cut off from the service
  /// too, and it counts as an outage of the service.
  void outageEnded(BootTime Now, OutageCause Cause = OutageCause::Service);
  /// Drops servers that are still missing once their retention time is over.
  bool dropMissing(BootTime Now);
  /// When dropMissing() next has something to do.
  std::optional<BootTime> nextDrop() const;

  ServersByPool servers() const;
  /// Equal for directories of the same servers, and different for others except
  /// for hash collisions; 0 if there are no servers.
  std::uint64_t digest() const;
  /// Servers that went missing in an outage and are retained.
  std::vector<ServerName> missingNames() const;
  std::size_t size() const { return Entries_.size(); }
  bool contains(const ServerName &Name) const {
    return Entries_.contains(Name);
  }
  /// True if the server went missing in an outage and is retained.
  bool isMissing(const ServerName &Name) const {
    auto Found = Entries_.find(Name);
    return Found != Entries_.end() && Found->second.Missing_;
  }

  // Reported by a daemon that has accounted for outages itself.
  /// \returns true if the server was known.
  bool remove(const ServerName &Name);
  /// Removes all servers except \p Names. \returns true if any were removed.
  bool retainOnly(const std::set<ServerName> &Names);

private:
  struct Entry {
    RegisteredServer Server_;
    bool Missing_ = false;
  };
  /// Resets the digest if any servers were removed. \returns whether any were.
  bool noteRemoved(std::size_t Count);
  bool inOutage(BootTime Now) const { return Outage_ || Now < RetainUntil_; }

  BootClock::duration RegisterAgainTime_;
  std::map<ServerName, Entry> Entries_;
  bool Outage_ = false;
  /// An outage of this daemon's own has ended, and no list was examined since.
  bool OwnOutageEnded_ = false;
  BootTime RetainUntil_;
  /// Unset after a change of the servers, until it is computed again.
  mutable std::optional<std::uint64_t> Digest_;
};

} // namespace samphireshunt
