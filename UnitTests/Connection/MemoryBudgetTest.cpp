#include "Connection/MemoryBudget.h"

#include <doctest/doctest.h>

#include <memory>
#include <utility>
#include <vector>

using namespace samphireshunt;

namespace {

constexpr std::size_t Limit = 1000000;

} // namespace

TEST_CASE("the levels of a memory budget") {
  // Guards against a daemon that takes in bodies until it is out of memory.
  MemoryBudget Budget(Limit);
  MemoryUse Body(Budget, MemoryOwner::RequestBodies);
  CHECK(Budget.hasRoomFor(2 * Limit));
  Body.set(499999);
  CHECK(Budget.level() == MemoryLevel::Free);
  CHECK_FALSE(Budget.hasRoomFor(1));
  Body.set(500000);
  CHECK(Budget.level() == MemoryLevel::Tight);
  Body.set(900000);
  CHECK(Budget.level() == MemoryLevel::Full);
  CHECK(Budget.used(MemoryOwner::RequestBodies) == 900000);
  CHECK(Budget.used(MemoryOwner::Answers) == 0);
}

TEST_CASE("memory is given back when its use ends") {
  // Guards against a budget that fills up with requests that have ended.
  MemoryBudget Budget(Limit);
  {
    MemoryUse Body(Budget, MemoryOwner::RequestBodies);
    Body.set(Limit);
    auto Reader = Budget.addReader([] {});
    Reader->setPending(Limit);
  }
  CHECK(Budget.used() == 0);
  CHECK(Budget.level() == MemoryLevel::Free);
}

TEST_CASE("without a limit the level of a memory budget is always free") {
  // Guards against callers that are ended where no limit is configured.
  MemoryBudget Budget(0);
  int Ended = 0;
  auto Reader = Budget.addReader([&] { ++Ended; });
  Reader->setPending(1000 * Limit);
  CHECK(Budget.level() == MemoryLevel::Free);
  CHECK(Budget.hasRoomFor(Limit));
  CHECK(Ended == 0);
}

TEST_CASE("at a full memory budget only the slowest reader is ended") {
  // Guards against all readers ended before the first one's bytes are free.
  MemoryBudget Budget(Limit);
  std::vector<int> Ended;
  auto First = Budget.addReader([&] { Ended.push_back(1); });
  auto Slowest = Budget.addReader([&] { Ended.push_back(2); });
  First->setPending(300000);
  Slowest->setPending(500000);
  MemoryUse Body(Budget, MemoryOwner::RequestBodies);
  Body.set(100000);
  First->setPending(310000);
  CHECK(Ended == std::vector{2});
  Slowest.reset();
  Body.set(600000);
  CHECK(Ended == std::vector{2, 1});
  CHECK(Budget.readersEnded() == 2);
}

TEST_CASE("a reader with little to read is not ended") {
  // Guards against quick callers ended for the bodies of others.
  MemoryBudget Budget(Limit);
  int Ended = 0;
  auto Quick = Budget.addReader([&] { ++Ended; });
  Quick->setPending(65535);
  MemoryUse Body(Budget, MemoryOwner::RequestBodies);
  Body.set(Limit);
  CHECK(Ended == 0);
}

TEST_CASE("use around a bound of a memory budget is reported once") {
  // Guards against a log that is filled with changes of the level.
  MemoryBudget Budget(Limit);
  std::vector<MemoryLevel> Reported;
  Budget.onLevelChanged([&](MemoryLevel Now) { Reported.push_back(Now); });
  MemoryUse Body(Budget, MemoryOwner::RequestBodies);
  for (int Time = 0; Time < 10; ++Time) {
    Body.set(510000);
    Body.set(490000);
  }
  CHECK(Reported == std::vector{MemoryLevel::Tight});
  Body.set(0);
  CHECK(Reported == std::vector{MemoryLevel::Tight, MemoryLevel::Free});
}

TEST_CASE("a body that is being read doesn't stand in its own way") {
  // Guards against a body that waits for its own bytes to be given back.
  MemoryBudget Budget(Limit);
  MemoryUse Body(Budget, MemoryOwner::RequestBodies);
  Body.set(2 * Limit);
  CHECK(Budget.hasRoomFor(3 * Limit, Body.bytes()));
  MemoryUse Other(Budget, MemoryOwner::RequestBodies);
  Other.set(1);
  CHECK_FALSE(Budget.hasRoomFor(3 * Limit, Body.bytes()));
}

TEST_CASE("a message without end leaves room for the others") {
  // Guards against a daemon whose memory one server's answer takes.
  MemoryBudget Budget(0, Limit);
  MemoryUse Endless(Budget, MemoryOwner::Answers);
  std::size_t Held = 0;
  while (Held < Limit && Endless.grow(Held + 1000))
    Held += 1000;
  CHECK(Held == Limit / 2);
  CHECK(Endless.bytes() == Held);
  MemoryUse Sound(Budget, MemoryOwner::Answers);
  CHECK(Sound.grow(Limit / 4));
  MemoryUse Body(Budget, MemoryOwner::RequestBodies);
  CHECK(Body.grow(Limit / 2));
}

TEST_CASE("many messages without end stay below the limit") {
  // Guards against a daemon whose memory many servers' answers take together.
  constexpr std::size_t Count = 10;
  MemoryBudget Budget(0, 10 * Limit);
  std::vector<std::unique_ptr<MemoryUse>> Endless;
  while (Endless.size() < Count)
    Endless.push_back(
        std::make_unique<MemoryUse>(Budget, MemoryOwner::Answers));
  bool Grown = true;
  while (std::exchange(Grown, false))
    for (auto &Use : Endless)
      Grown |= Use->grow(Use->bytes() + 1000);
  CHECK(Budget.used() < 10 * Limit);
  CHECK(Budget.used() > 8 * Limit);
}

TEST_CASE("a short message is held whatever the others take") {
  // Guards against answers that are lost because callers read others slowly.
  MemoryBudget Budget(0, Limit);
  auto Reader = Budget.addReader([] {});
  Reader->setPending(2 * Limit);
  MemoryUse Short(Budget, MemoryOwner::Answers);
  CHECK(Short.grow(KernelBufferBytes));
  CHECK_FALSE(Short.grow(KernelBufferBytes + 1));
  CHECK(Short.bytes() == KernelBufferBytes);
}

TEST_CASE("with a limit of the budget an answer is bounded by itself") {
  // Guards against one answer without end that holds the turn of all others.
  MemoryBudget Budget(Limit, Limit / 2);
  MemoryUse First(Budget, MemoryOwner::Answers);
  MemoryUse Second(Budget, MemoryOwner::Answers);
  CHECK(First.grow(Limit / 2));
  CHECK(Second.grow(Limit / 2));
  CHECK_FALSE(Second.grow(Limit / 2 + 1));
}

TEST_CASE("a message that fits if it is alone is no fault of its sender") {
  // Guards against sound servers that are left for the daemon's own shortage.
  MemoryBudget Budget(0, Limit);
  CHECK_FALSE(Budget.tooLargeAlone(Limit / 2));
  CHECK(Budget.tooLargeAlone(Limit / 2 + 1));
  CHECK_FALSE(MemoryBudget(0).tooLargeAlone(1000 * Limit));
}

TEST_CASE("the answer whose turn it is ends, and the others wait") {
  // Guards against answers that all end for lack of room, or wait for each
  // other: none of them was whole.
  MemoryBudget Budget(0, Limit);
  MemoryUse First(Budget, MemoryOwner::Answers);
  MemoryUse Second(Budget, MemoryOwner::Answers);
  AnswerTurn FirstTurn(Budget);
  auto SecondTurn = std::make_unique<AnswerTurn>(Budget);
  std::size_t Each = Limit / 3;
  CHECK(FirstTurn.grow(First, Each));
  CHECK(SecondTurn->grow(Second, Each));
  CHECK(FirstTurn.grow(First, Limit / 2));
  CHECK_FALSE(SecondTurn->grow(Second, Limit / 2));
  CHECK(Second.bytes() == Each);
  CHECK_FALSE(FirstTurn.tooLarge(Limit / 2));
  CHECK_FALSE(FirstTurn.grow(First, Limit / 2 + 1));
  CHECK(FirstTurn.tooLarge(Limit / 2 + 1));
}

TEST_CASE("answers that had their turn are bounded together") {
  // Guards against whole answers that wait for slow callers while the next one
  // has its turn.
  MemoryBudget Budget(0, Limit);
  std::vector<std::unique_ptr<MemoryUse>> Held;
  for (int Count = 0; Count < 10; ++Count) {
    Held.push_back(std::make_unique<MemoryUse>(Budget, MemoryOwner::Answers));
    AnswerTurn(Budget).grow(*Held.back(), Limit / 2);
  }
  CHECK(Budget.used() <= Limit + Limit / 2);
}

TEST_CASE("with a limit of the budget the sum of answers is bounded") {
  // Guards against answers that are bounded one by one only.
  MemoryBudget Budget(Limit, Limit / 4);
  std::vector<std::unique_ptr<MemoryUse>> Held;
  for (int Count = 0; Count < 10; ++Count) {
    Held.push_back(std::make_unique<MemoryUse>(Budget, MemoryOwner::Answers));
    Held.back()->grow(Limit / 4);
  }
  CHECK(Budget.used() == Limit);
}
