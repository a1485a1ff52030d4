#pragma once
/// \file
/// Structured logs: one JSON object a line on standard output, by spdlog.

#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphireshunt {

/// Subsystems that log under a name of their own.
enum class LogCategory { Request, Keeper, Membership, Version, Process };

/// Further fields of one line, in the order in which they are written.
using LogFields = std::vector<std::pair<std::string_view, std::string>>;

enum class LogOutput { StandardOutput, StandardError };

/// Sends all lines to \p Output as JSON; \p Origin names the VM.
void initializeLog(std::string_view Origin, spdlog::level::level_enum Level,
                   LogOutput Output);

/// Writes one line: time, level, category, \p Event and \p Fields.
void logEvent(LogCategory Category, spdlog::level::level_enum Level,
              std::string_view Event, const LogFields &Fields = {});

/// Lets a few lines of a kind through each second, so that a flood of like
/// events neither fills the logs nor slows requests. Not thread-safe.
class LogSampler {
public:
  explicit LogSampler(std::uint32_t LinesPerSecond)
      : LinesPerSecond_(LinesPerSecond) {}

  /// \returns nothing when the line is to be dropped; otherwise how many of
  /// its kind were dropped before it.
  std::optional<std::uint64_t> admit(int Kind,
                                     std::chrono::steady_clock::time_point Now);

private:
  struct Window {
    std::chrono::steady_clock::time_point Begin_;
    std::uint32_t Written_ = 0;
    std::uint64_t Dropped_ = 0;
  };

  std::uint32_t LinesPerSecond_;
  std::map<int, Window> Windows_;
};

} // namespace samphireshunt
