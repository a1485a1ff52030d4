#pragma once
/// \file
/// Structured logs: one JSON object a line on standard error, by spdlog.

#include <spdlog/spdlog.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphireshunt {

/// Subsystems that log under a name of their own.
enum class LogCategory { Request, Keeper, Membership, Version, Process };

/// Further fields of one line, in the order in which they are written.
using LogFields = std::vector<std::pair<std::string_view, std::string>>;

/// Sends all lines to standard error as JSON; \p Origin names the VM.
void initializeLog(std::string_view Origin, spdlog::level::level_enum Level);

/// Writes one line: time, level, category, \p Event and \p Fields.
void logEvent(LogCategory Category, spdlog::level::level_enum Level,
              std::string_view Event, const LogFields &Fields = {});

} // namespace samphireshunt
