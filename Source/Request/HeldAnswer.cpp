#include "Request/HeldAnswer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace samphireshunt {

namespace {

/// An answer that waits holds its server's slot.
constexpr std::chrono::milliseconds MaxWait{1000};

} // namespace

Awaitable<bool> growAnswer(AnswerTurn &Turn, MemoryUse &Held, std::size_t Bytes,
                           std::function<bool()> IsOver) {
  auto Executor = co_await boost::asio::this_coro::executor;
  boost::asio::steady_timer Timer(Executor);
  auto Waited = MemoryWaitStep * 0;
  while (!Turn.grow(Held, Bytes)) {
    if (Turn.tooLarge(Bytes) || IsOver() || Waited >= MaxWait)
      co_return false;
    Waited += MemoryWaitStep;
    Timer.expires_after(MemoryWaitStep);
    co_await Timer.async_wait(boost::asio::use_awaitable);
  }
  co_return true;
}

} // namespace samphireshunt
