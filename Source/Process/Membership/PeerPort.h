#pragma once
/// \file
/// A daemon is reached by others at one port, by TCP and by UDP.

#include "Common/ResultCode.h"
#include "Connection/Http.h"

#include <functional>

namespace samphireshunt {

/// How often another port is tried before the start fails. With a share p of
/// the UDP ports in use, all fail with a probability of p to this power.
constexpr int ChosenPortTries = 8;

/// Opens streams at \p Wanted, then datagrams at the address that this gave.
/// With port 0 the system chooses a port that is free for TCP; some other
/// process may hold its UDP port, and the daemon would not start. So another
/// one is chosen then.
/// \returns the failure of what could not be opened.
Result<void>
openAtOnePort(const Endpoint &Wanted,
              const std::function<Result<Endpoint>()> &OpenStreams,
              const std::function<Result<void>(Endpoint)> &OpenDatagrams);

} // namespace samphireshunt
