#pragma once
/// \file
/// Watches a server that streams an answer, and leaves it when it is silent for
/// too long. All calls are on the executor of the request.
///
/// Load pattern: a server with many streams stalls, and the retry budget
/// permits only a few of them to go on elsewhere. Each stream leaves only once
/// it may, and the others stay for the server to go on.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace samphireshunt {

class SilenceWatch : public std::enable_shared_from_this<SilenceWatch> {
public:
  /// Leaves the server if the stream may go on elsewhere. \returns whether it
  /// did.
  using TryLeave = std::function<bool()>;

  /// \p Leave is called after a silence of \p Limit, and from then on in short
  /// intervals until it returns true or the read ends. It is not called after
  /// the returned object has been destroyed.
  static std::shared_ptr<SilenceWatch>
  create(const boost::asio::any_io_executor &Executor,
         std::chrono::milliseconds Limit, TryLeave Leave);

  /// Called before and after each read. Between reads a server is not silent:
  /// the caller may be slow.
  void beginRead();
  void endRead() { Reading_ = false; }
  /// \returns whether the server was left.
  bool left() const { return Left_; }

private:
  SilenceWatch(const boost::asio::any_io_executor &Executor,
               std::chrono::milliseconds Limit, TryLeave Leave)
      : Limit_(Limit), Leave_(std::move(Leave)), Timer_(Executor) {}

  void arm(std::chrono::steady_clock::duration After);
  void check();

  std::chrono::milliseconds Limit_;
  TryLeave Leave_;
  boost::asio::steady_timer Timer_;
  std::chrono::steady_clock::time_point ReadSince_;
  bool Reading_ = false;
  bool Armed_ = false;
  bool Left_ = false;
};

} // namespace samphireshunt
