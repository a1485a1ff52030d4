/// \file
/// Tests of placement on engines of different speed. Loads are replayed through
/// the scheduler and fake engines.

#include "UnitTests/Process/Scheduling/FakeEngine.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <numbers>
#include <span>
#include <vector>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};
constexpr std::uint32_t Slots = 7;
constexpr std::int64_t TokensPerEvent = FakeEngine::TokensPerEvent;
constexpr std::int64_t MaxTokens = 2800;
/// One answer in ten of LongAnswer is at least this long.
constexpr std::int64_t LongTokens = 530;
const FakeEngine::Speed FastSpeed{64, 2.8};
const FakeEngine::Speed SlowSpeed{22.6, 8};

/// The size and outcome of a request that has ended.
struct Sized {
  std::int64_t Size_ = 0;
  bool Answered_ = false;
};

/// A kind of request in a replayed load.
struct Kind {
  std::uint32_t Tier_;
  double PerSecond_;
  double MedianPrompt_;
  double PromptSpread_; ///< Standard deviation of the logarithm.
  double MedianTokens_;
  double TokensSpread_;
  milliseconds Objective_;
  /// Between events of an answer that meets its objective.
  milliseconds MaxPause_{0};
};

struct Served {
  int Asked_ = 0;
  int InTime_ = 0;
  int ObjectiveMissed_ = 0;
  int Refused_ = 0;
  int LongAsked_ = 0; ///< Requests with answers of at least LongTokens.
  int LongServed_ = 0;
};

Scheduler::Options byObjective() {
  Scheduler::Options Options;
  Options.TierCount_ = 3;
  Options.GuaranteedShare_ = 0.15;
  Options.RefuseLongWaits_ = true;
  Options.Preempt_ = false;
  return Options;
}

class Replay {
public:
  /// The first \p Fast engines are three times as fast as the other ones.
  Replay(Scheduler::Options Options, int Fast, int Slow, std::uint64_t Seed)
      : Scheduler_(Options), Random_(Seed) {
    std::vector<ServerCapacity> Servers;
    for (int Index = 0; Index < Fast + Slow; ++Index) {
      ServerName Name(fmt::format("engine-{:02}", Index));
      Engines_.emplace(Name,
                       FakeEngine(Index < Fast ? FastSpeed : SlowSpeed, Slots));
      Servers.push_back({Name, Slots + 1, true, Tokens(0), 1});
    }
    Scheduler_.configure(std::move(Servers), {}, Options.TierCount_, 10000);
    Scheduler_.setTokensPerEvent(TokensPerEvent);
  }

  void run(milliseconds Length, const std::vector<Kind> &Kinds) {
    auto End = Now_ + Length;
    for (; Now_ < End; Now_ += milliseconds(1)) {
      for (auto &[Name, Engine] : Engines_)
        for (const FakeEngine::Event &Event : Engine.step(Now_))
          onEvent(Event);
      for (const Kind &Each : Kinds)
        if (uniform() < Each.PerSecond_ / 1000)
          submit(Each);
      apply(Scheduler_.decide(Now_));
    }
  }
  /// Resets the counts.
  void resetCounts() {
    Served_.clear();
    CountFrom_ = Now_;
  }
  const Served &served(std::uint32_t Tier) { return Served_[Tier]; }
  /// \returns the requests of a tier that have ended, smallest first. The size
  /// is the number of tokens read plus ten times the number generated.
  std::vector<Sized> sizes(std::uint32_t Tier) const {
    std::vector<Sized> Found;
    for (const auto &[Id, Sent] : Sent_)
      if (Sent.Kind_.Tier_ == Tier && Sent.At_ >= CountFrom_ && Sent.Ended_)
        Found.push_back(
            {Sent.Prompt_.count() + 10 * Sent.Tokens_.count(), Sent.Answered_});
    std::ranges::sort(Found, {}, &Sized::Size_);
    return Found;
  }

private:
  double uniform() { return Random_() / 4294967296.0; }

  void submit(const Kind &Each) {
    GrantRequest Request;
    Request.Id_ = {1, ++Sequence_};
    Request.Tier_ = TierIndex(Each.Tier_);
    Request.Customer_ = CustomerName("c");
    Request.Deadline_ = Now_ + milliseconds(15000);
    Request.Objective_ = Now_ + Each.Objective_;
    Request.MaxPause_ = Each.MaxPause_;
    Request.MaxWait_ = Each.Objective_;
    Request.Prompt_ =
        Tokens(sampleLogNormal(Each.MedianPrompt_, Each.PromptSpread_));
    Request.Answer_ = Tokens(MaxTokens);
    auto Events = sampleLogNormal(Each.MedianTokens_, Each.TokensSpread_) /
                      TokensPerEvent +
                  1;
    Tokens Length(std::min(Events * TokensPerEvent, MaxTokens));
    // Callers' estimates are right in the median.
    Request.EstimatedAnswer_ =
        Tokens(sampleLogNormal(static_cast<double>(Length.count()), 0.5));
    Sent_[Request.Id_] = {Each, Now_, Request.Prompt_, Length};
    ++Served_[Each.Tier_].Asked_;
    Served_[Each.Tier_].LongAsked_ += Length.count() >= LongTokens ? 1 : 0;
    apply(Scheduler_.requestGrant(std::move(Request), Now_));
  }
  std::int64_t sampleLogNormal(double Median, double Spread) {
    double Normal = std::sqrt(-2 * std::log(uniform() + 1e-9)) *
                    std::cos(2 * std::numbers::pi * uniform());
    return static_cast<std::int64_t>(Median * std::exp(Spread * Normal)) + 1;
  }

  void apply(const std::vector<Decision> &Decisions) {
    for (const Decision &Each : Decisions)
      if (const auto *Grant = std::get_if<GrantDecision>(&Each)) {
        const SentRequest &Sent = Sent_.at(Grant->Id_);
        Engines_.at(Grant->Server_)
            .enqueue({Grant->Id_, static_cast<double>(Sent.Prompt_.count()),
                      static_cast<double>(Sent.Tokens_.count()), Now_});
      } else if (const auto *Refusal = std::get_if<RefuseDecision>(&Each)) {
        SentRequest &Sent = Sent_.at(Refusal->Id_);
        Sent.Ended_ = true;
        ++Served_[Sent.Kind_.Tier_].Refused_;
      }
  }

  void onEvent(const FakeEngine::Event &Event) {
    SentRequest &Sent = Sent_.at(Event.Id_);
    if (Event.Kind_ == FakeEngine::Event::Kind::FirstToken) {
      Scheduler_.firstToken(
          Event.Id_, {duration_cast<microseconds>(Now_ - Event.Sent_)}, Now_);
      return;
    }
    Sent.Ended_ = Sent.Answered_ = true;
    ServedSample Sample;
    Sample.Reached_ = true;
    Sample.Complete_ = true;
    Sample.Generated_ = Sent.Tokens_;
    Sample.FirstEventTokens_ = Tokens(TokensPerEvent);
    Sample.FirstToken_ =
        duration_cast<microseconds>(Event.FirstToken_ - Event.Sent_);
    Sample.Duration_ = duration_cast<microseconds>(Now_ - Event.Sent_);
    Scheduler_.done(Event.Id_, Sample, Now_);
    bool Paused = Sent.Kind_.MaxPause_.count() > 0 &&
                  Event.LongestPause_ > Sent.Kind_.MaxPause_;
    bool InTime =
        !Paused && Event.FirstToken_ <= Sent.At_ + Sent.Kind_.Objective_;
    Served &Count = Served_[Sent.Kind_.Tier_];
    ++(InTime ? Count.InTime_ : Count.ObjectiveMissed_);
    Count.LongServed_ += Sent.Tokens_.count() >= LongTokens ? 1 : 0;
  }

  struct SentRequest {
    Kind Kind_;
    TimePoint At_;
    Tokens Prompt_;
    Tokens Tokens_;
    bool Ended_ = false;
    bool Answered_ = false;
  };

  Scheduler Scheduler_;
  std::map<ServerName, FakeEngine> Engines_;
  pcg32 Random_;
  TimePoint Now_ = Start;
  TimePoint CountFrom_ = Start;
  std::uint64_t Sequence_ = 0;
  std::map<RequestId, SentRequest> Sent_;
  std::map<std::uint32_t, Served> Served_;
};

/// Long prompts with short answers, and short prompts whose answer lengths
/// differ a thousandfold, as in observed traffic.
const Kind LongPrompt{0, 45, 1750, 1, 15, 1.8, milliseconds(800)};
const Kind MediumPrompt{1, 60, 800, 1.1, 8, 1.6, milliseconds(600)};
const Kind LongAnswer{2, 65, 380, 0.8, 60, 1.7, milliseconds(500)};
/// The same with the widest spread in observed traffic.
const Kind WidestAnswer{2, 110, 380, 0.8, 60, 2.2, milliseconds(500)};

/// \returns the fraction of answered requests between two quantiles of the
/// size.
double answeredFraction(const std::vector<Sized> &All, double From, double To) {
  auto Count = static_cast<double>(All.size());
  auto First = static_cast<std::size_t>(From * Count);
  auto Last = static_cast<std::size_t>(To * Count);
  auto Range = std::span(All).subspan(First, Last - First);
  auto Answered = std::ranges::count(Range, true, &Sized::Answered_);
  return static_cast<double>(Answered) / static_cast<double>(Last - First);
}

} // namespace

TEST_CASE(
    "engines of different speed at their limit: nearly all served requests "
    "meet their objective") {
  // Three kinds of requests, together a fifth more than 4 fast and 8 slow
  // engines can serve, arrive for 20 s. Guards against missed objectives on
  // slow engines while fast ones are occupied by long answers of the lowest
  // tier. They come about when the time for a prompt is modeled as a single
  // time per token, answers of one event count as 0 ms per token, a slot in the
  // queue of a full engine counts as a free one, or long answers go where they
  // end first, to the fast engines.
  const std::vector<Kind> Kinds{LongPrompt, MediumPrompt, LongAnswer};
  int ObjectiveMissed = 0;
  int HighTierInTime = 0;
  int LowTierInTime = 0;
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    Replay Load(byObjective(), 4, 8, Seed);
    Load.run(milliseconds(5000), Kinds);
    Load.resetCounts();
    Load.run(milliseconds(20000), Kinds);
    for (std::uint32_t Tier = 0; Tier < 3; ++Tier)
      ObjectiveMissed += Load.served(Tier).ObjectiveMissed_;
    HighTierInTime += Load.served(0).InTime_;
    LowTierInTime += Load.served(2).InTime_;
  }
  // Measured: 541 missed their objective; 9121 and 4364 met it. Before these
  // rules: 1035, 9033 and 3752.
  CHECK(ObjectiveMissed < 700);
  CHECK(HighTierInTime > 9060);
  CHECK(LowTierInTime > 4100);
}

TEST_CASE("an engine with much to read gets no further prompt") {
  // A burst of long prompts arrives for one slow engine. If all were sent there
  // at once, they would wait in order of arrival and delay the events of all
  // requests that run there for longer than callers accept.
  Scheduler Target(byObjective());
  Target.configure({{ServerName("engine"), Slots, true}}, {}, 3, 100);
  for (std::uint64_t Number = 1; Number <= 5; ++Number) {
    GrantRequest Request;
    Request.Id_ = {1, Number};
    Request.Customer_ = CustomerName("c");
    Request.Deadline_ = Start + milliseconds(6000);
    Request.Objective_ = Start + milliseconds(800);
    Request.Prompt_ = Tokens(10000);
    Target.requestGrant(Request, Start);
  }
  // An engine of unknown speed is assumed to read 100 tokens in a millisecond.
  CHECK(Target.decide(Start).size() == 2);
  CHECK(Target.waiting() == 3);
}

TEST_CASE(
    "a long prompt goes where the pauses of running streams stay allowed") {
  // Slow engines stream answers to short prompts when prompts of some thousand
  // tokens arrive, which they read just fast enough. Guards against considering
  // only the first event of the prompt's own answer: even under low load, one
  // answer in ten then had a longer pause than its caller accepts, nearly all
  // of them on slow engines.
  constexpr milliseconds Pause{250};
  const std::vector<Kind> Kinds{
      {0, 14, 4000, 0.7, 60, 0.8, milliseconds(600), Pause},
      {1, 22, 400, 0.8, 120, 0.8, milliseconds(400), Pause}};
  auto InTime = [&](bool LimitPauses) {
    int Sum = 0;
    for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
      auto Options = byObjective();
      Options.LimitPauses_ = LimitPauses;
      Replay Load(Options, 4, 8, Seed);
      Load.run(milliseconds(5000), Kinds);
      Load.resetCounts();
      Load.run(milliseconds(20000), Kinds);
      for (std::uint32_t Tier = 0; Tier < 2; ++Tier)
        Sum += Load.served(Tier).InTime_;
    }
    return Sum;
  };
  int With = InTime(true);
  int Without = InTime(false);
  CAPTURE(With);
  CAPTURE(Without);
  CHECK(With > 1.05 * Without);
}

TEST_CASE("a queue of which nothing can be granted costs a keeper little") {
  // Guards against checking each engine for the first requests of each customer
  // in every round of decisions. When engines have slots but can't read the
  // prompts of thousands of waiting requests yet, every message starts such a
  // round. The keeper was then busy, and callers left without an answer, for
  // half a minute after a burst.
  //
  // 48 engines stream and have as much to read as they may; 16 customers have
  // 100 waiting prompts each.
  constexpr int Engines = 48;
  constexpr int Customers = 16;
  constexpr int Rounds = 20;
  Scheduler Target(byObjective());
  std::vector<ServerCapacity> Servers;
  for (int Index = 0; Index < Engines; ++Index)
    Servers.push_back({ServerName(fmt::format("e{}", Index)), Slots, true});
  Target.configure(std::move(Servers), {}, 3, 100000);
  std::uint64_t Number = 0;
  auto Submit = [&](int Customer, std::int64_t Prompt) {
    GrantRequest Request;
    Request.Id_ = {1, ++Number};
    Request.Customer_ = CustomerName(fmt::format("c{}", Customer));
    Request.Deadline_ = Start + std::chrono::hours(1);
    Request.Objective_ = Start + std::chrono::minutes(1);
    Request.MaxPause_ = milliseconds(250);
    Request.Prompt_ = Tokens(Prompt);
    Target.requestGrant(Request, Start);
  };
  for (int Engine = 0; Engine < Engines; ++Engine)
    Submit(0, 11000);
  REQUIRE(Target.decide(Start).size() == Engines);
  for (int Count = 0; Count < 100 * Customers; ++Count)
    Submit(Count % Customers, 20000 + 10 * Count);
  REQUIRE(Target.decide(Start).empty());
  auto ChecksBefore = Target.engineChecks();
  for (int Round = 0; Round < Rounds; ++Round)
    CHECK(Target.decide(Start).empty());
  auto Each = (Target.engineChecks() - ChecksBefore) / Rounds;
  // Without the cached result, 8 requests of each customer in two passes would
  // need 12,288 checks.
  CHECK(Each <= 2 * Engines);
}

TEST_CASE(
    "under overload the longest answers are served half as often as all") {
  // Guards against counting all long answers together, so that those served are
  // the shorter ones. Under twice the load that the engines can serve, with
  // answer lengths that differ a thousandfold, one in five of the longest tenth
  // was then served, and three in four of all.
  Kind Flood = LongAnswer;
  Flood.Tier_ = 0;
  Flood.PerSecond_ = 130;
  int Asked = 0;
  int Answered = 0;
  int LongAsked = 0;
  int LongAnswered = 0;
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    Replay Load(byObjective(), 2, 4, Seed);
    Load.run(milliseconds(5000), {Flood});
    Load.resetCounts();
    Load.run(milliseconds(20000), {Flood});
    const Served &Count = Load.served(0);
    Asked += Count.Asked_;
    Answered += Count.InTime_ + Count.ObjectiveMissed_;
    LongAsked += Count.LongAsked_;
    LongAnswered += Count.LongServed_;
  }
  double Fraction = static_cast<double>(Answered) / Asked;
  double LongFraction = static_cast<double>(LongAnswered) / LongAsked;
  CAPTURE(Fraction);
  CAPTURE(LongFraction);
  CHECK(Fraction < 0.8);
  CHECK(LongFraction >= Fraction / 2);
}

TEST_CASE("under overload the longest requests of the lowest tier, and those "
          "just below them, are served more than half as often as all of it") {
  // Short answers of higher tiers, and answers of the lowest tier whose lengths
  // differ a thousandfold, need more than the engines can do. A longer request
  // may wait for a shorter time and is scheduled later.
  //
  // Guards against counting all answers above three times the mean of all tiers
  // together. A quarter of the lowest tier is that long; serving its shorter
  // part makes up for the longest ones, of which hardly any are then served:
  // three in ten of the largest tenth were answered, and seven in ten of the
  // tier, with higher tiers answered almost completely.
  constexpr double MinFraction = 0.53;
  std::vector<Sized> All;
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    Replay Load(byObjective(), 8, 16, Seed);
    std::vector<Kind> Kinds{LongPrompt, MediumPrompt, WidestAnswer};
    Load.run(milliseconds(5000), Kinds);
    Load.resetCounts();
    Load.run(milliseconds(20000), Kinds);
    // Lets all requests end.
    Load.run(milliseconds(15000), {});
    CHECK(answeredFraction(Load.sizes(0), 0, 1) > 0.99);
    CHECK(answeredFraction(Load.sizes(1), 0, 1) > 0.99);
    std::ranges::move(Load.sizes(2), std::back_inserter(All));
  }
  std::ranges::sort(All, {}, &Sized::Size_);
  double Fraction = answeredFraction(All, 0, 1);
  double Longest = answeredFraction(All, 0.9, 1);
  double Below = answeredFraction(All, 0.7, 0.9);
  CAPTURE(Fraction);
  CAPTURE(Longest);
  CAPTURE(Below);
  // The longest requests don't get the full rate: a long one costs ten others.
  CHECK(Fraction > 0.7);
  CHECK(Fraction < 0.8);
  CHECK(Longest >= MinFraction * Fraction);
  CHECK(Below >= MinFraction * Fraction);
}
