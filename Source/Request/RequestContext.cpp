#include "Request/RequestContext.h"

#include "Common/Log.h"
#include "Request/GrantWait.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <array>

namespace samphireshunt {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Servers tried for one request while none could be connected to.
constexpr int MaxServerTries = 4;

/// Fields that belong to one hop, or that only this program may see.
constexpr std::array<std::string_view, 10> HopFields = {"connection",
                                                        "keep-alive",
                                                        "proxy-authorization",
                                                        "te",
                                                        "trailer",
                                                        "upgrade",
                                                        "transfer-encoding",
                                                        "authorization",
                                                        "x-request-timeout-ms",
                                                        "content-length"};

CellId cellFor(const RequestContext &Context, int Attempt) {
  std::uint32_t Count = cellCount(*Context.Pool_);
  // Requests that share their first block go to the same cell, since its
  // engines are where the block may be cached.
  std::uint64_t Affinity =
      Context.Prefix_.empty() ? Context.Id_.Sequence_ : Context.Prefix_.front();
  auto Index = static_cast<std::uint32_t>(
      (Affinity + static_cast<std::uint64_t>(Attempt)) % Count);
  return {Context.document().Service_, Context.Pool_->Name_, Index};
}

AskedRequest askFor(const RequestContext &Context,
                    const std::vector<ServerName> &Excluded) {
  AskedRequest Asked;
  Asked.Id_ = Context.Id_;
  Asked.Tier_ = Context.Tier_;
  Asked.Customer_ = Context.Customer_->Name_;
  Asked.Deadline_ = Context.Deadline_;
  Asked.Prompt_ = Context.PromptTokens_;
  Asked.Answer_ = Context.AnswerTokens_;
  Asked.Prefix_ = Context.Prefix_;
  Asked.NonIdempotent_ = Context.Route_->NonIdempotent_;
  Asked.Excluded_ = Excluded;
  return Asked;
}

/// One line for a request's end. Answers are worth a line only when someone
/// looks closely; what was not answered always is, within limits.
void logEnd(const RequestContext &Context, Outcome Value, ResultCode Code) {
  auto Level =
      Value == Outcome::Answered ? spdlog::level::debug : spdlog::level::info;
  if (!spdlog::should_log(Level))
    return;
  constexpr std::uint32_t LinesPerSecond = 20;
  thread_local LogSampler Sampler(LinesPerSecond);
  auto Dropped = Sampler.admit(static_cast<int>(Code), steady_clock::now());
  if (!Dropped)
    return;
  LogFields Fields = {{"request", Context.Id_.str()},
                      {"outcome", std::string(outcomeName(Value))},
                      {"code", std::to_string(static_cast<int>(Code))},
                      {"dropped", std::to_string(*Dropped)}};
  if (Context.Customer_)
    Fields.emplace_back("customer", Context.Customer_->Name_.str());
  if (Context.Service_) {
    Fields.emplace_back("service", Context.document().Service_.str());
    Fields.emplace_back("version",
                        std::to_string(Context.Service_->Version_.count()));
  }
  logEvent(LogCategory::Request, Level, "ended", Fields);
}

Verdict notRun(ResultCode Code) {
  Verdict Ended;
  Ended.Code_ = Code;
  return Ended;
}

} // namespace

milliseconds RequestContext::remaining() const {
  auto Rest = duration_cast<milliseconds>(Deadline_ - steady_clock::now());
  return std::max(Rest, milliseconds(1));
}

bool RequestContext::expired() const {
  return steady_clock::now() >= Deadline_;
}

Awaitable<std::variant<ReadyServer, Verdict>>
obtainServer(RequestContext &Context, bool FreshConnection,
             BeforeConnect Prepare) {
  GrantClient &Grants = Context.Services_.Grants_;
  auto Wait = GrantWait::create(co_await boost::asio::this_coro::executor,
                                Grants, Context.Id_);
  std::weak_ptr<GrantWait> Weak = Wait;
  Context.Exchange_.onCallerLeft([Weak] {
    if (auto Present = Weak.lock())
      Present->callerLeft();
  });
  std::vector<ServerName> Excluded;
  Verdict Ended = notRun(ResultCode::ConnectFailed);
  std::uint32_t Cells = cellCount(*Context.Pool_);
  std::uint32_t CellTries = 0;
  for (int Try = 0; Try < MaxServerTries && !Context.expired(); ++Try) {
    std::size_t SpanNumber = Context.Trace_.begin("wait-for-grant");
    CellId Cell = cellFor(Context, static_cast<int>(CellTries));
    AskedRequest Asked = askFor(Context, Excluded);
    auto Answer = co_await Wait->wait(std::move(Cell), std::move(Asked),
                                      Context.Deadline_);
    Context.Trace_.end(SpanNumber);
    Context.Waited_ =
        duration_cast<microseconds>(steady_clock::now() - Context.Started_);
    if (!Answer) {
      Ended = notRun(Wait->hasCallerLeft() ? ResultCode::CallerLeft
                                           : ResultCode::DeadlineInQueue);
      break;
    }
    if (Answer->Code_ != ResultCode::Ok) {
      Ended = notRun(Answer->Code_);
      Ended.RetryAfter_ = Answer->RetryAfter_;
      // Another cell of the pool may have room for what this one refused.
      bool MoreCells = ++CellTries < Cells;
      if (MoreCells && Answer->Code_ != ResultCode::ShedForHigherTier)
        continue;
      break;
    }
    // The server may have begun to leave while the request waited: only the
    // newest snapshot counts, not the one that the request began with.
    auto Newest = Context.Services_.Documents_.snapshot();
    const BackendServer *Server = Newest->activeServer(
        Context.document().Service_, Context.Pool_->Name_, Answer->Server_);
    if (!Server) {
      Grants.done(Context.Id_, ServedSample());
      Excluded.push_back(Answer->Server_);
      Ended = notRun(ResultCode::NoBackendServer);
      continue;
    }
    BackendServer Chosen = *Server;
    std::optional<Verdict> Refused;
    if (Prepare)
      Refused = co_await Prepare();
    if (Refused) {
      Grants.done(Context.Id_, ServedSample());
      Context.State_.tryGiveUp();
      co_return std::move(*Refused);
    }
    auto Connected = co_await Context.Services_.Connections_.take(
        Chosen.Address_, FreshConnection);
    if (!Connected) {
      Grants.done(Context.Id_, ServedSample());
      Excluded.push_back(Answer->Server_);
      Ended = notRun(ResultCode::ConnectFailed);
      Ended.Detail_ = Connected.error().Detail_;
      continue;
    }
    // This process may have been paused anywhere above, past the deadline.
    if (Context.expired() || !Context.State_.tryDispatch()) {
      Grants.done(Context.Id_, ServedSample());
      Ended = notRun(ResultCode::DeadlineInQueue);
      break;
    }
    ReadyServer Ready;
    Ready.Server_ = std::move(Chosen);
    Ready.Connection_ = std::move(*Connected);
    co_return std::move(Ready);
  }
  Context.State_.tryGiveUp();
  co_return std::move(Ended);
}

HttpRequest backendRequest(RequestContext &Context, std::size_t SpanNumber) {
  HttpRequest Request = Context.Exchange_.request();
  for (std::string_view Field : HopFields)
    Request.Fields_.erase(std::string(Field));
  Request.Fields_["x-request-id"] = Context.Id_.str();
  Request.Fields_["x-customer"] = Context.Customer_->Name_.str();
  Request.Fields_["traceparent"] = Context.Trace_.traceparent(SpanNumber);
  return Request;
}

Awaitable<void> answerVerdict(RequestContext &Context, Verdict Ended) {
  HttpResponse Response = finalResponse(Context.Id_, Ended);
  co_await Context.Exchange_.respond(std::move(Response));
  reportEnd(Context, Ended.Outcome_, Ended.Code_);
}

void reportEnd(RequestContext &Context, Outcome Value, ResultCode Code) {
  logEnd(Context, Value, Code);
  RequestReport Report;
  if (Context.Service_) {
    Report.Service_ = Context.document().Service_.str();
    if (Context.Tier_.count() < Context.document().Tiers_.size())
      Report.Tier_ = Context.document().Tiers_[Context.Tier_.count()];
  }
  Report.Outcome_ = Value;
  Report.Code_ = Code;
  Report.Total_ =
      duration_cast<microseconds>(steady_clock::now() - Context.Started_);
  Report.Waited_ = Context.Waited_;
  Context.Services_.Report_(Report);
  Context.Trace_.attribute(Trace::Root, "outcome",
                           std::string(outcomeName(Value)));
  Context.Trace_.attribute(Trace::Root, "code",
                           std::to_string(static_cast<int>(Code)));
  if (Context.Services_.Traces_)
    Context.Services_.Traces_(Context.Trace_.finish());
}

} // namespace samphireshunt
