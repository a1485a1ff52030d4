#pragma once
/// \file
/// What this daemon believes of configuration and backend servers, and how it
/// takes in what the platform's service, or a daemon that follows it, says. It
/// never goes back: what an older position says is not taken in, nor what a
/// copy still holds from which the service came back. Runs on the control
/// thread.

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
    std::function<BootTime()> Now_ = BootClock::now;
  };
  struct Times {
    /// After an outage, or a return from a copy, operator and servers write
    /// again within this time.
    BootClock::duration RegisterAgain_;
    /// The entry of a server that is silent is removed within it: five of its
    /// beats.
    BootClock::duration Lapse_ = std::chrono::seconds(6);
  };

  StoreView(DocumentStore &Documents, StoreLayout Layout, Times Limits);
  void setHooks(Hooks Reactions) { Hooks_ = std::move(Reactions); }

  // From the service itself.
  /// The service has answered from \p Told. \returns BadStoreEra when its era
  /// is older than one that was read from it before.
  Result<void> reached(const StorePosition &Told);
  /// One entry that was read or has changed; publish() puts it in force.
  void apply(const KeyValue &Entry);
  /// Everything under all keys was read.
  void listed(const KeyValueList &All);
  void outageBegan() { Directory_.outageBegan(); }
  void outageEnded() { Directory_.outageEnded(Hooks_.Now_()); }
  /// Drops servers that went missing in an outage and are not back.
  void dropUnseen();
  std::optional<BootTime> nextDrop() const { return Directory_.nextDrop(); }
  /// All that the service held at \p Asked is taken in, from itself or by way
  /// of a daemon: entries that the copy of an era brought and that have not
  /// lapsed by then count.
  void heardAt(BootTime Asked);
  /// An answer that was asked for at \p Asked shows that no newer configuration
  /// was ever accepted than the one in force.
  bool confirmsNewest(BootTime Asked) const;
  /// Puts changed servers in force.
  void publish();

  // From a daemon that follows the service: what it believes, in force at once.
  /// \returns false, and takes nothing in, when \p Reached is older than what
  /// is known here. \p EraFirst: where the teller saw its era begin; revision 0
  /// where it did not.
  bool follow(const ChangeLog::Changes &Told, const StorePosition &Reached,
              Revision EraFirst = {});
  /// The text of a configuration. \returns false when it is not \p Version.
  bool takeText(DocumentVersion Version, std::string Text);

  /// The newest position of the service that is taken in completely.
  const StorePosition &position() const { return Position_; }
  void advance(const StorePosition &Newer) {
    Position_ = std::max(Position_, Newer);
  }
  /// Of the servers that are believed in; 0 is none.
  std::uint64_t digest() const { return Directory_.digest(); }
  /// The service has an entry of that daemon; known of one that reads it.
  bool hasDaemon(const VmId &Daemon) const { return Daemons_.contains(Daemon); }
  /// Unset until an era began under this process.
  const std::optional<EraStart> &eraStart() const { return EraStart_; }
  /// Of the configuration in force; 0 when there is none.
  DocumentVersion version() const;
  /// When it was read; the clock's beginning before the first.
  BootTime configurationReadAt() const { return ConfigurationReadAt_; }
  const ChangeLog &log() const { return Log_; }
  /// What followers are told after \p Number; \p Apart is a key that is told in
  /// another way.
  ChangeLog::Changes told(std::uint64_t Number,
                          std::string_view Apart = {}) const;
  const StoreLayout &layout() const { return Layout_; }

private:
  /// Who told an entry; a daemon may not know whether it still stands.
  enum class Source { Service, Daemon, UnsureDaemon };

  void beginEra(const StorePosition &First);
  void logEra();
  void applyFrom(Source From, const KeyValue &Entry);
  void applyDaemon(const VmId &Daemon, const KeyValue &Entry);
  void applyServer(Source From, const std::string &Name, const KeyValue &Entry);
  Admission admits(Source From, const std::string &Name,
                   const BackendServer &Told,
                   const StorePosition &Written) const;
  Admission comparedWithKnown(const std::string &Name,
                              const BackendServer &Told,
                              const StorePosition &Written) const;
  void takeServer(const std::string &Name, const KeyValue &Entry,
                  const RegisteredServer &Read);
  void keepTold(const std::set<ServerName> &Servers);
  void doubt(const std::string &Name, const KeyValue &Entry);
  Incarnation incarnationOf(const KeyValue &Entry) const;
  void rejectServer(const std::string &Name, const KeyValue &Entry,
                    const Failure &Cause);
  void adopt(const KeyValue &Entry);
  bool putInForce(const ReadConfiguration &Read, const KeyValue &Entry);
  void noteServers();
  void logServers();

  DocumentStore &Documents_;
  StoreLayout Layout_;
  Hooks Hooks_;
  DirectoryView Directory_;
  ChangeLog Log_;
  /// Those with an entry in the service.
  std::set<VmId> Daemons_;
  Times Times_;
  StorePosition Position_;
  /// The era was read from the service; false while only a daemon has told it.
  bool EraRead_ = false;
  std::optional<EraStart> EraStart_;
  bool EraLogged_ = true;
  /// Of the configuration that was read last, in force or not.
  StorePosition ConfigurationPosition_;
  DocumentVersion ToldVersion_;
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
  DepartedServers Departed_;
  /// Entries of servers that have left, from the copy of an era.
  std::map<std::string, KeyValue> Doubted_;
  /// Entries that can't be read, by name, with the cause that was logged.
  std::map<std::string, std::string> Rejected_;
};

} // namespace samphireshunt
