#pragma once
/// \file
/// Whether the version on trial is worse than the versions in service: a
/// sequential test of the difference between them. Pure.
///
/// A version may be bad from the start or later, on one route only, by failures
/// or by slowness. So each tier and each kind of bad answer has a cumulative
/// sum (CUSUM) of the log-likelihood ratio between "as bad as the versions in
/// service are at the same time" and "clearly worse"; good answers of the past
/// don't make up for bad ones of the present. Overload, lost links and crashes
/// affect both versions alike and so cancel out; a single bad server is not the
/// version's fault.

#include "Process/Rollout/CanaryLedger.h"

#include <map>

namespace samphireshunt {

class VersionEvidence {
public:
  /// How clearly a version must be worse.
  struct Bounds {
    /// Natural logarithm of the likelihood ratio. On average, at least e to the
    /// power of this many good answers pass between two false alarms.
    double Threshold_ = 9;
    /// The smallest difference of the rates of bad answers to be detected.
    double MinDifference_ = 0.15;
  };

  VersionEvidence() = default;
  explicit VersionEvidence(Bounds Wanted) : Bounds_(Wanted) {}

  /// Adds outcomes since the last call: of the versions in service under an
  /// empty name, and of each server on trial.
  void add(const OutcomesByServer &New);

  /// True once the version on trial has proved worse. \p Servers is the number
  /// of its servers.
  bool isBad(std::size_t Servers) const;
  /// True while worse answers than expected are unexplained.
  bool isSuspect() const;
  /// Requests answered by the version on trial.
  std::uint64_t runs() const { return Runs_; }
  /// Failed and slow answers of the version on trial.
  std::uint64_t badAnswers() const { return BadAnswers_; }
  /// The largest cumulative sum.
  double strongest() const;

private:
  enum class Kind { Failed, Slow };
  /// Decaying counts of the answers of the versions in service.
  struct BaseRate {
    double Runs_ = 0;
    double Bad_ = 0;

    /// Adds answers. Those before them keep their weight for about \p Memory
    /// answers.
    void add(double Runs, double Bad, double Memory);
    double rate() const;
  };
  struct Series {
    BaseRate Usual_;
    /// While the versions in service are worse than usual, for whatever cause,
    /// the version on trial may be so too.
    BaseRate Now_;
    double Sum_ = 0;
    /// What each server has added to the sum since it was last 0.
    std::map<ServerName, double> Added_;

    /// \returns the sum without the \p Count servers that added most.
    double sumWithoutWorst(std::size_t Count) const;
  };

  void addCanary(Series &Target, const ServerName &Server, double Runs,
                 double Bad) const;

  Bounds Bounds_;
  std::map<std::pair<TierIndex, Kind>, Series> Series_;
  std::uint64_t Runs_ = 0;
  std::uint64_t BadAnswers_ = 0;
};

} // namespace samphireshunt
