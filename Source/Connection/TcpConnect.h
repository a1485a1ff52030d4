#pragma once
/// \file
/// Opening a TCP connection within a time.

#include "Connection/Http.h"

namespace samphireshunt {

/// \returns ConnectFailed when \p Address refuses, or has not answered within
/// \p Timeout. A connection that is made by the time this process looks is
/// taken, also when the timeout is due in the same turn: then it is this
/// process that was late.
Awaitable<Result<boost::asio::ip::tcp::socket>>
connectTcp(Endpoint Address, std::chrono::milliseconds Timeout);

} // namespace samphireshunt
