#include "Process/Scheduling/BackupChoice.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace samphireshunt {

namespace {

using std::chrono::duration;

/// Fewer remembered crashes than this are none.
constexpr double MinCrashes = 0.05;
/// Of the crashes of an engine's data centre or version, the fraction that
/// counts for the engine: the others happened to be there.
constexpr double SharedCause = 0.5;
/// Decay time of the bytes that were sent to a target.
constexpr duration<double> LinkTime{1.0};
constexpr double BytesPerMegabit = 125000;

} // namespace

double BackupChoice::DecayingCount::at(TimePoint Now,
                                       duration<double> Memory) const {
  duration<double> Age = Now - Updated_;
  return Value_ * std::exp(-std::max(0.0, Age.count()) / Memory.count());
}

void BackupChoice::DecayingCount::add(double Amount, TimePoint Now,
                                      duration<double> Memory) {
  Value_ = at(Now, Memory) + Amount;
  Updated_ = Now;
}

void BackupChoice::crashed(const EngineNeighborhood &Engine, TimePoint Now) {
  auto Memory = Options_.Memory_;
  All_.add(1, Now, Memory);
  ByServer_[Engine.Name_].add(1, Now, Memory);
  ByDataCenter_[Engine.DataCenter_].add(1, Now, Memory);
  ByVersion_[Engine.Version_].add(1, Now, Memory);
  auto Forgotten = [&](const auto &Item) {
    return Item.second.at(Now, Memory) < MinCrashes;
  };
  std::erase_if(ByServer_, Forgotten);
  std::erase_if(ByDataCenter_, Forgotten);
  std::erase_if(ByVersion_, Forgotten);
  std::erase_if(BytesTo_, [&](const auto &Item) {
    return Item.second.at(Now, LinkTime) < 1;
  });
}

bool BackupChoice::anyDanger(TimePoint Now) const {
  return All_.at(Now, Options_.Memory_) >= MinCrashes;
}

double BackupChoice::crashesPerSecond(const EngineNeighborhood &Engine,
                                      std::size_t Engines,
                                      TimePoint Now) const {
  if (!anyDanger(Now) || Engines == 0)
    return 0;
  auto Memory = Options_.Memory_;
  auto Count = [&](const auto &Counts, const auto &Key) {
    auto Found = Counts.find(Key);
    return Found == Counts.end() ? 0.0 : Found->second.at(Now, Memory);
  };
  // A data centre or a version that stands for most crashes counts as their
  // cause.
  double All = All_.at(Now, Memory);
  double Near = std::max(Count(ByDataCenter_, Engine.DataCenter_),
                         Count(ByVersion_, Engine.Version_));
  double OfGroup = SharedCause * Near + (1 - SharedCause) * All;
  double Spread = OfGroup / static_cast<double>(Engines);
  double Own = Count(ByServer_, Engine.Name_);
  return std::max(Own, Spread) / Memory.count();
}

bool BackupChoice::linkAllows(const ServerName &Target, std::int64_t Bytes,
                              double LinkMbps, TimePoint Now) const {
  if (LinkMbps <= 0)
    return true;
  auto Sent = BytesTo_.find(Target);
  double Before = Sent == BytesTo_.end() ? 0 : Sent->second.at(Now, LinkTime);
  double Limit =
      Options_.MaxLinkShare_ * LinkMbps * BytesPerMegabit * LinkTime.count();
  return Before + static_cast<double>(Bytes) <= Limit;
}

ServerName BackupChoice::choose(const BackupNeed &Run,
                                const std::vector<BackupTarget> &Targets,
                                double LinkMbps, TimePoint Now) {
  if (!anyDanger(Now))
    return {};
  std::size_t Engines = Targets.size() + 1;
  double Danger = crashesPerSecond(Run.Engine_, Engines, Now);
  if (Danger * duration<double>(Run.Time_).count() < Options_.MinLoss_)
    return {};
  const BackupTarget *Best = nullptr;
  auto Order = [&](const BackupTarget &Target) {
    // Memory crosses to another data centre at half the speed.
    bool Far = Target.Engine_.DataCenter_ != Run.Engine_.DataCenter_;
    return std::tuple(crashesPerSecond(Target.Engine_, Engines, Now), Far,
                      Target.InFlight_, Target.Engine_.Name_);
  };
  for (const BackupTarget &Target : Targets) {
    // Engines of other versions may not go on with the stream, and a copy at an
    // engine that crashes sooner is of no use.
    if (Target.Engine_.Name_ == Run.Engine_.Name_ ||
        Target.Engine_.Version_ != Run.Engine_.Version_ ||
        crashesPerSecond(Target.Engine_, Engines, Now) > Danger ||
        !linkAllows(Target.Engine_.Name_, Run.Bytes_, LinkMbps, Now))
      continue;
    if (!Best || Order(Target) < Order(*Best))
      Best = &Target;
  }
  if (!Best)
    return {};
  BytesTo_[Best->Engine_.Name_].add(static_cast<double>(Run.Bytes_), Now,
                                    LinkTime);
  return Best->Engine_.Name_;
}

} // namespace samphireshunt
