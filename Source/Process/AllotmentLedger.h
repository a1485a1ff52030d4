#pragma once
/// \file
/// What customers have used of their allotments, counted where their requests
/// are decided. Pure: the time is an argument.
///
/// Load pattern: one customer sends many times its usual. A bucket fills at the
/// allotted rate up to the allotted burst, and a request takes its cost out of
/// it. A new keeper knows nothing of what an earlier one let through, maybe a
/// whole burst just before: its buckets begin empty when it begins to count, so
/// that however often keepers change, the rate is all that is added.

#include "Common/Ids.h"
#include "Version/Document.h"

#include <chrono>
#include <unordered_map>

namespace samphireshunt {

class AllotmentLedger {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Options {
    /// What all keepers together may let through on top of the burst, in the
    /// allotment's unit.
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
  void giveBack(const RequestId &Id);
  /// Begins anew: another daemon counted until now.
  void restart(TimePoint Now);

private:
  struct Bucket {
    double Level_ = 0;
    TimePoint Filled_;
  };
  struct Taken {
    CustomerName Customer_;
    double Cost_;
  };

  Options Options_;
  TimePoint Started_;
  std::unordered_map<CustomerName, Bucket> Buckets_;
  /// Requests that are neither granted nor refused yet.
  std::unordered_map<RequestId, Taken> Open_;
};

} // namespace samphireshunt
