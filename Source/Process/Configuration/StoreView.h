#pragma once
/// \file
/// What this daemon believes of configuration and backend servers, and how it
/// takes in what the platform's service, or a daemon that follows it, says. It
/// never goes back: what an older revision says is not taken in. Runs on the
/// control thread.

#include "Common/Log.h"
#include "Process/Configuration/ChangeLog.h"
#include "Process/Configuration/DirectoryView.h"
#include "Process/Configuration/Platform.h"
#include "Version/DocumentStore.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace samphireshunt {

/// A configuration as the platform holds it.
struct ReadConfiguration {
  DocumentVersion Version_;
  std::shared_ptr<const Document> Document_;
};

/// Where things stand in the platform's service, and how to read them.
struct StoreLayout {
  ServiceName Service_;
  std::string ConfigurationKey_;
  std::string ServerPrefix_;
  std::string DaemonPrefix_;
  std::function<Result<ReadConfiguration>(const std::string &Value)>
      ReadConfiguration_;
  /// \p Name is the key without its prefix.
  std::function<Result<RegisteredServer>(const std::string &Name,
                                         const std::string &Value)>
      ReadServer_;
};

class StoreView {
public:
  struct Hooks {
    /// A daemon registered itself: its name, address and the write.
    std::function<void(const VmId &, const KeyValue &)> DaemonSeen_;
    /// Something was taken in that followers of this daemon should hear.
    std::function<void()> Changed_;
  };

  /// \p RegisterAgainTime: after an outage servers that lapsed meanwhile
  /// register again within this time.
  StoreView(DocumentStore &Documents, StoreLayout Layout,
            BootClock::duration RegisterAgainTime);
  void setHooks(Hooks Reactions) { Hooks_ = std::move(Reactions); }

  // From the service itself.
  /// One entry that was read or has changed; publish() puts it in force.
  void apply(const KeyValue &Entry);
  /// Everything under all keys was read.
  void listed(const KeyValueList &All);
  void outageBegan() { Directory_.outageBegan(); }
  void outageEnded() { Directory_.outageEnded(BootClock::now()); }
  /// Drops servers that went missing in an outage and are not back.
  void dropUnseen();
  std::optional<BootTime> nextDrop() const { return Directory_.nextDrop(); }
  /// Puts changed servers in force.
  void publish();

  // From a daemon that follows the service: what it believes, in force at once.
  /// \returns false, and takes nothing in, when \p Revision is older than what
  /// is known here.
  bool follow(const ChangeLog::Changes &Told, Revision Revision);

  /// The newest revision of the service that is taken in completely.
  Revision revision() const { return Revision_; }
  void advance(Revision Newer) { Revision_ = std::max(Revision_, Newer); }
  /// Of the configuration that was read last.
  Revision configurationRevision() const { return ConfigurationRevision_; }
  /// When that was read; the clock's beginning before the first.
  BootTime configurationReadAt() const { return ConfigurationReadAt_; }
  const ChangeLog &log() const { return Log_; }
  const StoreLayout &layout() const { return Layout_; }

private:
  void applyServer(const std::string &Name, const KeyValue &Entry);
  bool wasRemoved(const std::string &Name, Revision Told) const;
  void rejectServer(const std::string &Name, const KeyValue &Entry,
                    const Failure &Cause);
  void adopt(const KeyValue &Entry);
  void noteServers();
  void logServers();

  DocumentStore &Documents_;
  StoreLayout Layout_;
  Hooks Hooks_;
  DirectoryView Directory_;
  ChangeLog Log_;
  Revision Revision_;
  /// Of the configuration that was read last.
  Revision ConfigurationRevision_;
  BootTime ConfigurationReadAt_;
  bool DirectoryChanged_ = false;
  /// Servers that were heard of and are not logged yet, with what is to be
  /// told.
  struct ServerLine {
    std::string_view Event_;
    std::string Name_;
    LogFields Fields_;
  };
  std::vector<ServerLine> ServerLines_;
  /// Revisions of the entries of servers that were removed, by name.
  std::map<std::string, Revision> Removed_;
  /// Entries that can't be read, by name, with the cause that was logged.
  std::map<std::string, std::string> Rejected_;
};

} // namespace samphireshunt
