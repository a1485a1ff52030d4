#include "Request/HeldAnswer.h"

#include "Connection/MemoryWait.h"

#include <chrono>

namespace samphireshunt {

namespace {

/// An answer that waits holds its server's slot.
constexpr std::chrono::milliseconds MaxWait{1000};

} // namespace

Awaitable<bool> awaitRoom(AnswerTurn &Turn, MemoryUse &Held, std::size_t Bytes,
                          std::function<bool()> IsOver) {
  if (Turn.tooLarge(Bytes))
    co_return false;
  auto Take = [&] { return Turn.grow(Held, Bytes); };
  co_return co_await waitForMemory(MaxWait, std::move(Take), std::move(IsOver));
}

} // namespace samphireshunt
