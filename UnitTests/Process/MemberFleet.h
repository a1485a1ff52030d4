#pragma once
/// \file
/// Builds the members of a fleet for tests.

#include "Process/Membership/MemberTable.h"

#include <fmt/format.h>

#include <vector>

namespace samphireshunt::tests {

/// Returns members named "vm-0", "vm-1" and so on, spread over four data
/// centers.
inline std::vector<Member> fleet(int Count) {
  constexpr int DataCenters = 4;
  std::vector<Member> Members;
  for (int Index = 0; Index < Count; ++Index) {
    Member Built;
    Built.Id_ = VmId(fmt::format("vm-{}", Index));
    Built.DataCenter_ =
        DataCenterName(fmt::format("dc-{}", Index % DataCenters));
    Members.push_back(std::move(Built));
  }
  return Members;
}

} // namespace samphireshunt::tests
