#pragma once
/// \file
/// A keeper service that is alone in its fleet.

#include "Process/Keeping/KeeperService.h"

namespace samphireshunt::tests {

/// \returns hooks of a keeper service that keeps all cells and tells nobody
/// what it decides.
inline KeeperService::Hooks loneKeeperHooks() {
  KeeperService::Hooks Hooks;
  Hooks.Decided_ = [](const CellId &, const Decision &) {};
  Hooks.Orphaned_ = [](const OrphanedRequest &) {};
  Hooks.AloneInFleet_ = [] { return true; };
  Hooks.IsKeeper_ = [](const CellId &) { return true; };
  Hooks.LiveShare_ = [] { return 1.0; };
  Hooks.FloorRaised_ = [] {};
  return Hooks;
}

} // namespace samphireshunt::tests
