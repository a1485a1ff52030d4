#include "Process/AllotmentLedger.h"

#include <algorithm>

namespace samphireshunt {

using std::chrono::milliseconds;

bool AllotmentLedger::take(const RequestId &Id, const CustomerName &Customer,
                           const Allotment &Allowed, double Cost, double Share,
                           TimePoint Now) {
  if (Allowed.PerSecond_ <= 0)
    return true;
  auto [Item, New] = Buckets_.try_emplace(Customer);
  Bucket &Target = Item->second;
  if (New)
    Target.Filled_ = Now;
  std::chrono::duration<double> Since = Now - Target.Filled_;
  Target.Filled_ = Now;
  double Filled = Target.Level_ + Share * Allowed.PerSecond_ * Since.count();
  Target.Level_ = std::min(Filled, Share * Allowed.Burst_);
  if (Target.Level_ + Share * Options_.Credit_ < Cost)
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

milliseconds AllotmentLedger::untilFilled(const CustomerName &Customer,
                                          const Allotment &Allowed, double Cost,
                                          double Share) const {
  auto Found = Buckets_.find(Customer);
  if (Found == Buckets_.end() || Allowed.PerSecond_ <= 0)
    return milliseconds(0);
  double Missing = Cost - Found->second.Level_ - Share * Options_.Credit_;
  constexpr double MillisPerSecond = 1000;
  double Millis = MillisPerSecond * Missing / (Share * Allowed.PerSecond_);
  return milliseconds(static_cast<std::int64_t>(std::max(0.0, Millis)));
}

} // namespace samphireshunt
