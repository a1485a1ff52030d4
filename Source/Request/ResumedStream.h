#pragma once
/// \file
/// Streams that their callers take up again, at any daemon, after an attempt
/// broke off.

#include "Request/RequestContext.h"

namespace samphireshunt {

/// \returns whether the caller asks for the rest of a stream.
bool resumesStream(const RequestContext &Context);

/// Finds where the stream began and binds the request to that pool and version.
/// \returns StreamOriginUnknown if that can't be told: a server of another
/// version would go on with what doesn't fit.
Awaitable<std::optional<Verdict>> bindToOrigin(RequestContext &Context);

/// Binds the request to the server whose events its caller is about to get, and
/// tells other daemons if the caller may take the stream up again.
void recordOrigin(RequestContext &Context, const BackendServer &Server);

} // namespace samphireshunt
