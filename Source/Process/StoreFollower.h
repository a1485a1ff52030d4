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
    /// How long one watch waits at the service: each one that returns is a
    /// call, with changes or without.
    std::chrono::milliseconds WatchTime_{20000};
    /// How often the configuration is read besides. That renews the freshness
    /// lease, of five seconds or so, and shows whether the watch still hears:
    /// two calls in the time in which a watch alone would need five.
    std::chrono::milliseconds ConfirmTime_{3200};
    /// How long the watch may be behind what was read.
    std::chrono::milliseconds BehindTime_{300};
    /// Pause after a watch that told of changes: those that follow come in one
    /// answer, and each answer counts as a call.
    std::chrono::milliseconds GatherTime_{500};
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
  /// One call may fail while the service is well, e.g. a watch that is cut.
  bool platformReachable() const { return Failures_ < 2; }

private:
  Awaitable<void> follow(std::uint64_t Generation);
  Awaitable<void> confirmRegularly();
  Awaitable<Result<Revision>> confirm();
  void startWatch();
  Awaitable<Result<void>> listAll();
  Awaitable<Result<void>> watchOnce(std::uint64_t Generation);
  Awaitable<void> registerSelf();
  Awaitable<void> pause(std::chrono::milliseconds Time);
  Awaitable<void> dropUnseenLater();
  void succeeded();
  void applyDirectory();
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
  /// Of the watch that counts; others were given up and end when they return.
  std::uint64_t Generation_ = 0;
  bool NeedsList_ = true;
  bool Stopped_ = false;
  bool DirectoryChanged_ = false;
  bool DropPlanned_ = false;
  bool SawChanges_ = false;
  int Failures_ = 0;
};

} // namespace samphireshunt
