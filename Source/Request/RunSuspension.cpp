#include "Request/RunSuspension.h"

#include "Common/Log.h"
#include "Connection/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace samphireshunt {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ReleaseTimeout{1000};

} // namespace

RunSuspension::RunSuspension(const boost::asio::any_io_executor &Executor,
                             const RunMemoryCalls &Calls,
                             SuspensionTarget Target,
                             std::function<void()> OnDeclined)
    : Calls_(Calls), Target_(std::move(Target)),
      OnDeclined_(std::move(OnDeclined)), Signal_(Executor, TimePoint::max()) {}

std::shared_ptr<RunSuspension>
RunSuspension::create(const boost::asio::any_io_executor &Executor,
                      const RunMemoryCalls &Calls, std::string CallId,
                      SuspensionTarget Target,
                      std::function<void()> OnDeclined) {
  std::shared_ptr<RunSuspension> Created(new RunSuspension(
      Executor, Calls, std::move(Target), std::move(OnDeclined)));
  MoveOrder Order{std::move(CallId), Created->Target_.CopyTo_, true};
  auto Run = [Created, Order = std::move(Order)]() {
    return Created->order(Order);
  };
  spawnLogged(Executor, "stop-run", std::move(Run));
  return Created;
}

Awaitable<void> RunSuspension::order(MoveOrder Order) {
  HttpRequest Request = Calls_.WriteMove_(Order);
  auto Response = co_await httpCall(Target_.Source_, std::move(Request),
                                    Target_.Patience_, MaxControlAnswerBytes);
  auto Answer = Response ? Calls_.ReadMove_(*Response)
                         : Result<MoveAnswer>(Response.error());
  if (Answer)
    Answer_ = *Answer;
  Answered_ = true;
  Signal_.cancel();
  if (!Answer)
    logEvent(LogCategory::Request, spdlog::level::warn, "suspension-failed",
             {{"call", Order.CallId_},
              {"code", std::to_string(static_cast<int>(Answer.error().Code_))},
              {"detail", Answer.error().Detail_}});
  if (Answer_.Handle_.empty())
    OnDeclined_();
  // The run goes on where it stopped, so the copy is of no use.
  if (Answer_.Result_ == MoveResult::Copied)
    releaseMemory(Signal_.get_executor(), Calls_, Target_.CopyTo_,
                  Answer_.Handle_);
  if (Abandoned_)
    release();
}

void RunSuspension::release() {
  if (!Answer_.Handle_.empty())
    releaseMemory(Signal_.get_executor(), Calls_, Target_.Source_,
                  Answer_.Handle_);
}

void RunSuspension::abandon() {
  Abandoned_ = true;
  if (Answered_)
    release();
}

Awaitable<std::optional<MoveAnswer>> RunSuspension::stoppedRun() {
  auto Self = shared_from_this();
  boost::system::error_code Ignored;
  if (!Answered_)
    co_await Signal_.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
  if (Answer_.Handle_.empty())
    co_return std::nullopt;
  co_return Answer_;
}

void releaseMemory(const boost::asio::any_io_executor &Executor,
                   const RunMemoryCalls &Calls, Endpoint Engine,
                   std::string Handle) {
  HttpRequest Request = Calls.WriteRelease_(Handle);
  auto Run = [Engine, Request = std::move(Request),
              Handle = std::move(Handle)]() -> Awaitable<void> {
    HttpRequest Sent = Request;
    auto Response = co_await httpCall(Engine, std::move(Sent), ReleaseTimeout,
                                      MaxControlAnswerBytes);
    if (!Response)
      logEvent(LogCategory::Request, spdlog::level::warn, "memory-not-released",
               {{"server", formatEndpoint(Engine)},
                {"handle", Handle},
                {"detail", Response.error().Detail_}});
  };
  spawnLogged(Executor, "release-memory", std::move(Run));
}

} // namespace samphireshunt
