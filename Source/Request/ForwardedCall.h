#pragma once
/// \file
/// Forwards a request to a backend server and its answer to the caller, both
/// unchanged. What may be repeated follows from the route's rule.

#include "Request/RequestContext.h"

namespace samphireshunt {

/// Serves a request of a route with a forwarding rule.
Awaitable<void> runForwardedCall(RequestContext &Context);

} // namespace samphireshunt
