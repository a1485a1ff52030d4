/// \file
/// Admission by objectives, with loads replayed through the scheduler alone.

#include "Process/Scheduling/Scheduler.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};

Scheduler::Options byObjective() {
  Scheduler::Options Options;
  Options.TierCount_ = 2;
  Options.GuaranteedShare_ = 0.5;
  Options.RefuseLongWaits_ = true;
  Options.Preempt_ = false;
  Options.RefuseInfeasible_ = false;
  return Options;
}

/// A kind of request, as a load sends it.
struct Kind {
  std::uint32_t Tier_;
  milliseconds Every_;   ///< One comes in each such span.
  milliseconds Service_; ///< How long it holds its place.
  milliseconds Objective_{500};
  milliseconds MaxWait_{2000};
  int Asks_ = 1; ///< How often each caller asks at once, refused or not.
  /// How long a caller stays that comes back once when it is refused; 0: it
  /// doesn't come back.
  milliseconds Patience_{0};
};

struct Served {
  int Asked_ = 0;
  int InTime_ = 0;
  int Late_ = 0;
  int Refused_ = 0;
  milliseconds LongestHeld_{0}; ///< Of those that were refused.
};

/// Plays kinds of requests against a scheduler in steps of a millisecond.
class Replay {
public:
  Replay(Scheduler::Options Options, std::uint32_t Engines,
         std::uint32_t Places)
      : Scheduler_(Options) {
    std::vector<ServerCapacity> Servers;
    for (std::uint32_t Index = 0; Index < Engines; ++Index)
      Servers.push_back(
          {ServerName(fmt::format("engine-{}", Index)), Places, true});
    Scheduler_.configure(std::move(Servers), {}, Options.TierCount_, 10000);
  }

  void run(milliseconds Length, const std::vector<Kind> &Kinds) {
    auto End = Now_ + Length;
    for (; Now_ < End; Now_ += milliseconds(1)) {
      endDue();
      comeBack();
      for (const Kind &Each : Kinds)
        if ((Now_ - Start) % Each.Every_ == milliseconds(0))
          ask(Each);
      take(Scheduler_.decide(Now_));
    }
  }
  /// Forgets what was served until now.
  void beginCount() { Served_.clear(); }
  const Served &served(std::uint32_t Tier) { return Served_[Tier]; }
  /// When callers that were refused were told to come back.
  const std::vector<TimePoint> &returns() const { return Returns_; }

private:
  struct Sent {
    Kind Kind_;
    TimePoint At_; ///< The caller's first attempt.
    bool CameBack_ = false;
  };

  void ask(const Kind &Each) {
    for (int Number = 0; Number < Each.Asks_; ++Number)
      askOnce(Each, Number > 0);
  }
  void askOnce(const Kind &Each, bool AskedBefore) {
    AskedRequest Asked;
    Asked.Id_ = {1, ++Sequence_};
    Asked.AskedBefore_ = AskedBefore;
    Asked.Tier_ = TierIndex(Each.Tier_);
    Asked.Customer_ = CustomerName("c");
    Asked.Deadline_ = Now_ + milliseconds(15000);
    Asked.Objective_ = Now_ + Each.Objective_;
    Asked.MaxWait_ = Each.MaxWait_;
    Sent_[Asked.Id_] = {Each, Now_};
    ++Served_[Each.Tier_].Asked_;
    take(Scheduler_.ask(std::move(Asked), Now_));
  }
  /// Those that were refused ask once more, late by now.
  void comeBack() {
    while (!Due_.empty() && Due_.begin()->first <= Now_) {
      Sent Back = Due_.begin()->second;
      Due_.erase(Due_.begin());
      Back.CameBack_ = true;
      AskedRequest Asked;
      Asked.Id_ = {1, ++Sequence_};
      Asked.AskedBefore_ = true;
      Asked.Tier_ = TierIndex(Back.Kind_.Tier_);
      Asked.Customer_ = CustomerName("c");
      Asked.Deadline_ = Back.At_ + Back.Kind_.Patience_;
      Asked.Objective_ = Now_;
      Asked.MaxWait_ = milliseconds(1800);
      Sent_[Asked.Id_] = Back;
      take(Scheduler_.ask(std::move(Asked), Now_));
    }
  }

  void take(const std::vector<Decision> &Decisions) {
    for (const Decision &Taken : Decisions) {
      if (const auto *Grant = std::get_if<GrantDecision>(&Taken))
        granted(Grant->Id_);
      else if (const auto *Refusal = std::get_if<RefuseDecision>(&Taken))
        refused(*Refusal);
    }
  }
  void granted(const RequestId &Id) {
    const Sent &Asked = Sent_.at(Id);
    Served &Count = Served_[Asked.Kind_.Tier_];
    bool InTime = Now_ - Asked.At_ <= Asked.Kind_.Objective_;
    ++(InTime ? Count.InTime_ : Count.Late_);
    Ends_.emplace(Now_ + Asked.Kind_.Service_, Id);
  }
  void refused(const RefuseDecision &Refusal) {
    const Sent &Asked = Sent_.at(Refusal.Id_);
    if (Refusal.Code_ == ResultCode::WaitTooLong)
      Returns_.push_back(Now_ + Refusal.RetryAfter_);
    if (Asked.Kind_.Patience_.count() > 0 && !Asked.CameBack_) {
      Due_.emplace(Now_ + Refusal.RetryAfter_, Asked);
      return;
    }
    Served &Count = Served_[Asked.Kind_.Tier_];
    ++Count.Refused_;
    auto Held = std::chrono::duration_cast<milliseconds>(Now_ - Asked.At_);
    Count.LongestHeld_ = std::max(Count.LongestHeld_, Held);
  }
  void endDue() {
    while (!Ends_.empty() && Ends_.begin()->first <= Now_) {
      ServedSample Seen;
      Seen.Reached_ = true;
      Seen.Complete_ = true;
      Scheduler_.done(Ends_.begin()->second, Seen, Now_);
      Ends_.erase(Ends_.begin());
    }
  }

  Scheduler Scheduler_;
  TimePoint Now_ = Start;
  std::uint64_t Sequence_ = 0;
  std::map<RequestId, Sent> Sent_;
  std::multimap<TimePoint, RequestId> Ends_;
  std::map<std::uint32_t, Served> Served_;
  std::vector<TimePoint> Returns_;
  std::multimap<TimePoint, Sent> Due_;
};

/// Short dear requests, and long cheap ones that alone need all places.
const Kind Dear{0, milliseconds(20), milliseconds(250)};
const Kind Cheap{1, milliseconds(20), milliseconds(1400)};

} // namespace

TEST_CASE("a burst of long cheap streams keeps no dear request waiting") {
  // Load: 50 a second of each kind on 60 places; the cheap ones alone want 70.
  Replay Load(byObjective(), 10, 6);
  Load.run(milliseconds(10000), {Dear, Cheap});
  const Served &Dearest = Load.served(0);
  CHECK(Dearest.InTime_ == Dearest.Asked_);
}

TEST_CASE("under that burst cheap ones are served in time or refused at once, "
          "not all of them late") {
  Replay Load(byObjective(), 10, 6);
  Load.run(milliseconds(10000), {Dear, Cheap});
  const Served &Cheapest = Load.served(1);
  // 60 places less the 12.5 that dear ones hold serve 34 a second of 50.
  CHECK(Cheapest.InTime_ + Cheapest.Late_ > 300);
  CHECK(Cheapest.InTime_ > 2 * Cheapest.Late_);
}

TEST_CASE("a tier that higher ones crowd out keeps its guaranteed part") {
  // Load: dear requests alone want twice what there is.
  const Kind Flood{0, milliseconds(5), milliseconds(600)};
  Replay Load(byObjective(), 10, 6);
  Load.run(milliseconds(10000), {Flood, Cheap});
  const Served &Dearest = Load.served(0);
  const Served &Cheapest = Load.served(1);
  double All =
      Dearest.InTime_ + Dearest.Late_ + Cheapest.InTime_ + Cheapest.Late_;
  double PartOfAll = All / (Dearest.Asked_ + Cheapest.Asked_);
  double PartOfCheapest =
      static_cast<double>(Cheapest.InTime_ + Cheapest.Late_) / Cheapest.Asked_;
  // Half as often as all are served, by the options.
  CHECK(PartOfCheapest > 0.48 * PartOfAll);
  CHECK(PartOfAll > 0.33);
}

TEST_CASE("strict order, without a guaranteed part, starves it") {
  // The same load without the mechanism: what the case before prevents.
  const Kind Flood{0, milliseconds(5), milliseconds(600)};
  auto Options = byObjective();
  Options.GuaranteedShare_ = 0;
  Replay Load(Options, 10, 6);
  Load.run(milliseconds(10000), {Flood, Cheap});
  const Served &Cheapest = Load.served(1);
  CHECK(Cheapest.InTime_ + Cheapest.Late_ < Cheapest.Asked_ / 5);
}

TEST_CASE("nobody is held for longer than it may wait") {
  Replay Load(byObjective(), 2, 6);
  Load.run(milliseconds(10000), {Cheap});
  CHECK(Load.served(1).Refused_ > 0);
  CHECK(Load.served(1).LongestHeld_ <= Cheap.MaxWait_ + milliseconds(1));
}

TEST_CASE("callers that ask often do not raise their tier's guaranteed part") {
  // Symptom: in a burst the middle tier gets 33 places in two seconds, the
  // lowest one 398.
  // Sequence: the lowest tier's callers are refused, ask another cell and come
  // back; each ask counts as an arrival, so the tier seems to starve.
  // Cause: its guaranteed part was taken of asks rather than of callers.
  const Kind Flood{0, milliseconds(5), milliseconds(600)};
  Kind Insistent = Cheap;
  Insistent.Asks_ = 4;
  auto Options = byObjective();
  Options.GuaranteedShare_ = 0.15;
  Replay Calm(Options, 10, 6);
  Calm.run(milliseconds(10000), {Flood, Cheap});
  Replay Load(Options, 10, 6);
  Load.run(milliseconds(10000), {Flood, Insistent});
  const Served &Usual = Calm.served(1);
  const Served &Often = Load.served(1);
  CHECK(Often.InTime_ + Often.Late_ < (Usual.InTime_ + Usual.Late_) * 5 / 4);
}

TEST_CASE("a short burst of the highest tier is not held up by the guaranteed "
          "part of a lower one") {
  // Load: a calm minute, then three seconds in which the highest tier alone
  // wants twice what there is. The lowest was served nearly all until then, so
  // it does not starve, and its long requests would cost the highest dearly.
  const Kind Calm{0, milliseconds(50), milliseconds(600)};
  const Kind Burst{0, milliseconds(5), milliseconds(600)};
  Replay Load(byObjective(), 10, 6);
  Load.run(milliseconds(30000), {Calm, Cheap});
  Load.beginCount();
  Load.run(milliseconds(3000), {Burst, Cheap});
  // 60 places of 600 ms serve 100 a second.
  CHECK(Load.served(0).InTime_ + Load.served(0).Late_ > 240);
}

TEST_CASE("in time goes before late, whoever asks") {
  // Symptom: requests of customers that were served little are answered late,
  // and those of others that could be in time wait meanwhile.
  // Cause: lateness was compared within a customer only.
  auto Options = byObjective();
  Scheduler Deciding(Options);
  Deciding.configure({{ServerName("engine"), 1, true}}, {}, 2, 100);
  auto Ask = [&](std::uint64_t Number, const char *Customer,
                 TimePoint Objective) {
    AskedRequest Asked;
    Asked.Id_ = {1, Number};
    Asked.Customer_ = CustomerName(Customer);
    Asked.Deadline_ = Start + milliseconds(5000);
    Asked.Objective_ = Objective;
    Asked.MaxWait_ = milliseconds(2000);
    Deciding.ask(Asked, Start);
  };
  Ask(1, "a", Start);
  Ask(2, "b", Start + milliseconds(500));
  auto Decisions = Deciding.decide(Start);
  REQUIRE(Decisions.size() == 1);
  CHECK(std::get<GrantDecision>(Decisions.front()).Id_ == RequestId{1, 2});
}

TEST_CASE("callers that are refused together are told moments of their own") {
  // Symptom: after a burst its callers come back at once and are refused again.
  // Load: twice the capacity for four seconds; half of it is refused.
  Replay Load(byObjective(), 2, 6);
  const Kind Short{0, milliseconds(2), milliseconds(50), milliseconds(100),
                   milliseconds(100)};
  Load.run(milliseconds(4000), {Short});
  const auto &Returns = Load.returns();
  REQUIRE(Returns.size() > 500);
  // 240 places a second get free, and as many callers come; half of the
  // places are kept for those that come back: 12 in 100 ms.
  std::map<std::int64_t, int> BySlot;
  for (TimePoint Moment : Returns)
    ++BySlot[(Moment - Start) / milliseconds(100)];
  CHECK(std::ranges::all_of(
      BySlot, [](const auto &Slot) { return Slot.second <= 16; }));
}

TEST_CASE("an engine in whose place another one answers gets nothing more") {
  // Symptom: one request in nine is refused by a server that it was not meant
  // for, and uses up its tries, long after an engine crashed.
  // Sequence: an engine crashes and starts again at its address under another
  // name; its old entry stays in the directory until its heartbeats are missed.
  // Cause: the refusal proves that the old one is gone, and was not used.
  Scheduler Deciding(byObjective());
  Deciding.configure({{ServerName("crashed"), 4, true}}, {}, 2, 100);
  AskedRequest Asked;
  Asked.Id_ = {1, 1};
  Asked.Customer_ = CustomerName("c");
  Asked.Deadline_ = Start + milliseconds(1000);
  Deciding.ask(Asked, Start);
  REQUIRE(Deciding.decide(Start).size() == 1);
  ServedSample Seen;
  Seen.Reached_ = true;
  Seen.Replaced_ = true;
  Deciding.done(Asked.Id_, Seen, Start);
  Asked.Id_ = {1, 2};
  auto Decisions = Deciding.ask(Asked, Start);
  REQUIRE(Decisions.size() == 1);
  CHECK(std::get<RefuseDecision>(Decisions.front()).Code_ ==
        ResultCode::NoBackendServer);
}

TEST_CASE("an engine that fails what it gets loses its work to the others") {
  Scheduler Deciding(byObjective());
  Deciding.configure(
      {{ServerName("good"), 4, true}, {ServerName("bad"), 4, true}}, {}, 2,
      100);
  int ToBad = 0;
  for (std::uint64_t Number = 1; Number <= 200; ++Number) {
    auto Now = Start + milliseconds(10 * Number);
    AskedRequest Asked;
    Asked.Id_ = {1, Number};
    Asked.Customer_ = CustomerName("c");
    Asked.Deadline_ = Now + milliseconds(1000);
    Deciding.ask(Asked, Now);
    auto Decisions = Deciding.decide(Now);
    REQUIRE(Decisions.size() == 1);
    const auto &Grant = std::get<GrantDecision>(Decisions.front());
    bool Bad = Grant.Server_ == ServerName("bad");
    ToBad += Bad;
    ServedSample Seen;
    Seen.Reached_ = true;
    Seen.Complete_ = !Bad;
    Seen.Faulty_ = Bad;
    Deciding.done(Asked.Id_, Seen, Now);
  }
  CHECK(ToBad < 20);
}

TEST_CASE("callers that come back too late turn nobody away who is in time") {
  // Symptom: in a burst no first attempt is served in time, and the engines
  // work for callers who are late already, until long after the burst.
  // Sequence: half of a burst is refused and told to come back; it waits for as
  // long as it may; what asks for the first time is refused, since so much
  // waits, and comes back late in its turn.
  // Cause: a first attempt's wait was predicted from all that waits, though
  // what is late goes after it.
  // Load: 60 places, each held for 250 ms: 240 a second. Three seconds of 200
  // a second, four of 500, then 200 again.
  const Kind Calm{0,
                  milliseconds(5),
                  milliseconds(250),
                  milliseconds(400),
                  milliseconds(400),
                  1,
                  milliseconds(4000)};
  Kind Burst = Calm;
  Burst.Every_ = milliseconds(2);
  Replay Load(byObjective(), 10, 6);
  Load.run(milliseconds(3000), {Calm});
  Load.beginCount();
  Load.run(milliseconds(4000), {Burst});
  constexpr int MostInBurst = 4 * 240;
  CHECK(Load.served(0).InTime_ >= 0.9 * MostInBurst);
  Load.run(milliseconds(2000), {Calm});
  Load.beginCount();
  Load.run(milliseconds(4000), {Calm});
  CHECK(Load.served(0).InTime_ >= 0.9 * Load.served(0).Asked_);
}

TEST_CASE("a moment to come back is one that the caller has time for") {
  // Symptom: callers are told to come back after five minutes.
  // Sequence: in a burst refusals come faster than places for a long time.
  // Cause: each refusal put the next moment further off, without bound.
  Replay Load(byObjective(), 2, 6);
  const Kind Flood{0, milliseconds(1), milliseconds(250), milliseconds(100),
                   milliseconds(100)};
  Load.run(milliseconds(10000), {Flood});
  REQUIRE(Load.returns().size() > 1000);
  // The callers stay for 15 s: a third of it.
  TimePoint Latest = Start + milliseconds(10000) + milliseconds(5000);
  CHECK(std::ranges::all_of(
      Load.returns(), [&](TimePoint Moment) { return Moment <= Latest; }));
}
