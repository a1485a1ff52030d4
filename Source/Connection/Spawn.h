#pragma once
/// \file
/// Starts coroutines that nobody waits for.

#include <boost/asio/co_spawn.hpp>

#include <exception>
#include <string_view>
#include <utility>

namespace samphireshunt {

/// Writes a line about an exception that left the coroutine \p Name.
void logEscapedException(std::string_view Name, std::exception_ptr Cause);

/// Runs \p Start as a coroutine on \p Executor, which may be a context. Without
/// the line an exception that leaves it would end it unseen: a watch that has
/// ended so looks like a calm service, for good. \p Name is a literal.
template <class Executor, class Function>
void spawnLogged(Executor &&On, std::string_view Name, Function Start) {
  boost::asio::co_spawn(std::forward<Executor>(On), std::move(Start),
                        [Name](std::exception_ptr Cause) {
                          if (Cause)
                            logEscapedException(Name, std::move(Cause));
                        });
}

} // namespace samphireshunt
