#include "Process/Relay/RelayChoice.h"

#include "Common/Hash.h"

#include <algorithm>
#include <tuple>

namespace samphireshunt {

using std::chrono::milliseconds;

namespace {

/// How long a daemon is not asked again. Paths come back within seconds, and
/// each attempt costs a request a round trip at most.
constexpr milliseconds NoPathTime{1000};
/// The same after an attempt without an answer, which costs a request more.
constexpr milliseconds NoAnswerTime{2000};
/// The same for a daemon that relays as much as it may.
constexpr milliseconds BusyTime{200};
/// So many near daemons without a path mean that the data centre has none.
constexpr int MaxNearFailures = 2;

milliseconds avoidTime(RelayResult Result) {
  switch (Result) {
  case RelayResult::NoPath:
  case RelayResult::Stopping:
    return NoPathTime;
  case RelayResult::NoAnswer:
    return NoAnswerTime;
  case RelayResult::Busy:
    return BusyTime;
  default:
    // The answer is about the server.
    return milliseconds(0);
  }
}

} // namespace

bool RelayChoice::anyWithoutPath(std::span<const RelayCandidate> Candidates,
                                 TimePoint Now) const {
  return std::ranges::any_of(Candidates, [&](const RelayCandidate &Known) {
    auto Found = Avoided_.find(Known.Id_);
    return Found != Avoided_.end() && Found->second.Until_ > Now &&
           Found->second.Result_ == RelayResult::NoPath;
  });
}

const RelayCandidate *
RelayChoice::next(std::span<const RelayCandidate> Candidates,
                  const std::vector<VmId> &Asked, std::uint64_t Key,
                  TimePoint Now) {
  bool PrefersFar = Now < NearAvoidedUntil_ || !Asked.empty();
  const RelayCandidate *Best = nullptr;
  auto Rank = [&](const RelayCandidate &Candidate) {
    return std::tuple(Candidate.Near_ != PrefersFar,
                      stableHash(Candidate.Id_.str(), Key));
  };
  std::erase_if(Avoided_,
                [Now](const auto &Item) { return Item.second.Until_ <= Now; });
  for (const RelayCandidate &Candidate : Candidates) {
    if (std::ranges::count(Asked, Candidate.Id_) > 0 ||
        Avoided_.contains(Candidate.Id_))
      continue;
    if (!Best || Rank(Candidate) > Rank(*Best))
      Best = &Candidate;
  }
  return Best;
}

void RelayChoice::answered(const RelayCandidate &Candidate, RelayResult Result,
                           TimePoint Now) {
  if (auto Time = avoidTime(Result); Time.count() > 0)
    Avoided_[Candidate.Id_] = {Result, Now + Time};
  if (!Candidate.Near_)
    return;
  if (Result == RelayResult::Connected) {
    NearFailures_ = 0;
    NearAvoidedUntil_ = TimePoint();
  } else if (Result != RelayResult::UnknownServer &&
             ++NearFailures_ >= MaxNearFailures) {
    NearAvoidedUntil_ = Now + NoPathTime;
  }
}

} // namespace samphireshunt
