#pragma once
/// \file
/// Obtains connections to backend servers: kept ones, new ones, and ones that
/// another daemon relays while this daemon is cut off from the server. Used on
/// one thread.

#include "Connection/BackendConnections.h"
#include "Connection/TcpConnect.h"
#include "Process/Relay/RelayChoice.h"
#include "Process/Relay/RelayHandshake.h"
#include "Process/Relay/ServerPaths.h"

#include <atomic>
#include <functional>
#include <memory>
#include <variant>

namespace samphireshunt {

/// A server as requests address it.
struct ServerTarget {
  RelayTarget Names_;
  Endpoint Address_;
};

/// A connection to a server.
struct ServerLink {
  std::unique_ptr<HttpConnection> Connection_;
  /// The daemon that relays it; unset if it is direct.
  std::optional<VmId> Relay_;
};

/// Counts what shows that answers and calls of a connection don't match.
/// Thread-safe.
struct ExchangeCounts {
  /// Refusals that came on a connection that was in use before.
  std::atomic<std::uint64_t> RefusalsOnKept_ = 0;
  /// Answers with the id of an earlier call of their connection.
  std::atomic<std::uint64_t> SecondAnswers_ = 0;
  /// Answers with an id that their connection never carried.
  std::atomic<std::uint64_t> UnknownAnswers_ = 0;
};

/// Why there is no connection to a server.
struct LinkFailure {
  /// The fault is in this daemon's links, or can't be told from that.
  bool PathLost_ = false;
  std::string Detail_;
};

/// What is known of a server after a connection to it was lost.
enum class ServerCheck {
  Reached, ///< It accepts connections from this daemon, and is not ending.
  Refused, ///< It alone refuses connections from all daemons that were asked.
  Silent,  ///< It can't be reached, for whatever reason.
  PathLost ///< Other daemons reach it, or none of them reaches any server.
};

class ServerConnector {
public:
  struct Options {
    BackendConnections::Options Pool_;
    Connector Connect_ = openTcp;
    ServerPaths::Options Paths_;
    /// Timeouts of a direct connection, with and without daemons that could
    /// relay it.
    std::chrono::milliseconds DirectTimeout_{200};
    std::chrono::milliseconds OnlyTimeout_{500};
    /// Timeout of a connection that is opened for another daemon, or to find
    /// out about a lost one.
    std::chrono::milliseconds ForRelayTimeout_{150};
    /// Time for the other daemon to connect, and for both round trips to it.
    std::chrono::milliseconds RelayTimeout_{350};
    /// Daemons that are asked for one connection.
    std::size_t MaxRelays_ = 3;
    /// So many daemons that did not reach the server are enough: it is down,
    /// and its request goes to another one.
    std::size_t MaxFailures_ = 2;
  };
  struct Hooks {
    /// Returns the daemons that can be asked to relay.
    std::function<std::shared_ptr<const std::vector<RelayCandidate>>()>
        Relays_ = [] {
          return std::make_shared<const std::vector<RelayCandidate>>();
        };
    /// Returns whether this process listens at the address. A request that it
    /// sends there would come back to it, as often as its deadline allows.
    std::function<bool(const Endpoint &)> IsOwnAddress_ = [](const Endpoint &) {
      return false;
    };
  };

  ServerConnector(boost::asio::io_context &Context, Options Settings,
                  Hooks Callbacks);

  /// \returns an idle connection that received bytes within \p MaxIdle and has
  /// not carried \p Call, or a new one, to carry it.
  Awaitable<std::variant<ServerLink, LinkFailure>>
  take(ServerTarget Target, std::chrono::milliseconds MaxIdle, CallKey Call);
  /// Keeps a direct connection for further requests; closes a relayed one.
  void giveBack(const Endpoint &Address, ServerLink Link);
  /// Returns a connection on which nothing was sent.
  void putBack(const Endpoint &Address, ServerLink Link);
  /// Finds out why a connection to the server was lost.
  Awaitable<ServerCheck> check(ServerTarget Target);
  /// Opens a connection for another daemon.
  Awaitable<RelayedSocket> openForRelay(ServerTarget Target);

  bool isCutOff(const Endpoint &Server) const {
    return Paths_.isCutOff(Server);
  }
  /// \returns the number of servers that this daemon is cut off from.
  /// Thread-safe.
  std::size_t cutOffCount() const { return CutOffCount_; }
  /// \returns how many connections other daemons have relayed. Thread-safe.
  std::uint64_t relayedCount() const { return RelayedCount_; }
  ExchangeCounts &exchanges() { return Exchanges_; }

private:
  /// The answers of the daemons that were asked to relay.
  struct RelayAttempt {
    RelayedSocket Last_;
    std::optional<VmId> Relay_;
    std::size_t Refused_ = 0;
    std::size_t Silent_ = 0;
    /// Daemons that are cut off themselves, or may not use the server now.
    std::size_t WithoutPath_ = 0;
  };

  Awaitable<std::variant<ServerLink, LinkFailure>>
  obtain(ServerTarget Target, std::chrono::milliseconds MaxIdle, CallKey Call);
  std::chrono::milliseconds directTimeout() const;
  Awaitable<RelayAttempt> tryRelays(RelayTarget Target);
  void onReached(const Endpoint &Server);
  void onCutOff(const ServerTarget &Target, PortState Seen, const VmId &Relay);
  void checkLater(ServerTarget Target);
  /// A connection that this daemon tried to open itself; unset if it is cut off
  /// from the server.
  using DirectAttempt = std::optional<ConnectResult>;
  Awaitable<DirectAttempt> tryDirect(Endpoint Server);
  Awaitable<ServerCheck> askOthers(ServerTarget Target, DirectAttempt Tried);
  Awaitable<bool> refusesNext(Endpoint Server, ConnectResult Accepted);
  void beginCheck(const Endpoint &Server, TimePoint Begun);
  void endCheck(const Endpoint &Server);
  void startProbes();
  Awaitable<void> probeAll();
  Awaitable<void> probe(Endpoint Server);

  boost::asio::io_context &Context_;
  Options Options_;
  Hooks Hooks_;
  BackendConnections Pool_;
  ServerPaths Paths_;
  RelayChoice Choice_;
  std::uint64_t NextKey_ = 0;
  bool Probing_ = false;
  /// When each server was last checked for another daemon.
  std::map<Endpoint, TimePoint> Checked_;
  /// Checks in progress of each server.
  std::map<Endpoint, std::size_t> InProgress_;
  /// When so many servers were last checked together that they have a common
  /// fault.
  TimePoint CheckedTogether_;
  std::atomic<std::size_t> CutOffCount_ = 0;
  std::atomic<std::uint64_t> RelayedCount_ = 0;
  ExchangeCounts Exchanges_;
};

} // namespace samphireshunt
