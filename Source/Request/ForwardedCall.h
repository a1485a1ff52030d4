#pragma once
/// \file
/// Forwards a request to a backend server and its answer to the caller, both
/// unchanged. The route's forwarding rule decides what may be retried.

#include "Request/RequestContext.h"

namespace samphireshunt {

/// Serves a request of a route with a forwarding rule.
Awaitable<void> runForwardedCall(RequestContext &Context);

} // namespace samphireshunt
