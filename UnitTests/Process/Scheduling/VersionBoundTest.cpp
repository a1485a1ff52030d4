/// \file
/// Requests that only servers of one version may run. Load pattern: a server
/// with a batch of streams ends, and all of them go on at once.

#include "Process/Scheduling/Scheduler.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};
constexpr std::uint32_t Slots = 4;
constexpr std::uint64_t Bound = 30;

std::vector<ServerCapacity> serversOfTwoVersions(bool HoldsV2, bool V1Active) {
  std::vector<ServerCapacity> Servers;
  for (int Index = 0; Index < 4; ++Index) {
    ServerCapacity Server;
    Server.Name_ = ServerName(fmt::format("engine-{}", Index));
    Server.MaxInFlight_ = Slots;
    Server.Version_ = SoftwareVersion(Index < 2 ? "v1" : "v2");
    Server.HeldBack_ = HoldsV2 && Index >= 2;
    Server.Active_ = V1Active || Index >= 2;
    Servers.push_back(std::move(Server));
  }
  return Servers;
}

Scheduler schedulerOfTwoVersions(bool HoldsV2 = false) {
  Scheduler::Options Options;
  Options.GuaranteedShare_ = 0.15;
  Options.Preempt_ = false;
  Scheduler Built(Options);
  Built.configure(serversOfTwoVersions(HoldsV2, /*V1Active=*/true), {}, 1,
                  1000);
  return Built;
}

GrantRequest request(std::uint64_t Number, const std::string &Version) {
  GrantRequest Built;
  Built.Id_ = {1, Number};
  Built.Customer_ = CustomerName("c");
  Built.Deadline_ = Start + milliseconds(10000);
  Built.Objective_ = Start + milliseconds(500);
  Built.MaxWait_ = milliseconds(400);
  Built.Prompt_ = Tokens(10);
  Built.Answer_ = Tokens(10);
  Built.Version_ = SoftwareVersion(Version);
  return Built;
}

std::size_t grantsOf(const std::vector<Decision> &Decisions,
                     const std::vector<std::string> &Engines) {
  return static_cast<std::size_t>(
      std::ranges::count_if(Decisions, [&](const Decision &Made) {
        const auto *Grant = std::get_if<GrantDecision>(&Made);
        return Grant && std::ranges::count(Engines, Grant->Server_.str()) > 0;
      }));
}

} // namespace

TEST_CASE("streams that go on fill the servers of their version and no other") {
  // Guards against a stream that a server of another version goes on with.
  Scheduler Keeper = schedulerOfTwoVersions();
  for (std::uint64_t Number = 1; Number <= Bound; ++Number)
    CHECK(Keeper.requestGrant(request(Number, "v1"), Start).empty());
  auto Decisions = Keeper.decide(Start);
  CHECK(grantsOf(Decisions, {"engine-0", "engine-1"}) == 2 * Slots);
  CHECK(grantsOf(Decisions, {"engine-2", "engine-3"}) == 0);
}

TEST_CASE("streams that wait for their version hold up no other request") {
  // Guards against free servers of one version while requests that any version
  // may run wait behind streams of another one.
  Scheduler Keeper = schedulerOfTwoVersions();
  for (std::uint64_t Number = 1; Number <= Bound; ++Number)
    Keeper.requestGrant(request(Number, "v1"), Start);
  for (std::uint64_t Number = 1; Number <= Slots; ++Number)
    Keeper.requestGrant(request(Bound + Number, ""), Start);
  CHECK(grantsOf(Keeper.decide(Start), {"engine-2", "engine-3"}) == Slots);
}

TEST_CASE("servers of a version that is held back get only its streams") {
  // Guards against streams that are refused although their servers are there,
  // and against new requests at a version that is held back.
  Scheduler Keeper = schedulerOfTwoVersions(/*HoldsV2=*/true);
  for (std::uint64_t Number = 1; Number <= Bound; ++Number)
    Keeper.requestGrant(request(Number, ""), Start);
  auto Decisions = Keeper.decide(Start);
  CHECK(grantsOf(Decisions, {"engine-0", "engine-1"}) == 2 * Slots);
  CHECK(grantsOf(Decisions, {"engine-2", "engine-3"}) == 0);
  for (std::uint64_t Number = 1; Number <= Bound; ++Number)
    CHECK(Keeper.requestGrant(request(Bound + Number, "v2"), Start).empty());
  Decisions = Keeper.decide(Start);
  CHECK(grantsOf(Decisions, {"engine-2", "engine-3"}) == 2 * Slots);
}

TEST_CASE("streams go on at a version that is held back where nothing else is "
          "usable") {
  // Guards against refusing them with the requests that no server may run.
  Scheduler Keeper = schedulerOfTwoVersions(/*HoldsV2=*/true);
  Keeper.requestGrant(request(1, ""), Start);
  Keeper.requestGrant(request(2, "v2"), Start);
  Keeper.configure(serversOfTwoVersions(/*HoldsV2=*/true, /*V1Active=*/false),
                   {}, 1, 1000);
  auto Decisions = Keeper.decide(Start);
  CHECK(grantsOf(Decisions, {"engine-2", "engine-3"}) == 1);
  CHECK(std::ranges::count_if(Decisions, [](const Decision &Made) {
          const auto *Refused = std::get_if<RefuseDecision>(&Made);
          return Refused && Refused->Id_ == RequestId{1, 1};
        }) == 1);
}

TEST_CASE("a stream that began is not refused for what others wait for") {
  // Guards against refusing streams that are taken up while servers of their
  // version are free, because of the queue for those of another one.
  constexpr std::uint64_t Queued = 400;
  constexpr milliseconds Service{1000};
  Scheduler::Options Options;
  Options.RefuseLongWaits_ = true;
  Options.Preempt_ = false;
  Scheduler Keeper(Options);
  Keeper.configure(serversOfTwoVersions(/*HoldsV2=*/true, /*V1Active=*/true),
                   {}, 1, 1000);
  auto Now = Start;
  for (std::uint64_t Number = 1; Number <= 2 * Slots; ++Number)
    Keeper.requestGrant(request(Number, ""), Now);
  Keeper.decide(Now);
  Now += Service;
  ServedSample Sample;
  Sample.Reached_ = Sample.Complete_ = true;
  Sample.Duration_ = Service;
  for (std::uint64_t Number = 1; Number <= 2 * Slots; ++Number)
    Keeper.done({1, Number}, Sample, Now);
  auto Asked = [&](std::uint64_t Number, const std::string &Version) {
    GrantRequest Built = request(Number, Version);
    Built.Deadline_ = Now + milliseconds(10000);
    Built.Objective_ = Now + milliseconds(500);
    return Keeper.requestGrant(std::move(Built), Now);
  };
  std::size_t Refused = 0;
  for (std::uint64_t Number = 1; Number <= Queued; ++Number)
    Refused += Asked(1000 + Number, "").size();
  CHECK(Refused > 0);
  CHECK(Asked(5000, "v2").empty());
  CHECK(grantsOf(Keeper.decide(Now), {"engine-2", "engine-3"}) == 1);
}

TEST_CASE("a stream whose version has no server left is refused at once") {
  // Guards against callers that wait for a server that can't come.
  Scheduler Keeper = schedulerOfTwoVersions();
  auto Decisions = Keeper.requestGrant(request(1, "v3"), Start);
  REQUIRE(Decisions.size() == 1);
  const auto *Refused = std::get_if<RefuseDecision>(&Decisions.front());
  REQUIRE(Refused);
  CHECK(Refused->Code_ == ResultCode::NoBackendServer);
}
