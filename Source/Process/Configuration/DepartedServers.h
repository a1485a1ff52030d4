#pragma once
/// \file
/// Remembers servers that have left, so that an outdated entry does not bring
/// one back. Such an entry comes from a daemon that is behind, or from the
/// backup from which the platform's service was restored. Pure.

#include "Common/BootClock.h"
#include "Process/Configuration/Platform.h"

#include <map>
#include <optional>

namespace samphireshunt {

/// A store era as this daemon saw it begin.
struct EraStart {
  /// Position of the service when the era was first seen.
  StorePosition First_;
  BootTime SeenAt_;

  /// True if an entry with this position was certainly written in this era;
  /// false also for entries that were written before the era was seen.
  bool surelyContains(const StorePosition &Written) const {
    return Written.Era_ == First_.Era_ && Written > First_;
  }
};

/// Whether an entry of a server is accepted.
enum class Admission {
  Admitted,
  Unconfirmed, ///< From the backup of an era; may be outdated.
  Refused      ///< Older than what is known.
};

class DepartedServers {
public:
  /// The last entry of a server that announces its leaving, or is known to
  /// precede it.
  struct Departure {
    StorePosition Written_;
    Incarnation Incarnation_;
  };
  /// An entry that may belong to a later registration of the server.
  struct Candidate {
    StorePosition Written_;
    Incarnation Incarnation_;
    /// Read from the service itself, not received from another daemon.
    bool FromService_ = false;
  };

  void markDeparted(const std::string &Name, Departure Known);
  /// Called when the server accepts work again.
  void markReturned(const std::string &Name) { Departures_.erase(Name); }
  /// Decides whether the entry was written after the departure. \p Era is unset
  /// as long as no era has begun.
  Admission admits(const std::string &Name, const Candidate &Entry,
                   const std::optional<EraStart> &Era) const;

private:
  /// Bounds memory, since servers come and go indefinitely.
  static constexpr std::size_t MaxDepartures = 10000;

  std::map<std::string, Departure> Departures_;
};

} // namespace samphireshunt
