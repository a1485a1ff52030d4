#pragma once
/// \file
/// Tells the crash of a server from a connection that was lost for another
/// reason.

#include "Request/RequestContext.h"

namespace samphireshunt {

/// Adds to \p Sample what a lost connection to \p Server, or a timeout, shows
/// about the server.
///
/// A server has crashed if its connection was lost and its address refuses new
/// ones at once, also from other daemons where there are any. A reset alone
/// proves nothing, nor does a server that is silent or can't be reached; one
/// that is leaving may end as planned. The parts of the prompt may be the cause
/// only if the server had not begun to answer. A server that only this daemon
/// can't reach is not at fault.
Awaitable<void> addCrashEvidence(RequestContext &Context, BackendServer Server,
                                 ResultCode Cause, ServedSample &Sample);

/// Adds to \p Sample which request completed.
void addFingerprint(RequestContext &Context, ServedSample &Sample);
/// Adds to \p Sample the parts of the prompt that a server has answered on. An
/// answer without a known end counts only with some events: a crash may look
/// like its end.
void addAnsweredParts(const RequestContext &Context, ServedSample &Sample);

} // namespace samphireshunt
