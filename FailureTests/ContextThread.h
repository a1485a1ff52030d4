#pragma once
/// \file
/// An event loop on a thread of its own.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace samphireshunt::tests {

/// Runs from construction to destruction. Joins its thread also when the
/// constructor of what it is a member of throws: an std::thread that is not
/// joined ends the program there, and hides the exception.
class ContextThread {
public:
  ContextThread()
      : Guard_(boost::asio::make_work_guard(Context_)),
        Thread_([this] { Context_.run(); }) {}
  ~ContextThread() {
    Context_.stop();
    Thread_.join();
  }
  ContextThread(const ContextThread &) = delete;
  ContextThread &operator=(const ContextThread &) = delete;

  boost::asio::io_context &context() { return Context_; }

private:
  boost::asio::io_context Context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard_;
  std::thread Thread_;
};

} // namespace samphireshunt::tests
