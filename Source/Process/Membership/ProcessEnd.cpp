#include "Process/Membership/ProcessEnd.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace samphireshunt {

using std::chrono::milliseconds;

namespace {

/// A message that is read this soon after a link ended may have been sent
/// before.
constexpr milliseconds InFlightTime{200};
constexpr milliseconds StallWindow{10000};
/// Enough for the answers of the other daemons to the first probes.
constexpr milliseconds CollectTime{1000};
constexpr milliseconds NoReportTime{15000};

auto age(const ProcessEnd &Report) {
  return std::tuple(Report.Incarnation_, Report.SilenceEnd_,
                    -Report.Silence_.count());
}

} // namespace

std::string_view silenceEndName(SilenceEnd Value) {
  switch (Value) {
  case SilenceEnd::Unknown:
    return "unknown";
  case SilenceEnd::Noticed:
    return "noticed";
  case SilenceEnd::LinkDown:
    return "link-down";
  }
  return "unknown";
}

void ProcessTrace::heard(const ProcessHealth &Health, TimePoint Now) {
  Health_ = Health;
  if (LinkEnded_ && Now - *LinkEnded_ <= InFlightTime)
    return;
  Heard_ = Now;
  LinkEnded_.reset();
}

/// After the end of a link, such a message may already be the successor's.
void ProcessTrace::heardOnLink(TimePoint Now) {
  if (!LinkEnded_)
    Heard_ = Now;
}

void ProcessTrace::linkEnded(TimePoint Now) {
  if (!LinkEnded_)
    LinkEnded_ = Now;
}

ProcessEnd ProcessTrace::end(Incarnation Process, bool Left,
                             TimePoint Now) const {
  ProcessEnd Known{Process, Left, SilenceEnd::Unknown, {}, Health_};
  if (!Heard_)
    return Known;
  Known.SilenceEnd_ = LinkEnded_ ? SilenceEnd::LinkDown : SilenceEnd::Noticed;
  auto Silence = LinkEnded_.value_or(Now) - *Heard_;
  Known.Silence_ = std::chrono::duration_cast<milliseconds>(Silence);
  return Known;
}

void LongestStall::record(std::chrono::steady_clock::duration Stall,
                          TimePoint Now) {
  auto Recent = std::chrono::duration_cast<milliseconds>(Stall);
  if (Recent < get(Now))
    return;
  Longest_ = Recent;
  Recorded_ = Now;
}

milliseconds LongestStall::get(TimePoint Now) const {
  return Now - Recorded_ <= StallWindow ? Longest_ : milliseconds(0);
}

void PreviousProcess::onReport(const VmId &From, const ProcessEnd &Report,
                               TimePoint Now) {
  if (Report.Incarnation_ >= Own_)
    return;
  Reports_[From] = Report;
  FirstReport_ = FirstReport_.value_or(Now);
}

std::optional<ProcessEnd> PreviousProcess::end() const {
  auto Best = std::ranges::max_element(
      Reports_, {}, [](const auto &Item) { return age(Item.second); });
  if (Best == Reports_.end())
    return std::nullopt;
  ProcessEnd Known = Best->second;
  Known.Left_ = std::ranges::any_of(Reports_, [&](const auto &Item) {
    return Item.second.Incarnation_ == Known.Incarnation_ && Item.second.Left_;
  });
  return Known;
}

std::optional<PreviousProcess::Summary>
PreviousProcess::takeSummary(TimePoint Now) {
  bool Due = FirstReport_ ? Now - *FirstReport_ >= CollectTime
                          : Now - Started_ >= NoReportTime;
  if (!Due || std::exchange(SummaryTaken_, true))
    return std::nullopt;
  return Summary{end(), Reports_.size()};
}

} // namespace samphireshunt
