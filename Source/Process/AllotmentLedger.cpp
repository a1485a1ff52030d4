#include "Process/AllotmentLedger.h"

#include <algorithm>

namespace samphireshunt {

bool AllotmentLedger::take(const RequestId &Id, const CustomerName &Customer,
                           const Allotment &Allowed, double Cost, double Share,
                           TimePoint Now) {
  if (Allowed.PerSecond_ <= 0)
    return true;
  Bucket Empty{0, Started_};
  Bucket &Target = Buckets_.try_emplace(Customer, Empty).first->second;
  std::chrono::duration<double> Since = Now - Target.Filled_;
  Target.Filled_ = Now;
  double Filled = Target.Level_ + Share * Allowed.PerSecond_ * Since.count();
  double Most = Share * (Allowed.Burst_ + Options_.Credit_);
  Target.Level_ = std::min(Filled, Most);
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
