#pragma once
/// \file
/// Obtains configuration documents and activates them: from the platform by one
/// watch, and from other daemons according to the versions in their gossip.
/// Runs on the control thread.

#include "Process/Configuration/FreshnessLease.h"
#include "Process/Configuration/Platform.h"
#include "Version/DocumentStore.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <set>

namespace samphireshunt {

class ConfigurationSync {
public:
  struct Options {
    /// How long one watch waits at the service. Also bounds how long a watch
    /// that died unnoticed can hide a change.
    std::chrono::milliseconds WatchTime_{2500};
    std::chrono::milliseconds RetryTime_{500};
    std::chrono::milliseconds ListInterval_{1000};
    /// How long to wait at startup for a message from any peer.
    std::chrono::milliseconds JoinTime_{1500};
  };
  struct Hooks {
    std::function<void(const VmId &From, const ServiceName &)> RequestDocument_;
    std::function<void(const std::vector<ListedVm> &)> VmsListed_;
    std::function<bool()> HeardFromPeer_;
  };

  ConfigurationSync(boost::asio::io_context &Control, PlatformHooks Platform,
                    DocumentStore &Documents, FreshnessLease &Freshness,
                    Options Settings, Hooks Reactions);

  void start();
  void stop() { Stopped_ = true; }
  /// Called when gossip reports that \p From has this version.
  void versionAnnounced(const VmId &From, const ServiceName &Service,
                        DocumentVersion Version);
  /// Called when a peer has sent a document.
  void documentReceived(const ServiceName &Service, const std::string &Encoded);
  /// True once this daemon may serve: its configuration is as new as every
  /// version it has learned of, and it has received data from the platform or
  /// from a peer.
  bool ready();
  bool platformReachable() const { return PlatformReachable_; }

private:
  Awaitable<void> watchDocuments();
  Awaitable<void> listVms();
  Awaitable<void> pause(std::chrono::milliseconds Time);
  void adoptEntry(const KeyValue &Entry);
  void logReachable(const Failure &Cause);
  /// True if the active documents are as new as every version learned of.
  void refuseEntry(const std::string &Key, const RefusedItem &Item);
  bool upToDate() const;
  void noteLag();

  boost::asio::io_context &Control_;
  PlatformHooks Platform_;
  DocumentStore &Documents_;
  FreshnessLease &Freshness_;
  Options Options_;
  Hooks Hooks_;
  std::map<ServiceName, DocumentVersion> NewestAnnounced_;
  /// Services whose newest document is too large to be held here.
  std::set<ServiceName> TooLarge_;
  std::chrono::steady_clock::time_point Started_;
  bool PlatformRead_ = false;
  bool PlatformReachable_ = false;
  /// Consecutive failed calls.
  int Failures_ = 0;
  bool ExpectsPeers_ = true;
  bool WasReady_ = false;
  bool Stopped_ = false;
};

} // namespace samphireshunt
