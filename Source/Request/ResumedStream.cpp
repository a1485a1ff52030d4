#include "Request/ResumedStream.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace samphireshunt {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Added to the time limit of a stream, for its caller's last attempt to
/// arrive.
constexpr milliseconds ArrivalTime{2000};

/// Other daemons would ask the same ones. Callers that came back at once would
/// be refused each time, and have no attempt left to send anew.
constexpr milliseconds AfterLostRecord{1000};

/// Daemons that don't answer may have ended, and start again within this time.
/// Callers that came back sooner would lose attempts to them.
constexpr milliseconds WhileOutOfReach{500};

StreamKey keyOf(const RequestContext &Context, const std::string &CallId) {
  return streamKey(
      Context.Customer_ ? Context.Customer_->Name_ : CustomerName(), CallId);
}

/// \returns the attempt that began the stream, which all later ones name.
const std::string &firstAttempt(const RequestContext &Context) {
  const CallLabels &Call = Context.Call_;
  bool Later = resumesStream(Context) && !Call.Resumes_.empty();
  return Later ? Call.Resumes_ : Call.CallId_;
}

/// The longest time from the start of a stream to its caller's last attempt.
milliseconds longestStream(const RequestContext &Context) {
  milliseconds Limit = Context.Route_->Forwarding_->Timeout_;
  if (Context.Call_.Timeout_)
    Limit = std::max(Limit, *Context.Call_.Timeout_);
  return std::min(Limit, Context.document().Limits_.MaxTimeout_) + ArrivalTime;
}

OriginQuery queryOf(const RequestContext &Context) {
  OriginQuery Query;
  if (!Context.Call_.Resumes_.empty())
    Query.Key_ = keyOf(Context, Context.Call_.Resumes_);
  const auto &Targets = Context.Route_->Forwarding_->Targets_;
  if (Targets.size() == 1)
    Query.Pool_ = Targets.front().Pool_;
  Query.MaxAge_ = longestStream(Context);
  Query.Arrived_ = BootClock::now();
  return Query;
}

Awaitable<FoundOrigin> find(RequestContext &Context, OriginQuery Query) {
  auto Executor = co_await asio::this_coro::executor;
  auto Signal = std::make_shared<asio::steady_timer>(
      Executor, asio::steady_timer::time_point::max());
  auto Found = std::make_shared<FoundOrigin>();
  StopHook Hook(Context, StopStage::Waiting, [Signal] { Signal->cancel(); });
  // Posted: the answer may come before the wait begins, and on another thread.
  Context.Services_.Origins_.find(std::move(Query), [=](FoundOrigin Answer) {
    asio::post(Executor, [=, Answer = std::move(Answer)] {
      *Found = Answer;
      Signal->cancel();
    });
  });
  co_await Signal->async_wait(asio::as_tuple(asio::use_awaitable));
  co_return *Found;
}

} // namespace

bool resumesStream(const RequestContext &Context) {
  const ForwardingRule &Rule = *Context.Route_->Forwarding_;
  return Rule.Kind_ == RequestKind::Stream && Rule.Resumable_ &&
         Context.Call_.AfterEvent_.has_value();
}

Awaitable<std::optional<Verdict>> bindToOrigin(RequestContext &Context) {
  OriginQuery Query = queryOf(Context);
  FoundOrigin Found = co_await find(Context, std::move(Query));
  if (auto Refused = checkStop(Context, StopStage::Waiting))
    co_return Refused;
  Context.OriginSource_ = Found.Source_;
  if (!Found.Origin_) {
    Verdict Refused(ResultCode::StreamOriginUnknown);
    if (Found.Lost_) {
      Refused.Detail_ = "no daemon has its record";
      Refused.RetryAfter_ = AfterLostRecord;
    }
    if (Found.OutOfReach_) {
      Refused.Detail_ = "other daemons don't answer";
      Refused.RetryAfter_ = WhileOutOfReach;
    }
    co_return Refused;
  }
  const auto &Targets = Context.Route_->Forwarding_->Targets_;
  bool Routed = std::ranges::count(Targets, Found.Origin_->Pool_,
                                   &WeightedPool::Pool_) > 0;
  const Pool *Whole =
      Routed ? Context.Service_->pool(Found.Origin_->Pool_) : nullptr;
  if (!Whole)
    co_return Verdict(ResultCode::StreamOriginUnknown,
                      "the route no longer names the pool");
  Context.Pool_ = Whole;
  Context.Origin_ = std::move(Found.Origin_);
  Context.BrokeOff_ = Context.Started_;
  co_return std::nullopt;
}

void recordOrigin(RequestContext &Context, const BackendServer &Server) {
  if (!Context.Origin_)
    Context.Origin_ = StreamOrigin{Context.Pool_->Name_, Server.Version_};
  if (!Context.Route_->Forwarding_->Resumable_)
    return;
  Context.Services_.Origins_.record(keyOf(Context, firstAttempt(Context)),
                                    *Context.Origin_, longestStream(Context));
}

} // namespace samphireshunt
