/// \file
/// Tests how a version on trial is judged: what a keeper counts, and the rates
/// of false alarms and of missed bad versions over many seeds.

#include "Process/Rollout/VersionEvidence.h"

#include <doctest/doctest.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <functional>
#include <random>

using namespace samphireshunt;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

const TierIndex Tier(0);
const TierIndex OtherTier(1);

ServerName canary(std::size_t Index) {
  return ServerName("canary-" + std::to_string(Index));
}

/// Rates of failed answers of both versions.
struct Rates {
  double Base_ = 0.01;
  double Canary_ = 0.01;
  /// The version fails like this from this round on.
  int BadFrom_ = 0;
  /// All failures of the version are on this many of its servers.
  std::size_t BadServers_ = 8;
  /// In which rounds this share of the answers of both versions fails.
  std::function<double(int Round)> Both_ = [](int) { return 0.0; };
};

constexpr std::size_t Servers = 8;
/// A round is a quarter of a second of a service of 600 requests a second, of
/// which 6 % reach the version on trial.
constexpr int BasePerRound = 140;
constexpr int CanariesPerRound = 9;
constexpr int Rounds = 40;

std::uint64_t draw(pcg32 &Random, int Count, double Rate) {
  return static_cast<std::uint64_t>(
      std::binomial_distribution<int>(Count, Rate)(Random));
}

/// \returns the number of bad answers when the version was found to be bad, or
/// nothing.
std::optional<std::uint64_t> badAnswersWhenFound(std::uint64_t Seed,
                                                 const Rates &True) {
  pcg32 Random(Seed);
  VersionEvidence Evidence;
  for (int Round = 0; Round < Rounds; ++Round) {
    OutcomesByServer New;
    double Both = True.Both_(Round);
    New[{ServerName(), Tier}] = {
        BasePerRound, draw(Random, BasePerRound, std::max(True.Base_, Both)),
        0};
    for (int Answer = 0; Answer < CanariesPerRound; ++Answer) {
      std::size_t Server = Random(Servers);
      bool Worse = Round >= True.BadFrom_ && Server < True.BadServers_;
      double Rate = std::max(Worse ? True.Canary_ : True.Base_, Both);
      New[{canary(Server), Tier}] += {1, draw(Random, 1, Rate), 0};
    }
    Evidence.add(New);
    if (Evidence.isBad(Servers))
      return Evidence.badAnswers();
  }
  return std::nullopt;
}

/// \returns the share of seeds with which the version was found to be bad, and
/// the largest number of bad answers until then.
std::pair<double, std::uint64_t> found(const Rates &True) {
  constexpr std::uint64_t Seeds = 2000;
  int Found = 0;
  std::uint64_t Most = 0;
  for (std::uint64_t Seed = 0; Seed < Seeds; ++Seed) {
    auto BadAnswers = badAnswersWhenFound(Seed, True);
    Found += BadAnswers ? 1 : 0;
    Most = std::max(Most, BadAnswers.value_or(0));
  }
  return {Found / static_cast<double>(Seeds), Most};
}

ServedSample answer(milliseconds FirstToken, microseconds BetweenTokens) {
  constexpr std::int64_t Count = 101;
  ServedSample Sample;
  Sample.Reached_ = true;
  Sample.Complete_ = true;
  Sample.Generated_ = Tokens(Count);
  Sample.FirstToken_ = FirstToken;
  Sample.Duration_ = FirstToken + BetweenTokens * (Count - 1);
  return Sample;
}

} // namespace

TEST_CASE("good versions are found bad in less than one in a hundred trials") {
  // Guards against good versions that are taken back by chance, also while a
  // tenth or a third of all answers fail on any version.
  CHECK(found({0.01, 0.01}).first < 0.01);
  CHECK(found({0.1, 0.1}).first < 0.01);
  CHECK(found({0.33, 0.33}).first < 0.01);
}

TEST_CASE("a moment in which all versions are bad is not the version's fault") {
  // Guards against a daemon or a link that stalls, whose requests are late at
  // any server, and against a good version that is taken back for it.
  for (int Length : {4, 8})
    for (double Bad : {0.5, 1.0}) {
      Rates Stall;
      Stall.Both_ = [=](int Round) {
        return Round >= 20 && Round < 20 + Length ? Bad : 0.0;
      };
      CAPTURE(Length);
      CAPTURE(Bad);
      CHECK(found(Stall).first < 0.01);
    }
}

TEST_CASE("a single bad server is not the version's fault") {
  Rates OneServer{0.01, 0.6, 0, 1};
  CHECK(found(OneServer).first < 0.01);
}

TEST_CASE("bad versions are found before the 50th bad answer") {
  // Guards against tests that need more bad answers than the operator allows,
  // also for a version that turns bad after good answers.
  for (double Rate : {0.25, 0.4, 0.8}) {
    for (int BadFrom : {0, 20}) {
      auto [Share, Most] = found({0.01, Rate, BadFrom});
      CHECK(Share > 0.99);
      CHECK(Most < 50);
    }
  }
}

TEST_CASE("a version that is bad in one tier only is found") {
  // Guards against bad answers that disappear among the good ones of other
  // routes.
  VersionEvidence Evidence;
  OutcomesByServer New;
  New[{ServerName(), Tier}] = {500, 5, 0};
  New[{ServerName(), OtherTier}] = {500, 5, 0};
  for (std::size_t Server = 0; Server < Servers; ++Server) {
    New[{canary(Server), Tier}] = {40, 0, 0};
    New[{canary(Server), OtherTier}] = {4, 2, 0};
  }
  Evidence.add(New);
  CHECK(Evidence.isBad(Servers));
}

TEST_CASE("answers are slow by the times of the versions in service") {
  // Guards against prompts of different lengths, and engines of different
  // speeds, that count as differences between versions.
  CanaryLedger Ledger;
  for (int Index = 0; Index < 100; ++Index) {
    int Factor = Index % 3 == 0 ? 3 : 1; // A third of the engines is slow.
    Ledger.ended(
        {}, Tier,
        answer(milliseconds(100 * Factor), microseconds(5000 * Factor)));
  }
  auto SlowOf = [&](const ServedSample &Sample) {
    Ledger.ended(canary(0), Tier, Sample);
    return Ledger.outcomes().at({canary(0), Tier}).Slow_;
  };
  CHECK(SlowOf(answer(milliseconds(300), microseconds(15000))) == 0);
  CHECK(SlowOf(answer(milliseconds(300), microseconds(40000))) == 1);
  CHECK(SlowOf(answer(milliseconds(900), microseconds(15000))) == 2);
}

TEST_CASE("what no version answered is not counted") {
  // Guards against crashes, lost connections and callers that leave as evidence
  // against a version.
  CanaryLedger Ledger;
  ServedSample Sample;
  Sample.Faulty_ = true;
  Ledger.ended(canary(0), Tier, Sample);
  Sample.Reached_ = true;
  Sample.Crashed_ = true;
  Ledger.ended(canary(0), Tier, Sample);
  Sample.Crashed_ = false;
  Sample.Faulty_ = false;
  Ledger.ended(canary(0), Tier, Sample);
  CHECK(Ledger.outcomes().empty());
  Sample.Faulty_ = true;
  Ledger.ended(canary(0), Tier, Sample);
  CHECK(Ledger.outcomes().at({canary(0), Tier}) == OutcomeCounts{1, 1, 0});
}

TEST_CASE("a keeper grants to canaries only within its lease") {
  // Guards against keepers that go on exposing requests when the owner of the
  // roll-out is gone.
  TimePoint Now(std::chrono::hours(1));
  CanaryLedger Ledger;
  CHECK(Ledger.grantsLeft(Now) == 0);
  Ledger.lease(2, Now + milliseconds(100));
  CHECK(Ledger.grantsLeft(Now) == 2);
  Ledger.granted(true);
  Ledger.granted(false);
  CHECK(Ledger.grantsLeft(Now) == 1);
  CHECK(Ledger.grantsLeft(Now + milliseconds(100)) == 0);
  Ledger.granted(true);
  CHECK(Ledger.grantsLeft(Now) == 0);
  CHECK(Ledger.grants() == 3);
  CHECK(Ledger.exposed() == 2);
}

TEST_CASE("quantiles of times are exact to a fifth") {
  TimeHistogram Times;
  for (int Millis = 1; Millis <= 1000; ++Millis)
    Times.add(milliseconds(Millis));
  auto Quantile = Times.quantile(0.95);
  CHECK(Quantile >= milliseconds(950));
  CHECK(Quantile <= milliseconds(1140));
}
