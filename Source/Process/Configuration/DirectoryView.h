#pragma once
/// \file
/// The backend servers that registered with the platform. Pure: the time is an
/// argument.
///
/// An entry lapses when its server is silent, at times only because the
/// platform's service was away. Taken as gone at once, all servers would be
/// lost in an outage; kept for ever, a server that left would get work. So what
/// goes missing in an outage is kept until those that live are back.

#include "Common/BootClock.h"
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

  /// \returns true when that changed what servers() returns.
  bool seen(const RegisteredServer &Server);
  /// The entry was removed, or is missing in a complete list.
  bool missing(const ServerName &Name, BootTime Now);
  /// A complete list was read; servers not in it are missing.
  bool listed(const std::set<ServerName> &Names, BootTime Now);

  /// The service could not be reached.
  void outageBegan();
  /// It answers again.
  void outageEnded(BootTime Now);
  /// Drops what is still missing when the time for it has come.
  bool dropUnseen(BootTime Now);
  /// When dropUnseen() has something to do next.
  std::optional<BootTime> nextDrop() const;

  ServersByPool servers() const;
  /// Equal for directories of the same servers, but by a rare chance; 0 where
  /// there are none.
  std::uint64_t digest() const;
  /// Servers that went missing in an outage and are kept.
  std::vector<ServerName> missingNames() const;
  std::size_t size() const { return Entries_.size(); }
  bool contains(const ServerName &Name) const {
    return Entries_.contains(Name);
  }

  // Said by a daemon that has looked at outages itself.
  /// \returns true when the server was known.
  bool remove(const ServerName &Name);
  /// Removes all but these. \returns true when there were others.
  bool keepOnly(const std::set<ServerName> &Names);

private:
  struct Entry {
    RegisteredServer Server_;
    bool Missing_ = false;
  };
  /// \returns whether any were removed.
  bool noteRemoved(std::size_t Count);
  bool inOutage(BootTime Now) const { return Outage_ || Now < KeepUntil_; }

  BootClock::duration RegisterAgainTime_;
  std::map<ServerName, Entry> Entries_;
  bool Outage_ = false;
  BootTime KeepUntil_;
  /// Unset since the servers have changed.
  mutable std::optional<std::uint64_t> Digest_;
};

} // namespace samphireshunt
