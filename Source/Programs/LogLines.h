#pragma once
/// \file
/// Reads lines of daemons' logs.

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace samphireshunt {

/// The JSON object of one line, also with something before it. \returns nothing
/// for other lines, and for those that are cut short.
std::optional<nlohmann::ordered_json> parseLogLine(std::string_view Text);

/// "2026-06-17T08:29:04.839+00:00" as seconds of its day.
double secondsOfDay(std::string_view Time);

} // namespace samphireshunt
