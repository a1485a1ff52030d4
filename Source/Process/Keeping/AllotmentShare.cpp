#include "Process/Keeping/AllotmentShare.h"

#include <algorithm>

namespace samphireshunt {

namespace {
/// More than the longest time between two ticks of a keeper that is idle, and
/// less than it takes the others to declare a silent daemon dead.
constexpr std::chrono::milliseconds MaxPause{2000};
} // namespace

double allotmentShare(double ScheduledFraction, double /*Cells*/,
                      double LiveShare) {
  return LiveShare * ScheduledFraction;
}

void KeptCells::update(const std::vector<std::uint32_t> &Kept,
                       std::uint32_t Count, TimePoint GrantsFrom) {
  Count_ = std::max(Count, 1U);
  std::erase_if(GrantsFrom_, [&](const auto &Item) {
    return std::ranges::find(Kept, Item.first) == Kept.end();
  });
  for (std::uint32_t Index : Kept)
    GrantsFrom_.try_emplace(Index, GrantsFrom);
}

bool KeptCells::noteRunning(TimePoint Now) {
  bool Paused = LastRun_ && Now - *LastRun_ > MaxPause;
  LastRun_ = Now;
  if (Paused)
    for (auto &[Index, From] : GrantsFrom_)
      From = std::max(From, Now + AllotmentHandOver);
  return Paused;
}

AllotmentPart KeptCells::part(double LiveShare, TimePoint Now) const {
  double Cells = Count_;
  AllotmentPart Part;
  int Granted = 0;
  for (const auto &[Index, From] : GrantsFrom_) {
    if (From > Now)
      continue;
    ++Granted;
    Part.Since_ = std::max(Part.Since_, From);
  }
  Part.Share_ = allotmentShare(Granted / Cells, Cells, LiveShare);
  Part.StandsIn_ = Granted == 0;
  if (Part.StandsIn_)
    Part.Share_ = LiveShare / Cells;
  return Part;
}

} // namespace samphireshunt
