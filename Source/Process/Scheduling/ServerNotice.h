#pragma once
/// \file
/// What an answer says about the server that gave it.

#include "Process/Scheduling/RejectionLimit.h"

#include <optional>
#include <variant>

namespace samphireshunt {

/// The server ends when it has to reject more than it names; unset: it does not
/// say so any more.
struct BrittleNotice {
  std::optional<RejectionCount> Survived_;
};

/// The server leaves.
struct LeavingNotice {};

using ServerNotice = std::variant<BrittleNotice, LeavingNotice>;

} // namespace samphireshunt
