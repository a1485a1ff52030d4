#pragma once
/// \file
/// Opens a TCP connection with a timeout.

#include "Connection/Http.h"

#include <functional>
#include <optional>

namespace samphireshunt {

/// The reaction of an address to a new connection.
enum class PortState { Open, Refused, Silent };

/// \returns the state as logs show it, e.g. "refused".
std::string_view portStateName(PortState State);

/// The result of opening a connection.
struct ConnectResult {
  /// Silent also if the address can't be reached.
  PortState State_ = PortState::Silent;
  /// Set if Open.
  std::optional<boost::asio::ip::tcp::socket> Socket_;
  std::string Detail_;
};

/// Opens connections to backend servers.
using Connector = std::function<Awaitable<ConnectResult>(
    Endpoint, std::chrono::milliseconds)>;

/// Opens a connection. A connection that is already established when the
/// timeout is handled in the same event-loop iteration is still accepted: the
/// delay was then in this process.
Awaitable<ConnectResult> openTcp(Endpoint Address,
                                 std::chrono::milliseconds Timeout);

/// \returns ConnectFailed when \p Address refuses or has not answered within \p
/// Timeout.
Awaitable<Result<boost::asio::ip::tcp::socket>>
connectTcp(Endpoint Address, std::chrono::milliseconds Timeout);

} // namespace samphireshunt
