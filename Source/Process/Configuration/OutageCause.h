#pragma once
/// \file
/// Tells an outage of the platform's service from one of this daemon. Pure: the
/// time is an argument.
///
/// A daemon that is cut off loses the service and the other daemons together.
/// While the service itself is away, the daemons still hear each other. The
/// difference matters for entries that are gone afterwards: in an outage of the
/// service those of live servers expire too.

#include "Common/BootClock.h"

#include <chrono>
#include <optional>
#include <string_view>

namespace samphireshunt {

enum class OutageCause {
  Service, ///< The service was away, or nothing shows that it wasn't.
  Own      ///< This daemon was cut off, or didn't run.
};

/// \returns the cause as operators see it, e.g. "service".
std::string_view outageCauseName(OutageCause Cause);

class OutageObserver {
public:
  struct Options {
    /// Daemons hear of each other several times within this, also in a fleet of
    /// two.
    std::chrono::milliseconds MinSilence_{1500};
    /// A daemon notices within this time that it has lost the service: the
    /// longest pause between two calls, and the timeouts of two.
    std::chrono::milliseconds MaxNoticeTime_{6000};
    /// A daemon regains the service within this time once it is no longer cut
    /// off: its longest pause between two calls, and the timeout of one.
    std::chrono::milliseconds MaxRegainTime_{1500};
  };

  explicit OutageObserver(Options Settings) : Options_(Settings) {}

  /// Another daemon was heard.
  void heardOther(BootTime Now);
  /// The service is found unreachable. Does nothing during an outage.
  void lost(BootTime Now);
  /// The service answers again. \returns the outage's cause; Service without an
  /// outage.
  OutageCause regained(BootTime Now);

private:
  /// A time in which no other daemon was heard.
  struct Silence {
    BootTime Begin_;
    BootTime End_;
  };

  Options Options_;
  std::optional<BootTime> LastHeard_;
  /// The last one that was long enough.
  std::optional<Silence> Silence_;
  std::optional<BootTime> Lost_;
};

} // namespace samphireshunt
