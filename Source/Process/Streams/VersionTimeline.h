#pragma once
/// \file
/// Which versions of server software each pool had, and until when. The code is
/// free of I/O; the current time is passed in.

#include "Common/BootClock.h"
#include "Version/DocumentStore.h"

#include <map>
#include <optional>

namespace samphireshunt {

class VersionTimeline {
public:
  /// Notes all registered servers, also those that may get no requests.
  void note(const ServersByPool &Registered, BootTime Now);
  /// \returns the version of the pool's servers if there was only one from \p
  /// Since until now; nothing if there were others, or if that is not known:
  /// note() has been told of all servers since \p CurrentSince.
  std::optional<SoftwareVersion> onlyVersion(const PoolName &Pool,
                                             BootTime Since,
                                             BootTime CurrentSince) const;

private:
  struct PoolTimeline {
    /// When this daemon first knew the pool's servers.
    BootTime Began_;
    /// Unset for versions that are still there; otherwise when the last server
    /// was gone.
    std::map<SoftwareVersion, std::optional<BootTime>> Versions_;
  };

  std::map<PoolName, PoolTimeline> Pools_;
};

} // namespace samphireshunt
