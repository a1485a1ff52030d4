#include "Process/ServerModel.h"

#include <algorithm>
#include <cmath>

namespace samphireshunt {

namespace {

using std::chrono::nanoseconds;

/// Weight of a new sample in the running averages.
constexpr double NewSampleWeight = 0.2;

double blend(double Old, double Sample) {
  return Old == 0 ? Sample : Old + NewSampleWeight * (Sample - Old);
}

nanoseconds blend(nanoseconds Old, nanoseconds Sample) {
  return nanoseconds(static_cast<std::int64_t>(blend(
      static_cast<double>(Old.count()), static_cast<double>(Sample.count()))));
}

} // namespace

void ServerModel::configure(const ServerCapacity &Capacity) {
  if (Capacity.MaxInFlight_ != Capacity_.MaxInFlight_)
    Limit_ = Capacity.MaxInFlight_;
  Capacity_ = Capacity;
}

void ServerModel::adaptLimit(const LoadReport &Seen) {
  // The report lags: what it counts as waiting may have been granted before
  // the limit came down, so one place more than the running ones is left.
  if (Seen.Waiting_ > 1)
    Limit_ = std::min(Limit_, std::max(1U, Seen.Running_ + 1));
  else if (Seen.Waiting_ == 0 && InFlight_ >= Limit_)
    Limit_ = std::min(Limit_ + 1, Capacity_.MaxInFlight_);
}

bool ServerModel::hasRoom(double Share) const {
  // A keeper that speaks for a part of the fleet uses that part of the limit,
  // but at least one place: keepers on both sides of a partition may then
  // together exceed the limit by one each at the most.
  double Limit = std::floor(Limit_ * Share);
  return usable() && InFlight_ < std::max(1.0, Limit);
}

void ServerModel::start(const RequestId &Id, Tokens Prompt,
                        std::span<const std::uint64_t> Prefix) {
  ++InFlight_;
  Tokens Work = uncached(Prompt, Prefix);
  PendingPrefill_ += Work;
  Prefilling_[Id] = Work;
  Prefixes_.insert(Prefix);
}

void ServerModel::firstToken(const RequestId &Id,
                             const FirstTokenSample &Seen) {
  auto Found = Prefilling_.find(Id);
  if (Found == Prefilling_.end())
    return;
  // The delay covers all prompt work that was pending; what the others had
  // left is in it too, so this errs towards slow.
  if (Found->second.count() > 0) {
    double PerToken =
        static_cast<double>(nanoseconds(Seen.Delay_).count()) /
        static_cast<double>(std::max<std::int64_t>(PendingPrefill_.count(), 1));
    PrefillNanosPerToken_ = blend(PrefillNanosPerToken_, PerToken);
  }
  PendingPrefill_ -= Found->second;
  Prefilling_.erase(Found);
}

void ServerModel::end(const RequestId &Id) {
  if (InFlight_ > 0)
    --InFlight_;
  auto Found = Prefilling_.find(Id);
  if (Found == Prefilling_.end())
    return;
  PendingPrefill_ -= Found->second;
  Prefilling_.erase(Found);
}

void ServerModel::learn(const ServedSample &Seen) {
  if (!Seen.Complete_)
    return;
  Duration_ = blend(Duration_, nanoseconds(Seen.Duration_));
  if (Seen.Generated_.count() > 1) {
    auto Streaming = nanoseconds(Seen.Duration_ - Seen.FirstToken_);
    BetweenTokens_ =
        blend(BetweenTokens_, Streaming / (Seen.Generated_.count() - 1));
  }
}

Tokens ServerModel::uncached(Tokens Prompt,
                             std::span<const std::uint64_t> Prefix) const {
  auto Blocks = static_cast<std::int64_t>(Prefixes_.cachedBlocks(Prefix));
  return Tokens(
      std::max<std::int64_t>(0, Prompt.count() - Blocks * BlockTokens));
}

nanoseconds
ServerModel::expectedFirstToken(Tokens Prompt,
                                std::span<const std::uint64_t> Prefix) const {
  Tokens Work = PendingPrefill_ + uncached(Prompt, Prefix);
  // Before anything was seen an engine is taken for a quick one: it is tried,
  // and the first answers tell.
  constexpr double AssumedNanosPerToken = 10000;
  double PerToken =
      PrefillNanosPerToken_ > 0 ? PrefillNanosPerToken_ : AssumedNanosPerToken;
  double Nanos = static_cast<double>(Work.count()) * PerToken;
  return nanoseconds(static_cast<std::int64_t>(Nanos)) + BetweenTokens_;
}

nanoseconds
ServerModel::idleService(Tokens Prompt, Tokens Answer,
                         std::span<const std::uint64_t> Prefix) const {
  if (BetweenTokens_.count() == 0 || PrefillNanosPerToken_ == 0)
    return nanoseconds(0);
  double Work = static_cast<double>(uncached(Prompt, Prefix).count());
  nanoseconds Prefill(static_cast<std::int64_t>(Work * PrefillNanosPerToken_));
  return Prefill + BetweenTokens_ * Answer.count();
}

} // namespace samphireshunt
