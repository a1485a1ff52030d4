#pragma once
/// \file
/// What the beginning of a stream fixes for the rest of it, wherever it goes
/// on.

#include "Common/Ids.h"

namespace samphireshunt {

/// Where the first event of a stream that its caller got came from. Events of
/// other pools, or of other versions of a server's software, don't fit to it.
struct StreamOrigin {
  PoolName Pool_;
  /// Empty if the servers of the pool have no versions.
  SoftwareVersion Version_;

  bool operator==(const StreamOrigin &) const = default;
};

} // namespace samphireshunt
