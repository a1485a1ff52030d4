#pragma once
/// \file
/// The method, the target and the host of a request (RFC 9110, sections 7.2 and
/// 9; RFC 9112, section 3). No input or output.

#include "Common/ResultCode.h"

#include <optional>

namespace samphireshunt {

struct HttpRequest;

/// Brings the target of \p Request into the form that servers get, a path with
/// a query. The host of an absolute target takes the place of the field Host.
/// \returns why the request is refused: MethodNotAllowed for CONNECT, which
/// asks for a tunnel, and TRACE, which shows what servers get; MalformedRequest
/// for a target of another form, and for a host that is none or, in HTTP/1.1,
/// absent.
std::optional<Failure> normalizeTarget(HttpRequest &Request, bool IsHttp10);

} // namespace samphireshunt
