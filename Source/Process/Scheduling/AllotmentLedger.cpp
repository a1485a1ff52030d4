#include "Process/Scheduling/AllotmentLedger.h"

#include <algorithm>
#include <cmath>

namespace samphireshunt {

namespace {

/// The part of the tolerance that is given out. The rest is for moments at
/// which two daemons count for the same cell: one that was killed and is back,
/// and the one that entries turned to meanwhile; and for requests that arrive
/// at engines later than they are counted. With 0.75 a customer that sent seven
/// times its usual got 0.02 % more than all that is tolerated.
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

double filled(double Level, double PerSecond, double Most, double Seconds) {
  return std::min(Level + PerSecond * Seconds, Most);
}

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

bool AllotmentLedger::take(const Charge &Asked, const Allotment &Allowed,
                           double Share, TimePoint Now) {
  if (Allowed.PerSecond_ <= 0)
    return true;
  Account Empty{0, 0, 0, Started_};
  Account &Target = Accounts_.try_emplace(Asked.Customer_, Empty).first->second;
  std::chrono::duration<double> Since = Now - Target.Filled_;
  Target.Filled_ = Now;
  Flow Own = allotted(Allowed, Share);
  Flow More = tolerated(Allowed, Share);
  Target.Allotted_ =
      filled(Target.Allotted_, Own.PerSecond_, Own.Most_, Since.count());
  Target.Tolerated_ =
      filled(Target.Tolerated_, More.PerSecond_, More.Most_, Since.count());
  double Largest = noteCost(Target, Asked, Since);
  double Kept = Asked.LeavesRoom_ ? Largest : 0;
  bool Within =
      Target.Allotted_ >= Asked.Cost_ + std::min(Kept, KeptMost * Own.Most_);
  bool Beyond =
      Target.Tolerated_ >= Asked.Cost_ + std::min(Kept, KeptMost * More.Most_);
  if (!Within && !Beyond)
    return false;
  (Within ? Target.Allotted_ : Target.Tolerated_) -= Asked.Cost_;
  Open_[Asked.Id_] = {Asked.Customer_, Asked.Cost_, !Within};
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
  if (Found == Accounts_.end() || Own.Most_ < Asked.Cost_)
    return Options_.Window_;
  std::chrono::duration<double> Seconds(
      std::max(0.0, Asked.Cost_ - Found->second.Allotted_) / Own.PerSecond_);
  auto Exact = std::chrono::duration_cast<std::chrono::milliseconds>(Seconds);
  return std::min(Exact, Options_.Window_);
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
  (Unused.Tolerated_ ? Target.Tolerated_ : Target.Allotted_) += Unused.Cost_;
}

void AllotmentLedger::restart(TimePoint Now) {
  Started_ = Now;
  Accounts_.clear();
}

} // namespace samphireshunt
