#pragma once
/// \file
/// Versions of the configuration that other daemons name in their gossip, and
/// whom to ask for one that comes in no other way: the service has forgotten
/// it, or this daemon is cut off from those that read it. Pure.

#include "Common/Ids.h"
#include "Common/TimePoint.h"

#include <chrono>
#include <map>
#include <optional>

namespace samphireshunt {

class HeardVersions {
public:
  struct Options {
    /// The usual way brings a version within it.
    std::chrono::milliseconds Patience_{400};
    /// A version that its daemon does not hand over by then counts for nothing.
    std::chrono::milliseconds GiveUp_{3000};
    /// A daemon that named a version and does not have it is not believed for
    /// this long.
    std::chrono::milliseconds Distrust_{10000};
  };
  /// A version, and the daemon that named it.
  struct Named {
    VmId By_;
    DocumentVersion Version_;
    TimePoint Since_;
  };

  explicit HeardVersions(Options Settings) : Options_(Settings) {}

  void heard(const VmId &By, DocumentVersion Version, DocumentVersion InForce,
             TimePoint Now);
  /// \p By does not have what it named, or did not hand it over.
  void notHandedOver(const VmId &By, TimePoint Now);
  /// The newest that is not in force, while it is looked for.
  std::optional<Named> missing(DocumentVersion InForce, TimePoint Now);
  /// The same, once it is time to ask for it.
  std::optional<Named> due(DocumentVersion InForce, TimePoint Now);

private:
  Options Options_;
  std::optional<Named> Newest_;
  std::map<VmId, TimePoint> DistrustedUntil_;
};

} // namespace samphireshunt
