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
  ~ContextThread() { stop(); }
  ContextThread(const ContextThread &) = delete;
  ContextThread &operator=(const ContextThread &) = delete;

  boost::asio::io_context &context() { return Context_; }
  /// Returns when no handler runs and none will.
  void stop() {
    Context_.stop();
    if (Thread_.joinable())
      Thread_.join();
  }

  /// Stops the thread on destruction. A class whose members are used by
  /// handlers has it as its last member: the thread ends before them then, also
  /// if the constructor throws, while the event loop outlives their sockets.
  class StopFirst {
  public:
    explicit StopFirst(ContextThread &Thread) : Thread_(Thread) {}
    ~StopFirst() { Thread_.stop(); }
    StopFirst(const StopFirst &) = delete;
    StopFirst &operator=(const StopFirst &) = delete;

  private:
    ContextThread &Thread_;
  };

private:
  boost::asio::io_context Context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard_;
  std::thread Thread_;
};

} // namespace samphireshunt::tests
