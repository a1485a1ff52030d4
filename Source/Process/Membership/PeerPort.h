#pragma once
/// \file
/// Opens the port at which other daemons reach this one by TCP and UDP.

#include "Common/ResultCode.h"
#include "Connection/Http.h"

#include <functional>

namespace samphireshunt {

/// The number of ports tried before the start fails. If a fraction p of the UDP
/// ports is in use, all attempts fail with a probability of p to this power.
constexpr int MaxPortAttempts = 8;

/// Opens a TCP listener at \p Wanted, then a UDP socket at the resulting
/// address. With port 0, the system chooses a port that is free for TCP, but
/// another process may use its UDP port, and the daemon would not start.
/// Another port is chosen in that case.
/// \returns the failure of the socket that could not be opened.
Result<void>
openOnSamePort(const Endpoint &Wanted,
               const std::function<Result<Endpoint>()> &OpenTcp,
               const std::function<Result<void>(Endpoint)> &OpenUdp);

} // namespace samphireshunt
