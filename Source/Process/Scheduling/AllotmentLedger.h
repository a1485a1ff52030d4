#pragma once
/// \file
/// What customers have used of their allotments, counted where their requests
/// are decided. Pure: the time is an argument.
///
/// Load pattern: one customer sends many times its usual, small requests and
/// large ones of all tiers. A bucket fills at a rate up to a burst, and a
/// request takes its cost out of it. Where the platform tolerates more than the
/// allotment within a window, most of that is given out: what is refused within
/// the tolerance is work lost for no one's gain.
///
/// The tolerance has a bucket of its own, and lower tiers leave room in both
/// for the largest request of the highest one. In one bucket the smallest
/// requests, which always fit, leave no room for a large one, whatever its
/// tier, and one within the allotment is refused for what others took beyond
/// it, with engines idle.
///
/// A request that is larger than the allotment's bucket takes out of both:
/// where many keepers have a part each, it would be refused for ever.
///
/// A new keeper knows nothing of what an earlier one let through, maybe a
/// whole burst just before: its buckets begin empty when it begins to count, so
/// that however often keepers change, the rate is all that is added.

#include "Common/Ids.h"
#include "Version/Document.h"

#include <chrono>
#include <optional>
#include <unordered_map>

namespace samphireshunt {

class AllotmentLedger {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Options {
    /// Within this time the customer may use what its rate gives and its burst,
    /// and more by the two tolerances.
    std::chrono::milliseconds Window_{8000};
    double Overrun_ = 0; ///< As a part of the allotment.
    double Credit_ = 0;  ///< On top of that, in the allotment's unit.
  };

  /// \p Started: when the keeper began to count.
  AllotmentLedger(Options Settings, TimePoint Started)
      : Options_(Settings), Started_(Started) {}

  /// What a request is charged with.
  struct Charge {
    RequestId Id_;
    CustomerName Customer_;
    double Cost_ = 0; ///< In the allotment's unit.
    /// It is not of the highest tier: it leaves room for a large request.
    bool LeavesRoom_ = false;
  };

  /// Counts the request's cost against the customer's allotment, of which this
  /// keeper may use the part \p Share. \returns false when it is spent.
  bool take(const Charge &Asked, const Allotment &Allowed, double Share,
            TimePoint Now);
  /// After how long a request that was refused just now would fit, if nothing
  /// else is taken meanwhile; the window when it never would.
  std::chrono::milliseconds
  fitsIn(const Charge &Asked, const Allotment &Allowed, double Share) const;
  /// The request was granted: its cost is used.
  void used(const RequestId &Id) { Open_.erase(Id); }
  /// The request was not granted: its cost does not count.
  void giveBack(const RequestId &Id);
  /// Begins anew: another daemon counted until now.
  void restart(TimePoint Now);

private:
  /// How fast a bucket fills, and how much it holds.
  struct Flow {
    double PerSecond_;
    double Most_;
  };
  /// What is left in the two buckets, or taken out of them.
  struct Levels {
    double Allotted_ = 0;
    double Tolerated_ = 0;
  };
  Flow allotted(const Allotment &Allowed, double Share) const;
  Flow tolerated(const Allotment &Allowed, double Share) const;
  /// What the bucket of the allotment can't hold goes into the other one.
  static Levels filled(const Levels &Left, const Flow &Own, const Flow &More,
                       double Seconds);
  /// What the request takes out of each bucket; nothing when it does not fit.
  static std::optional<Levels> fit(const Levels &Left, double Cost, double Kept,
                                   const Flow &Own, const Flow &More);

  struct Account {
    Levels Left_;
    double Largest_ = 0; ///< Cost of the largest request of late.
    TimePoint Filled_;
  };
  static double noteCost(Account &Target, const Charge &Asked,
                         std::chrono::duration<double> Since);
  struct Taken {
    CustomerName Customer_;
    Levels Cost_;
  };

  Options Options_;
  TimePoint Started_;
  std::unordered_map<CustomerName, Account> Accounts_;
  /// Requests that are neither granted nor refused yet.
  std::unordered_map<RequestId, Taken> Open_;
};

} // namespace samphireshunt
