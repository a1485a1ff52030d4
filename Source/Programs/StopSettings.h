#pragma once
/// \file
/// The times of a stop, derived from the time that the supervisor gives.

#include <chrono>
#include <optional>
#include <string>

namespace samphireshunt {

/// How long the answers to requests that the stop ended may take to be written.
inline constexpr std::chrono::milliseconds LastAnswersTime{300};

/// Since SIGTERM; see the settings of these names.
struct StopSettings {
  std::chrono::milliseconds Delay_{0};
  std::chrono::milliseconds Quiet_{0};
  std::chrono::milliseconds Admit_{0};
  std::chrono::milliseconds Timeout_{0};

  bool operator==(const StopSettings &) const = default;
};

/// \returns times that fit in \p Grace.
StopSettings stopWithin(std::chrono::milliseconds Grace);

/// \returns why the process may be killed before it has answered, if a
/// supervisor kills it \p Grace after SIGTERM.
std::optional<std::string> misfit(const StopSettings &Times,
                                  std::chrono::milliseconds Grace);

} // namespace samphireshunt
