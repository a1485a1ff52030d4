#pragma once
/// \file
/// Accounts for what customers have used of their allotments, at the keeper
/// that decides on their requests. The code is free of I/O; the current time is
/// passed in.
///
/// Load pattern: one customer sends many times its usual load, small and large
/// requests of all tiers. The allotment is a token bucket that fills at a rate
/// up to a burst size, and each request takes its cost from it. Where the
/// platform tolerates more than the allotment within a window, most of the
/// tolerance is used: refusing within it loses work without benefit to anyone.
///
/// The tolerance has a bucket of its own, and lower tiers leave room in both
/// buckets for the largest request of the highest tier. With a single bucket,
/// the smallest requests, which always fit, leave no room for a large one of
/// any tier. A request within the allotment is then refused because of what
/// others took beyond it, while engines are idle.
///
/// A request that is larger than the allotment's bucket takes from both: where
/// many keepers have a share each, it would otherwise never be admitted.
///
/// A new keeper does not know what an earlier one admitted, which may be a
/// whole burst just before. Its buckets therefore start empty at the time it
/// starts counting, so that any number of keeper changes adds no more than the
/// rate.

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
    /// Within this window the customer may use what its rate and its burst
    /// allow, plus the two tolerances.
    std::chrono::milliseconds Window_{8000};
    double Overrun_ = 0; ///< As a fraction of the allotment.
    double Credit_ = 0;  ///< Added to the overrun, in the allotment's unit.
  };

  /// \param Started the time at which this keeper started to count.
  AllotmentLedger(Options Settings, TimePoint Started)
      : Options_(Settings), Started_(Started) {}

  /// The charge for a request.
  struct Charge {
    RequestId Id_;
    CustomerName Customer_;
    double Cost_ = 0; ///< In the allotment's unit.
    /// The request is not of the highest tier and must leave room for a large
    /// one of it.
    bool LeavesRoomForHighTier_ = false;
  };

  /// Charges the request's cost to the customer's allotment, of which this
  /// keeper may use the fraction \p Share. \returns false, without charging
  /// anything, when too little is left.
  bool charge(const Charge &Request, const Allotment &Allowed, double Share,
              TimePoint Now);
  /// Applies a change of the fraction that this keeper may use: what it gains
  /// until now is by \p Before, also for a customer that has used nothing.
  /// Without this, a keeper that was cut off would find a full burst when it
  /// returns, beside what the keeper meanwhile has granted.
  void changeShare(const CustomerName &Customer, const Allotment &Allowed,
                   double Before, double Share, TimePoint Now);
  /// \returns the time after which a request that was just refused would fit if
  /// nothing else is charged meanwhile; the whole window if it would never fit.
  std::chrono::milliseconds timeUntilFit(const Charge &Request,
                                         const Allotment &Allowed,
                                         double Share) const;
  /// Makes the charge of a granted request final.
  void commit(const RequestId &Id) { PendingCharges_.erase(Id); }
  /// Refunds the charge of a request that was not granted.
  void refund(const RequestId &Id);
  /// Starts again with empty buckets, because another daemon has counted until
  /// now.
  void restart(TimePoint Now);

private:
  /// Fill rate and capacity of a bucket.
  struct Flow {
    double PerSecond_;
    double Capacity_;
  };
  /// The levels of the two buckets, or an amount taken from each.
  struct Levels {
    double Allotted_ = 0;
    double Tolerated_ = 0;
  };
  Flow allotted(const Allotment &Allowed, double Share) const;
  Flow tolerated(const Allotment &Allowed, double Share) const;
  /// Fills both buckets for \p Seconds; what overflows the allotment's bucket
  /// goes into the tolerance's.
  static Levels filled(const Levels &Left, const Flow &Regular,
                       const Flow &Tolerance, double Seconds);
  /// \returns the amount that the request takes from each bucket, or nothing if
  /// it does not fit.
  static std::optional<Levels> fit(const Levels &Left, double Cost,
                                   double Reserved, const Flow &Regular,
                                   const Flow &Tolerance);

  struct Account {
    Levels Left_;
    double Largest_ = 0; ///< Decaying cost of the largest recent request.
    TimePoint Filled_;
    /// By which the buckets fill since then.
    Flow Regular_{};
    Flow Tolerance_{};
  };
  /// \returns the customer's account; a new one has filled since the start.
  Account &account(const CustomerName &Customer, const Allotment &Allowed,
                   double Share);
  /// Fills the buckets by the flows until now, and applies those of \p Share
  /// from now on.
  void advance(Account &Target, const Allotment &Allowed, double Share,
               TimePoint Now) const;
  static double recordCost(Account &Target, const Charge &Request,
                           std::chrono::duration<double> Elapsed);
  struct PendingCharge {
    CustomerName Customer_;
    Levels Cost_;
  };

  Options Options_;
  TimePoint Started_;
  std::unordered_map<CustomerName, Account> Accounts_;
  /// Charges of requests that are neither granted nor refused yet.
  std::unordered_map<RequestId, PendingCharge> PendingCharges_;
};

} // namespace samphireshunt
