/// \file
/// Tests which parts of prompts count as the cause of their servers' crashes.

#include "Process/Scheduling/CrashHistory.h"
#include "Process/Scheduling/Scheduler.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

using namespace samphireshunt;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint Start{hours(1000)};
const RequestFingerprint Deadly = partKey(1);
const RequestFingerprint Popular = partKey(2);
const RequestFingerprint Rare = partKey(3);

/// Crashes a server, of a name of its own, under requests with these parts.
class Crashes {
public:
  void crash(const std::vector<RequestFingerprint> &Parts,
             TimePoint Dispatched) {
    ServerName Server(fmt::format("server-{}", ++Count_));
    for (const RequestFingerprint &Part : Parts)
      History_.recordCrash(Part, Server, Dispatched, Now_);
  }
  RequestStanding standing(const RequestFingerprint &Part) const {
    return History_.standing(Part, Now_);
  }

  CrashHistory History_;
  TimePoint Now_ = Start;

private:
  int Count_ = 0;
};

} // namespace

TEST_CASE("different requests that crash servers side by side convict the part "
          "that they share") {
  // Guards against crashes that count as one because their requests were
  // dispatched together.
  Crashes Load;
  for (std::uint64_t Number = 0; Number < 3; ++Number) {
    CHECK(Load.standing(Deadly) != RequestStanding::Refused);
    Load.crash({Deadly, partKey(100 + Number)}, Start);
    Load.Now_ += milliseconds(300);
  }
  CHECK(Load.standing(Deadly) == RequestStanding::Refused);
  for (std::uint64_t Number = 0; Number < 3; ++Number)
    CHECK(Load.standing(partKey(100 + Number)) == RequestStanding::Unsuspected);
}

TEST_CASE("a part that completes between crashes is sound") {
  // Guards against the refusal of a popular part, which is at each server.
  Crashes Load;
  for (int Round = 0; Round < 10; ++Round) {
    Load.Now_ += milliseconds(900);
    Load.crash({Popular, Deadly}, Load.Now_ - milliseconds(100));
    Load.History_.recordCompleted(Popular, Load.Now_ + milliseconds(10));
    CHECK(Load.standing(Popular) == RequestStanding::Unsuspected);
  }
  CHECK(Load.standing(Deadly) == RequestStanding::Refused);
}

TEST_CASE("the loss of many servers at one moment convicts no part") {
  // Guards against parts that are refused because a rack lost power.
  Crashes Load;
  for (int Number = 0; Number < 8; ++Number) {
    Load.Now_ += milliseconds(10);
    Load.crash({Rare}, Start - milliseconds(100));
  }
  CHECK(Load.standing(Rare) == RequestStanding::Unsuspected);
}

TEST_CASE("a crash that a refused part explains convicts no other part") {
  // Guards against a rare part that is refused because it came with the one
  // that crashes servers.
  Crashes Load;
  Load.History_.recordCompleted(Rare, Load.Now_);
  for (int Number = 0; Number < 3; ++Number) {
    Load.Now_ += seconds(1);
    Load.crash({Deadly, Rare}, Load.Now_ - milliseconds(100));
  }
  CHECK(Load.standing(Deadly) == RequestStanding::Refused);
  CHECK(Load.standing(Rare) == RequestStanding::Unsuspected);
  // Alone it is judged by its own crashes.
  for (int Number = 0; Number < 6; ++Number) {
    Load.Now_ += seconds(1);
    Load.crash({Rare}, Load.Now_ - milliseconds(100));
  }
  CHECK(Load.standing(Rare) == RequestStanding::Refused);
}

TEST_CASE("a part that completed earlier is refused when it does so no more") {
  // Guards against a part that was sound until now.
  Crashes Load;
  Load.History_.recordCompleted(Deadly, Load.Now_);
  for (int Number = 0; Number < 6; ++Number) {
    Load.Now_ += milliseconds(500);
    Load.crash({Deadly}, Load.Now_ - milliseconds(100));
  }
  CHECK(Load.standing(Deadly) == RequestStanding::Refused);
}

TEST_CASE("a part of most prompts is not refused while nothing can complete") {
  // Guards against a minute without service after most servers crashed within a
  // second, for several reasons, also at a daemon that has just started.
  Crashes Load;
  Load.History_.recordCompleted(Popular, Load.Now_);
  Crashes Started;
  for (int Number = 0; Number < 7; ++Number) {
    Load.Now_ += milliseconds(260);
    Started.Now_ = Load.Now_;
    Started.crash({Popular}, Load.Now_ - milliseconds(100));
    Load.History_.merge(*Started.History_.find(Popular), Load.Now_);
    Started.History_.merge(*Load.History_.find(Popular), Load.Now_);
    CHECK(Load.standing(Popular) != RequestStanding::Refused);
    CHECK(Started.standing(Popular) != RequestStanding::Refused);
  }
}

TEST_CASE("a popular part does not displace what else has completed") {
  // Guards against a memory that is full of one part's completions.
  Crashes Load;
  Load.History_.recordCompleted(Rare, Load.Now_);
  for (int Number = 0; Number < 10000; ++Number) {
    Load.Now_ += milliseconds(10);
    Load.History_.recordCompleted(Popular, Load.Now_);
  }
  for (int Number = 0; Number < 3; ++Number) {
    Load.Now_ += seconds(1);
    Load.crash({Rare}, Load.Now_ - milliseconds(100));
  }
  CHECK(Load.standing(Rare) == RequestStanding::Suspected);
}

TEST_CASE("a refused part is tried again, later each time") {
  // Guards against a part that stays refused for good, and against trials that
  // crash one server after the other.
  Crashes Load;
  for (int Number = 0; Number < 3; ++Number) {
    Load.Now_ += seconds(1);
    Load.crash({Deadly}, Load.Now_ - milliseconds(100));
  }
  Load.Now_ += seconds(9);
  CHECK(Load.standing(Deadly) == RequestStanding::Refused);
  Load.Now_ += seconds(2);
  CHECK(Load.standing(Deadly) == RequestStanding::Suspected);
  Load.crash({Deadly}, Load.Now_ - milliseconds(100));
  Load.Now_ += seconds(70);
  CHECK(Load.standing(Deadly) == RequestStanding::Refused);
  Load.Now_ += seconds(20);
  Load.History_.recordCompleted(Deadly, Load.Now_);
  CHECK(Load.standing(Deadly) == RequestStanding::Unsuspected);
}

TEST_CASE("requests with a suspected part run one at a time, and are refused "
          "when the part is") {
  // Guards against requests that are all different and crash several servers at
  // once while their part is suspected, or that still wait when it is refused.
  Scheduler Keeper{Scheduler::Options()};
  RequestStanding Standing = RequestStanding::Suspected;
  Keeper.setStandingHook([&](const RequestFingerprint &Key) {
    return Key == Deadly ? Standing : RequestStanding::Unsuspected;
  });
  std::vector<ServerCapacity> Servers;
  for (int Index = 0; Index < 3; ++Index)
    Servers.push_back({ServerName(fmt::format("server-{}", Index)), 4});
  Keeper.configure(std::move(Servers), {}, 1, 1000);
  auto Send = [&](std::uint64_t Number, std::vector<PromptPart> Parts) {
    GrantRequest Request;
    Request.Id_ = {1, Number};
    Request.Customer_ = CustomerName("c");
    Request.Deadline_ = Start + seconds(10);
    Request.Parts_ = std::move(Parts);
    Request.Prefix_ = prefixHashes(Request.Parts_);
    return Keeper.requestGrant(std::move(Request), Start);
  };
  for (std::uint64_t Number = 1; Number <= 5; ++Number)
    Send(Number, {{Deadly.Low_, Tokens(5)}, {100 + Number, Tokens(5)}});
  // As the last part it belongs to one request alone.
  Send(6, {{Popular.Low_, Tokens(5)}, {Deadly.Low_, Tokens(5)}});
  CHECK(Keeper.decide(Start).size() == 2);
  CHECK(Keeper.waiting() == 4);
  Standing = RequestStanding::Refused;
  auto Refused = Keeper.refuseCrashing(Deadly);
  CHECK(Refused.size() == 4);
  CHECK(std::get<RefuseDecision>(Refused.front()).Code_ ==
        ResultCode::PromptPartCrashesServers);
  CHECK(Send(7, {{Deadly.Low_, Tokens(5)}, {107, Tokens(5)}}).size() == 1);
}
