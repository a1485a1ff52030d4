#pragma once
/// \file
/// Reads what servers say of themselves in their answers: the rate of requests
/// that they accept, how many rejections they survive, that they leave, and
/// that they want a rest.

#include "Request/RequestContext.h"

namespace samphireshunt {

/// Reports what the head of an answer says about the server, or that it says it
/// no more, to the keeper. What can't be read is logged and changes nothing.
void reportServerNotices(RequestContext &Context, const ReadyServer &From,
                         const HttpResponse &Head);

} // namespace samphireshunt
