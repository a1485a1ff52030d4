/// \file
/// Tests how many requests a server gets that names the rate that it accepts.

#include "Process/Scheduling/Scheduler.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint Start{seconds(1000)};
constexpr milliseconds Step{10};
const ServerName Limited("limited");
const ServerName Other("other");

/// Returns the largest number of requests within some 4 s.
std::size_t mostIn4Seconds(const std::vector<TimePoint> &Times) {
  std::size_t Most = 0;
  for (auto First = Times.begin(); First != Times.end(); ++First) {
    auto End =
        std::ranges::upper_bound(First, Times.end(), *First + seconds(4));
    Most = std::max(Most, static_cast<std::size_t>(End - First));
  }
  return Most;
}

/// Returns the largest number of requests that a server with the rate may get
/// in 4 s.
std::size_t allowedIn4Seconds(RequestRate Rate) {
  constexpr double Slack = 5;
  return static_cast<std::size_t>(4 * 1.5 * Rate.perSecond() + Slack);
}

/// A keeper with two engines of which one names a rate in each answer.
class LimitedKeeper {
public:
  explicit LimitedKeeper(std::uint32_t Slots = 4) : Slots_(Slots) {
    configure(1);
  }

  void configure(std::uint64_t Process) {
    Scheduler_.configure(
        {{Limited, Slots_, true, Tokens(0), 0, Incarnation(Process)},
         {Other, Slots_, true, Tokens(0), 0, Incarnation(1)}},
        {}, 1, 1000);
  }
  void name(const std::optional<RequestRate> &Named, const RequestId &Id = {}) {
    Scheduler_.limitRead(Limited, Id, Named, Now_);
  }
  RequestId send() {
    GrantRequest Request;
    Request.Id_ = {1, NextId_++};
    Request.Customer_ = CustomerName("customer");
    Request.Deadline_ = Now_ + seconds(60);
    RequestId Id = Request.Id_;
    apply(Scheduler_.requestGrant(std::move(Request), Now_));
    return Id;
  }
  /// Runs for \p Duration with \p PerStep new requests in each step. A request
  /// is answered in the step after its grant.
  void run(milliseconds Duration, int PerStep) {
    for (auto End = Now_ + Duration; Now_ < End; Now_ += Step) {
      for (int Number = 0; Number < PerStep; ++Number)
        send();
      apply(Scheduler_.decide(Now_));
      auto Ended = std::exchange(Granted_, {});
      for (const GrantDecision &Grant : Ended)
        answer(Grant);
    }
  }
  void answer(const GrantDecision &Grant) {
    if (Grant.Server_ == Limited && NamedInAnswers_)
      name(NamedInAnswers_, Grant.Id_);
    ServedSample Sample;
    Sample.Reached_ = Sample.Complete_ = true;
    Sample.Duration_ = Step;
    Scheduler_.done(Grant.Id_, Sample, Now_);
  }
  void apply(const std::vector<Decision> &Decisions) {
    for (const Decision &Made : Decisions) {
      if (std::holds_alternative<RefuseDecision>(Made))
        ++Refused_;
      const auto *Grant = std::get_if<GrantDecision>(&Made);
      if (!Grant)
        continue;
      Granted_.push_back(*Grant);
      if (Grant->Server_ == Limited)
        ToLimited_.push_back(Now_);
    }
  }

  Scheduler Scheduler_{Scheduler::Options()};
  std::uint32_t Slots_;
  TimePoint Now_ = Start;
  std::uint64_t NextId_ = 1;
  std::optional<RequestRate> NamedInAnswers_;
  std::vector<GrantDecision> Granted_;
  std::vector<TimePoint> ToLimited_;
  int Refused_ = 0;
};

} // namespace

TEST_CASE("a server that looks idle gets the rate that it names and no more") {
  // Guards against a server in need that gets most requests, since it is the
  // least loaded one, and against one that gets none.
  for (double PerSecond : {0.4, 1.4, 5.0, 40.0}) {
    RequestRate Rate(PerSecond);
    LimitedKeeper Keeper;
    Keeper.NamedInAnswers_ = Rate;
    Keeper.name(Rate);
    Keeper.run(seconds(20), 2);
    CHECK(mostIn4Seconds(Keeper.ToLimited_) <= allowedIn4Seconds(Rate));
    CHECK(static_cast<double>(Keeper.ToLimited_.size()) >=
          0.8 * PerSecond * 20 - 1);
    CHECK(Keeper.Refused_ == 0);
  }
}

TEST_CASE("a limit ends with an answer that names none") {
  // Guards against a server that is limited for ever, and against a late answer
  // from before the limit that ends it.
  LimitedKeeper Keeper(1);
  Keeper.send();
  Keeper.send();
  Keeper.apply(Keeper.Scheduler_.decide(Keeper.Now_));
  REQUIRE(Keeper.ToLimited_.size() == 1);
  auto Earlier =
      std::ranges::find(Keeper.Granted_, Limited, &GrantDecision::Server_)->Id_;
  Keeper.Now_ += Step;
  Keeper.name(RequestRate(2));
  Keeper.name(std::nullopt, Earlier);
  const ServerModel &Model = *Keeper.Scheduler_.server(Limited);
  CHECK(Model.rate().named() == RequestRate(2));
  ServedSample Sample;
  Sample.Reached_ = Sample.Complete_ = true;
  Keeper.Scheduler_.done(Earlier, Sample, Keeper.Now_);
  Keeper.Granted_.clear();
  Keeper.Now_ += seconds(1);
  Keeper.send();
  Keeper.apply(Keeper.Scheduler_.decide(Keeper.Now_));
  REQUIRE(Keeper.Granted_.size() == 1);
  CHECK(Keeper.Granted_.front().Limited_);
  Keeper.name(std::nullopt, Keeper.Granted_.front().Id_);
  CHECK_FALSE(Model.rate().named().has_value());
}

TEST_CASE("a server that starts again has no limit") {
  // Guards against a limit that outlives the process that named it.
  LimitedKeeper Keeper;
  Keeper.name(RequestRate(1));
  Keeper.configure(2);
  CHECK_FALSE(Keeper.Scheduler_.server(Limited)->rate().named().has_value());
}

TEST_CASE("keepers that follow each other don't add up") {
  // Guards against a new keeper that begins with requests of its own while
  // those of the one before count too.
  RequestRate Rate(1.4);
  std::vector<TimePoint> All;
  TimePoint Now = Start;
  for (int Number = 0; Number < 8; ++Number) {
    LimitedKeeper Keeper;
    Keeper.Now_ = Now;
    Keeper.NamedInAnswers_ = Rate;
    Keeper.name(Rate);
    Keeper.run(milliseconds(900), 2);
    Now = Keeper.Now_;
    std::ranges::copy(Keeper.ToLimited_, std::back_inserter(All));
  }
  CHECK(mostIn4Seconds(All) <= allowedIn4Seconds(Rate));
  CHECK(All.size() >= 4);
}

TEST_CASE("two keepers of one cell stay within the bound together") {
  // Guards against a daemon that stands in for a keeper while that one grants
  // too.
  RequestRate Rate(10);
  LimitedKeeper Keeper;
  LimitedKeeper StandIn;
  constexpr double StandInShare = 0.5;
  StandIn.Scheduler_.setRateShare(StandInShare);
  std::vector<TimePoint> All;
  for (LimitedKeeper *Each : {&Keeper, &StandIn}) {
    Each->NamedInAnswers_ = Rate;
    Each->name(Rate);
    Each->run(seconds(10), 2);
    std::ranges::copy(Each->ToLimited_, std::back_inserter(All));
  }
  std::ranges::sort(All);
  CHECK(mostIn4Seconds(All) <= allowedIn4Seconds(Rate));
}

TEST_CASE("a grant that was not used counts for nothing") {
  // Guards against a server that gets less than it asks for.
  LimitedKeeper Keeper;
  Keeper.name(RequestRate(1));
  Keeper.Now_ += seconds(2);
  Keeper.apply(Keeper.Scheduler_.decide(Keeper.Now_));
  for (int Number = 0; Number < 12; ++Number)
    Keeper.send();
  Keeper.apply(Keeper.Scheduler_.decide(Keeper.Now_));
  REQUIRE(Keeper.ToLimited_.size() == 1);
  auto Grant =
      *std::ranges::find(Keeper.Granted_, Limited, &GrantDecision::Server_);
  Keeper.Scheduler_.done(Grant.Id_, ServedSample(), Keeper.Now_);
  Keeper.apply(Keeper.Scheduler_.decide(Keeper.Now_));
  CHECK(Keeper.ToLimited_.size() == 2);
}

TEST_CASE("only a decimal number is a rate") {
  // Guards against a broken server that stops all requests to it, or is no
  // longer limited.
  CHECK(parseRequestRate("1.4").value() == RequestRate(1.4));
  CHECK(parseRequestRate("0").value() == RequestRate(0));
  CHECK(parseRequestRate("250").value() == RequestRate(250));
  std::string Endless(400, '9');
  for (const std::string &Bad :
       {std::string(), std::string("-1"), std::string("-0"), std::string("nan"),
        std::string("inf"), std::string("1e400"), std::string("1e2"),
        std::string("1,2"), std::string("1 2"), std::string("+1"),
        std::string("0x10"), std::string("soon"), Endless})
    CHECK_FALSE(parseRequestRate(Bad).has_value());
}

TEST_CASE("a server that names nearly nothing is still asked at times") {
  // Guards against a limit of which nobody learns that it is over.
  LimitedKeeper Keeper;
  Keeper.NamedInAnswers_ = RequestRate(0);
  Keeper.name(RequestRate(0));
  Keeper.run(seconds(20), 2);
  CHECK(Keeper.ToLimited_.size() >= 3);
  CHECK(mostIn4Seconds(Keeper.ToLimited_) <= 5);
}
