#pragma once
/// \file
/// What one keeper counts during a roll-out, and how many requests it may still
/// grant to the version on trial. Pure: the time is an argument.
///
/// Engines differ threefold in speed, and prompts a hundredfold in length. A
/// request therefore counts as slow if it takes clearly longer than nearly all
/// requests of its tier did on the versions in service, by the time between
/// tokens where there are any. The same limit is applied to both versions, and
/// only the difference between them counts.

#include "Common/Ids.h"
#include "Common/TimePoint.h"
#include "Process/Scheduling/ServerModel.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace samphireshunt {

/// Outcomes of requests that reached a server.
struct OutcomeCounts {
  std::uint64_t Runs_ = 0;
  std::uint64_t Failed_ = 0;
  std::uint64_t Slow_ = 0;
  OutcomeCounts &operator+=(const OutcomeCounts &Other);
  OutcomeCounts operator-(const OutcomeCounts &Other) const;
  bool operator==(const OutcomeCounts &) const = default;
};

/// Outcomes by server and tier. The servers of the versions in service are
/// counted together, under an empty name.
using OutcomesByServer =
    std::map<std::pair<ServerName, TierIndex>, OutcomeCounts>;

/// Times on a logarithmic scale, of which high quantiles are asked.
class TimeHistogram {
public:
  using Micros = std::chrono::microseconds;

  void add(Micros Time);
  std::uint64_t count() const { return Count_; }
  /// \returns an upper bound of the quantile, at most a fifth too high.
  Micros quantile(double Fraction) const;

private:
  static constexpr std::size_t BucketsPerDoubling = 4;
  static constexpr std::size_t BucketCount = 32 * BucketsPerDoubling;

  std::array<std::uint32_t, BucketCount> Buckets_{};
  std::uint64_t Count_ = 0;
};

class CanaryLedger {
public:
  /// Counts a grant.
  void granted(bool ToCanary);
  /// Counts the outcome of a request on a server of the version on trial or,
  /// with an empty name, of the versions in service.
  void ended(const ServerName &Canary, TierIndex Tier,
             const ServedSample &Sample);
  /// Allows grants to the version on trial up to \p Allowed in total, until
  /// \p Until.
  void lease(std::uint64_t Allowed, TimePoint Until);
  std::uint32_t grantsLeft(TimePoint Now) const;

  std::uint64_t grants() const { return Granted_; }
  std::uint64_t exposed() const { return Exposed_; }
  const OutcomesByServer &outcomes() const { return Outcomes_; }

private:
  /// How long requests of a tier took on the versions in service.
  struct UsualTimes {
    TimeHistogram FirstToken_;
    TimeHistogram BetweenTokens_;
    TimeHistogram Whole_;
  };
  static bool isSlow(const UsualTimes &Usual, const ServedSample &Sample);
  static void learn(UsualTimes &Usual, const ServedSample &Sample);

  std::uint64_t Granted_ = 0;
  std::uint64_t Exposed_ = 0;
  std::uint64_t Allowed_ = 0;
  TimePoint LeaseEnd_;
  OutcomesByServer Outcomes_;
  std::map<TierIndex, UsualTimes> Usual_;
};

} // namespace samphireshunt
