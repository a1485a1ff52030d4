#include "Request/CallerService.h"

#include "Common/BoundedNumber.h"
#include "Common/Hash.h"
#include "Common/JsonReader.h"
#include "Common/Log.h"
#include "Process/Scheduling/PrefixIndex.h"
#include "Request/ForwardedCall.h"

#include <absl/cleanup/cleanup.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace samphireshunt {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::string_view BearerPrefix = "Bearer ";
/// Assumed length of an answer when the caller sets no limit.
constexpr std::int64_t DefaultAnswerTokens = 256;

Verdict refused(ResultCode Code, std::string Detail = "") {
  return Verdict(Code, std::move(Detail));
}

/// Concatenates all messages of a chat, in order, into one prompt.
Result<std::string> joinPrompt(const Json &Body) {
  auto Messages = Body.find("messages");
  if (Messages == Body.end() || !Messages->is_array() || Messages->empty())
    return Failure{ResultCode::MalformedRequest,
                   "'messages' must be a list with at least one message"};
  std::string Prompt;
  for (const Json &Message : *Messages) {
    bool Valid = Message.is_object() && Message.contains("content") &&
                 Message["content"].is_string();
    if (!Valid)
      return Failure{ResultCode::MalformedRequest,
                     "every message needs a text as its 'content'"};
    Prompt += Message["content"].get<std::string>();
  }
  return Prompt;
}

/// \returns the key that a caller sent, empty if none.
std::string_view bearerKey(const HttpRequest &Request) {
  std::string_view Text = Request.field("authorization");
  if (!Text.starts_with(BearerPrefix))
    return {};
  return Text.substr(BearerPrefix.size());
}

const Customer *customerOf(const Document &Known, const HttpRequest &Request) {
  std::string_view Key = bearerKey(Request);
  return Key.empty() ? nullptr : Known.customerByKeyDigest(sha256Hex(Key));
}

/// \returns whether only customers may use a route.
bool needsKey(const Route &Target, const Document &Known) {
  const auto &Rule = Target.Forwarding_;
  return !Rule || !(Rule->Anonymous_ || Known.Customers_.empty());
}

} // namespace

CallerService::CallerService(RequestServices Services,
                             std::function<bool()> IsReady,
                             std::function<RequestId()> NextId)
    : Services_(std::move(Services)), IsReady_(std::move(IsReady)),
      NextId_(std::move(NextId)) {}

Awaitable<void> CallerService::handle(HttpExchange &Exchange) {
  RequestId Id = NextId_();
  RequestContext Context{.Services_ = Services_,
                         .Exchange_ = Exchange,
                         .Id_ = Id,
                         .Snapshot_ = Services_.Documents_.snapshot(),
                         .Started_ = steady_clock::now(),
                         .Trace_ =
                             Trace(Exchange.request().field("traceparent"),
                                   std::hash<RequestId>()(Id))};
  Current_->insert(&Context);
  absl::Cleanup Forget = [Current = Current_, Ended = &Context] {
    Current->erase(Ended);
  };
  std::string Fault;
  try {
    if (auto Refusal = check(Context))
      co_await answerVerdict(Context, std::move(*Refusal));
    else if (Context.Route_->Forwarding_)
      co_await runForwardedCall(Context);
    else if (Context.Pool_->Kind_ == PoolKind::Model)
      co_await runModelCall(Context);
    else
      co_await runApplicationCall(Context);
  } catch (const std::exception &Error) {
    Fault = Error.what();
  }
  if (!Fault.empty()) {
    logEvent(LogCategory::Request, spdlog::level::err, "fault",
             {{"request", Id.str()}, {"detail", Fault}});
    Services_.Grants_.done(Id, ServedSample());
    bool Dispatched = Context.State_.dispatched();
    Verdict Ended = refused(ResultCode::Internal, Fault);
    Ended.Outcome_ = Dispatched ? Outcome::Unknown : Outcome::NotRun;
    if (Exchange.begun()) {
      Exchange.abort();
      Ended.Outcome_ = Outcome::Partial;
      reportEnd(Context, Ended.Outcome_, Ended.Code_);
    } else {
      co_await answerVerdict(Context, std::move(Ended));
    }
  }
}

void CallerService::endAtStop() {
  for (const RequestContext *Context : *Current_)
    if (Context->OnStop_ &&
        Context->decideStop(Context->Stage_) != StopDecision::GoOn)
      Context->OnStop_();
}

std::optional<Verdict> CallerService::check(RequestContext &Context) {
  if (auto Cause = checkServing())
    return refused(Cause->Code_, std::move(Cause->Detail_));
  if (auto Refusal = checkRoute(Context))
    return Refusal;
  if (Context.Route_->Forwarding_)
    return checkForwarded(Context);
  if (auto Refusal = checkCustomer(Context))
    return Refusal;
  if (auto Refusal = checkDeadline(Context))
    return Refusal;
  if (auto Refusal = checkStop(Context, StopStage::Arrived))
    return Refusal;
  if (Context.Pool_->Kind_ == PoolKind::Model)
    return checkModelBody(Context);
  return std::nullopt;
}

std::optional<Verdict>
CallerService::checkRoute(RequestContext &Context) const {
  const HttpRequest &Request = Context.Exchange_.request();
  Context.Service_ = Context.Snapshot_->serviceForHost(Request.field("host"));
  if (!Context.Service_)
    return refused(ResultCode::NoRoute, "no service has this host");
  const Document &Document = Context.document();
  Context.Route_ = Document.route(Request.path(), Request.field("host"));
  if (!Context.Route_)
    return refusedIfFresh(ResultCode::NoRoute, "no route matches the path");
  if (Context.Route_->Forwarding_)
    return std::nullopt;
  const auto &Methods = *Context.Route_->Methods_;
  constexpr std::array<std::string_view, 5> SupportedMethods = {
      "GET", "POST", "PUT", "PATCH", "DELETE"};
  if (!std::ranges::count(SupportedMethods, Request.Method_))
    return refused(ResultCode::MethodNotAllowed, Request.Method_);
  if (!Methods.empty() && !std::ranges::count(Methods, Request.Method_))
    return refused(ResultCode::MethodNotAllowed, Request.Method_);
  if (Request.Body_.size() > Document.Limits_.MaxBodyBytes_)
    return refused(ResultCode::BodyTooLarge);
  Context.Pool_ = Context.Service_->pool(Context.Route_->Pool_);
  return std::nullopt;
}

/// Refuses a request because of an entry that the configuration lacks. The
/// entry may have been added in a newer version: while the configuration is
/// possibly or certainly out of date, the code is ConfigurationStale instead of
/// \p Code.
Verdict CallerService::refusedIfFresh(ResultCode Code,
                                      std::string Detail) const {
  return refused(codeIfFresh(Code), std::move(Detail));
}

ResultCode CallerService::codeIfFresh(ResultCode Code) const {
  BootTime Now = BootClock::now();
  bool Fresh = Services_.Freshness_.valid(Now) &&
               Services_.Freshness_.behind(Now).count() == 0;
  return Fresh ? Code : ResultCode::ConfigurationStale;
}

std::optional<Failure> CallerService::checkServing() const {
  if (!IsReady_())
    return Failure{ResultCode::NotReady, ""};
  if (Services_.Freshness_.overdue(BootClock::now()))
    return Failure{ResultCode::ConfigurationStale, "a newer one is overdue"};
  return std::nullopt;
}

std::optional<Failure> CallerService::checkHead(const HttpRequest &Head) const {
  if (auto Cause = checkServing())
    return Cause;
  auto Snapshot = Services_.Documents_.snapshot();
  const std::string &Host = Head.field("host");
  const ServiceConfiguration *Service = Snapshot->serviceForHost(Host);
  const Route *Found =
      Service ? Service->Document_->route(Head.path(), Host) : nullptr;
  if (!Found)
    return Failure{codeIfFresh(ResultCode::NoRoute), "no route matches"};
  const Document &Known = *Service->Document_;
  if (needsKey(*Found, Known) && !customerOf(Known, Head))
    return Failure{codeIfFresh(ResultCode::UnknownCustomer), ""};
  return std::nullopt;
}

/// Checks a request that is forwarded unchanged to a backend server, and fills
/// in the context.
std::optional<Verdict> CallerService::checkForwarded(RequestContext &Context) {
  const HttpRequest &Request = Context.Exchange_.request();
  const ForwardingRule &Rule = *Context.Route_->Forwarding_;
  Context.Call_ = Services_.Dialect_.ReadCall_(Request.Fields_);
  Context.Tier_ = Rule.Tier_;
  Context.Pool_ = choosePool(Context);
  if (!Context.Pool_)
    return refused(ResultCode::NoBackendServer, "the route names no pool");
  auto Timeout = Rule.Timeout_;
  if (Context.Call_.Timeout_) {
    Timeout = std::min(Timeout, *Context.Call_.Timeout_);
    Context.SinceFirstAttempt_ = RetryDetector_.sinceFirstAttempt(
        Context.Route_->Name_, *Context.Call_.Timeout_, Context.Started_);
  }
  Context.Deadline_ = Context.Started_ + Timeout;
  if (auto Refusal = checkStop(Context, StopStage::Arrived))
    return Refusal;
  Context.PromptTokens_ = Context.Call_.Prompt_.value_or(Tokens(0));
  Context.AnswerTokens_ = Context.Call_.MaxAnswer_.value_or(Tokens(0));
  Context.Prefix_ = prefixHashes(Context.Call_.Parts_);
  if (!needsKey(*Context.Route_, Context.document()))
    return std::nullopt;
  std::string_view Key = bearerKey(Request);
  if (Key.empty())
    return refusedIfFresh(ResultCode::UnknownCustomer, "no bearer key");
  Context.KeyDigest_ = sha256Hex(Key);
  Context.Customer_ =
      Context.document().customerByKeyDigest(Context.KeyDigest_);
  if (!Context.Customer_)
    return refusedIfFresh(ResultCode::UnknownCustomer, "");
  return recheckCallerKey(Context);
}

/// Selects one of the route's pools in proportion to their weights. Requests of
/// one session select the same pool, where their prompt may be cached.
const Pool *CallerService::choosePool(const RequestContext &Context) const {
  const auto &Targets = Context.Route_->Forwarding_->Targets_;
  std::uint64_t TotalWeight = 0;
  for (const WeightedPool &Target : Targets)
    TotalWeight += Target.Weight_;
  if (TotalWeight == 0)
    return nullptr;
  const auto &Parts = Context.Call_.Parts_;
  std::uint64_t Affinity = Parts.empty() ? stableHash(Context.Call_.CallId_)
                                         : stableHash("", Parts.back().Id_);
  std::uint64_t Point = Affinity % TotalWeight;
  auto Chosen = std::ranges::find_if(Targets, [&](const WeightedPool &Target) {
    bool Selected = Point < Target.Weight_;
    Point -= Selected ? 0 : Target.Weight_;
    return Selected;
  });
  return Context.Service_->pool(Chosen->Pool_);
}

std::optional<Verdict>
CallerService::checkCustomer(RequestContext &Context) const {
  const HttpRequest &Request = Context.Exchange_.request();
  Context.Customer_ = customerOf(Context.document(), Request);
  if (!Context.Customer_)
    return refused(ResultCode::UnknownCustomer,
                   bearerKey(Request).empty() ? "no bearer key" : "");
  Context.Tier_ = Context.Customer_->DefaultTier_;
  const std::string &Requested = Request.field("x-tier");
  if (Requested.empty())
    return std::nullopt;
  auto Tier = Context.document().tier(Requested);
  if (!Tier || !std::ranges::count(Context.Customer_->AllowedTiers_, *Tier))
    return refused(ResultCode::TierNotAllowed, Requested);
  Context.Tier_ = *Tier;
  return std::nullopt;
}

std::optional<Verdict>
CallerService::checkDeadline(RequestContext &Context) const {
  const ServiceLimits &Limits = Context.document().Limits_;
  milliseconds Timeout = Limits.DefaultTimeout_;
  const std::string &Text =
      Context.Exchange_.request().field("x-request-timeout-ms");
  if (!Text.empty()) {
    std::int64_t Millis = 0;
    auto Parsed =
        std::from_chars(Text.data(), Text.data() + Text.size(), Millis);
    bool IsInteger =
        Parsed.ec == std::errc() && Parsed.ptr == Text.data() + Text.size();
    if (!IsInteger || Millis < 1 || Millis > Limits.MaxTimeout_.count())
      return refused(ResultCode::BadDeadline, Text);
    Timeout = milliseconds(Millis);
  }
  Context.Deadline_ = Context.Started_ + Timeout;
  return std::nullopt;
}

std::optional<Verdict>
CallerService::checkModelBody(RequestContext &Context) const {
  const HttpRequest &Request = Context.Exchange_.request();
  Json Body = readJsonOrNull(Request.Body_);
  if (!Body.is_object())
    return refused(ResultCode::MalformedRequest,
                   "the body is no JSON object, or nests too deeply");
  auto Model = Body.find("model");
  if (Model == Body.end() || !Model->is_string())
    return refused(ResultCode::MalformedRequest, "'model' must be a text");
  auto Stream = Body.find("stream");
  if (Stream != Body.end() && !Stream->is_boolean())
    return refused(ResultCode::MalformedRequest,
                   "'stream' must be true or false");
  auto Serves = [&](const Pool &Candidate) {
    return std::ranges::count(Candidate.Models_, Model->get<std::string>()) > 0;
  };
  const auto &Pools = Context.Service_->Pools_;
  auto Found = std::ranges::find_if(Pools, Serves);
  if (Found == Pools.end())
    return refused(ResultCode::UnknownModel, Model->get<std::string>());
  Context.Pool_ = &*Found;
  auto Prompt = joinPrompt(Body);
  if (!Prompt)
    return refused(Prompt.error().Code_, Prompt.error().Detail_);
  Context.PromptTokens_ = estimateTokens(*Prompt);
  Context.Prefix_ = prefixHashes(*Prompt);
  auto Limit = Body.find("max_tokens");
  std::int64_t Answer = DefaultAnswerTokens;
  if (Limit != Body.end()) {
    constexpr NumberRange Range{1, std::numeric_limits<std::uint32_t>::max()};
    auto Read = readWhole("max_tokens", *Limit, Range);
    if (!Limit->is_number_integer() || !Read)
      return refused(ResultCode::MalformedRequest,
                     fmt::format("'max_tokens' must be a whole number from {} "
                                 "to {}",
                                 Range.Min_, Range.Max_));
    Answer = *Read;
  }
  Context.AnswerTokens_ = Tokens(Answer);
  return std::nullopt;
}

} // namespace samphireshunt
