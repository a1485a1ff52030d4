/// \file
/// Streams that go on among new requests. Load pattern: a keeper just after
/// half of a fleet has ended. Its queues are full of new requests of three
/// tiers, more arrive than its servers can run, and streams go on.

#include "Process/Scheduling/Scheduler.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};
constexpr std::uint32_t TierCount = 3;
constexpr std::uint32_t ServerCount = 10;
constexpr std::uint32_t Slots = 4;
constexpr std::uint64_t Streams = 20;
/// With 40 slots, 100 requests end each second.
constexpr milliseconds Service{400};
constexpr milliseconds Objective{500};

Scheduler::Options byObjective() {
  Scheduler::Options Options;
  Options.TierCount_ = TierCount;
  Options.GuaranteedShare_ = 0.15;
  Options.RefuseLongWaits_ = true;
  Options.Preempt_ = false;
  return Options;
}

Scheduler keeper(Scheduler::Options Options) {
  Scheduler Built(Options);
  std::vector<ServerCapacity> Servers;
  for (std::uint32_t Index = 0; Index < ServerCount; ++Index) {
    ServerCapacity Server;
    Server.Name_ = ServerName(fmt::format("engine-{}", Index));
    Server.MaxInFlight_ = Slots;
    Server.Version_ = SoftwareVersion("v1");
    Servers.push_back(std::move(Server));
  }
  Built.configure(std::move(Servers), {}, TierCount, Options.MaxWaiting_);
  return Built;
}

/// A request whose caller sent it, or whose stream broke off, at \p Since.
GrantRequest request(std::uint64_t Number, std::uint32_t Tier, TimePoint Since,
                     bool GoesOn) {
  GrantRequest Built;
  Built.Id_ = {1, Number};
  Built.Tier_ = TierIndex(Tier);
  Built.Customer_ = CustomerName(Number % 2 ? "a" : "b");
  Built.Deadline_ = Since + milliseconds(10000);
  Built.Objective_ = Since + Objective;
  Built.MaxWait_ = milliseconds(1500);
  Built.Prompt_ = Tokens(10);
  Built.Answer_ = Tokens(10);
  if (GoesOn)
    Built.Version_ = SoftwareVersion("v1");
  return Built;
}

struct Waits {
  std::uint64_t StreamsSoon_ = 0; ///< Streams with a slot within 0.4 s.
  std::map<std::uint32_t, milliseconds> Sum_; ///< By tier.
  std::map<std::uint32_t, std::uint64_t> Granted_;
  std::map<std::uint32_t, std::uint64_t> Refused_;
};

/// Replays the load for 1.5 s. The streams, of the tier in the middle, broke
/// off at \p BrokeOff; without \p GoOn they are new requests.
Waits replay(bool GoOn, TimePoint BrokeOff) {
  Scheduler Keeper = keeper(byObjective());
  std::map<RequestId, std::pair<std::uint32_t, TimePoint>> Asked;
  std::multimap<TimePoint, RequestId> Ends;
  Waits Seen;
  std::uint64_t Next = Streams;
  std::int64_t Grants = 0;
  auto Ask = [&](const GrantRequest &Request, TimePoint Now) {
    Asked[Request.Id_] = {Request.Tier_.count(), Now};
    Seen.Refused_[Asked.at(Request.Id_).first] +=
        Keeper.requestGrant(Request, Now).size();
  };
  auto AskNew = [&](std::uint32_t Tier, TimePoint Now) {
    Ask(request(++Next, Tier, Now, /*GoesOn=*/false), Now);
  };
  for (std::uint64_t Number = 0; Number < 20; ++Number)
    AskNew(0, Start);
  for (std::uint64_t Number = 0; Number < 120; ++Number)
    AskNew(1, Start);
  for (std::uint64_t Number = 0; Number < 80; ++Number)
    AskNew(2, Start);
  for (auto Now = Start; Now < Start + milliseconds(1500);
       Now += milliseconds(1)) {
    for (; !Ends.empty() && Ends.begin()->first <= Now;
         Ends.erase(Ends.begin()))
      Keeper.done(Ends.begin()->second, ServedSample(), Now);
    if (Now == Start + milliseconds(10))
      for (std::uint64_t Number = 1; Number <= Streams; ++Number)
        Ask(request(Number, 1, BrokeOff, GoOn), Now);
    // 20, 60 and 60 each second.
    if ((Now - Start) % milliseconds(50) == milliseconds(0))
      AskNew(0, Now);
    if ((Now - Start) % milliseconds(16) == milliseconds(0)) {
      AskNew(1, Now);
      AskNew(2, Now);
    }
    for (const Decision &Made : Keeper.decide(Now)) {
      if (const auto *Refused = std::get_if<RefuseDecision>(&Made))
        ++Seen.Refused_[Asked.at(Refused->Id_).first];
      const auto *Grant = std::get_if<GrantDecision>(&Made);
      if (!Grant)
        continue;
      auto [Tier, Since] = Asked.at(Grant->Id_);
      auto Wait = std::chrono::duration_cast<milliseconds>(Now - Since);
      bool IsStream = Grant->Id_.Sequence_ <= Streams;
      Seen.StreamsSoon_ += IsStream && Wait <= milliseconds(400) ? 1 : 0;
      Seen.Sum_[Tier] += Wait;
      ++Seen.Granted_[Tier];
      // The first ones have begun before, each at another time.
      bool First = ++Grants <= ServerCount * Slots;
      auto Length = First ? milliseconds(10) * Grants : Service;
      Ends.emplace(Now + Length, Grant->Id_);
    }
  }
  return Seen;
}

} // namespace

TEST_CASE("streams that go on get a slot before new requests of their tier") {
  // Guards against streams whose callers give up behind a queue of new work.
  CHECK(replay(/*GoOn=*/true, Start).StreamsSoon_ == Streams);
}

TEST_CASE("streams that go on are not put last once their objective is past") {
  // Guards against streams that wait behind all that is still in time.
  auto LongAgo = Start - milliseconds(800);
  CHECK(replay(/*GoOn=*/true, LongAgo).StreamsSoon_ == Streams);
}

TEST_CASE("a higher tier waits no longer for streams of a lower one that go "
          "on") {
  // Guards against slots that go to a lower tier's streams out of turn.
  Waits Before = replay(/*GoOn=*/false, Start);
  for (milliseconds Ago : {milliseconds(0), milliseconds(800)}) {
    Waits After = replay(/*GoOn=*/true, Start - Ago);
    MESSAGE("tier 0: " << After.Sum_[0].count() << " ms over "
                       << After.Granted_[0] << " requests, before "
                       << Before.Sum_[0].count() << " ms over "
                       << Before.Granted_[0]
                       << "; streams within 0.4 s: " << After.StreamsSoon_
                       << ", as new requests " << Before.StreamsSoon_);
    CHECK(After.Granted_[0] >= Before.Granted_[0]);
    CHECK(After.Sum_[0] <= Before.Sum_[0]);
    CHECK(After.Refused_[0] <= Before.Refused_[0]);
  }
}

TEST_CASE("streams that go on leave slots to new requests of their tier") {
  // Guards against a caller that keeps others of its tier out by naming streams
  // that it never had.
  constexpr std::uint64_t Each = 60;
  Scheduler Keeper = keeper(byObjective());
  for (std::uint64_t Number = 1; Number <= 2 * Each; ++Number)
    CHECK(Keeper.requestGrant(request(Number, 1, Start, Number <= Each), Start)
              .empty());
  auto IsNew = [](const Decision &Made) {
    const auto *Grant = std::get_if<GrantDecision>(&Made);
    return Grant && Grant->Id_.Sequence_ > Each;
  };
  std::vector<Decision> Granted = Keeper.decide(Start);
  CHECK(Granted.size() == ServerCount * Slots);
  CHECK(std::ranges::count_if(Granted, IsNew) >= ServerCount * Slots / 4);
}
