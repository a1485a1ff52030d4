#pragma once
/// \file
/// A pool of like engines.

#include "Version/Document.h"

#include <fmt/format.h>

namespace samphireshunt::tests {

/// \returns a pool of \p Count engines, named "engine-0" and so on, with room
/// for \p MaxInFlight requests each.
inline Pool enginePool(const PoolName &Name, int Count,
                       std::uint32_t MaxInFlight) {
  Pool Target;
  Target.Name_ = Name;
  for (int Number = 0; Number < Count; ++Number) {
    BackendServer Engine;
    Engine.Name_ = ServerName(fmt::format("engine-{}", Number));
    Engine.MaxInFlight_ = MaxInFlight;
    Target.Servers_.push_back(std::move(Engine));
  }
  return Target;
}

} // namespace samphireshunt::tests
