#pragma once
/// \file
/// Remembers who keeps which cell. Pure.
///
/// The choice looks at every member. Each request needs it, and each change of
/// a member asks it again for all that wait and run: in a fleet of hundreds a
/// weak VM would be busy with it just when members come and go.

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
  /// \p Candidates: all members that may keep cells.
  explicit KeeperChoice(std::function<std::vector<Member>()> Candidates)
      : Candidates_(std::move(Candidates)) {}

  /// The cell's keeper, of those that are not in \p Unreachable; nothing when
  /// there is none. \p Unreachable is in rising order.
  std::optional<VmId> keeperOf(const CellId &Cell,
                               const std::vector<VmId> &Unreachable);
  /// A member changed, or this daemon itself.
  void membersChanged() { Known_.clear(); }

private:
  std::function<std::vector<Member>()> Candidates_;
  std::map<std::pair<CellId, std::vector<VmId>>, std::optional<VmId>> Known_;
};

} // namespace samphireshunt
