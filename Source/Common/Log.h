#pragma once
/// \file
/// Structured logging by spdlog: one JSON object per line.

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

/// Subsystems, each logged under its own name.
enum class LogCategory { Request, Keeper, Membership, Version, Process };

/// Additional fields of one line, in the order in which they are written.
using LogFields = std::vector<std::pair<std::string_view, std::string>>;

enum class LogOutput { StandardOutput, StandardError };

/// Writes all log lines to \p Output as JSON. \p Origin is the name of the VM.
void initializeLog(std::string_view Origin, spdlog::level::level_enum Level,
                   LogOutput Output);

/// Writes one line with time, level, category, \p Event and \p Fields.
void logEvent(LogCategory Category, spdlog::level::level_enum Level,
              std::string_view Event, const LogFields &Fields = {});

/// Limits the number of lines of each kind per second, so that many similar
/// events neither fill the logs nor slow down requests. Not thread-safe.
class LogSampler {
public:
  explicit LogSampler(std::uint32_t LinesPerSecond)
      : LinesPerSecond_(LinesPerSecond) {}

  /// \returns nothing when the line is to be dropped; otherwise the number of
  /// lines of this kind that were dropped since the last admitted one.
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
