#pragma once
/// \file
/// The daemon: one process on one VM, with all roles. One control thread for
/// membership, keeping and configuration; worker threads for requests.

#include "Process/Configuration/ConfigurationSync.h"
#include "Process/Configuration/PeerFollower.h"
#include "Process/Configuration/StoreFollower.h"
#include "Process/Keeping/EngineMonitor.h"
#include "Process/Keeping/KeeperChoice.h"
#include "Process/Keeping/KeeperService.h"
#include "Process/Membership/MemberLog.h"
#include "Process/Membership/MembershipService.h"
#include "Process/Membership/PeerNetwork.h"
#include "Programs/Metrics.h"
#include "Programs/OperatorService.h"
#include "Programs/Settings.h"
#include "Programs/TraceExporter.h"
#include "Request/CallerService.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <filesystem>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace samphireshunt {

/// What makes the daemon fit a platform; the default is the product's own.
struct PlatformAdapter {
  std::function<PlatformHooks(Endpoint, std::chrono::milliseconds)> Hooks_ =
      httpPlatform;
  /// Set where the configuration, servers and daemons stand in the platform's
  /// service; unset: documents stand there, as samphireshuntctl writes them.
  std::optional<StoreLayout> Layout_;
  ForwardingDialect Dialect_ = ownDialect();
};

class Daemon {
public:
  /// Binds all addresses and wires the parts. \returns BadSetting.
  static Result<std::unique_ptr<Daemon>> create(Settings Configured,
                                                PlatformAdapter Adapter = {});
  ~Daemon();

  /// Serves until a graceful stop has ended. \returns the exit status.
  int run();
  /// The addresses bound, as one JSON line.
  std::string describeAddresses() const;

private:
  /// One thread, its requests and its connections to backend servers.
  struct Worker {
    /// The control thread's, where that serves requests.
    boost::asio::io_context *Context_ = nullptr;
    BackendConnections Connections_{BackendConnections::Options()};
    std::unique_ptr<CallerService> Callers_;
    std::thread Thread_;
  };

  Daemon(Settings Configured, PlatformAdapter Adapter);
  Result<void> wire();
  using Udp = boost::asio::ip::udp;

  PeerNetwork::Hooks peerHooks();
  /// Binds the address for other daemons, for datagrams in \p Datagrams.
  Result<void> wirePeers(Udp::socket &Datagrams);
  void wireMembership(Udp::socket Datagrams);
  void wireKeeper();
  void wireConfiguration();
  Result<void> wireCallers();
  Result<void> wireOperators();
  HttpServerOptions operatorOptions(const Endpoint &Address);
  RequestServices requestServices(BackendConnections &Connections);
  std::unique_ptr<Worker> makeWorker(bool OnControlThread);
  void wireFollower();
  void onDaemonRegistered(const VmId &Id, const std::string &Text);
  void startConfiguration();
  HttpLimits callerLimits() const;
  bool configurationReady();
  bool platformReachable() const;
  bool isTakingCallers() const;
  bool hasTimeFor(const ForwardingRule &Rule) const;
  void lookAround();
  void lookThrough(std::vector<boost::asio::io_context *> Left);
  void onLookedAround();
  bool mayStop(std::chrono::steady_clock::duration Drained);
  void reloadSettings();
  void awaitSignal();

  std::optional<VmId> keeperFor(const CellId &Cell,
                                const std::vector<VmId> &Unreachable) const;
  void onAsked(const VmId &From, wire::EnvelopeT Message);
  void onAnswered(const VmId &From, wire::EnvelopeT Message);
  void onDecided(const Decision &Taken);
  void onMemberChanged(const Member &Changed);
  /// What was worked out from the members counts no more.
  void membersChanged();
  void onDocumentChanged(const ServiceName &Service);
  void onVmsListed(const std::vector<ListedVm> &Listed);
  void sendDocument(const VmId &To, const ServiceName &Service);
  void refreshSoon();
  void applyLogLevel();
  bool isReady() const;
  RequestId nextRequestId();

  void beginDrain();
  void awaitDrained();
  void stopAll();
  std::string status() const;
  /// How long ago the configuration was known to be the newest.
  std::chrono::milliseconds configurationAge() const;
  std::string vms() const;
  std::string metrics();

  Settings Settings_;
  PlatformAdapter Adapter_;
  FreshnessLease Freshness_;
  std::unique_ptr<RepeatBudget> Repeats_;
  Incarnation Incarnation_;
  std::uint64_t Origin_ = 0;
  std::atomic<std::uint64_t> NextSequence_ = 1;
  std::atomic<bool> Ready_ = false;
  TimePoint Started_;
  /// It has what the others had when it started.
  bool Joined_ = false;
  std::atomic<bool> Draining_ = false;
  TimePoint DrainStarted_;
  bool LookingAround_ = false;
  TimePoint LookStarted_;

  /// Requests that wait for a grant are known to Grants_ and Control_, by
  /// timers of their workers' contexts: a context that ended first would leave
  /// these with freed memory, and a stop would end with a signal.
  std::vector<std::unique_ptr<boost::asio::io_context>> WorkerContexts_;
  boost::asio::io_context Control_{1};
  DocumentStore Documents_;
  PlatformHooks Platform_;
  Metrics Metrics_;
  std::unique_ptr<ClaimStore> Claims_;
  std::unique_ptr<MemberTable> Members_;
  RcuCell<std::vector<Member>> MemberSnapshot_;
  MemberLog MemberLog_;
  std::unique_ptr<PeerNetwork> Peers_;
  std::unique_ptr<MembershipService> Membership_;
  /// A cache, which reports fill too.
  mutable KeeperChoice KeeperChoice_;
  std::unique_ptr<KeeperService> Keeper_;
  std::unique_ptr<GrantClient> Grants_;
  std::unique_ptr<EngineMonitor> Engines_;
  /// Documents of the product's own, or the platform's configuration.
  std::unique_ptr<ConfigurationSync> Configuration_;
  std::unique_ptr<StoreView> View_;
  std::unique_ptr<StoreFollower> Follower_;
  std::unique_ptr<PeerFollower> PeerFollower_;
  /// Unset when the members have changed since.
  std::optional<ReaderChoice> ReaderChoice_;
  std::unique_ptr<TraceExporter> Traces_;
  std::vector<std::unique_ptr<Worker>> Workers_;
  std::unique_ptr<HttpServer> CallerServer_;
  std::unique_ptr<OperatorService> Operators_;
  std::unique_ptr<HttpServer> OperatorServer_;
  std::unique_ptr<HttpServer> MetricsServer_;
  boost::asio::signal_set Signals_;
  boost::asio::steady_timer DrainTimer_;
  boost::asio::steady_timer RefreshTimer_;
  bool RefreshPending_ = false;
  std::filesystem::file_time_type FlagFileTime_;
  std::chrono::steady_clock::time_point FlagFileLooked_;
};

} // namespace samphireshunt
