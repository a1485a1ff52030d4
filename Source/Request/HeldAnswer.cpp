#include "Request/HeldAnswer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace samphireshunt {

Awaitable<bool> growAnswer(AnswerTurn &Turn, MemoryUse &Held, std::size_t Bytes,
                           std::function<bool()> IsOver) {
  auto Executor = co_await boost::asio::this_coro::executor;
  boost::asio::steady_timer Timer(Executor);
  while (!Turn.grow(Held, Bytes)) {
    if (Turn.tooLarge(Bytes) || IsOver())
      co_return false;
    Timer.expires_after(MemoryWaitStep);
    co_await Timer.async_wait(boost::asio::use_awaitable);
  }
  co_return true;
}

} // namespace samphireshunt
