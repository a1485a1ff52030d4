#pragma once
/// \file
/// Tells the crash of a server from a connection that was lost for another
/// reason.

#include "Request/RequestContext.h"

namespace samphireshunt {

/// Adds to \p Sample whether \p Server crashed while it ran the request, after
/// the connection to it was lost because of \p Cause.
///
/// A server has crashed if its connection was lost and its address refuses new
/// ones at once. A reset alone proves nothing, nor does a server that is silent
/// or can't be reached; one that is leaving may end as planned.
Awaitable<void> addCrashEvidence(RequestContext &Context, BackendServer Server,
                                 ResultCode Cause, ServedSample &Sample);

/// Adds to \p Sample which request completed.
void addFingerprint(RequestContext &Context, ServedSample &Sample);

} // namespace samphireshunt
