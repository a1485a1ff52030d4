#pragma once
/// \file
/// Runs the path of a forwarded request through a daemon in one process and one
/// thread. The caller side, the keeper and the connections are the real ones;
/// backend servers are scripted: they read a request and write given bytes.

#include "Process/Keeping/KeeperService.h"
#include "Process/Relay/RelayServer.h"
#include "Request/CallerService.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphireshunt::tests {

/// What a scripted server does with one request.
struct Script {
  enum class Then {
    KeepOpen,    ///< Waits for the next request.
    Close,       ///< Closes the connection normally.
    Reset,       ///< Resets the connection.
    Hold,        ///< Sends nothing more until the peer closes.
    Stall,       ///< Neither sends nor reads anything more.
    Repeat,      ///< Sends AfterSilence_ again until the peer closes.
    CloseOthers, ///< Closes the server's other connections normally.
    Crash,       ///< Ends the server: resets all connections, refuses new ones.
    End          ///< Ends the server, but this connection ends normally.
  };
  std::string Bytes_;
  Then Then_ = Then::KeepOpen;
  /// Answers after this many bytes of the request; 0: after the whole request.
  std::size_t AnswerAfterBytes_ = 0;
  /// Written to the server's other connections after the answer.
  std::string ToOthers_ = {};
  /// How long the server is silent then, and what it writes after that.
  std::chrono::milliseconds Silence_{0};
  std::string AfterSilence_ = {};
  /// The silence lasts until ScriptedServer::release() instead.
  bool AwaitsRelease_ = false;
};

/// Selects the script by the request's bytes and its number at this server,
/// starting at 0.
using ScriptOf =
    std::function<Script(const std::string &Request, std::size_t Number)>;

/// A backend server whose answers are given by scripts.
class ScriptedServer {
public:
  ScriptedServer(boost::asio::io_context &Context, ScriptOf Decide);

  const Endpoint &address() const { return Address_; }
  const std::vector<std::string> &requests() const { return Requests_; }
  std::size_t connections() const { return Connections_; }
  /// \returns the number of the connection whose request is decided on, from 1.
  std::size_t serving() const { return Serving_; }
  /// Number of connections that the peer closed.
  std::size_t closed() const { return Closed_; }
  /// Ends the silence of scripts that await that.
  void release() { Release_.cancel(); }
  /// Resets all connections and refuses new ones.
  void crash();
  void resetConnections();

private:
  using Socket = boost::asio::ip::tcp::socket;
  Awaitable<void> accept();
  /// Does with the other connections what the script says.
  void actOnOthers(const Socket &Own, const Script &Current);
  Awaitable<void> serve(std::shared_ptr<Socket> Peer, std::size_t Number);

  Endpoint Address_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  boost::asio::steady_timer Release_;
  std::vector<std::weak_ptr<Socket>> Peers_;
  std::vector<std::shared_ptr<Socket>> Stalled_;
  ScriptOf Decide_;
  std::vector<std::string> Requests_;
  std::size_t Connections_ = 0;
  std::size_t Closed_ = 0;
  std::size_t Serving_ = 0;
};

/// A listening socket that no coroutine serves. It shows what it has received
/// between two handlers of a harness, without running a handler itself.
class BareListener {
public:
  BareListener();

  Endpoint address() const { return Acceptor_.local_endpoint(); }
  /// \returns true once a connection has been established.
  bool connected();
  /// \returns all bytes received on the first connection so far.
  const std::string &received();
  /// \returns true once the peer has closed the first connection.
  bool closed();

private:
  void read();

  boost::asio::io_context Context_{1};
  boost::asio::ip::tcp::acceptor Acceptor_;
  boost::asio::ip::tcp::socket Socket_;
  std::string Received_;
  bool Closed_ = false;
};

/// What a caller received: all bytes until its answer was complete or the
/// connection ended.
struct CallerReply {
  std::string Bytes_;
  bool Ended_ = false; ///< The connection ended or the answer is complete.
  std::weak_ptr<boost::asio::ip::tcp::socket> Connection_;
  /// If set, the caller reads nothing until this is cancelled.
  std::shared_ptr<boost::asio::steady_timer> Pause_;

  int status() const;
  std::string body() const;
  bool hasLastChunk() const;
};

/// A second daemon that relays connections to servers.
class RelayingDaemon {
public:
  /// \p AddressOf returns the address of a server, or nothing if the daemon
  /// does not know it.
  RelayingDaemon(
      VmId Id,
      std::function<std::optional<Endpoint>(const ServerName &)> AddressOf);
  ~RelayingDaemon() { kill(); }

  RelayCandidate candidate() const { return {Id_, Address_, true}; }
  std::size_t connections() const {
    return Server_ ? Server_->connections() : 0;
  }
  RelayServer &server() { return *Server_; }
  /// Sets what it sees of the servers.
  void setLinks(PortState Seen) { Links_ = Seen; }
  /// Sets the daemons that it can ask to relay for itself.
  void setOthers(std::vector<RelayCandidate> Others);
  /// \returns how often it tried to connect to a server.
  std::size_t connectsTried() const { return ConnectsTried_; }
  /// Ends it: resets nothing, but no longer accepts.
  void stop() { Server_->stop(); }
  /// Closes all of its sockets, as the kernel does for a process that is
  /// killed.
  void kill();
  /// Runs what is ready.
  void poll();

private:
  ServerConnector::Options connecting();
  ServerConnector::Hooks relays();

  VmId Id_;
  PortState Links_ = PortState::Open;
  std::size_t ConnectsTried_ = 0;
  std::shared_ptr<const std::vector<RelayCandidate>> Others_ =
      std::make_shared<const std::vector<RelayCandidate>>();
  std::unique_ptr<boost::asio::io_context> Context_;
  ServerConnector Connector_;
  std::unique_ptr<RelayServer> Server_;
  Endpoint Address_;
};

/// \returns a connector that opens connections only while \p Links is Open.
Connector connectorFor(const PortState &Links);

/// A daemon's request path with scripted backend servers and test callers.
class ForwardingHarness {
public:
  struct Options {
    /// What the daemon may hold for callers; 0: no bound.
    std::size_t MemoryBytes_ = 0;
    /// Of the customer.
    Allotment Allotment_;
    RequestKind Kind_ = RequestKind::NonIdempotent;
    /// Serves the route by the product's own interface, with such a pool,
    /// instead of forwarding its requests.
    std::optional<PoolKind> OwnInterface_;
    std::string Method_ = "POST";
    bool Resumable_ = false;
    std::uint32_t Attempts_ = 2;
    std::uint32_t MaxInFlight_ = 4;
    bool RequiresKey_ = false;
    /// The timeout of the route.
    std::chrono::milliseconds Timeout_{3000};
    BootClock::duration Lease_{0};
    /// How long a newer configuration may be known without being applied; 0: no
    /// limit.
    BootClock::duration ApplyBound_{0};
    /// Number of other daemons that can relay.
    std::size_t Relays_ = 0;
    /// Software versions, which the servers have in turn.
    std::vector<std::string> Versions_ = std::vector<std::string>(1);
    /// The servers move the memory of runs.
    bool MovesRuns_ = false;
    /// What the servers can do with the memory of runs.
    RunMemoryPolicy RunMemory_;
    /// Tells the keeper that requests of the route must not run twice.
    bool NonIdempotent_ = false;
    RetryBudget::Options Retries_;
  };

  ForwardingHarness(Options Wanted, std::vector<ScriptOf> Servers);

  /// Sends a request with this body and reads its answer.
  CallerReply call(const std::string &CallId, const std::string &Body = "x",
                   const std::string &MoreFields = "");
  /// Starts a call; its answer is read while runUntil() runs.
  std::shared_ptr<CallerReply> begin(const std::string &CallId,
                                     const std::string &Body = "x",
                                     const std::string &MoreFields = "");
  /// Starts a call whose caller reads nothing until its pause is cancelled.
  std::shared_ptr<CallerReply> beginUnread(const std::string &CallId,
                                           const std::string &Body);
  /// Closes the sending direction of the caller's connection.
  static void endSending(const CallerReply &Call);
  /// Closes the caller's connection.
  static void disconnect(const CallerReply &Call);
  /// Runs until \p Done returns true or a time limit expires. \returns the
  /// final result of \p Done.
  bool runUntil(const std::function<bool()> &Done);

  /// Runs all handlers that are ready, until none is.
  void settle();

  ScriptedServer &server(std::size_t Index) { return *Servers_[Index]; }
  /// \returns the number of requests received by all servers.
  std::size_t received() const;
  /// Publishes the directory; \p Leaving and \p Gone are indexes of servers.
  void publish(std::vector<std::size_t> Leaving = {},
               std::vector<std::size_t> Gone = {});
  /// Publishes the directory; the servers \p HeldBack are of versions that this
  /// daemon holds back. The keeper has admitted these unless it knows.
  void hold(std::vector<std::size_t> HeldBack, bool KeeperKnows = true);
  /// Publishes the directory with these versions, which the servers have in
  /// turn; to the keeper only if it \p KeeperKnows.
  void publishVersions(std::vector<std::string> Versions,
                       bool KeeperKnows = true) {
    Options_.Versions_ = std::move(Versions);
    KeeperKnows_ = KeeperKnows;
    publish();
    KeeperKnows_ = true;
  }
  /// Publishes the directory, with another name for the server \p Index: a new
  /// process has its address.
  void rename(std::size_t Index, std::string Name);
  /// Publishes a directory with one server, at this address.
  void publishAt(const Endpoint &Address);
  /// Activates a configuration in which the customer has these keys.
  void adopt(std::vector<std::string> Keys);
  /// Sets what this daemon sees of the servers.
  void setLinks(PortState Seen) { Links_ = Seen; }
  /// Calls \p Hook while a connection to a server is being opened.
  void onConnect(std::function<void()> Hook) { Connecting_ = std::move(Hook); }
  /// Applies what a server has said in another answer.
  void say(std::size_t Server, ServerNotice Notice);
  /// Has the keeper ask for the suspension of the request with this number,
  /// starting at 1.
  void suspend(std::uint64_t Number, std::size_t CopyTo);
  /// Sets whether the daemon drains.
  /// Begins a stop that leaves requests too little time, or ends it.
  void setDraining(bool Drains) {
    using std::chrono::milliseconds;
    StopTimes Short{milliseconds(0), milliseconds(100), milliseconds(200)};
    Stop_ = Drains ? std::optional(CurrentStop{Short, milliseconds(0)})
                   : std::nullopt;
  }
  RelayingDaemon &relay(std::size_t Index) { return *Relays_[Index]; }
  ServerConnector &connector() { return Connector_; }
  const CrashTracker &crashes() const { return Crashes_; }
  FreshnessLease &lease() { return Lease_; }
  MemoryBudget &memory() { return Memory_; }
  /// \returns the number of requests that wait for a grant.
  std::size_t waiting() const { return Grants_->waiting(); }

private:
  RequestServices services();
  ServerConnector::Options connecting();
  ServerConnector::Hooks relays();
  StreamOriginService::Hooks origins();
  /// \returns a service that keeps claims.
  PlatformHooks platform();
  Awaitable<void> sendAndReceive(std::string Bytes,
                                 std::shared_ptr<CallerReply> Reply);

  Options Options_;
  std::vector<std::size_t> HeldBack_;
  /// Of servers that were renamed.
  std::map<std::size_t, std::string> Names_;
  bool KeeperKnows_ = true;
  /// Outlives the context, whose coroutines give their memory back.
  MemoryBudget Memory_{Options_.MemoryBytes_};
  boost::asio::io_context Context_{1};
  FreshnessLease Lease_;
  DocumentStore Documents_;
  std::vector<std::unique_ptr<ScriptedServer>> Servers_;
  std::map<std::string, std::string> Stored_;
  ClaimStore Claims_{platform(), ClaimStore::Options()};
  RetryBudget RetryBudget_{Options_.Retries_};
  CrashTracker Crashes_;
  ForwardingDialect Dialect_ = defaultDialect();
  PortState Links_ = PortState::Open;
  std::function<void()> Connecting_ = [] {};
  std::vector<std::unique_ptr<RelayingDaemon>> Relays_;
  ServerConnector Connector_;
  std::unique_ptr<KeeperService> Keeper_;
  std::unique_ptr<GrantClient> Grants_;
  std::unique_ptr<StreamOriginService> Origins_;
  std::unique_ptr<CallerService> Callers_;
  std::unique_ptr<HttpServer> Front_;
  std::uint64_t NextId_ = 1;
  std::optional<CurrentStop> Stop_;
  std::uint64_t Version_ = 0;
};

/// \returns the options of a harness whose route has requests of this kind.
ForwardingHarness::Options optionsOf(RequestKind Kind);

/// \returns a complete answer with a length, the call's id and the proof.
std::string completeAnswer(const std::string &CallId, const std::string &Body,
                           int Status = 200);
/// \returns the head of a chunked stream of events.
std::string streamHead(const std::string &CallId);
/// \returns one event as one chunk.
std::string eventChunk(int Id, const std::string &Data);
std::string chunk(const std::string &Data);
inline const std::string LastChunk = "0\r\n\r\n";
/// \returns an answer that states that the server did not run the request.
std::string refusal(const std::string &CallId);
/// \returns an answer of another server than the one that was meant, which
/// names itself \p Named, or not if that is empty.
std::string misdirected(const std::string &CallId, const std::string &Named);
/// \returns the value of a header field in a raw request or answer; empty if
/// absent.
std::string fieldIn(const std::string &Bytes, const std::string &Name);

} // namespace samphireshunt::tests
