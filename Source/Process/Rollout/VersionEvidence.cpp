#include "Process/Rollout/VersionEvidence.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <numeric>
#include <vector>

namespace samphireshunt {

namespace {

/// Numbers of answers after which an earlier one has lost most of its weight.
constexpr double UsualMemory = 600;
constexpr double NowMemory = 60;
/// Bad answers of a prior, and all of them, that count before any are known.
constexpr double PriorBad = 0.2;
constexpr double PriorRuns = 10;
/// Rates of bad answers are limited to this range.
constexpr double MinRate = 0.02;
constexpr double MaxRate = 0.95;
/// A sum above this is suspect.
constexpr double SuspectSum = 3;

} // namespace

void VersionEvidence::add(const OutcomesByServer &New) {
  for (const auto &[Key, Counts] : New) {
    if (!Key.first.empty())
      continue;
    auto Runs = static_cast<double>(Counts.Runs_);
    for (auto [Of, Bad] : {std::pair(Kind::Failed, Counts.Failed_),
                           std::pair(Kind::Slow, Counts.Slow_)}) {
      Series &Target = Series_[{Key.second, Of}];
      Target.Usual_.add(Runs, static_cast<double>(Bad), UsualMemory);
      Target.Now_.add(Runs, static_cast<double>(Bad), NowMemory);
    }
  }
  for (const auto &[Key, Counts] : New) {
    if (Key.first.empty() || Counts.Runs_ == 0)
      continue;
    auto Runs = static_cast<double>(Counts.Runs_);
    addCanary(Series_[{Key.second, Kind::Failed}], Key.first, Runs,
              static_cast<double>(Counts.Failed_));
    addCanary(Series_[{Key.second, Kind::Slow}], Key.first, Runs,
              static_cast<double>(Counts.Slow_));
    Runs_ += Counts.Runs_;
    BadAnswers_ += Counts.Failed_ + Counts.Slow_;
  }
}

void VersionEvidence::BaseRate::add(double Runs, double Bad, double Memory) {
  double Kept = std::exp(-Runs / Memory);
  Runs_ = Runs_ * Kept + Runs;
  Bad_ = Bad_ * Kept + Bad;
}

double VersionEvidence::BaseRate::rate() const {
  return (Bad_ + PriorBad) / (Runs_ + PriorRuns);
}

void VersionEvidence::addCanary(Series &Target, const ServerName &Server,
                                double Runs, double Bad) const {
  double Usual = std::clamp(std::max(Target.Usual_.rate(), Target.Now_.rate()),
                            MinRate, MaxRate);
  double Worse =
      std::min(MaxRate, Usual + std::max(Bounds_.MinDifference_, Usual));
  double Change = Bad * std::log(Worse / Usual) +
                  (Runs - Bad) * std::log((1 - Worse) / (1 - Usual));
  Target.Sum_ = std::max(0.0, Target.Sum_ + Change);
  if (Target.Sum_ == 0)
    Target.Added_.clear();
  else
    Target.Added_[Server] += Change;
}

double VersionEvidence::Series::sumWithoutWorst(std::size_t Count) const {
  std::vector<double> Largest;
  std::ranges::transform(Added_, std::back_inserter(Largest),
                         [](const auto &Item) { return Item.second; });
  std::ranges::sort(Largest, std::greater());
  Largest.resize(std::min(Count, Largest.size()));
  return Sum_ - std::accumulate(Largest.begin(), Largest.end(), 0.0);
}

/// A few bad servers among many are no sign of a bad version.
bool VersionEvidence::isBad(std::size_t Servers) const {
  constexpr std::size_t FewServers = 2;
  constexpr std::size_t ServersPerBad = 10;
  std::size_t Ignored = Servers <= FewServers
                            ? 0
                            : std::max<std::size_t>(1, Servers / ServersPerBad);
  return std::ranges::any_of(Series_, [&](const auto &Item) {
    return Item.second.sumWithoutWorst(Ignored) >= Bounds_.Threshold_;
  });
}

double VersionEvidence::strongest() const {
  double Largest = 0;
  for (const auto &[Key, Known] : Series_)
    Largest = std::max(Largest, Known.Sum_);
  return Largest;
}

bool VersionEvidence::isSuspect() const { return strongest() >= SuspectSum; }

} // namespace samphireshunt
