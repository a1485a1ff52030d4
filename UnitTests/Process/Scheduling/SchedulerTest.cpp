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

std::string describeDecision(const Decision &Each) {
  if (const auto *Grant = std::get_if<GrantDecision>(&Each))
    return fmt::format("grant {} {}", Grant->Id_.str(), Grant->Server_.str());
  if (const auto *Refusal = std::get_if<RefuseDecision>(&Each))
    return fmt::format("refuse {} {}", Refusal->Id_.str(),
                       static_cast<int>(Refusal->Code_));
  return fmt::format("cancel {}", std::get<CancelDecision>(Each).Id_.str());
}

std::vector<std::string> describeAll(const std::vector<Decision> &Decisions) {
  std::vector<std::string> Lines;
  for (const Decision &Each : Decisions)
    Lines.push_back(describeDecision(Each));
  return Lines;
}

std::vector<ServerCapacity> servers(std::uint32_t Count, std::uint32_t Limit) {
  std::vector<ServerCapacity> List;
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    List.push_back({ServerName(fmt::format("engine-{}", Index)), Limit, true});
  return List;
}

std::map<CustomerName, CustomerPolicy> customers() {
  return {{CustomerName("a"), {1, 0}},
          {CustomerName("b"), {3, 0}},
          {CustomerName("c"), {1, 2}}};
}

GrantRequest request(std::uint64_t Number, std::uint32_t Tier,
                     TimePoint Deadline) {
  GrantRequest Request;
  Request.Id_ = {1, Number};
  Request.Tier_ = TierIndex(Tier);
  Request.Customer_ = CustomerName("a");
  Request.Deadline_ = Deadline;
  Request.Prompt_ = Tokens(10);
  Request.Answer_ = Tokens(10);
  Request.Ingress_ = VmId("vm");
  return Request;
}

Scheduler configured(Scheduler::Options Options, std::uint32_t Count,
                     std::uint32_t Limit) {
  Scheduler Built(Options);
  Built.configure(servers(Count, Limit), customers(), TierCount,
                  Options.MaxWaiting_);
  return Built;
}

/// Checks that after a step that shed a request for lack of capacity, no lower
/// tier is still served.
void checkTierOrder(const std::vector<Decision> &Decisions,
                    const std::map<RequestId, TierIndex> &TierOf,
                    const NaiveScheduler &After) {
  for (const Decision &Each : Decisions) {
    const auto *Refusal = std::get_if<RefuseDecision>(&Each);
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
        GrantRequest Request =
            request(Next++, *rc::gen::inRange<std::uint32_t>(0, TierCount),
                    Now + milliseconds(*rc::gen::inRange(-5, 2000)));
        Request.Customer_ =
            CustomerName(std::string(1, *rc::gen::element('a', 'b', 'c')));
        Request.Prompt_ = Tokens(*rc::gen::inRange(0, 1000));
        Request.NonIdempotent_ = *rc::gen::inRange(0, 4) == 0;
        Request.Ingress_ = VmId(*rc::gen::element<std::string>("x", "y"));
        if (*rc::gen::inRange(0, 5) == 0)
          Request.Excluded_.emplace_back("engine-0");
        TierOf[Request.Id_] = Request.Tier_;
        Ids.push_back(Request.Id_);
        FromReal = Real.requestGrant(Request, Now);
        FromNaive = Naive.requestGrant(Request, Now);
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
        for (const RunningRequest &One :
             Real.removeIngressRequests(VmId("x")).Running_)
          Orphans.push_back(One.Id_);
        std::ranges::sort(Orphans);
        auto Expected = Naive.removeIngressRequests(VmId("x"));
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
        Real.requestGrant(
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
    GrantRequest Request = request(Number, 0, Now + std::chrono::hours(1));
    Request.Customer_ = CustomerName(Number % 2 ? "a" : "b");
    CustomerOf[Request.Id_] = Request.Customer_.str();
    Real.requestGrant(Request, Now);
  }
  std::map<std::string, int> Granted;
  for (int Round = 0; Round < 200; ++Round)
    for (const Decision &Each : Real.decide(Now)) {
      const auto &Grant = std::get<GrantDecision>(Each);
      ++Granted[CustomerOf.at(Grant.Id_)];
      Real.done(Grant.Id_, ServedSample(), Now);
    }
  // Weights are 1 and 3.
  CHECK(Granted["a"] == 50);
  CHECK(Granted["b"] == 150);
}

TEST_CASE("a new keeper grants nothing before it has learned what runs") {
  // A new keeper receives grant requests before ingress daemons report what
  // runs. Guards against unknown running requests that look like free capacity:
  // after the death of a keeper, an engine would get twice its limit.
  Scheduler Real = configured({.TierCount_ = TierCount}, 1, 1);
  TimePoint Now{std::chrono::seconds(1000)};
  Real.setWarmupEnd(Now + milliseconds(300));
  Real.requestGrant(request(1, 0, Now + milliseconds(900)), Now);
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

TEST_CASE(
    "a keeper that is responsible for half of the fleet uses half of a limit") {
  Scheduler Real = configured({.TierCount_ = TierCount}, 1, 8);
  Real.setShare(0.5);
  TimePoint Now{std::chrono::seconds(1000)};
  for (std::uint64_t Number = 1; Number <= 8; ++Number)
    Real.requestGrant(request(Number, 0, Now + milliseconds(900)), Now);
  CHECK(Real.decide(Now).size() == 4);
}

TEST_CASE("callers refused together get different retry delays") {
  // Many requests are refused in one instant. Guards against an overload that
  // recurs again and again because all of these callers get the same delay and
  // retry together.
  Scheduler Real =
      configured({.TierCount_ = TierCount, .MaxWaiting_ = 1}, 1, 1);
  TimePoint Now{std::chrono::seconds(1000)};
  std::set<milliseconds> Times;
  for (std::uint64_t Number = 1; Number <= 100; ++Number)
    for (const Decision &Each :
         Real.requestGrant(request(Number, 0, Now + milliseconds(900)), Now))
      if (const auto *Refusal = std::get_if<RefuseDecision>(&Each))
        Times.insert(Refusal->RetryAfter_);
  CHECK(Times.size() > 50);
  CHECK(*Times.begin() >= milliseconds(500));
}

TEST_CASE(
    "an engine that restarts under its name has no state of its old process") {
  // The slots of an engine are occupied when it crashes. Its directory entry
  // shows a new process within one heartbeat, and later the ingress daemons
  // that had requests there report that these failed.
  //
  // Guards against slots of the earlier process that stay occupied, and against
  // those failures freeing slots or lowering the health of the new process: the
  // engine would get too little work, or too much.
  Scheduler Real = configured({.TierCount_ = TierCount}, 1, 2);
  TimePoint Now{std::chrono::seconds(1000)};
  auto StartedAt = [&](std::uint64_t Started) {
    auto List = servers(1, 2);
    List.front().Incarnation_ = Incarnation(Started);
    Real.configure(std::move(List), customers(), TierCount, 1000);
  };
  StartedAt(1000);
  for (std::uint64_t Number = 1; Number <= 2; ++Number)
    Real.requestGrant(request(Number, 0, Now + milliseconds(900)), Now);
  REQUIRE(Real.decide(Now).size() == 2);
  StartedAt(2000);
  for (std::uint64_t Number = 3; Number <= 5; ++Number)
    Real.requestGrant(request(Number, 0, Now + milliseconds(900)), Now);
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

TEST_CASE("an engine marked as replaced is used again once it has restarted") {
  Scheduler Real = configured({.TierCount_ = TierCount}, 1, 2);
  TimePoint Now{std::chrono::seconds(1000)};
  auto List = servers(1, 2);
  List.front().Incarnation_ = Incarnation(1000);
  Real.configure(List, customers(), TierCount, 1000);
  Real.server(ServerName("engine-0"))->markReplaced(Now);
  List.front().Incarnation_ = Incarnation(2000);
  Real.configure(List, customers(), TierCount, 1000);
  Real.requestGrant(request(1, 0, Now + milliseconds(900)), Now);
  CHECK(Real.decide(Now).size() == 1);
}

TEST_CASE("an engine marked as replaced is tried again after 2 s, one request "
          "at a time") {
  // Guards against an engine out of use for good that nobody else misses.
  Scheduler Real = configured({.TierCount_ = TierCount}, 1, 4);
  TimePoint Now{std::chrono::seconds(1000)};
  std::uint64_t Number = 0;
  auto GrantsAfter = [&](milliseconds Time) {
    Now += Time;
    for (int Count = 0; Count < 4; ++Count)
      Real.requestGrant(request(++Number, 0, Now + milliseconds(100)), Now);
    return Real.decide(Now).size();
  };
  ServedSample Other, Own;
  Other.Reached_ = Other.Replaced_ = true;
  Own.Reached_ = Own.Complete_ = true;
  REQUIRE(GrantsAfter(milliseconds(0)) == 4);
  Real.done({1, 1}, Other, Now);
  for (std::uint64_t Ended : {2, 3, 4})
    Real.done({1, Ended}, ServedSample(), Now);
  CHECK(GrantsAfter(milliseconds(1999)) == 0);
  CHECK(GrantsAfter(milliseconds(1)) == 1);
  Real.done({1, Number - 3}, Other, Now);
  CHECK(GrantsAfter(milliseconds(1999)) == 3); // Those that waited are refused.
  CHECK(GrantsAfter(milliseconds(1)) == 1);
  Real.done({1, Number - 3}, Own, Now);
  CHECK(Real.decide(Now).size() == 3);
}

TEST_CASE("canaries get only as many requests as are allowed") {
  // Guards against rounds that give the version on trial every request for
  // which it has room.
  Scheduler::Options Options;
  Scheduler Target(Options);
  Target.configure({{ServerName("canary"), 8, true, Tokens(0), 0, {}, true}},
                   customers(), TierCount, Options.MaxWaiting_);
  TimePoint Now{std::chrono::seconds(1000)};
  auto GrantsWith = [&](std::uint32_t Allowed) {
    Target.setCanaryGrants(Allowed);
    return Target.decide(Now).size();
  };
  for (std::uint64_t Number = 1; Number <= 5; ++Number)
    Target.requestGrant(request(Number, 0, Now + milliseconds(1000)), Now);
  CHECK(GrantsWith(0) == 0);
  CHECK(GrantsWith(2) == 2);
  CHECK(GrantsWith(9) == 3);
}

TEST_CASE("an idle canary goes first, a busy one does not") {
  // Guards against trials without evidence, where servers in service have room
  // for all requests, and against canaries that are loaded more than others.
  Scheduler::Options Options;
  Scheduler Target(Options);
  Target.configure({{ServerName("a"), 8, true},
                    {ServerName("canary"), 8, true, Tokens(0), 0, {}, true}},
                   customers(), TierCount, Options.MaxWaiting_);
  TimePoint Now{std::chrono::seconds(1000)};
  constexpr std::uint32_t Allowed = 8;
  std::vector<ServerName> Granted;
  for (std::uint64_t Number = 1; Number <= 3; ++Number) {
    GrantRequest Asked = request(Number, 0, Now + milliseconds(1000));
    Asked.Objective_ = Now + milliseconds(500);
    Target.requestGrant(Asked, Now);
    Target.setCanaryGrants(Allowed);
    for (const Decision &Made : Target.decide(Now))
      Granted.push_back(std::get<GrantDecision>(Made).Server_);
  }
  CHECK(Granted ==
        std::vector{ServerName("canary"), ServerName("a"), ServerName("a")});
}
