#include "Process/Scheduling/AllotmentLedger.h"

#include <algorithm>
#include <cmath>

namespace samphireshunt {

namespace {

/// The part of the tolerance that is given out. The rest is for moments at
/// which two daemons count for the same cell: one that was killed and is back,
/// and the one that entries turned to meanwhile; and for requests that arrive
/// at engines later than they are counted.
constexpr double UsedTolerance = 0.6;
/// The part of that which may come at once; the rest is spread over the window.
/// With less, a large request of a small customer would never fit.
constexpr double BurstPart = 0.5;

/// What is kept for a higher tier is at most this part of a bucket: all of it
/// would keep a lower one out of an allotment that nobody else uses.
constexpr double KeptMost = 0.5;
/// In this time the largest request is forgotten by half: some ten windows'
/// worth of large requests lie between two of the very largest.
constexpr std::chrono::seconds LargestHalf{20};

} // namespace

AllotmentLedger::Flow AllotmentLedger::allotted(const Allotment &Allowed,
                                                double Share) const {
  return {Share * Allowed.PerSecond_, Share * Allowed.Burst_};
}

/// Whatever comes at once is missing from the rate: within any window, also one
/// in which an empty bucket takes over, no more than the tolerance is used.
AllotmentLedger::Flow AllotmentLedger::tolerated(const Allotment &Allowed,
                                                 double Share) const {
  std::chrono::duration<double> Window = Options_.Window_;
  double Allotted = Allowed.PerSecond_ * Window.count() + Allowed.Burst_;
  double Whole =
      Share * UsedTolerance * (Options_.Overrun_ * Allotted + Options_.Credit_);
  double AtOnce = BurstPart * Whole;
  return {(Whole - AtOnce) / Window.count(), AtOnce};
}

AllotmentLedger::Levels AllotmentLedger::filled(const Levels &Left,
                                                const Flow &Own,
                                                const Flow &More,
                                                double Seconds) {
  double Allotted = Left.Allotted_ + Own.PerSecond_ * Seconds;
  double Over = std::max(0.0, Allotted - Own.Most_);
  double Tolerated = Left.Tolerated_ + More.PerSecond_ * Seconds + Over;
  return {std::min(Allotted, Own.Most_), std::min(Tolerated, More.Most_)};
}

std::optional<AllotmentLedger::Levels>
AllotmentLedger::fit(const Levels &Left, double Cost, double Kept,
                     const Flow &Own, const Flow &More) {
  auto Fits = [Cost, Kept](double Level, double Most) {
    return Level >= Cost + std::min(Kept, KeptMost * Most);
  };
  if (Fits(Left.Allotted_, Own.Most_))
    return Levels{Cost, 0};
  if (Fits(Left.Tolerated_, More.Most_))
    return Levels{0, Cost};
  bool OfBoth = Cost > Own.Most_ &&
                Fits(Left.Allotted_ + Left.Tolerated_, Own.Most_ + More.Most_);
  if (!OfBoth)
    return std::nullopt;
  return Levels{Left.Allotted_, Cost - Left.Allotted_};
}

bool AllotmentLedger::take(const Charge &Asked, const Allotment &Allowed,
                           double Share, TimePoint Now) {
  if (Allowed.PerSecond_ <= 0)
    return true;
  Account Empty{{}, 0, Started_};
  Account &Target = Accounts_.try_emplace(Asked.Customer_, Empty).first->second;
  std::chrono::duration<double> Since = Now - Target.Filled_;
  Target.Filled_ = Now;
  Flow Own = allotted(Allowed, Share);
  Flow More = tolerated(Allowed, Share);
  Levels &Left = Target.Left_;
  Left = filled(Left, Own, More, Since.count());
  double Largest = noteCost(Target, Asked, Since);
  double Kept = Asked.LeavesRoom_ ? Largest : 0;
  auto Cost = fit(Left, Asked.Cost_, Kept, Own, More);
  if (!Cost)
    return false;
  Left.Allotted_ -= Cost->Allotted_;
  Left.Tolerated_ -= Cost->Tolerated_;
  Open_[Asked.Id_] = {Asked.Customer_, *Cost};
  return true;
}

/// \returns the cost of the largest request of the highest tier of late; its
/// memory fades.
double AllotmentLedger::noteCost(Account &Target, const Charge &Asked,
                                 std::chrono::duration<double> Since) {
  double Kept = std::exp2(-Since / std::chrono::duration<double>(LargestHalf));
  Target.Largest_ *= Kept;
  if (!Asked.LeavesRoom_)
    Target.Largest_ = std::max(Asked.Cost_, Target.Largest_);
  return Target.Largest_;
}

std::chrono::milliseconds AllotmentLedger::fitsIn(const Charge &Asked,
                                                  const Allotment &Allowed,
                                                  double Share) const {
  auto Found = Accounts_.find(Asked.Customer_);
  Flow Own = allotted(Allowed, Share);
  Flow More = tolerated(Allowed, Share);
  if (Found == Accounts_.end() || Own.Most_ + More.Most_ < Asked.Cost_)
    return Options_.Window_;
  const Levels &Left = Found->second.Left_;
  double Seconds = (Asked.Cost_ - Left.Allotted_) / Own.PerSecond_;
  if (Own.Most_ < Asked.Cost_)
    Seconds = std::max((Asked.Cost_ - Left.Allotted_ - Left.Tolerated_) /
                           (Own.PerSecond_ + More.PerSecond_),
                       Seconds - More.Most_ / Own.PerSecond_);
  std::chrono::duration<double> Window = Options_.Window_;
  std::chrono::duration<double> Exact(std::clamp(Seconds, 0.0, Window.count()));
  return std::chrono::duration_cast<std::chrono::milliseconds>(Exact);
}

void AllotmentLedger::giveBack(const RequestId &Id) {
  auto Node = Open_.extract(Id);
  if (!Node)
    return;
  const Taken &Unused = Node.mapped();
  auto Found = Accounts_.find(Unused.Customer_);
  if (Found == Accounts_.end())
    return;
  Account &Target = Found->second;
  Target.Left_.Allotted_ += Unused.Cost_.Allotted_;
  Target.Left_.Tolerated_ += Unused.Cost_.Tolerated_;
}

void AllotmentLedger::restart(TimePoint Now) {
  Started_ = Now;
  Accounts_.clear();
}

} // namespace samphireshunt
