#pragma once
/// \file
/// Servers that have left, so that an older entry brings none of them back: one
/// told by a daemon that is behind, or one that stands in the copy from which
/// the platform's service came back. Pure.

#include "Common/BootClock.h"
#include "Process/Configuration/Platform.h"

#include <map>
#include <optional>

namespace samphireshunt {

/// An era of the service, as this daemon saw it begin.
struct EraStart {
  /// Where the service stood when the era was seen first.
  StorePosition First_;
  BootTime SeenAt_;

  /// False also for what was written before the era was seen.
  bool knownAsWritten(const StorePosition &Written) const {
    return Written.Era_ == First_.Era_ && Written > First_;
  }
};

/// Whether an entry of a server counts.
enum class Admission {
  Admitted,
  Doubted, ///< It stands in the copy of an era, and may be from before.
  Refused  ///< What is known was written later.
};

class DepartedServers {
public:
  /// The last entry of a server that says, or is known to precede, its leaving.
  struct Departure {
    StorePosition Written_;
    Incarnation Incarnation_;
  };
  /// An entry that may tell of a server's next life.
  struct Candidate {
    StorePosition Written_;
    Incarnation Incarnation_;
    /// Read from the service itself, not told by another daemon.
    bool FromService_ = false;
  };

  void left(const std::string &Name, Departure Known);
  /// It takes work again.
  void cameBack(const std::string &Name) { Departures_.erase(Name); }
  /// Whether the entry tells of a life after the departure. \p Era is unset
  /// as long as no era has begun.
  Admission admits(const std::string &Name, const Candidate &Entry,
                   const std::optional<EraStart> &Era) const;

private:
  /// Servers come and go for ever.
  static constexpr std::size_t MostDepartures = 10000;

  std::map<std::string, Departure> Departures_;
};

} // namespace samphireshunt
