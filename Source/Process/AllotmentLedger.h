#pragma once
/// \file
/// What customers have used of their allotments, counted where their requests
/// are decided. Pure: the time is an argument.
///
/// Load pattern: one customer sends many times its usual. A bucket fills at the
/// allotted rate up to the allotted burst; a request takes its cost out of it.
/// A new keeper knows nothing of what was used before: its buckets begin empty,
/// with a little credit so that customers within their allotment notice
/// nothing.

#include "Common/Ids.h"
#include "Version/Document.h"

#include <chrono>
#include <unordered_map>

namespace samphireshunt {

class AllotmentLedger {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Options {
    /// How far a bucket may be overdrawn, in the allotment's unit.
    double Credit_ = 0;
  };

  explicit AllotmentLedger(Options Settings) : Options_(Settings) {}

  /// Takes the request's cost out of the customer's bucket, of which this
  /// keeper may use the part \p Share. \returns false when it is spent.
  bool take(const RequestId &Id, const CustomerName &Customer,
            const Allotment &Allowed, double Cost, double Share, TimePoint Now);
  /// The request was granted: its cost is used.
  void used(const RequestId &Id) { Open_.erase(Id); }
  /// The request was not granted: its cost is given back.
  void giveBack(const RequestId &Id);
  /// Time until the customer's bucket holds \p Cost.
  std::chrono::milliseconds untilFilled(const CustomerName &Customer,
                                        const Allotment &Allowed, double Cost,
                                        double Share) const;

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
  std::unordered_map<CustomerName, Bucket> Buckets_;
  /// Requests that are neither granted nor refused yet.
  std::unordered_map<RequestId, Taken> Open_;
};

} // namespace samphireshunt
