#pragma once
/// \file
/// A request's wait for its grant: ends with the keeper's answer, the deadline
/// or the caller's leaving, whichever is first.

#include "Process/Keeping/GrantClient.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace samphireshunt {

/// Used on one worker's executor; deliver() may be called from any thread.
class GrantWait : public std::enable_shared_from_this<GrantWait> {
public:
  static std::shared_ptr<GrantWait>
  create(boost::asio::any_io_executor Executor, GrantClient &Grants,
         RequestId Id);

  /// Waits until \p Deadline. \returns nothing when it passed or the caller
  /// left; the ask is then withdrawn, and a late grant is handed back.
  Awaitable<std::optional<GrantAnswer>> wait(CellId Cell, AskedRequest Request,
                                             TimePoint Deadline);
  void callerLeft();
  bool hasCallerLeft() const { return CallerLeft_; }

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
  bool CallerLeft_ = false;
};

} // namespace samphireshunt
