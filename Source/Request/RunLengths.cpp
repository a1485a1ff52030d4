#include "Request/RunLengths.h"

#include <algorithm>
#include <limits>

namespace samphireshunt {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t MinRuns = 3;
constexpr std::size_t TenthOfRuns = 10;
/// Names come from configurations, which change.
constexpr std::size_t MaxRoutes = 512;

} // namespace

void RunLengths::add(const std::string &Route, milliseconds Length) {
  if (!ByRoute_.contains(Route) && ByRoute_.size() >= MaxRoutes)
    ByRoute_.erase(ByRoute_.begin());
  Runs &Known = ByRoute_[Route];
  constexpr std::int64_t Longest = std::numeric_limits<std::uint32_t>::max();
  Known.Millis_[Known.Count_++ % Kept] = static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Length.count(), 0, Longest));
}

std::optional<milliseconds> RunLengths::expected(const std::string &Route,
                                                 Bound Wanted) const {
  auto Found = ByRoute_.find(Route);
  if (Found == ByRoute_.end() || Found->second.Count_ < MinRuns)
    return std::nullopt;
  auto Sorted = Found->second.Millis_;
  std::size_t Count = std::min(Found->second.Count_, Kept);
  std::sort(Sorted.begin(), Sorted.begin() + Count);
  std::size_t Longer = Wanted == Bound::All ? 0 : Count / TenthOfRuns;
  return milliseconds(Sorted[Count - 1 - Longer]);
}

} // namespace samphireshunt
