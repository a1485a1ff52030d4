#pragma once
/// \file
/// Starts detached coroutines.

#include <boost/asio/co_spawn.hpp>

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

} // namespace samphireshunt
