#pragma once
/// \file
/// What all stand-ins share: they run on one thread, serve one HTTP address,
/// print that address as a line on standard output, and end at SIGTERM.

#include "Connection/Http.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace samphireshunt::standins {

using Json = nlohmann::json;

/// The start of a nonce with which a request ends the engine that runs it.
inline constexpr std::string_view CrashingNonce = "crash";

/// Serves \p Handler on \p Address until SIGTERM or SIGINT.
/// \returns the exit status: 2 when the address is invalid or can't be bound.
int serve(boost::asio::io_context &Context, const std::string &Address,
          HttpHandler Handler);

/// Suspends the calling coroutine for \p Time.
Awaitable<void> sleepFor(std::chrono::milliseconds Time);

HttpResponse jsonAnswer(int Status, const Json &Body);

/// \returns the body as a JSON object, empty when the body is not an object.
Json jsonBody(const HttpRequest &Request);

} // namespace samphireshunt::standins
