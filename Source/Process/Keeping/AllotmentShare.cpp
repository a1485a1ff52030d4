#include "Process/Keeping/AllotmentShare.h"

namespace samphireshunt {

double allotmentShare(double ScheduledFraction, double Cells,
                      double LiveShare) {
  constexpr double StandInFraction = 0.5;
  double Fraction =
      ScheduledFraction > 0 ? ScheduledFraction : StandInFraction / Cells;
  return LiveShare * Fraction;
}

} // namespace samphireshunt
