#pragma once
/// \file
/// What the stand-ins have in common: one thread, one HTTP address, a line
/// that tells the address, and an end at SIGTERM.

#include "Connection/Http.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <string>

namespace samphireshunt::standins {

using Json = nlohmann::json;

/// Serves \p Handler on \p Address until SIGTERM. \returns the exit status.
int serve(boost::asio::io_context &Context, const std::string &Address,
          HttpHandler Handler);

/// Waits on the caller's executor.
Awaitable<void> sleepFor(std::chrono::milliseconds Time);

/// A JSON answer.
HttpResponse jsonAnswer(int Status, const Json &Body);

/// The body as a JSON object; an empty one when it is none.
Json jsonBody(const HttpRequest &Request);

} // namespace samphireshunt::standins
