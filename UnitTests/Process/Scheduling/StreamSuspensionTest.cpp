/// \file
/// The rules by which running streams are selected for suspension.

#include "Process/Scheduling/StreamSuspension.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};
constexpr TierIndex Highest(0);
constexpr std::size_t CellSlots = 40;

SuspensionCandidate candidate(std::uint64_t Number, const std::string &Server) {
  SuspensionCandidate Run;
  Run.Id_ = {1, Number};
  Run.Tier_ = TierIndex(2);
  Run.Server_ = ServerName(Server);
  Run.Rest_ = milliseconds(1000);
  Run.Left_ = milliseconds(20000);
  Run.Slots_ = 4;
  return Run;
}

std::size_t countChosen(const StreamSuspension &Rules,
                        std::vector<SuspensionCandidate> Candidates,
                        std::size_t Slots = CellSlots) {
  return Rules.choose(std::move(Candidates), Highest, 10, Slots).size();
}

} // namespace

TEST_CASE("the lowest tier and the longest rest are suspended first") {
  // Guards against streams of middle tiers that are stopped first.
  SuspensionCandidate Middle = candidate(1, "a");
  Middle.Tier_ = TierIndex(1);
  Middle.Rest_ = milliseconds(3000);
  SuspensionCandidate Short = candidate(2, "b");
  SuspensionCandidate Long = candidate(3, "c");
  Long.Rest_ = milliseconds(2000);
  auto Chosen =
      StreamSuspension().choose({Middle, Short, Long}, Highest, 3, CellSlots);
  REQUIRE(Chosen.size() == 2);
  CHECK(Chosen[0].Id_ == Long.Id_);
  CHECK(Chosen[1].Id_ == Short.Id_);
}

TEST_CASE("streams that can't go on, or end soon, are not suspended") {
  // Guards against streams that are lost for a slot that is free soon anyway.
  SuspensionCandidate SameTier = candidate(1, "a");
  SameTier.Tier_ = Highest;
  SuspensionCandidate EndsSoon = candidate(2, "b");
  EndsSoon.Rest_ = milliseconds(299);
  SuspensionCandidate NoTime = candidate(3, "c");
  NoTime.Left_ = milliseconds(4999);
  for (const auto &Run : {SameTier, EndsSoon, NoTime})
    CHECK(countChosen({}, {Run}) == 0);
  CHECK(countChosen({}, {candidate(4, "d")}) == 1);
}

TEST_CASE("streams that wait count until they go on") {
  // Guards against servers from which no stream is suspended ever again.
  StreamSuspension Rules;
  for (std::uint64_t Number : {1, 2})
    Rules.waits({1, Number}, ServerName("a"));
  CHECK(Rules.stopped() == 2);
  CHECK(countChosen(Rules, {candidate(3, "a")}) == 0);
  CHECK(countChosen(Rules, {candidate(3, "b")}, 4) == 0);
  Rules.goesOn({1, 1});
  CHECK(Rules.stopped() == 1);
  CHECK(countChosen(Rules, {candidate(3, "a")}) == 1);
  CHECK(countChosen(Rules, {candidate(3, "b")}, 4) == 1);
}

TEST_CASE("a stream is suspended twice at most") {
  // Guards against callers that wait again and again.
  StreamSuspension Rules;
  SuspensionCandidate Run = candidate(1, "a");
  for (int Time = 0; Time < 2; ++Time) {
    REQUIRE(countChosen(Rules, {Run}) == 1);
    Rules.ordered(Run, Start);
    CHECK(countChosen(Rules, {Run}) == 0);
    Rules.waits(Run.Id_, Run.Server_);
    Rules.goesOn(Run.Id_);
  }
  CHECK(countChosen(Rules, {Run}) == 0);
  Rules.ended(Run.Id_);
  CHECK(countChosen(Rules, {Run}) == 1);
}

TEST_CASE("an order without an outcome is forgotten") {
  // Guards against slots for copies that lost orders keep for ever.
  StreamSuspension Rules;
  Rules.ordered(candidate(1, "a"), Start);
  Rules.ordered(candidate(2, "b"), Start);
  CHECK(countChosen(Rules, {candidate(3, "c")}) == 0);
  Rules.forgetOld(Start + milliseconds(1000));
  CHECK(Rules.orders() == 2);
  Rules.forgetOld(Start + milliseconds(1001));
  CHECK(Rules.orders() == 0);
  CHECK(countChosen(Rules, {candidate(3, "c")}) == 1);
}

TEST_CASE("a promised server takes no other request") {
  // Guards against suspended streams whose slot higher tiers take each time.
  StreamSuspension Rules;
  Rules.promise(ServerName("a"), {1, 1});
  Rules.promise(ServerName("a"), {1, 2});
  CHECK(Rules.mayTake(ServerName("a"), {1, 1}));
  CHECK(!Rules.mayTake(ServerName("a"), {1, 2}));
  CHECK(Rules.mayTake(ServerName("b"), {1, 2}));
}
