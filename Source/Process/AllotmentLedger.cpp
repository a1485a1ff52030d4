#include "Process/AllotmentLedger.h"

#include <algorithm>

namespace samphireshunt {

namespace {

/// What a new keeper lets through of a window's allotment at once.
constexpr double FirstPart = 0.15;

} // namespace

double AllotmentLedger::limit(const Allotment &Allowed, double Share,
                              TimePoint Now) const {
  std::chrono::duration<double> Window = Options_.Window_;
  std::chrono::duration<double> Counted = Now - Started_;
  double Known = std::min(1.0, FirstPart + Counted / Window);
  double Whole =
      Allowed.PerSecond_ * Window.count() + Allowed.Burst_ + Options_.Credit_;
  return Share * Known * Whole;
}

bool AllotmentLedger::take(const RequestId &Id, const CustomerName &Customer,
                           const Allotment &Allowed, double Cost, double Share,
                           TimePoint Now) {
  if (Allowed.PerSecond_ <= 0)
    return true;
  // A part of the window more, since the oldest part drops out whole.
  auto Covered = Options_.Window_ + Options_.Window_ / Slots;
  Use &Target = Used_.try_emplace(Customer, Covered).first->second;
  if (Target.sum(Now) + Cost > limit(Allowed, Share, Now))
    return false;
  Target.add(Now, Cost);
  Open_[Id] = {Customer, Cost};
  return true;
}

void AllotmentLedger::giveBack(const RequestId &Id, TimePoint Now) {
  auto Node = Open_.extract(Id);
  if (!Node)
    return;
  auto Found = Used_.find(Node.mapped().Customer_);
  if (Found != Used_.end())
    Found->second.add(Now, -Node.mapped().Cost_);
}

void AllotmentLedger::restart(TimePoint Now) {
  Started_ = Now;
  Used_.clear();
}

} // namespace samphireshunt
