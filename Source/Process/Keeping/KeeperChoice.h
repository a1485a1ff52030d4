#pragma once
/// \file
/// Caches which member schedules which cell. Does no I/O.
///
/// Choosing a keeper looks at every member. Each request needs the choice, and
/// each change of a member repeats it for all waiting and running requests:
/// without the cache, a weak VM in a fleet of hundreds would be overloaded by
/// it just when members join and leave.

#include "Process/Keeping/Cell.h"
#include "Process/Membership/MemberTable.h"

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace samphireshunt {

class KeeperChoice {
public:
  /// \p Candidates returns all members that may schedule cells.
  explicit KeeperChoice(std::function<std::vector<Member>()> Candidates)
      : Candidates_(std::move(Candidates)) {}

  /// Returns the cell's keeper among the members that are not in
  /// \p Unreachable, or nothing if there is none. \p Unreachable must be sorted
  /// in ascending order.
  std::optional<VmId> keeperOf(const CellId &Cell,
                               const std::vector<VmId> &Unreachable);
  /// Clears the cache. Called when a member, or this daemon itself, changed.
  void membersChanged() { Known_.clear(); }

private:
  std::function<std::vector<Member>()> Candidates_;
  std::map<std::pair<CellId, std::vector<VmId>>, std::optional<VmId>> Known_;
};

} // namespace samphireshunt
