#pragma once
/// \file
/// An event loop that runs on its own thread.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace samphireshunt::tests {

/// Runs the event loop from construction to destruction. As a member, it joins
/// the thread even if the constructor of the owning class throws: destroying an
/// std::thread that was not joined terminates the program and hides the
/// exception.
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
