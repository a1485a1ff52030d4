#pragma once
/// \file
/// Which versions of server software each pool had, and until when. The code is
/// free of I/O; the current time is passed in.

#include "Common/BootClock.h"
#include "Version/DocumentStore.h"

#include <map>
#include <optional>
#include <vector>

namespace samphireshunt {

/// A stream that its caller takes up again, without a record of its origin.
struct UnrecordedStream {
  PoolName Pool_;
  /// When this daemon read the attempt. The stream broke off before.
  BootTime Arrived_;
  /// The longest time from the start of a stream to such an attempt.
  std::chrono::milliseconds MaxAge_{0};
};

/// What a daemon's list of servers contains.
struct ListTimes {
  /// All that the service contained at \p AskedAt_, when it was asked.
  BootTime AskedAt_;
  /// All servers that the service had since.
  BootTime UnbrokenSince_;
};

/// The version that an unrecorded stream may go on at.
struct StreamVersion {
  enum class Proof {
    None,        ///< This daemon has not known the pool for long enough.
    Several,     ///< Any of several may have begun it.
    Unconfirmed, ///< Only one is known, by a list that may lack others.
    Shown        ///< No other can have begun it.
  };
  Proof Proof_ = Proof::None;
  /// Set if it is shown.
  SoftwareVersion Version_;

  bool operator==(const StreamVersion &) const = default;
};

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
  /// \returns the versions that are known to have been there since then.
  std::vector<SoftwareVersion> knownVersions(const PoolName &Pool,
                                             BootTime Since) const;
  /// \returns the version at which \p Stream goes on. Daemons learn of a server
  /// at different times, and each may send to it at once, so only a list that
  /// the service was asked for after the stream broke off names all versions
  /// that can have begun it.
  StreamVersion versionOf(const UnrecordedStream &Stream,
                          const ListTimes &List) const;

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
