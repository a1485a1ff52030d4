/// \file
/// Backups of runs in the keeper's grants, and requests that go on with a run.

#include "Process/Scheduling/Scheduler.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};

/// Engines with one slot each.
Scheduler scheduler(std::size_t Engines, bool Backups = true) {
  Scheduler Built{Scheduler::Options()};
  std::vector<ServerCapacity> Servers;
  for (std::size_t Index = 0; Index < Engines; ++Index) {
    ServerCapacity Server;
    Server.Name_ = ServerName(fmt::format("engine-{}", Index));
    Server.MaxInFlight_ = 1;
    Servers.push_back(std::move(Server));
  }
  Built.configure(std::move(Servers), {}, 1, 1000);
  Built.setBackups(Backups, {});
  return Built;
}

GrantRequest request(std::uint64_t Number, bool NonIdempotent = true) {
  GrantRequest Built;
  Built.Id_ = {1, Number};
  Built.Customer_ = CustomerName("c");
  Built.Deadline_ = Start + milliseconds(30000);
  Built.Objective_ = Start + milliseconds(5000);
  Built.Prompt_ = Tokens(10);
  Built.Answer_ = Tokens(100);
  Built.NonIdempotent_ = NonIdempotent;
  return Built;
}

std::vector<GrantDecision> grants(Scheduler &Keeper, TimePoint Now) {
  std::vector<GrantDecision> Found;
  for (const Decision &Made : Keeper.decide(Now))
    if (const auto *Grant = std::get_if<GrantDecision>(&Made))
      Found.push_back(*Grant);
  return Found;
}

/// \returns the grant of a request, where each engine has crashed before.
GrantDecision grantAfterCrashes(bool Backups, bool Crashed,
                                bool NonIdempotent) {
  Scheduler Keeper = scheduler(4, Backups);
  for (std::uint64_t Number = 1; Number <= 4; ++Number)
    CHECK(Keeper.requestGrant(request(Number), Start).empty());
  auto Before = grants(Keeper, Start);
  CHECK(Before.size() == 4);
  for (const GrantDecision &Grant : Before) {
    CHECK(Grant.Backup_.empty());
    ServedSample Sample;
    Sample.Reached_ = true;
    Sample.Crashed_ = Crashed;
    // Engines differ in speed, and runs take some time.
    Sample.Complete_ = true;
    Sample.Duration_ = std::chrono::seconds(2);
    Sample.FirstToken_ = milliseconds(100);
    Sample.Generated_ = Tokens(100);
    Keeper.done(Grant.Id_, Sample, Start + milliseconds(2000));
  }
  TimePoint Now = Start + milliseconds(2100);
  CHECK(Keeper.requestGrant(request(9, NonIdempotent), Now).empty());
  auto After = grants(Keeper, Now);
  REQUIRE(After.size() == 1);
  return After.front();
}

} // namespace

TEST_CASE("runs that can't be repeated are backed up after crashes only") {
  // Guards against backups on calm days, of runs that are simply repeated, and
  // where engines make none.
  GrantDecision Lost = grantAfterCrashes(true, true, true);
  CHECK_FALSE(Lost.Backup_.empty());
  CHECK(Lost.Backup_ != Lost.Server_);
  CHECK(grantAfterCrashes(true, false, true).Backup_.empty());
  CHECK(grantAfterCrashes(true, true, false).Backup_.empty());
  CHECK(grantAfterCrashes(false, true, true).Backup_.empty());
}

TEST_CASE("a request that goes on with a run is granted before new ones") {
  // Guards against a caller in mid-stream who waits behind callers that have
  // got nothing yet.
  Scheduler Keeper = scheduler(1);
  for (std::uint64_t Number = 1; Number <= 5; ++Number)
    CHECK(Keeper.requestGrant(request(Number), Start).empty());
  GrantRequest Continuing = request(9);
  Continuing.OnlyServer_ = ServerName("engine-0");
  CHECK(Keeper.requestGrant(Continuing, Start + milliseconds(1)).empty());
  auto First = grants(Keeper, Start + milliseconds(2));
  REQUIRE(First.size() == 1);
  CHECK(First.front().Id_ == Continuing.Id_);
}
