#pragma once
/// \file
/// Waits for a request's grant until the keeper answers, the deadline passes or
/// the caller disconnects or the daemon stops, whichever is first.

#include "Process/Keeping/GrantClient.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace samphireshunt {

/// Used on one worker's executor only. The keeper's answer may come on any
/// thread; it is posted to the executor.
class GrantWait : public std::enable_shared_from_this<GrantWait> {
public:
  static std::shared_ptr<GrantWait>
  create(boost::asio::any_io_executor Executor, GrantClient &Grants,
         RequestId Id);

  /// Requests a grant and waits until \p Deadline. \returns nothing when it
  /// passed, the caller disconnected or the daemon stops; the grant request is
  /// withdrawn then, and a grant that still comes is returned to the keeper.
  Awaitable<std::optional<GrantAnswer>> wait(CellId Cell, GrantRequest Request,
                                             TimePoint Deadline);
  /// Waits between two requests for a grant, until \p Time is over or the
  /// caller disconnects or the daemon stops.
  Awaitable<void> pause(std::chrono::milliseconds Time);
  /// Ends the wait because the caller disconnected.
  void callerLeft();
  bool hasCallerLeft() const { return CallerLeft_; }
  /// Ends the wait because the daemon stops.
  void stop();
  bool isStopped() const { return Stopped_; }

private:
  GrantWait(boost::asio::any_io_executor Executor, GrantClient &Grants,
            RequestId Id);
  void deliver(GrantAnswer Answer);

  boost::asio::any_io_executor Executor_;
  GrantClient &Grants_;
  RequestId Id_;
  boost::asio::steady_timer Signal_;
  std::optional<GrantAnswer> Answer_;
  bool Waiting_ = false;
  bool Pausing_ = false;
  bool CallerLeft_ = false;
  bool Stopped_ = false;
};

} // namespace samphireshunt
