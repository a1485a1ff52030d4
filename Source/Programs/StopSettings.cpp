#include "Programs/StopSettings.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphireshunt {

using std::chrono::milliseconds;

namespace {

/// How long balancers send as before, and how long they may pause between two
/// connections; a longer grace does not change that.
constexpr StopSettings Usual{milliseconds(2600), milliseconds(400),
                             milliseconds(2800), milliseconds(0)};
/// For the last answers, and for the end of the process after them.
constexpr milliseconds EndTime = LastAnswersTime + milliseconds(300);
/// At most this part of the grace each, in thousandths.
constexpr int DelayShare = 325;
constexpr int QuietShare = 50;
constexpr int AdmitShare = 350;
constexpr int Thousand = 1000;

} // namespace

StopSettings stopWithin(milliseconds Grace) {
  auto Part = [&](milliseconds Most, int Share) {
    return std::min(Most, Grace * Share / Thousand);
  };
  return {Part(Usual.Delay_, DelayShare), Part(Usual.Quiet_, QuietShare),
          Part(Usual.Admit_, AdmitShare),
          std::max(milliseconds(0), Grace - EndTime)};
}

std::optional<std::string> misfit(const StopSettings &Times,
                                  milliseconds Grace) {
  milliseconds End = Times.Timeout_ + LastAnswersTime;
  if (End > Grace)
    return fmt::format("{} ms is too short for drain_timeout_ms, {} ms, and "
                       "{} ms for the last answers",
                       Grace.count(), Times.Timeout_.count(),
                       LastAnswersTime.count());
  milliseconds Last = std::max(Times.Delay_ + Times.Quiet_, Times.Admit_);
  if (Last > Times.Timeout_)
    return fmt::format("drain_delay_ms and drain_quiet_ms, or drain_admit_ms, "
                       "end at {} ms, after drain_timeout_ms, {} ms",
                       Last.count(), Times.Timeout_.count());
  return std::nullopt;
}

} // namespace samphireshunt
