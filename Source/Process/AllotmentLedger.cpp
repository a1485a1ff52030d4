#include "Process/AllotmentLedger.h"

#include <algorithm>

namespace samphireshunt {

namespace {

/// The part of the tolerance that is given out: daemons that are cut off count
/// for themselves, and requests arrive at engines later than they are counted.
constexpr double UsedTolerance = 0.75;
/// The part of that which may come at once; the rest is spread over the window.
constexpr double BurstPart = 0.15;

} // namespace

/// Whatever comes at once is missing from the rate: within any window, also one
/// in which an empty bucket takes over, no more than the tolerance is used.
AllotmentLedger::Flow AllotmentLedger::flowOf(const Allotment &Allowed) const {
  std::chrono::duration<double> Window = Options_.Window_;
  double Allotted = Allowed.PerSecond_ * Window.count() + Allowed.Burst_;
  double Tolerated =
      UsedTolerance * (Options_.Overrun_ * Allotted + Options_.Credit_);
  double AtOnce = BurstPart * Tolerated;
  return {Allowed.PerSecond_ + (Tolerated - AtOnce) / Window.count(),
          Allowed.Burst_ + AtOnce};
}

bool AllotmentLedger::take(const RequestId &Id, const CustomerName &Customer,
                           const Allotment &Allowed, double Cost, double Share,
                           TimePoint Now) {
  if (Allowed.PerSecond_ <= 0)
    return true;
  Bucket Empty{0, Started_};
  Bucket &Target = Buckets_.try_emplace(Customer, Empty).first->second;
  std::chrono::duration<double> Since = Now - Target.Filled_;
  Target.Filled_ = Now;
  Flow Limits = flowOf(Allowed);
  double Filled = Target.Level_ + Share * Limits.PerSecond_ * Since.count();
  Target.Level_ = std::min(Filled, Share * Limits.Most_);
  if (Target.Level_ < Cost)
    return false;
  Target.Level_ -= Cost;
  Open_[Id] = {Customer, Cost};
  return true;
}

void AllotmentLedger::giveBack(const RequestId &Id) {
  auto Node = Open_.extract(Id);
  if (!Node)
    return;
  auto Found = Buckets_.find(Node.mapped().Customer_);
  if (Found != Buckets_.end())
    Found->second.Level_ += Node.mapped().Cost_;
}

void AllotmentLedger::restart(TimePoint Now) {
  Started_ = Now;
  Buckets_.clear();
}

} // namespace samphireshunt
