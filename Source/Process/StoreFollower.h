#pragma once
/// \file
/// Follows the platform's key-value service by one watch: the configuration,
/// the directory of backend servers and the other daemons. Runs on the control
/// thread.

#include "Process/DirectoryView.h"
#include "Process/FreshnessLease.h"
#include "Process/Platform.h"
#include "Version/DocumentStore.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
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

class StoreFollower {
public:
  struct Options {
    /// How long one watch waits at the service. With the time that a dead
    /// connection goes unnoticed it must stay well under the freshness lease,
    /// which runs from the sending of the watch before.
    std::chrono::milliseconds WatchTime_{1500};
    /// Pause after the second failure in a row, doubled up to the longest.
    std::chrono::milliseconds FirstPause_{100};
    std::chrono::milliseconds LongestPause_{400};
    /// After an outage servers that lapsed meanwhile register again: the
    /// platform promises about two seconds.
    std::chrono::milliseconds RegisterAgainTime_{2400};
  };
  struct Hooks {
    /// A daemon registered itself at this address.
    std::function<void(const VmId &, const std::string &Address)> DaemonSeen_;
  };

  StoreFollower(boost::asio::io_context &Control, PlatformHooks Platform,
                DocumentStore &Documents, FreshnessLease &Freshness,
                StoreLayout Layout, Options Settings, Hooks Reactions);

  /// Begins to follow, and registers this daemon under its address.
  void start(VmId Self, std::string Address);
  void stop() { Stopped_ = true; }
  bool platformReachable() const { return Failures_ == 0; }

private:
  Awaitable<void> follow();
  Awaitable<Result<void>> listAll();
  Awaitable<Result<void>> watchOnce();
  Awaitable<void> registerSelf();
  Awaitable<void> pause(std::chrono::milliseconds Time);
  Awaitable<void> dropUnseenLater();
  void succeeded();
  Awaitable<void> failed(const Failure &Cause);
  void apply(const KeyValue &Entry);
  void applyServer(const std::string &Name, const KeyValue &Entry);
  void adopt(const std::string &Value);
  void publish();

  boost::asio::io_context &Control_;
  PlatformHooks Platform_;
  DocumentStore &Documents_;
  FreshnessLease &Freshness_;
  StoreLayout Layout_;
  Options Options_;
  Hooks Hooks_;
  DirectoryView Directory_;
  VmId Self_;
  std::string Address_;
  std::string RegisteredAddress_;
  Revision OwnRevision_;
  Revision After_;
  bool NeedsList_ = true;
  bool Stopped_ = false;
  bool DirectoryChanged_ = false;
  bool DropPlanned_ = false;
  int Failures_ = 0;
};

} // namespace samphireshunt
