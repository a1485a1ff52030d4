#pragma once
/// \file
/// How long the runs of a route took lately. Only whole answers count.

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace samphireshunt {

/// Used by one worker.
class RunLengths {
public:
  /// How much a longer run than the length named would cost.
  enum class Bound {
    Most, ///< Nine of ten runs were no longer.
    All   ///< None was longer.
  };

  void add(const std::string &Route, std::chrono::milliseconds Length);
  /// \returns a length that the last runs tell; nothing if there are too few.
  std::optional<std::chrono::milliseconds> expected(const std::string &Route,
                                                    Bound Wanted) const;

private:
  static constexpr std::size_t Kept = 64;
  struct Runs {
    std::array<std::uint32_t, Kept> Millis_{};
    std::size_t Count_ = 0;
  };
  std::map<std::string, Runs> ByRoute_;
};

} // namespace samphireshunt
