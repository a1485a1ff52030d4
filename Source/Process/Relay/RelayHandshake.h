#pragma once
/// \file
/// The first messages on a connection to a daemon's relay port: which server
/// the connection is for, and whether the daemon has connected to it. After
/// that the connection carries the request without frames, and the answer in
/// frames, since the end of a relay must not look like the end of an answer.

#include "Common/Ids.h"
#include "Connection/Http.h"

#include <optional>

namespace samphireshunt {

/// What a daemon answers when it is asked to relay. Numbers are sent.
enum class RelayResult : std::uint8_t {
  Connected = 0,
  Refused = 1,       ///< The server refuses connections.
  Silent = 2,        ///< The server does not answer.
  NoPath = 3,        ///< The daemon itself is cut off from the server.
  UnknownServer = 4, ///< Not an active server in the daemon's configuration.
  Busy = 5,          ///< The daemon relays as much as it may.
  Stopping = 6,      ///< The daemon is about to stop.
  NotNow = 7,        ///< The server wants no requests from the daemon.
  NoAnswer = 255,    ///< Never sent: the daemon could not be asked.
};

/// \returns the result as logs show it, e.g. "no-path".
std::string_view relayResultName(RelayResult Result);

/// A server, by the names that all daemons know.
struct RelayTarget {
  ServiceName Service_;
  PoolName Pool_;
  ServerName Server_;
  /// No request will be sent: the other daemon only finds out whether it is cut
  /// off itself.
  bool IsCheck_ = false;
};

/// A connection through another daemon.
struct RelayedSocket {
  RelayResult Result_ = RelayResult::NoAnswer;
  /// Set if Connected.
  std::optional<boost::asio::ip::tcp::socket> Socket_;
  /// The server's bytes come in frames. Daemons of older versions send none.
  bool Framed_ = false;
};

/// Asks the daemon at \p Relay to connect to a server.
Awaitable<RelayedSocket> requestRelay(Endpoint Relay, RelayTarget Target,
                                      std::chrono::milliseconds Timeout);

/// A connection on which another daemon asks for a server.
struct RelayRequest {
  boost::asio::ip::tcp::socket Socket_;
  RelayTarget Target_;
  /// The other daemon reads frames.
  bool Framed_ = false;
};

/// Reads what another daemon asks for. \returns MalformedRequest or
/// ReadTimeout.
Awaitable<Result<RelayRequest>>
readRelayRequest(boost::asio::ip::tcp::socket Socket,
                 std::chrono::milliseconds Timeout);
/// Answers \p Asked. \returns false if the connection is lost.
Awaitable<bool> sendRelayResult(RelayRequest &Asked, RelayResult Value);

} // namespace samphireshunt
