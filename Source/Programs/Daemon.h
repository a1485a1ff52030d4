#pragma once
/// \file
/// The daemon: one process per VM, with all roles. One control thread handles
/// membership, scheduling and configuration; worker threads handle requests.

#include "Connection/MemoryBudget.h"
#include "Connection/ServerAddress.h"
#include "Process/Configuration/ConfigurationSync.h"
#include "Process/Configuration/PeerFollower.h"
#include "Process/Configuration/RefusedItems.h"
#include "Process/Configuration/StoreFollower.h"
#include "Process/Keeping/EngineMonitor.h"
#include "Process/Keeping/KeeperChoice.h"
#include "Process/Keeping/KeeperService.h"
#include "Process/Membership/MemberLog.h"
#include "Process/Membership/MembershipService.h"
#include "Process/Membership/PeerNetwork.h"
#include "Process/Relay/RelayServer.h"
#include "Process/Relay/ServerConnector.h"
#include "Process/Rollout/RolloutService.h"
#include "Process/Streams/StreamOriginService.h"
#include "Process/Streams/VersionTimeline.h"
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
#include <set>
#include <thread>
#include <vector>

namespace samphireshunt {

/// Adapts the daemon to a platform. The defaults are the product's own
/// platform.
struct PlatformAdapter {
  std::function<PlatformHooks(Endpoint, std::chrono::milliseconds, StoreLimits)>
      Hooks_ = httpPlatform;
  /// Set if the platform's service itself contains the configuration, servers
  /// and daemons. If unset, the service contains documents as samphireshuntctl
  /// writes them.
  std::optional<StoreLayout> Layout_;
  /// Set together with Layout_.
  RolloutLayout Rollouts_;
  ForwardingDialect Dialect_ = defaultDialect();
  /// Opens connections to backend servers.
  Connector ConnectServer_ = openTcp;
};

class Daemon {
public:
  /// Binds all addresses and creates the components.
  /// \returns BadSetting when an address can't be bound.
  static Result<std::unique_ptr<Daemon>> create(Settings Configured,
                                                PlatformAdapter Adapter = {});
  ~Daemon();

  /// Serves until a graceful stop is complete. \returns the exit status.
  int run();
  /// \returns the bound addresses as one line of JSON.
  std::string describeAddresses() const;

private:
  /// One worker thread, the service for its requests, and its connections to
  /// backend servers.
  struct Worker {
    /// The control thread's context, if that thread serves requests. Not owned.
    boost::asio::io_context *Context_ = nullptr;
    std::unique_ptr<ServerConnector> Servers_;
    std::unique_ptr<CallerService> Callers_;
    std::thread Thread_;
  };

  Daemon(Settings Configured, PlatformAdapter Adapter);
  Result<void> wire();
  using Udp = boost::asio::ip::udp;

  PeerNetwork::Hooks peerHooks();
  /// Binds the address for other daemons, with the UDP socket in \p Datagrams.
  Result<void> wirePeers(Udp::socket &Datagrams);
  Result<void> wireRelay();
  Awaitable<RelayedSocket> openForRelay(RelayTarget Target);
  std::vector<RelayCandidate> relayCandidates() const;
  std::size_t knownDaemons() const;
  void wireMembership(Udp::socket Datagrams);
  void wireKeeper();
  void wireConfiguration();
  Result<void> wireCallers();
  Result<void> wireOperators();
  void noteOwnAddresses();
  HttpServerOptions operatorOptions(const Endpoint &Address);
  RequestServices requestServices(ServerConnector &Servers);
  std::unique_ptr<Worker> makeWorker(bool OnControlThread);
  void wireFollower();
  void wireRollouts();
  void reportParts(const ServerName &Server, const ServedSample &Sample);
  void wireOrigins();
  std::vector<VmId> recordKeeperCandidates() const;
  StreamVersion versionOf(const UnrecordedStream &Stream) const;
  void onDaemonRegistered(const VmId &Id, const std::string &Text);
  void startConfiguration();
  /// Logs and counts a caller that got no whole response.
  void reportCut(const HttpRequest &Request, CutReason Reason);
  /// \returns the answer to a request that was not read whole.
  HttpResponse refuseUnread(const Failure &Cause);
  HttpLimits callerLimits() const;
  bool configurationReady();
  bool platformReachable() const;
  bool isAcceptingCallers() const;
  StopTimes stopTimes() const;
  std::optional<CurrentStop> currentStop() const;
  void endRequestsAtStop();
  std::optional<std::chrono::milliseconds> sinceRunsEnded() const;
  void flushEventQueues();
  void flushNextQueue(std::vector<boost::asio::io_context *> Left);
  void onEventQueuesFlushed();
  bool mayStop(std::chrono::steady_clock::duration Drained);
  void reloadSettings();
  void awaitSignal();

  std::optional<VmId> keeperFor(const CellId &Cell,
                                const std::vector<VmId> &Unreachable) const;
  void onPeerRequest(const VmId &From, wire::EnvelopeT Message);
  void onPeerResponse(const VmId &From, wire::EnvelopeT Message);
  void onDecided(const Decision &Taken);
  void onMemberChanged(const Member &Changed);
  /// Invalidates the values that were computed from the list of members.
  void membersChanged();
  void onDocumentChanged(const ServiceName &Service);
  void onVmsListed(const std::vector<ListedVm> &Listed);
  void sendDocument(const VmId &To, const ServiceName &Service);
  void scheduleRefresh();
  void applyLogLevel();
  bool isReady() const;
  RequestId nextRequestId();

  void beginDrain();
  void checkProcess();
  void logPreviousProcess();
  void awaitDrained();
  void stopAll();
  std::string status() const;
  /// The time since the configuration was last known to be the newest.
  std::chrono::milliseconds configurationAge() const;
  std::string vms() const;
  std::string metrics();

  Settings Settings_;
  PlatformAdapter Adapter_;
  FreshnessLease Freshness_;
  std::unique_ptr<RetryBudget> RetryBudget_;
  MemoryBudget Memory_;
  /// For the bodies of operators' requests, which take no room from callers.
  MemoryBudget OperatorMemory_;
  Incarnation Incarnation_;
  std::uint64_t Origin_ = 0;
  std::atomic<std::uint64_t> NextSequence_ = 1;
  std::atomic<bool> Ready_ = false;
  TimePoint Started_;
  /// True once this daemon has the configuration that the other daemons had
  /// when it started.
  bool Joined_ = false;
  std::atomic<bool> Draining_ = false;
  TimePoint DrainStarted_;
  /// When the workers were told to end what still runs; unset: not yet.
  std::optional<TimePoint> RunsEnded_;
  bool FlushingQueues_ = false;
  TimePoint FlushStarted_;

  /// Contexts of the worker threads, declared before Control_ and Grants_. Both
  /// refer to waiting requests by timers of these contexts. If a context were
  /// destroyed first, the references would dangle and a stop would end in a
  /// crash.
  std::vector<std::unique_ptr<boost::asio::io_context>> WorkerContexts_;
  boost::asio::io_context Control_{1};
  DocumentStore Documents_;
  PlatformHooks Platform_;
  Metrics Metrics_;
  std::unique_ptr<ClaimStore> Claims_;
  CrashTracker Crashes_;
  std::unique_ptr<MemberTable> Members_;
  RcuCell<std::vector<Member>> MemberSnapshot_;
  RcuCell<std::vector<RelayCandidate>> RelayCandidates_;
  MemberLog MemberLog_;
  /// Processes of other daemons that were replaced unannounced.
  std::uint64_t RestartedMembers_ = 0;
  PreviousProcess PreviousProcess_;
  /// What is read of the platform's service.
  StoreLimits ReadLimits_;
  RefusedItems RefusedItems_;
  std::unique_ptr<PeerNetwork> Peers_;
  std::unique_ptr<MembershipService> Membership_;
  /// A cache that const reports fill too.
  mutable KeeperChoice KeeperChoice_;
  std::unique_ptr<KeeperService> Keeper_;
  std::unique_ptr<GrantClient> Grants_;
  VersionTimeline VersionTimeline_;
  /// The daemons that the platform lists, where it has no store view.
  std::set<VmId> ListedDaemons_;
  std::unique_ptr<StreamOriginService> Origins_;
  std::unique_ptr<EngineMonitor> Engines_;
  /// Synchronizes the product's own documents; unset if the configuration comes
  /// from the platform (see View_).
  std::unique_ptr<ConfigurationSync> Configuration_;
  std::unique_ptr<StoreView> View_;
  /// Set together with View_.
  std::unique_ptr<RolloutService> Rollouts_;
  std::unique_ptr<StoreFollower> Follower_;
  std::unique_ptr<PeerFollower> PeerFollower_;
  /// Unset after a change of the members.
  std::optional<ReaderChoice> ReaderChoice_;
  std::unique_ptr<TraceExporter> Traces_;
  std::vector<std::unique_ptr<Worker>> Workers_;
  std::unique_ptr<RelayServer> Relay_;
  std::unique_ptr<HttpServer> CallerServer_;
  OwnAddresses OwnAddresses_;
  std::unique_ptr<OperatorService> Operators_;
  std::unique_ptr<HttpServer> OperatorServer_;
  std::unique_ptr<HttpServer> MetricsServer_;
  boost::asio::signal_set Signals_;
  boost::asio::steady_timer DrainTimer_;
  bool Stopped_ = false;
  boost::asio::steady_timer RefreshTimer_;
  bool RefreshPending_ = false;
  std::filesystem::file_time_type FlagFileTime_;
  std::chrono::steady_clock::time_point FlagFileChecked_;
};

} // namespace samphireshunt
