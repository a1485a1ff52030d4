#pragma once
/// \file
/// Starts detached coroutines.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <exception>
#include <string_view>
#include <utility>

namespace samphireshunt {

/// Logs an exception that escaped from the coroutine \p Name.
void logEscapedException(std::string_view Name, std::exception_ptr Cause);

/// Runs \p Start as a detached coroutine on \p On, an executor or an execution
/// context, and logs an exception that escapes from it. Without the log line, a
/// watch that ended by an exception could not be distinguished from a service
/// without changes. \p Name is a string literal.
template <class Executor, class Function>
void spawnLogged(Executor &&On, std::string_view Name, Function Start) {
  boost::asio::co_spawn(std::forward<Executor>(On), std::move(Start),
                        [Name](std::exception_ptr Cause) {
                          if (Cause)
                            logEscapedException(Name, std::move(Cause));
                        });
}

/// Runs \p Work, a handler that is no coroutine, and logs an exception that
/// escapes from it under \p Name. The event loop would end the process for it,
/// and cut the requests of all callers. A periodic handler runs so only what it
/// does, not what schedules it again. \returns whether none escaped.
template <class Function> bool runLogged(std::string_view Name, Function Work) {
  try {
    Work();
    return true;
  } catch (...) {
    logEscapedException(Name, std::current_exception());
    return false;
  }
}

/// Runs \p Context until it is stopped or has no more work. An exception that
/// escapes from a handler is logged and ends only that handler.
void runContext(boost::asio::io_context &Context);

/// How long a coroutine that failed rests before it runs again.
inline constexpr std::chrono::milliseconds RepeatPause{500};

/// Runs \p Start as spawnLogged() does, and again after a pause whenever an
/// exception escapes from it, until it ends by itself or \p On is stopped. For
/// what has to run as long as the process: without it the daemon would seem to
/// live, and its view of the fleet would stay as it was.
template <class Function>
void spawnRepeated(boost::asio::io_context &On, std::string_view Name,
                   Function Start) {
  auto Run = [&On, Name,
              Start =
                  std::move(Start)]() mutable -> boost::asio::awaitable<void> {
    boost::asio::steady_timer Timer(On);
    while (true) {
      std::exception_ptr Escaped;
      try {
        co_await Start();
      } catch (...) {
        Escaped = std::current_exception();
      }
      if (!Escaped)
        co_return;
      logEscapedException(Name, std::move(Escaped));
      Timer.expires_after(RepeatPause);
      co_await Timer.async_wait(boost::asio::use_awaitable);
    }
  };
  spawnLogged(On, Name, std::move(Run));
}

} // namespace samphireshunt
