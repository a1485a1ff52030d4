#include "Process/Scheduling/Scheduler.h"

#include "UnitTests/Process/Scheduling/NaiveScheduler.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t TierCount = 3;

std::string describeDecision(const Decision &Taken) {
  if (const auto *Grant = std::get_if<GrantDecision>(&Taken))
    return fmt::format("grant {} {}", Grant->Id_.str(), Grant->Server_.str());
  if (const auto *Refusal = std::get_if<RefuseDecision>(&Taken))
    return fmt::format("refuse {} {}", Refusal->Id_.str(),
                       static_cast<int>(Refusal->Code_));
  return fmt::format("cancel {}", std::get<CancelDecision>(Taken).Id_.str());
}

std::vector<std::string> describeAll(const std::vector<Decision> &Decisions) {
  std::vector<std::string> Lines;
  for (const Decision &Taken : Decisions)
    Lines.push_back(describeDecision(Taken));
  return Lines;
}

std::vector<ServerCapacity> servers(std::uint32_t Count, std::uint32_t Limit) {
  std::vector<ServerCapacity> List;
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    List.push_back({ServerName(fmt::format("engine-{}", Index)), Limit, true});
  return List;
}

std::map<CustomerName, CustomerShare> customers() {
  return {{CustomerName("a"), {1, 0}},
          {CustomerName("b"), {3, 0}},
          {CustomerName("c"), {1, 2}}};
}

AskedRequest request(std::uint64_t Number, std::uint32_t Tier,
                     TimePoint Deadline) {
  AskedRequest Asked;
  Asked.Id_ = {1, Number};
  Asked.Tier_ = TierIndex(Tier);
  Asked.Customer_ = CustomerName("a");
  Asked.Deadline_ = Deadline;
  Asked.Prompt_ = Tokens(10);
  Asked.Answer_ = Tokens(10);
  Asked.Entry_ = VmId("vm");
  return Asked;
}

Scheduler configured(Scheduler::Options Options, std::uint32_t Count,
                     std::uint32_t Limit) {
  Scheduler Built(Options);
  Built.configure(servers(Count, Limit), customers(), TierCount,
                  Options.MaxWaiting_);
  return Built;
}

/// No higher tier shed while a lower is served: what a step leaves behind
/// after it shed a request for lack of capacity.
void checkTierOrder(const std::vector<Decision> &Decisions,
                    const std::map<RequestId, TierIndex> &TierOf,
                    const NaiveScheduler &After) {
  for (const Decision &Taken : Decisions) {
    const auto *Refusal = std::get_if<RefuseDecision>(&Taken);
    bool Shed = Refusal && (Refusal->Code_ == ResultCode::DeadlineInQueue ||
                            Refusal->Code_ == ResultCode::QueueFull);
    if (!Shed)
      continue;
    TierIndex Tier = TierOf.at(Refusal->Id_);
    RC_ASSERT(After.waitingBelow(Tier) == 0U);
    for (const RunningRequest &Running : After.running())
      RC_ASSERT(Running.Tier_ <= Tier || Running.NonIdempotent_ ||
                After.cancelled(Running.Id_));
  }
}

} // namespace

TEST_CASE("the scheduler decides as a plain scan of one list does") {
  bool Holds = rc::check([] {
    Scheduler::Options Options;
    Options.TierCount_ = TierCount;
    Options.MaxWaiting_ = *rc::gen::inRange<std::size_t>(1, 12);
    auto Count = *rc::gen::inRange<std::uint32_t>(1, 4);
    auto Limit = *rc::gen::inRange<std::uint32_t>(1, 3);
    Scheduler Real = configured(Options, Count, Limit);
    NaiveScheduler Naive(Options, servers(Count, Limit), customers());
    TimePoint Now{std::chrono::seconds(1000)};
    std::map<RequestId, TierIndex> TierOf;
    std::vector<RequestId> Ids;
    std::uint64_t Next = 1;
    auto Steps = *rc::gen::inRange(1, 120);
    for (int Step = 0; Step < Steps; ++Step) {
      std::vector<Decision> FromReal;
      std::vector<Decision> FromNaive;
      auto Pick = [&] {
        return Ids[*rc::gen::inRange<std::size_t>(0, Ids.size())];
      };
      int Kind = *rc::gen::inRange(0, 10);
      if (Kind < 5 || Ids.empty()) {
        AskedRequest Asked =
            request(Next++, *rc::gen::inRange<std::uint32_t>(0, TierCount),
                    Now + milliseconds(*rc::gen::inRange(-5, 2000)));
        Asked.Customer_ =
            CustomerName(std::string(1, *rc::gen::element('a', 'b', 'c')));
        Asked.Prompt_ = Tokens(*rc::gen::inRange(0, 1000));
        Asked.NonIdempotent_ = *rc::gen::inRange(0, 4) == 0;
        Asked.Entry_ = VmId(*rc::gen::element<std::string>("x", "y"));
        if (*rc::gen::inRange(0, 5) == 0)
          Asked.Excluded_.emplace_back("engine-0");
        TierOf[Asked.Id_] = Asked.Tier_;
        Ids.push_back(Asked.Id_);
        FromReal = Real.ask(Asked, Now);
        FromNaive = Naive.ask(Asked, Now);
      } else if (Kind < 7) {
        RequestId Id = Pick();
        Real.done(Id, ServedSample(), Now);
        Naive.done(Id);
      } else if (Kind == 7) {
        RequestId Id = Pick();
        Real.withdraw(Id);
        Naive.withdraw(Id);
      } else if (Kind == 8) {
        Now += milliseconds(*rc::gen::inRange(0, 500));
      } else if (*rc::gen::inRange(0, 5) == 0) {
        std::vector<RequestId> Orphans;
        for (const RunningRequest &One : Real.removeEntry(VmId("x")).Running_)
          Orphans.push_back(One.Id_);
        std::ranges::sort(Orphans);
        auto Expected = Naive.removeEntry(VmId("x"));
        std::ranges::sort(Expected);
        RC_ASSERT(Orphans == Expected);
      }
      RC_ASSERT(describeAll(FromReal) == describeAll(FromNaive));
      checkTierOrder(FromReal, TierOf, Naive);
      FromReal = Real.decide(Now);
      FromNaive = Naive.decide(Now);
      RC_ASSERT(describeAll(FromReal) == describeAll(FromNaive));
      checkTierOrder(FromReal, TierOf, Naive);
      RC_ASSERT(Real.running() == Naive.running().size());
    }
  });
  CHECK(Holds);
}

TEST_CASE("an engine never has more requests than its limit") {
  bool Holds = rc::check([](const std::vector<std::uint8_t> &Operations) {
    Scheduler Real = configured({.TierCount_ = TierCount}, 2, 3);
    TimePoint Now{std::chrono::seconds(1000)};
    std::uint64_t Next = 1;
    for (std::uint8_t Operation : Operations) {
      if (Operation % 3 != 0)
        Real.ask(
            request(Next++, Operation % TierCount, Now + milliseconds(900)),
            Now);
      else
        Real.done({1, Operation}, ServedSample(), Now);
      Real.decide(Now);
      for (const auto &[Name, Server] : Real.servers())
        RC_ASSERT(Server.inFlight() <= 3U);
    }
  });
  CHECK(Holds);
}

TEST_CASE("within a tier customers get tokens by their weights") {
  Scheduler Real = configured({.TierCount_ = TierCount}, 1, 1);
  TimePoint Now{std::chrono::seconds(1000)};
  std::map<RequestId, std::string> CustomerOf;
  for (std::uint64_t Number = 1; Number <= 400; ++Number) {
    AskedRequest Asked = request(Number, 0, Now + std::chrono::hours(1));
    Asked.Customer_ = CustomerName(Number % 2 ? "a" : "b");
    CustomerOf[Asked.Id_] = Asked.Customer_.str();
    Real.ask(Asked, Now);
  }
  std::map<std::string, int> Granted;
  for (int Round = 0; Round < 200; ++Round)
    for (const Decision &Taken : Real.decide(Now)) {
      const auto &Grant = std::get<GrantDecision>(Taken);
      ++Granted[CustomerOf.at(Grant.Id_)];
      Real.done(Grant.Id_, ServedSample(), Now);
    }
  // Weights are 1 and 3.
  CHECK(Granted["a"] == 50);
  CHECK(Granted["b"] == 150);
}

TEST_CASE("a new keeper grants nothing before it has heard what runs") {
  // Symptom: after a keeper's death an engine gets twice its limit.
  // Sequence: a new keeper gets asks before entries tell it what runs.
  // Cause: what it does not know of looks like free room.
  Scheduler Real = configured({.TierCount_ = TierCount}, 1, 1);
  TimePoint Now{std::chrono::seconds(1000)};
  Real.setWarmUntil(Now + milliseconds(300));
  Real.ask(request(1, 0, Now + milliseconds(900)), Now);
  CHECK(Real.decide(Now).empty());
  RunningRequest Running;
  Running.Id_ = {1, 7};
  Running.Server_ = ServerName("engine-0");
  Running.Customer_ = CustomerName("a");
  Real.addRunning(Running);
  Now += milliseconds(301);
  CHECK(Real.decide(Now).empty());
  Real.done(Running.Id_, ServedSample(), Now);
  CHECK(Real.decide(Now).size() == 1);
}

TEST_CASE("a keeper that speaks for half of the fleet takes half of a limit") {
  Scheduler Real = configured({.TierCount_ = TierCount}, 1, 8);
  Real.setShare(0.5);
  TimePoint Now{std::chrono::seconds(1000)};
  for (std::uint64_t Number = 1; Number <= 8; ++Number)
    Real.ask(request(Number, 0, Now + milliseconds(900)), Now);
  CHECK(Real.decide(Now).size() == 4);
}

TEST_CASE("callers refused together are told different times to come back") {
  // Symptom: an overload ends and comes back at once, again and again.
  // Sequence: many requests are refused in one instant.
  // Cause: all were told the same time, and came back together.
  Scheduler Real =
      configured({.TierCount_ = TierCount, .MaxWaiting_ = 1}, 1, 1);
  TimePoint Now{std::chrono::seconds(1000)};
  std::set<milliseconds> Times;
  for (std::uint64_t Number = 1; Number <= 100; ++Number)
    for (const Decision &Taken :
         Real.ask(request(Number, 0, Now + milliseconds(900)), Now))
      if (const auto *Refusal = std::get_if<RefuseDecision>(&Taken))
        Times.insert(Refusal->RetryAfter_);
  CHECK(Times.size() > 50);
  CHECK(*Times.begin() >= milliseconds(500));
}

TEST_CASE(
    "an engine that starts again under its name has none of what it had") {
  // Symptom: an engine that is back after a crash gets no work, or too much.
  // Sequence: its places are taken when it crashes; its entry tells of a new
  // process within one heartbeat; later the entries that had requests there
  // tell that these failed.
  // Cause: the places of the earlier process stayed taken, and those failures
  // freed places, and spoke against the health, of the new one.
  Scheduler Real = configured({.TierCount_ = TierCount}, 1, 2);
  TimePoint Now{std::chrono::seconds(1000)};
  auto StartedAt = [&](std::uint64_t Started) {
    auto List = servers(1, 2);
    List.front().Incarnation_ = Incarnation(Started);
    Real.configure(std::move(List), customers(), TierCount, 1000);
  };
  StartedAt(1000);
  for (std::uint64_t Number = 1; Number <= 2; ++Number)
    Real.ask(request(Number, 0, Now + milliseconds(900)), Now);
  REQUIRE(Real.decide(Now).size() == 2);
  StartedAt(2000);
  for (std::uint64_t Number = 3; Number <= 5; ++Number)
    Real.ask(request(Number, 0, Now + milliseconds(900)), Now);
  CHECK(Real.decide(Now).size() == 2);
  ServedSample Broken;
  Broken.Reached_ = Broken.Faulty_ = true;
  Real.done({1, 1}, Broken, Now);
  Real.done({1, 2}, Broken, Now);
  CHECK(Real.decide(Now).empty());
  CHECK(Real.server(ServerName("engine-0"))->health().failureRate() == 0);
  Real.done({1, 3}, ServedSample(), Now);
  CHECK(Real.decide(Now).size() == 1);
}

TEST_CASE("an engine whose name was given away is used again once it is back") {
  Scheduler Real = configured({.TierCount_ = TierCount}, 1, 2);
  TimePoint Now{std::chrono::seconds(1000)};
  auto List = servers(1, 2);
  List.front().Incarnation_ = Incarnation(1000);
  Real.configure(List, customers(), TierCount, 1000);
  Real.server(ServerName("engine-0"))->markReplaced();
  List.front().Incarnation_ = Incarnation(2000);
  Real.configure(List, customers(), TierCount, 1000);
  Real.ask(request(1, 0, Now + milliseconds(900)), Now);
  CHECK(Real.decide(Now).size() == 1);
}
