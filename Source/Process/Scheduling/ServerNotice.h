#pragma once
/// \file
/// What an answer says about the server that gave it.

#include "Process/Scheduling/RejectionLimit.h"

#include <chrono>
#include <optional>
#include <string_view>
#include <variant>

namespace samphireshunt {

/// The server ends when it has to reject more than it names; unset: it does not
/// say so any more.
struct BrittleNotice {
  std::optional<RejectionCount> Survived_;
};

/// The server leaves.
struct LeavingNotice {};

/// The server wants no requests from the daemon that it answered for so long.
struct RestNotice {
  std::chrono::milliseconds Time_{0};
};

using ServerNotice = std::variant<BrittleNotice, LeavingNotice, RestNotice>;

/// Parses a decimal number of seconds. \returns BadServerNotice if \p Text is
/// anything else or negative. More than a day counts as a day.
Result<std::chrono::milliseconds> parseRest(std::string_view Text);

} // namespace samphireshunt
