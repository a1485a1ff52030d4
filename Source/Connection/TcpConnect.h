#pragma once
/// \file
/// Opens a TCP connection with a timeout.

#include "Connection/Http.h"

namespace samphireshunt {

/// \returns ConnectFailed when \p Address refuses or has not answered within \p
/// Timeout. A connection that is already established when the timeout is
/// handled in the same event-loop iteration is still accepted: the delay was
/// then in this process.
Awaitable<Result<boost::asio::ip::tcp::socket>>
connectTcp(Endpoint Address, std::chrono::milliseconds Timeout);

/// The reaction of an address to a new connection.
enum class PortState { Open, Refused, Silent };

/// Opens a connection and closes it. \returns Silent if \p Address can't be
/// reached or has not answered within \p Timeout.
Awaitable<PortState> checkPort(Endpoint Address,
                               std::chrono::milliseconds Timeout);

} // namespace samphireshunt
