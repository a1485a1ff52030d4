#include "Process/Scheduling/AllotmentLedger.h"

#include <algorithm>
#include <cmath>

namespace samphireshunt {

namespace {

/// The fraction of the tolerance that is used. The rest covers times at which
/// two daemons count for the same cell (one that was killed and has returned,
/// and the one to which ingress daemons switched meanwhile), and requests that
/// arrive at engines later than they are counted.
constexpr double UsedToleranceFraction = 0.6;
/// The fraction of the used tolerance that is available at once; the rest is
/// spread over the window. With less, a large request of a small customer would
/// never fit.
constexpr double BurstFraction = 0.5;

/// At most this fraction of a bucket is reserved for a higher tier. Reserving
/// all of it would keep lower tiers out of an allotment that nobody else uses.
constexpr double MaxReservedFraction = 0.5;
/// Half-life of the largest recorded cost. Some ten windows' worth of large
/// requests lie between two of the very largest.
constexpr std::chrono::seconds LargestHalfLife{20};

} // namespace

AllotmentLedger::Flow AllotmentLedger::allotted(const Allotment &Allowed,
                                                double Share) const {
  return {Share * Allowed.PerSecond_, Share * Allowed.Burst_};
}

/// Returns the bucket of the tolerance. Its capacity is subtracted from its
/// rate, so that no more than the tolerance is used within any window,
/// including one in which a new keeper takes over with an empty bucket.
AllotmentLedger::Flow AllotmentLedger::tolerated(const Allotment &Allowed,
                                                 double Share) const {
  std::chrono::duration<double> Window = Options_.Window_;
  double Allotted = Allowed.PerSecond_ * Window.count() + Allowed.Burst_;
  double Usable = Share * UsedToleranceFraction *
                  (Options_.Overrun_ * Allotted + Options_.Credit_);
  double Burst = BurstFraction * Usable;
  return {(Usable - Burst) / Window.count(), Burst};
}

AllotmentLedger::Levels AllotmentLedger::filled(const Levels &Left,
                                                const Flow &Regular,
                                                const Flow &Tolerance,
                                                double Seconds) {
  double Allotted = Left.Allotted_ + Regular.PerSecond_ * Seconds;
  double Overflow = std::max(0.0, Allotted - Regular.Capacity_);
  double Tolerated =
      Left.Tolerated_ + Tolerance.PerSecond_ * Seconds + Overflow;
  return {std::min(Allotted, Regular.Capacity_),
          std::min(Tolerated, Tolerance.Capacity_)};
}

std::optional<AllotmentLedger::Levels>
AllotmentLedger::fit(const Levels &Left, double Cost, double Reserved,
                     const Flow &Regular, const Flow &Tolerance) {
  auto Fits = [Cost, Reserved](double Level, double Capacity) {
    return Level >= Cost + std::min(Reserved, MaxReservedFraction * Capacity);
  };
  if (Fits(Left.Allotted_, Regular.Capacity_))
    return Levels{Cost, 0};
  if (Fits(Left.Tolerated_, Tolerance.Capacity_))
    return Levels{0, Cost};
  bool FitsBoth =
      Cost > Regular.Capacity_ && Fits(Left.Allotted_ + Left.Tolerated_,
                                       Regular.Capacity_ + Tolerance.Capacity_);
  if (!FitsBoth)
    return std::nullopt;
  return Levels{Left.Allotted_, Cost - Left.Allotted_};
}

bool AllotmentLedger::charge(const Charge &Request, const Allotment &Allowed,
                             double Share, TimePoint Now) {
  if (Allowed.PerSecond_ <= 0)
    return true;
  Account &Target = account(Request.Customer_, Allowed, Share);
  std::chrono::duration<double> Elapsed = Now - Target.Filled_;
  advance(Target, Allowed, Share, Now);
  const Flow &Regular = Target.Regular_;
  const Flow &Tolerance = Target.Tolerance_;
  Levels &Left = Target.Left_;
  double Largest = recordCost(Target, Request, Elapsed);
  double Reserved = Request.LeavesRoomForHighTier_ ? Largest : 0;
  auto Cost = fit(Left, Request.Cost_, Reserved, Regular, Tolerance);
  if (!Cost)
    return false;
  Left.Allotted_ -= Cost->Allotted_;
  Left.Tolerated_ -= Cost->Tolerated_;
  PendingCharges_[Request.Id_] = {Request.Customer_, *Cost};
  return true;
}

AllotmentLedger::Account &AllotmentLedger::account(const CustomerName &Customer,
                                                   const Allotment &Allowed,
                                                   double Share) {
  auto [Known, New] = Accounts_.try_emplace(Customer);
  if (New)
    Known->second = {
        {}, 0, Started_, allotted(Allowed, Share), tolerated(Allowed, Share)};
  return Known->second;
}

void AllotmentLedger::advance(Account &Target, const Allotment &Allowed,
                              double Share, TimePoint Now) const {
  std::chrono::duration<double> Elapsed = Now - Target.Filled_;
  Target.Filled_ = Now;
  Target.Left_ =
      filled(Target.Left_, Target.Regular_, Target.Tolerance_, Elapsed.count());
  Target.Regular_ = allotted(Allowed, Share);
  Target.Tolerance_ = tolerated(Allowed, Share);
  Target.Left_.Allotted_ =
      std::min(Target.Left_.Allotted_, Target.Regular_.Capacity_);
  Target.Left_.Tolerated_ =
      std::min(Target.Left_.Tolerated_, Target.Tolerance_.Capacity_);
}

void AllotmentLedger::changeShare(const CustomerName &Customer,
                                  const Allotment &Allowed, double Before,
                                  double Share, TimePoint Now) {
  if (Allowed.PerSecond_ > 0)
    advance(account(Customer, Allowed, Before), Allowed, Share, Now);
}

/// Decays the recorded largest cost of the highest tier, and raises it to that
/// of the request if the request is of that tier. \returns the result.
double AllotmentLedger::recordCost(Account &Target, const Charge &Request,
                                   std::chrono::duration<double> Elapsed) {
  double DecayFactor =
      std::exp2(-Elapsed / std::chrono::duration<double>(LargestHalfLife));
  Target.Largest_ *= DecayFactor;
  if (!Request.LeavesRoomForHighTier_)
    Target.Largest_ = std::max(Request.Cost_, Target.Largest_);
  return Target.Largest_;
}

std::chrono::milliseconds
AllotmentLedger::timeUntilFit(const Charge &Request, const Allotment &Allowed,
                              double Share) const {
  auto Found = Accounts_.find(Request.Customer_);
  Flow Regular = allotted(Allowed, Share);
  Flow Tolerance = tolerated(Allowed, Share);
  if (Found == Accounts_.end() ||
      Regular.Capacity_ + Tolerance.Capacity_ < Request.Cost_)
    return Options_.Window_;
  const Levels &Left = Found->second.Left_;
  double Seconds = (Request.Cost_ - Left.Allotted_) / Regular.PerSecond_;
  if (Regular.Capacity_ < Request.Cost_)
    Seconds = std::max((Request.Cost_ - Left.Allotted_ - Left.Tolerated_) /
                           (Regular.PerSecond_ + Tolerance.PerSecond_),
                       Seconds - Tolerance.Capacity_ / Regular.PerSecond_);
  std::chrono::duration<double> Window = Options_.Window_;
  std::chrono::duration<double> Exact(std::clamp(Seconds, 0.0, Window.count()));
  return std::chrono::duration_cast<std::chrono::milliseconds>(Exact);
}

void AllotmentLedger::refund(const RequestId &Id) {
  auto Node = PendingCharges_.extract(Id);
  if (!Node)
    return;
  const PendingCharge &Refunded = Node.mapped();
  auto Found = Accounts_.find(Refunded.Customer_);
  if (Found == Accounts_.end())
    return;
  Account &Target = Found->second;
  Target.Left_.Allotted_ += Refunded.Cost_.Allotted_;
  Target.Left_.Tolerated_ += Refunded.Cost_.Tolerated_;
}

void AllotmentLedger::restart(TimePoint Now) {
  Started_ = Now;
  // The flows stay: they are by what the keeper may use now.
  for (auto &[Customer, Target] : Accounts_)
    Target = {{}, 0, Now, Target.Regular_, Target.Tolerance_};
  // What was charged before is not in the new count.
  PendingCharges_.clear();
}

} // namespace samphireshunt
