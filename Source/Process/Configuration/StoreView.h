#pragma once
/// \file
/// This daemon's view of the configuration and the backend servers, and how it
/// applies updates from the platform's service or from a daemon that follows
/// it. The view never goes back: entries from an older position are not
/// applied, nor outdated entries of a backup from which the service was
/// restored. Runs on the control thread.

#include "Common/Log.h"
#include "Process/Configuration/ChangeLog.h"
#include "Process/Configuration/DepartedServers.h"
#include "Process/Configuration/DirectoryView.h"
#include "Process/Configuration/Platform.h"
#include "Version/DocumentStore.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace samphireshunt {

/// A configuration as stored in the platform's service.
struct ReadConfiguration {
  DocumentVersion Version_;
  std::shared_ptr<const Document> Document_;
};

/// The keys under which the platform's service stores entries, and functions
/// that parse these.
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
  /// Prefixes of the operator's orders to roll out, and of the entries that
  /// daemons write about them.
  std::string RolloutOrderPrefix_;
  std::vector<std::string> RolloutStatePrefixes_;
};

class StoreView {
public:
  struct Hooks {
    /// Called when a daemon has registered itself, with its name and its entry,
    /// whose value is its address.
    std::function<void(const VmId &, const KeyValue &)> DaemonEntryRead_;
    /// Called after a change that followers of this daemon should receive.
    std::function<void()> Changed_;
    /// Called when an entry of a roll-out was written or removed.
    std::function<void(const KeyValue &)> RolloutEntryChanged_ =
        [](const KeyValue &) {};
    /// Returns the servers that may get requests, out of all that are
    /// registered.
    std::function<ServersByPool(ServersByPool)> SelectServers_ =
        [](ServersByPool Registered) { return Registered; };
    /// Called when everything that the service contained at some moment is
    /// applied, perhaps before it is published.
    std::function<void()> Applied_ = [] {};
    std::function<BootTime()> Now_ = BootClock::now;
  };
  struct Times {
    /// After an outage, or a restore from a backup, the operator and the
    /// servers write their entries again within this time.
    BootClock::duration RegisterAgain_;
    /// The entry of a silent server is removed within this time: five of its
    /// beats.
    BootClock::duration EntryExpiry_ = std::chrono::seconds(6);
  };

  StoreView(DocumentStore &Documents, StoreLayout Layout, Times Limits);
  void setHooks(Hooks Reactions) { Hooks_ = std::move(Reactions); }

  // Updates from the service itself.
  /// Called when the service has answered from \p Answered.
  /// \returns BadStoreEra if its era is older than one that was read from the
  /// service before.
  Result<void> reached(const StorePosition &Answered);
  /// Applies one entry that was read or has changed; publish() activates it.
  void apply(const KeyValue &Entry);
  /// Applies an item whose value can't be read, like an entry whose value can't
  /// be parsed.
  void refuse(const std::string &Key, const RefusedItem &Item);
  /// Applies a list of all keys. Servers and roll-outs that are not in it are
  /// removed, unless it has an item without a key.
  void listed(const KeyValueList &All);
  void outageBegan() { Directory_.outageBegan(); }
  void outageEnded(OutageCause Cause) {
    Directory_.outageEnded(Hooks_.Now_(), Cause);
  }
  /// Drops servers that went missing in an outage and have not come back.
  void dropMissing();
  std::optional<BootTime> nextDrop() const { return Directory_.nextDrop(); }
  /// True if servers that went missing in an outage are retained after it.
  /// Another daemon may know whether they are gone.
  bool retainsMissing() const { return nextDrop().has_value(); }
  /// Called when everything that the service contained at \p Asked is applied,
  /// directly or by way of a daemon. From then on, entries from the backup of
  /// an era that have not expired by then are accepted.
  void appliedAsOf(BootTime Asked);
  /// Since when the service has had a newer configuration that is too large to
  /// be held here; unset if it has none. What it says is unknown, so the active
  /// one is not confirmed meanwhile.
  const std::optional<BootTime> &tooLargeSince() const {
    return TooLargeSince_;
  }
  /// True if an answer to a call sent at \p Asked proves that no newer
  /// configuration than the active one was ever accepted.
  bool confirmsNewest(BootTime Asked) const;
  /// Activates changed servers.
  void publish();
  /// Activates the servers again, because others of them may get requests.
  void publishAgain();

  // Updates from a daemon that follows the service; activated at once.
  /// Applies a peer's changes. \p EraFirst is the revision at which the peer
  /// saw its era begin; 0 if it did not.
  /// \returns false, and applies nothing, if \p Reached is older than the
  /// position here.
  bool follow(const ChangeLog::Changes &Changes, const StorePosition &Reached,
              Revision EraFirst = {});
  /// Applies the text of a configuration.
  /// \returns false if it is not \p Version.
  bool applyText(DocumentVersion Version, std::string Text);

  /// The newest position of the service up to which all changes are applied.
  const StorePosition &position() const { return Position_; }
  void advance(const StorePosition &Newer) {
    Position_ = std::max(Position_, Newer);
  }
  /// Digest of the known servers and roll-outs; 0 if there are no servers.
  std::uint64_t digest() const;
  /// True if the service has an entry of that daemon. Known only to a daemon
  /// that reads the service.
  bool hasDaemon(const VmId &Daemon) const { return Daemons_.contains(Daemon); }
  /// The daemons that have an entry. Known as hasDaemon().
  const std::set<VmId> &daemons() const { return Daemons_; }
  /// Unset until an era has begun during the life of this process.
  const std::optional<EraStart> &eraStart() const { return EraStart_; }
  /// Version of the active configuration; 0 if there is none.
  DocumentVersion version() const;
  /// When the active configuration was read; the clock's epoch before the
  /// first.
  BootTime configurationReadAt() const { return ConfigurationReadAt_; }
  const ChangeLog &log() const { return Log_; }
  /// The changes after \p Number to send to followers, without \p ExcludedKey,
  /// which is sent in another way.
  ChangeLog::Changes told(std::uint64_t Number,
                          std::string_view ExcludedKey = {}) const;
  const StoreLayout &layout() const { return Layout_; }

private:
  /// Where an entry comes from; a daemon may not know whether it is still
  /// valid.
  enum class Source { Service, Daemon, UnverifiedDaemon };

  void beginEra(const StorePosition &First);
  void logEra();
  void applyFrom(Source From, const KeyValue &Entry);
  void applyUnguarded(Source From, const KeyValue &Entry);
  void retainKeys(const KeyValueList &All);
  void applyDaemon(const VmId &Daemon, const KeyValue &Entry);
  bool isRolloutKey(const std::string &Key) const;
  void applyRollout(const KeyValue &Entry);
  /// Removes the entries of roll-outs that are not in a complete state.
  void retainRollouts(const std::set<std::string_view> &Keys);
  void applyServer(Source From, const std::string &Name, const KeyValue &Entry);
  Admission admits(Source From, const std::string &Name,
                   const BackendServer &Server,
                   const StorePosition &Written) const;
  Admission comparedWithKnown(const std::string &Name,
                              const BackendServer &Server,
                              const StorePosition &Written) const;
  void applyServerEntry(const std::string &Name, const KeyValue &Entry,
                        const RegisteredServer &Read);
  void retainListed(const std::set<ServerName> &Servers);
  void deferServer(const std::string &Name, const KeyValue &Entry);
  Incarnation incarnationOf(const KeyValue &Entry) const;
  void rejectServer(const std::string &Name, const KeyValue &Entry,
                    const Failure &Cause);
  void adopt(const KeyValue &Entry);
  void refuseConfiguration(const RefusedItem &Item);
  bool activateConfiguration(const ReadConfiguration &Read,
                             const KeyValue &Entry);
  void noteServers();
  void logServers();

  DocumentStore &Documents_;
  StoreLayout Layout_;
  /// All prefixes of entries of roll-outs; none if the platform has none.
  std::vector<std::string> RolloutPrefixes_;
  Hooks Hooks_;
  DirectoryView Directory_;
  ChangeLog Log_;
  /// Daemons with an entry in the service.
  std::set<VmId> Daemons_;
  Times Times_;
  StorePosition Position_;
  /// True if the era was read from the service, false if only a daemon has
  /// reported it.
  bool EraRead_ = false;
  std::optional<EraStart> EraStart_;
  bool EraLogged_ = true;
  /// Position of the configuration that was read last, active or not.
  StorePosition ConfigurationPosition_;
  DocumentVersion ReadVersion_;
  BootTime ConfigurationReadAt_;
  std::optional<BootTime> TooLargeSince_;
  /// Position of the configuration that was too large, as logged.
  StorePosition TooLargePosition_;
  bool DirectoryChanged_ = false;
  /// Server events that are not logged yet, with the fields to log.
  struct ServerLine {
    std::string_view Event_;
    std::string Name_;
    LogFields Fields_;
  };
  std::vector<ServerLine> ServerLines_;
  DepartedServers Departed_;
  /// Entries of servers that have left, read from the backup of an era.
  std::map<std::string, KeyValue> Unconfirmed_;
  /// Entries that can't be parsed, by name, with the cause that was logged.
  std::map<std::string, std::string> Rejected_;
};

} // namespace samphireshunt
