#include "Connection/CarriedCalls.h"

#include "Common/Hash.h"

#include <algorithm>

namespace samphireshunt {

CallKey callKey(std::string_view CallId) {
  if (CallId.empty())
    return CallKey();
  // A hash of 0 would stand for no id.
  return CallKey(std::max<std::uint64_t>(stableHash(CallId), 1));
}

void CarriedCalls::add(CallKey Call) {
  if (Call == CallKey())
    HasUnnamed_ = true;
  else
    Calls_.push_back(Call);
}

bool CarriedCalls::contains(CallKey Call) const {
  return std::ranges::count(Calls_, Call) > 0;
}

} // namespace samphireshunt
