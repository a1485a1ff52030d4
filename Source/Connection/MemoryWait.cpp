#include "Connection/MemoryWait.h"

#include "Connection/MemoryBudget.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace samphireshunt {

Awaitable<bool> waitForMemory(std::chrono::milliseconds Limit,
                              std::function<bool()> Take,
                              std::function<bool()> IsOver) {
  auto Executor = co_await boost::asio::this_coro::executor;
  boost::asio::steady_timer Timer(Executor);
  for (auto Waited = MemoryWaitStep * 0; !Take(); Waited += MemoryWaitStep) {
    if (Waited >= Limit || IsOver())
      co_return false;
    Timer.expires_after(MemoryWaitStep);
    co_await Timer.async_wait(boost::asio::use_awaitable);
  }
  co_return true;
}

} // namespace samphireshunt
