#pragma once
/// \file
/// Stops a request's run at its engine for the keeper, and keeps the handle of
/// the memory with which the run goes on.

#include "Common/TimePoint.h"
#include "Process/Streams/RunMemory.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace samphireshunt {

/// The engine that runs the request, and the one that takes a copy of its
/// memory for a moment.
struct SuspensionTarget {
  Endpoint Source_;
  Endpoint CopyTo_;
  /// For how long the caller waits for the run to go on.
  std::chrono::milliseconds Patience_{0};
};

/// One order to stop a run. Used on one worker's executor only.
class RunSuspension : public std::enable_shared_from_this<RunSuspension> {
public:
  /// Sends the order at once. Calls \p OnDeclined, unless the run stops, when
  /// that is known.
  static std::shared_ptr<RunSuspension>
  create(const boost::asio::any_io_executor &Executor,
         const RunMemoryCalls &Calls, std::string CallId,
         SuspensionTarget Target, std::function<void()> OnDeclined);

  /// Waits for the engine's answer. \returns it if the run has stopped, nothing
  /// if it goes on, has ended, or the answer was lost.
  Awaitable<std::optional<MoveAnswer>> stoppedRun();
  /// Frees the memory of a stopped run with which nothing goes on, now or once
  /// the engine has answered.
  void abandon();

private:
  RunSuspension(const boost::asio::any_io_executor &Executor,
                const RunMemoryCalls &Calls, SuspensionTarget Target,
                std::function<void()> OnDeclined);
  Awaitable<void> order(MoveOrder Order);
  void release();

  const RunMemoryCalls &Calls_;
  SuspensionTarget Target_;
  std::function<void()> OnDeclined_;
  boost::asio::steady_timer Signal_;
  /// Has a handle if the run has stopped.
  MoveAnswer Answer_;
  bool Answered_ = false;
  bool Abandoned_ = false;
};

/// Frees the memory under a handle at \p Engine; a failure is logged.
void releaseMemory(const boost::asio::any_io_executor &Executor,
                   const RunMemoryCalls &Calls, Endpoint Engine,
                   std::string Handle);

} // namespace samphireshunt
