#pragma once
/// \file
/// Brings documents into force: from the platform by one watch, and from
/// other daemons by the versions in their gossip. Runs on the control thread.

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
    /// How long one watch waits at the service; also bounds how long a watch
    /// that died unnoticed can hide a change.
    std::chrono::milliseconds WatchTime_{2500};
    std::chrono::milliseconds RetryTime_{500};
    std::chrono::milliseconds ListInterval_{1000};
    /// At the start, how long to wait for a word from any peer.
    std::chrono::milliseconds JoinTime_{1500};
  };
  struct Hooks {
    std::function<void(const VmId &From, const ServiceName &)> AskPeer_;
    std::function<void(const std::vector<ListedVm> &)> VmsListed_;
    std::function<bool()> HeardFromPeer_;
  };

  ConfigurationSync(boost::asio::io_context &Control, PlatformHooks Platform,
                    DocumentStore &Documents, FreshnessLease &Freshness,
                    Options Settings, Hooks Reactions);

  void start();
  void stop() { Stopped_ = true; }
  /// Gossip says that \p From has this version.
  void versionSeen(const VmId &From, const ServiceName &Service,
                   DocumentVersion Version);
  /// A peer sent a document.
  void documentReceived(const ServiceName &Service, const std::string &Encoded);
  /// True when this daemon may serve: what it has is as new as what it heard
  /// of, and it heard from the platform or from a peer.
  bool ready();
  bool platformReachable() const { return PlatformReachable_; }

private:
  Awaitable<void> watchDocuments();
  Awaitable<void> listVms();
  Awaitable<void> pause(std::chrono::milliseconds Time);
  void adoptEntry(const KeyValue &Entry);
  /// What is in force is as new as what was heard of.
  bool upToDate() const;
  void noteLag();

  boost::asio::io_context &Control_;
  PlatformHooks Platform_;
  DocumentStore &Documents_;
  FreshnessLease &Freshness_;
  Options Options_;
  Hooks Hooks_;
  std::map<ServiceName, DocumentVersion> NewestHeard_;
  std::chrono::steady_clock::time_point Started_;
  bool PlatformRead_ = false;
  bool PlatformReachable_ = false;
  bool ExpectsPeers_ = true;
  bool WasReady_ = false;
  bool Stopped_ = false;
};

} // namespace samphireshunt
