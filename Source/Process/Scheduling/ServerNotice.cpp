#include "Process/Scheduling/ServerNotice.h"

#include "Process/Scheduling/ServerRate.h"

#include <algorithm>
#include <string>

namespace samphireshunt {

using std::chrono::milliseconds;

Result<milliseconds> parseRest(std::string_view Text) {
  // The same kind of number as a rate.
  auto Seconds = parseRequestRate(Text);
  if (!Seconds)
    return Failure{ResultCode::BadServerNotice,
                   "'" + std::string(Text) + "' is no number of seconds"};
  constexpr std::chrono::hours Longest{24};
  constexpr double MaxSeconds = std::chrono::seconds(Longest).count();
  std::chrono::duration<double> Time(
      std::min(MaxSeconds, Seconds->perSecond()));
  return std::chrono::ceil<milliseconds>(Time);
}

} // namespace samphireshunt
