#pragma once
/// \file
/// Parses lines of daemons' logs.

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace samphireshunt {

/// Parses the JSON object of one log line, which may be preceded by other text.
/// \returns nothing for other lines and for truncated ones.
std::optional<nlohmann::ordered_json> parseLogLine(std::string_view Text);

/// \returns a time like "2026-06-17T08:29:04.839+00:00" as seconds since the
/// start of its day.
double secondsOfDay(std::string_view Time);

} // namespace samphireshunt
