#pragma once
/// \file
/// What customers have used of their allotments, counted where their requests
/// are decided. Pure: the time is an argument.
///
/// Load pattern: one customer sends many times its usual. Within any window it
/// gets what its rate gives in that time and its burst on top, and no more. A
/// new keeper knows nothing of what an earlier one let through: it takes it
/// that the customer used its rate evenly, and lets through what is left of the
/// window.

#include "Common/Ids.h"
#include "Common/SlidingCount.h"
#include "Version/Document.h"

#include <chrono>
#include <unordered_map>

namespace samphireshunt {

class AllotmentLedger {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Options {
    std::chrono::milliseconds Window_{8000};
    /// How much all keepers may let through beyond the allotment within a
    /// window, in its unit.
    double Credit_ = 0;
  };

  /// \p Started: when the keeper began to count.
  AllotmentLedger(Options Settings, TimePoint Started)
      : Options_(Settings), Started_(Started) {}

  /// Counts the request's cost against the customer's allotment, of which this
  /// keeper may use the part \p Share. \returns false when it is spent.
  bool take(const RequestId &Id, const CustomerName &Customer,
            const Allotment &Allowed, double Cost, double Share, TimePoint Now);
  /// The request was granted: its cost is used.
  void used(const RequestId &Id) { Open_.erase(Id); }
  /// The request was not granted: its cost does not count.
  void giveBack(const RequestId &Id, TimePoint Now);
  /// Begins anew: another daemon counted until now.
  void restart(TimePoint Now);

private:
  /// A customer's use is kept in this many parts of the window.
  static constexpr std::size_t Slots = 32;
  using Use = SlidingCount<Slots>;
  struct Taken {
    CustomerName Customer_;
    double Cost_;
  };

  double limit(const Allotment &Allowed, double Share, TimePoint Now) const;

  Options Options_;
  TimePoint Started_;
  std::unordered_map<CustomerName, Use> Used_;
  /// Requests that are neither granted nor refused yet.
  std::unordered_map<RequestId, Taken> Open_;
};

} // namespace samphireshunt
