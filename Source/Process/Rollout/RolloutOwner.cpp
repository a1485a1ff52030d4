#include "Process/Rollout/RolloutOwner.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

namespace samphireshunt {

namespace {

using std::chrono::milliseconds;

/// The part of the allowed exposure that is used. The rest covers requests that
/// keepers granted between two reports.
constexpr double UsedExposure = 0.6;
/// One server in this many of those in service is matched by one on trial.
constexpr std::size_t ServersPerCanary = 12;
/// The trial takes this fraction of the order's time, and leaves at most
/// MaxShiftTime for the rest, in which running requests end.
constexpr double TrialFraction = 0.5;
constexpr milliseconds MaxShiftTime{15000};
/// A trial with fewer answers, or with too few servers to take over, goes on
/// until this fraction of the order's time.
constexpr std::uint64_t MinTrialRuns = 40;
constexpr double LongTrialFraction = 0.7;
/// A trial that can't be decided by then is reverted.
constexpr double LastTrialFraction = 0.9;
/// Fraction of the servers in service whose number must be ready in the target
/// version before it takes over.
constexpr double ReadyFraction = 0.9;
/// The same at the end of a long trial.
constexpr double MinReadyFraction = 0.5;
/// How much of the order's time is over when its owner learns of it, or when
/// the operator learns how it ended, at most.
constexpr milliseconds OrderLag{1000};
/// The time in which all daemons learn of a new stage.
constexpr milliseconds SpreadTime{3000};
/// Servers that are gone for this long don't come back.
constexpr milliseconds GoneTime{2500};

RolloutRecord stageAfter(const RolloutRecord &Current, RolloutStage Stage,
                         WallTime WallNow) {
  RolloutRecord Next = Current;
  Next.Stage_ = Stage;
  Next.StageBegan_ = WallNow;
  return Next;
}

bool isTarget(const VersionSelection &Versions, const SoftwareVersion &Known) {
  return Known == Versions.record()->Target_;
}

std::size_t baseCount(const VersionSelection &Versions) {
  return Versions.count([&](const SoftwareVersion &Known) {
    return Versions.record()->Base_.contains(Known);
  });
}

} // namespace

std::uint64_t RolloutOwner::exposed() const {
  std::uint64_t Sum = 0;
  for (const auto &[Keeper, Known] : Reports_)
    Sum += Known.Counts_.Exposed_;
  return Sum;
}

std::uint64_t RolloutOwner::granted() const {
  std::uint64_t Sum = 0;
  for (const auto &[Keeper, Known] : Reports_)
    Sum += Known.Counts_.Granted_;
  return Sum;
}

std::uint64_t RolloutOwner::onReport(const VmId &Keeper, KeeperCounts Counts,
                                     std::size_t Keepers, double LiveShare,
                                     TimePoint Now) {
  Report &Known = Reports_[Keeper];
  OutcomesByServer New;
  for (const auto &[Key, Total] : Counts.Outcomes_) {
    const OutcomeCounts &Before = Known.Counts_.Outcomes_[Key];
    // A keeper that restarted counts from zero again.
    New[Key] = Total.Runs_ >= Before.Runs_ ? Total - Before : Total;
  }
  Evidence_.add(New);
  std::uint64_t Own = Counts.Exposed_;
  Counts.Outcomes_.merge(Known.Counts_.Outcomes_);
  Known = {std::move(Counts), Now};
  if (Bad_)
    return 0;
  double Allowed =
      UsedExposure * (Options_.ExposureShare_ * static_cast<double>(granted()) +
                      Options_.ExposureSlack_ * LiveShare);
  double Left = Allowed - static_cast<double>(exposed());
  if (Left <= 0)
    return Own;
  auto Share = Left / static_cast<double>(std::max<std::size_t>(1, Keepers));
  return Own + static_cast<std::uint64_t>(std::ceil(Share));
}

std::optional<RolloutRecord>
RolloutOwner::next(const VersionSelection &Versions, const Keepers &CellKeepers,
                   TimePoint Now, BootTime BootNow, WallTime WallNow) {
  const auto &Current = Versions.record();
  if (!Versions.recordAnswersOrder()) {
    // An order that was withdrawn or replaced ends first.
    if (Current && !Current->ended())
      return stageAfter(*Current, RolloutStage::Reverted, WallNow);
    return start(Versions, WallNow);
  }
  if (Current->ended())
    return std::nullopt;
  noteStage(*Current, Now, WallNow);
  auto Servers = Versions.count(
      [&](const SoftwareVersion &Known) { return isTarget(Versions, Known); });
  Bad_ |= Evidence_.isBad(Current->Stage_ == RolloutStage::Canary
                              ? Current->Canaries_.size()
                              : Servers);
  if (Bad_)
    return stageAfter(*Current, RolloutStage::Reverted, WallNow);
  if (Current->Stage_ == RolloutStage::Canary)
    return afterCanary(Versions, Now, BootNow, WallNow);
  return afterShifting(Versions, CellKeepers, Now, WallNow);
}

std::optional<RolloutRecord>
RolloutOwner::start(const VersionSelection &Versions, WallTime WallNow) const {
  if (!Versions.order())
    return std::nullopt;
  RolloutRecord First;
  First.Target_ = Versions.order()->Target_;
  First.Order_ = Versions.orderPosition();
  First.Started_ = First.StageBegan_ = WallNow;
  First.Base_ = Versions.admitted();
  First.Base_.erase(First.Target_);
  bool OnlyOne = First.Base_.empty() && !Versions.admitted().empty();
  First.Stage_ = OnlyOne ? RolloutStage::Completed : RolloutStage::Canary;
  return First;
}

void RolloutOwner::noteStage(const RolloutRecord &Current, TimePoint Now,
                             WallTime WallNow) {
  if (!FirstSeen_) {
    FirstSeen_ = Now;
    ElapsedBefore_ = std::max(milliseconds(0), WallNow - Current.Started_);
  }
  if (Stage_ != Current.Stage_)
    StageSeen_ = Now;
  Stage_ = Current.Stage_;
}

milliseconds RolloutOwner::elapsed(TimePoint Now) const {
  return ElapsedBefore_ +
         std::chrono::duration_cast<milliseconds>(Now - *FirstSeen_);
}

bool RolloutOwner::baseIsGone(bool Gone, TimePoint Now) {
  if (!Gone)
    BaseGoneSince_.reset();
  else if (!BaseGoneSince_)
    BaseGoneSince_ = Now;
  return BaseGoneSince_ && Now - *BaseGoneSince_ >= GoneTime;
}

/// Canaries stay on trial while they are there, and are spread over the data
/// centres.
std::set<ServerName>
RolloutOwner::chooseCanaries(const VersionSelection &Versions,
                             BootTime BootNow) {
  const RolloutRecord &Current = *Versions.record();
  std::set<ServerName> Chosen;
  std::map<DataCenterName, std::size_t> PerDataCenter;
  std::vector<std::pair<ServerName, DataCenterName>> Candidates;
  for (const auto &[Name, Server] : Versions.servers()) {
    if (!isTarget(Versions, Server.Version_) || !Server.ready(BootNow))
      continue;
    if (Current.Canaries_.contains(Name)) {
      Chosen.insert(Name);
      ++PerDataCenter[Server.DataCenter_];
    } else {
      Candidates.emplace_back(Name, Server.DataCenter_);
    }
  }
  std::size_t Wanted =
      (baseCount(Versions) + ServersPerCanary - 1) / ServersPerCanary;
  while (Chosen.size() < std::max<std::size_t>(1, Wanted) &&
         !Candidates.empty()) {
    auto Next =
        std::ranges::min_element(Candidates, {}, [&](const auto &Candidate) {
          return std::tuple(PerDataCenter[Candidate.second], Candidate.first);
        });
    Chosen.insert(Next->first);
    ++PerDataCenter[Next->second];
    Candidates.erase(Next);
  }
  return Chosen;
}

std::optional<RolloutRecord>
RolloutOwner::afterCanary(const VersionSelection &Versions, TimePoint Now,
                          BootTime BootNow, WallTime WallNow) {
  const RolloutRecord &Current = *Versions.record();
  std::size_t Base = baseCount(Versions);
  auto Ready = static_cast<double>(
      std::ranges::count_if(Versions.servers(), [&](const auto &Item) {
        return isTarget(Versions, Item.second.Version_) &&
               Item.second.ready(BootNow);
      }));
  if (baseIsGone(Base == 0 && Ready > 0, Now))
    return stageAfter(Current, RolloutStage::Completed, WallNow);
  auto Limit = static_cast<double>(
      std::max(milliseconds(1), Versions.order()->Duration_ - OrderLag)
          .count());
  auto Elapsed = static_cast<double>(elapsed(Now).count());
  if (Elapsed >= LastTrialFraction * Limit)
    return stageAfter(Current, RolloutStage::Reverted, WallNow);
  double TrialTime = std::max(
      TrialFraction * Limit, Limit - static_cast<double>(MaxShiftTime.count()));
  double ReadyShare =
      Ready / static_cast<double>(std::max<std::size_t>(1, Base));
  bool Proven = Evidence_.runs() >= MinTrialRuns && ReadyShare >= ReadyFraction;
  bool Due = Proven ? Elapsed >= TrialTime
                    : Elapsed >= std::max(TrialTime, LongTrialFraction * Limit);
  if (Due && ReadyShare >= MinReadyFraction && !Evidence_.isSuspect())
    return stageAfter(Current, RolloutStage::Shifting, WallNow);
  RolloutRecord Next = Current;
  Next.Canaries_ = chooseCanaries(Versions, BootNow);
  if (Next.Canaries_ == Current.Canaries_)
    return std::nullopt;
  return Next;
}

/// True if no request runs on the replaced servers any more, and no daemon that
/// can be reached sends there.
bool RolloutOwner::isDrained(const Keepers &CellKeepers, TimePoint Now) const {
  auto IsRecent = [&](const Report &Known) {
    return Now - Known.At_ < Options_.ReportTimeout_;
  };
  bool AllShifted = std::ranges::all_of(CellKeepers, [&](const VmId &Keeper) {
    auto Found = Reports_.find(Keeper);
    return Found != Reports_.end() && IsRecent(Found->second) &&
           Found->second.Counts_.Stage_ == RolloutStage::Shifting;
  });
  return AllShifted && std::ranges::none_of(Reports_, [&](const auto &Item) {
           return IsRecent(Item.second) &&
                  Item.second.Counts_.RunningOnBase_ > 0;
         });
}

std::optional<RolloutRecord>
RolloutOwner::afterShifting(const VersionSelection &Versions,
                            const Keepers &CellKeepers, TimePoint Now,
                            WallTime WallNow) {
  const RolloutRecord &Current = *Versions.record();
  bool Spread = Now - StageSeen_ >= SpreadTime;
  if (!Spread || !isDrained(CellKeepers, Now))
    return std::nullopt;
  return stageAfter(Current, RolloutStage::Completed, WallNow);
}

} // namespace samphireshunt
