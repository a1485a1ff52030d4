#include "Request/RequestContext.h"

#include "Common/Log.h"
#include "Request/GrantWait.h"
#include "Request/Lateness.h"
#include "Request/WaitPlan.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <boost/asio/this_coro.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace samphireshunt {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Maximum number of grants requested for one dispatch, e.g. while no
/// connection can be established.
constexpr int MaxGrantRequests = 4;

/// Carries the caller's key, which backend servers must not see.
constexpr std::string_view CallerKeyField = "authorization";
/// A refused caller is asked to wait for at most the remaining time divided by
/// this; the jitter takes off at most the same fraction of the delay.
constexpr int RetryDelayDivisor = 3;

/// \returns the worst that is known of the request and the parts of its prompt.
Suspicion suspicionOf(RequestContext &Context) {
  auto Known = Context.Services_.Crashes_.snapshot();
  if (Known->empty())
    return {};
  auto Now = steady_clock::now();
  Suspicion Worst{Known->standing(Context.fingerprint(), Now),
                  Context.fingerprint()};
  for (std::uint64_t Part : sharedParts(Context.Call_.Parts_)) {
    RequestStanding Standing = Known->standing(partKey(Part), Now);
    if (Standing > Worst.Standing_)
      Worst = {Standing, partKey(Part)};
  }
  return Worst;
}

/// \returns the request's pool with all servers that exist now, which may have
/// come since the request began; null if the pool is gone.
const Pool *newestPool(const RequestContext &Context,
                       const ConfigurationSnapshot &Newest) {
  const ServiceConfiguration *Service =
      Newest.service(Context.document().Service_);
  return Service ? Service->pool(Context.Pool_->Name_) : nullptr;
}

/// \returns the cells to ask for a server, in order; empty if no server may run
/// the request.
std::vector<std::uint32_t> cellsFor(RequestContext &Context,
                                    const ServerName &OnlyServer) {
  // Requests that share their first block go to the same cell, whose engines
  // may have the block cached. For forwarded prompts the last part is used
  // instead: it belongs to one session, while nearly all prompts share the
  // first part.
  if (!OnlyServer.empty()) {
    auto Newest = Context.Services_.Documents_.snapshot();
    const Pool *Whole = newestPool(Context, *Newest);
    if (!Whole || !Whole->find(OnlyServer))
      return {};
    return {cellOf(OnlyServer, cellCount(*Whole))};
  }
  std::uint64_t Affinity =
      Context.Prefix_.empty() ? Context.Id_.Sequence_ : Context.Prefix_.front();
  if (!Context.Call_.Parts_.empty())
    Affinity = Context.Call_.Parts_.back().Id_;
  // All requests with a suspected cause must have the same keeper, which runs
  // one at a time.
  Suspicion Known = suspicionOf(Context);
  if (Known.Standing_ != RequestStanding::Unsuspected)
    Affinity = Known.Cause_.Low_;
  if (Context.Origin_) {
    auto Newest = Context.Services_.Documents_.snapshot();
    const Pool *Whole = newestPool(Context, *Newest);
    if (!Whole)
      return {};
    return cellsOfVersion(*Whole, Context.Origin_->Version_, Affinity);
  }
  std::vector<std::uint32_t> Cells(cellCount(*Context.Pool_));
  std::iota(Cells.begin(), Cells.end(), 0U);
  auto First = Cells.begin() + cellForKey(*Context.Pool_, Affinity);
  std::rotate(Cells.begin(), First, Cells.end());
  return Cells;
}

GrantRequest makeGrantRequest(const RequestContext &Context,
                              const std::vector<ServerName> &Excluded) {
  GrantRequest Request;
  Request.Id_ = Context.Id_;
  Request.Tier_ = Context.Tier_;
  if (Context.Customer_)
    Request.Customer_ = Context.Customer_->Name_;
  Request.Deadline_ = Context.Deadline_;
  Request.Prompt_ = Context.PromptTokens_;
  Request.Answer_ = Context.AnswerTokens_;
  Request.Prefix_ = Context.Prefix_;
  Request.Parts_ = Context.Call_.Parts_;
  Request.NonIdempotent_ = Context.Route_->NonIdempotent_;
  Request.Excluded_ = Excluded;
  Request.Fingerprint_ = Context.Fingerprint_;
  if (Context.Origin_)
    Request.Version_ = Context.Origin_->Version_;
  if (Context.Route_->Forwarding_) {
    const ForwardingRule &Rule = *Context.Route_->Forwarding_;
    RequestTimes Times{Context.Started_, Context.Deadline_,
                       Context.SinceFirstAttempt_};
    // The next event is what such a request is in time for, not the first one.
    if (Context.Origin_)
      Times = {Context.BrokeOff_, Context.Deadline_, milliseconds(0),
               /*GoesOn_=*/true};
    WaitPlan Plan = planWait(Rule, Times, steady_clock::now());
    Request.Objective_ = Plan.Objective_;
    Request.MaxWait_ = Plan.MaxWait_;
    Request.MaxPause_ = Rule.MaxEventGap_;
    Request.EstimatedAnswer_ =
        Context.Call_.EstimatedAnswer_.value_or(Tokens(0));
  }
  return Request;
}

/// Changes the request for a grant into one for a run that goes on at a server
/// which has its memory: nothing is to be read there.
void continueAt(const ServerName &Server, const RequestContext &Context,
                GrantRequest &Request) {
  Request.OnlyServer_ = Server;
  Request.Prompt_ = Tokens(0);
  Request.Prefix_.clear();
  Request.Parts_.clear();
  Request.Excluded_.clear();
  TimePoint LastEvent = std::max(Context.StreamTiming_.Last_, Context.Started_);
  WaitPlan Plan = planContinuation(*Context.Route_->Forwarding_, LastEvent,
                                   Context.Pool_->RunMemory_.KeepTime_,
                                   steady_clock::now());
  Request.Objective_ = Plan.Objective_;
  Request.MaxWait_ = Plan.MaxWait_;
  auto Made = static_cast<std::int64_t>(Context.StreamTiming_.Events_) *
              Context.Pool_->TokensPerEvent_;
  Tokens Left = Request.EstimatedAnswer_ - Tokens(Made);
  Request.EstimatedAnswer_ = std::max(Left, Tokens(1));
}

std::string millisText(std::chrono::nanoseconds Time) {
  return std::to_string(duration_cast<milliseconds>(Time).count());
}

std::string serversText(const RequestContext &Context) {
  return absl::StrJoin(Context.Servers_, ",",
                       [](std::string *Out, const DispatchedServer &Server) {
                         *Out += Server.Name_.str();
                       });
}

std::string versionsText(const RequestContext &Context) {
  return absl::StrJoin(Context.Servers_, ",",
                       [](std::string *Out, const DispatchedServer &Server) {
                         *Out += Server.Version_.str();
                       });
}

std::string partsText(const RequestContext &Context) {
  return absl::StrJoin(Context.Call_.Parts_, ",",
                       [](std::string *Out, const PromptPart &Part) {
                         *Out += fmt::format("{:x}", Part.Id_);
                       });
}

Lateness latenessNow(const RequestContext &Context, TimePoint Now) {
  AnswerTimes Times;
  Times.First_ = Context.StreamTiming_.FirstEvent_.value_or(
      duration_cast<milliseconds>(Now - Context.Started_));
  Times.LongestPause_ = Context.StreamTiming_.LongestPause_;
  Times.SinceFirstAttempt_ = Context.SinceFirstAttempt_;
  return latenessOf(*Context.Route_->Forwarding_, Times);
}

/// Logs the end of a request with the data that explains it. The rate is
/// limited for each result code.
void logEnd(const RequestContext &Context, Outcome Value, ResultCode Code) {
  auto Level = spdlog::level::info;
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
  if (!Context.Call_.CallId_.empty())
    Fields.emplace_back("call", Context.Call_.CallId_);
  if (Context.Route_ && !Context.Route_->Name_.empty())
    Fields.emplace_back("route", Context.Route_->Name_);
  if (Context.Customer_)
    Fields.emplace_back("customer", Context.Customer_->Name_.str());
  if (Context.Fingerprint_) {
    Fields.emplace_back("fingerprint", Context.Fingerprint_.str());
    if (!Context.Call_.Parts_.empty())
      Fields.emplace_back("parts", partsText(Context));
  }
  if (Context.Service_) {
    Fields.emplace_back("service", Context.document().Service_.str());
    Fields.emplace_back("version",
                        std::to_string(Context.Service_->Version_.count()));
  }
  auto Now = steady_clock::now();
  Fields.emplace_back(
      "confirmed_ms_ago",
      millisText(Context.Services_.Freshness_.age(BootClock::now())));
  auto Behind = Context.Services_.Freshness_.behind(BootClock::now());
  if (Behind.count() > 0)
    Fields.emplace_back("newer_known_ms", millisText(Behind));
  Fields.emplace_back("tier", std::to_string(Context.Tier_.count()));
  Fields.emplace_back("servers", serversText(Context));
  bool Versioned =
      std::ranges::any_of(Context.Servers_, [](const DispatchedServer &Server) {
        return !Server.Version_.empty();
      });
  if (Versioned)
    Fields.emplace_back("versions", versionsText(Context));
  if (Context.Call_.AfterEvent_) {
    Fields.emplace_back("after_event", *Context.Call_.AfterEvent_);
    Fields.emplace_back("resumes", Context.Call_.Resumes_);
  }
  if (Context.OriginSource_) {
    Fields.emplace_back("origin",
                        std::string(originSourceName(*Context.OriginSource_)));
    if (Context.Origin_)
      Fields.emplace_back("began_at", Context.Origin_->Version_.str());
  }
  if (Context.Relay_)
    Fields.emplace_back("relay", Context.Relay_->str());
  Fields.emplace_back("waited_ms", millisText(Context.Waited_));
  Fields.emplace_back("total_ms", millisText(Now - Context.Started_));
  if (Value == Outcome::Answered && Context.Route_ &&
      Context.Route_->Forwarding_)
    Fields.emplace_back("late",
                        std::string(latenessName(latenessNow(Context, Now))));
  if (Context.StreamTiming_.FirstEvent_) {
    Fields.emplace_back("first_event_ms",
                        millisText(*Context.StreamTiming_.FirstEvent_));
    Fields.emplace_back("longest_pause_ms",
                        millisText(Context.StreamTiming_.LongestPause_));
    Fields.emplace_back("events",
                        std::to_string(Context.StreamTiming_.Events_));
  }
  if (Context.AnswerEnd_.KnownBy_) {
    Fields.emplace_back("answer_end",
                        std::string(bodyEndName(*Context.AnswerEnd_.KnownBy_)));
    if (Context.AnswerEnd_.InsideEvent_)
      Fields.emplace_back("inside_event", "yes");
  }
  if (Context.SinceFirstAttempt_.count() > 0)
    Fields.emplace_back("first_attempt_ms_ago",
                        millisText(Context.SinceFirstAttempt_));
  if (Context.PromptTokens_.count() > 0)
    Fields.emplace_back("prompt_tokens",
                        std::to_string(Context.PromptTokens_.count()));
  if (Context.Call_.EstimatedAnswer_)
    Fields.emplace_back(
        "guessed_tokens",
        std::to_string(Context.Call_.EstimatedAnswer_->count()));
  if (Context.Deadline_ != TimePoint())
    Fields.emplace_back("left_ms", millisText(Context.Deadline_ - Now));
  logEvent(LogCategory::Request, Level, "ended", Fields);
}

void logUnreachable(const RequestContext &Context, const ServerName &Server,
                    const Verdict &Cause) {
  constexpr std::uint32_t LinesPerSecond = 20;
  thread_local LogSampler Sampler(LinesPerSecond);
  auto Code = static_cast<int>(Cause.Code_);
  auto Dropped = Sampler.admit(Code, steady_clock::now());
  if (!Dropped)
    return;
  logEvent(LogCategory::Request, spdlog::level::info, "server-unreachable",
           {{"request", Context.Id_.str()},
            {"server", Server.str()},
            {"code", std::to_string(Code)},
            {"detail", Cause.Detail_},
            {"dropped", std::to_string(*Dropped)}});
}

/// A server that has refused a request, or lost it, is not to get it again.
void logUnfitGrant(const RequestContext &Context, const ServerName &Server) {
  constexpr std::uint32_t LinesPerSecond = 5;
  thread_local LogSampler Sampler(LinesPerSecond);
  auto Dropped = Sampler.admit(0, steady_clock::now());
  if (!Dropped)
    return;
  logEvent(LogCategory::Request, spdlog::level::warn, "grant-not-used",
           {{"request", Context.Id_.str()},
            {"call", Context.Call_.CallId_},
            {"server", Server.str()},
            {"servers", serversText(Context)},
            {"dropped", std::to_string(*Dropped)}});
}

Verdict notRun(ResultCode Code) { return Verdict(Code); }

/// \returns why a wait for a grant ended without an answer.
ResultCode endOfWait(const GrantWait &Wait) {
  if (Wait.hasCallerLeft())
    return ResultCode::CallerLeft;
  return Wait.isStopped() ? ResultCode::Stopping : ResultCode::DeadlineInQueue;
}

StopKind stopKind(const Route &Target) {
  if (!Target.Forwarding_)
    return Target.NonIdempotent_ ? StopKind::NonIdempotent
                                 : StopKind::Repeatable;
  switch (Target.Forwarding_->Kind_) {
  case RequestKind::Idempotent:
    return StopKind::Repeatable;
  case RequestKind::Stream:
    return StopKind::Stream;
  default:
    return StopKind::NonIdempotent;
  }
}

/// \returns what tells the requests of a route from others.
std::string routeKey(const RequestContext &Context) {
  return absl::StrCat(Context.document().Service_.str(), " ",
                      Context.Route_->Name_, " ", Context.Route_->PathPrefix_);
}

/// \returns a server of the request's pool as it is listed now; nothing if it
/// may not run the request.
std::optional<BackendServer> findServer(const RequestContext &Context,
                                        const ServerName &Name) {
  auto Newest = Context.Services_.Documents_.snapshot();
  const BackendServer *Listed = Newest->activeServer(
      Context.document().Service_, Context.Pool_->Name_, Name);
  if (!Listed)
    return std::nullopt;
  if (Context.Origin_ && Context.Origin_->Version_ != Listed->Version_)
    return std::nullopt;
  // The keeper may have admitted the version already.
  if (Listed->HeldBack_ && !Context.Origin_)
    return std::nullopt;
  return *Listed;
}

} // namespace

void StreamTiming::event(TimePoint Started, TimePoint Now) {
  if (!FirstEvent_)
    FirstEvent_ = duration_cast<milliseconds>(Now - Started);
  else
    LongestPause_ =
        std::max(LongestPause_, duration_cast<milliseconds>(Now - Last_));
  Last_ = Now;
}

const RequestFingerprint &RequestContext::fingerprint() {
  if (Fingerprint_)
    return Fingerprint_;
  const HttpRequest &Request = Exchange_.request();
  FingerprintParts Parts;
  Parts.Method_ = Request.Method_;
  Parts.Host_ = Request.field("host");
  Parts.Target_ = Request.Target_;
  if (Customer_)
    Parts.Customer_ = Customer_->Name_.str();
  Parts.Body_ = Request.Body_;
  Fingerprint_ = fingerprintOf(Parts);
  return Fingerprint_;
}

milliseconds RequestContext::remaining() const {
  auto Left = duration_cast<milliseconds>(Deadline_ - steady_clock::now());
  return std::max(Left, milliseconds(1));
}

bool RequestContext::expired(milliseconds Since) const {
  return steady_clock::now() >= Deadline_ + Since;
}

StopDecision RequestContext::decideStop(StopStage Stage) const {
  auto Stop = Services_.Stop_();
  if (!Stop)
    return StopDecision::GoOn;
  StopKind Kind = stopKind(*Route_);
  auto Wanted = Kind == StopKind::NonIdempotent ? RunLengths::Bound::All
                                                : RunLengths::Bound::Most;
  auto Expected = Services_.RunLengths_.expected(routeKey(*this), Wanted);
  return decideAtStop(*Stop, {Stage, Kind, remaining(), Expected});
}

void RequestContext::recordRun(microseconds Length) {
  Services_.RunLengths_.add(routeKey(*this),
                            duration_cast<milliseconds>(Length));
}

namespace {

/// \returns whether a stream that has begun waits here until its customer may
/// use more. Refused, its caller would come back then, with an attempt less. A
/// keeper that takes over counts from nothing, just when streams break off.
bool mayWaitForAllotment(const RequestContext &Context,
                         const GrantAnswer &Refusal) {
  constexpr milliseconds MaxPause{500};
  return Context.Origin_ && Refusal.Code_ == ResultCode::AllotmentSpent &&
         Refusal.RetryAfter_ <= MaxPause &&
         Refusal.RetryAfter_ < Context.remaining();
}

} // namespace

Awaitable<std::variant<ReadyServer, Verdict>>
obtainServer(RequestContext &Context, ObtainOptions Options) {
  GrantClient &Grants = Context.Services_.Grants_;
  auto Wait = GrantWait::create(co_await boost::asio::this_coro::executor,
                                Grants, Context.Id_);
  std::weak_ptr<GrantWait> Weak = Wait;
  Context.Exchange_.onCallerLeft([Weak] {
    if (auto Self = Weak.lock())
      Self->callerLeft();
  });
  std::vector<ServerName> Excluded = std::move(Options.Excluded_);
  Verdict Ended = notRun(ResultCode::ConnectFailed);
  if (auto Refused = checkCrashes(Context)) {
    Context.State_.tryGiveUp();
    co_return std::move(*Refused);
  }
  // A run that goes on with its memory is not refused, since that would cut it.
  bool Continues = !Options.OnlyServer_.empty();
  StopHook Hook(Context, Continues ? StopStage::Dispatched : StopStage::Waiting,
                [Weak] {
                  if (auto Self = Weak.lock())
                    Self->stop();
                });
  StopStage BeforeSend = Continues ? StopStage::Dispatched : StopStage::Granted;
  std::size_t CellTries = 0;
  bool WaitedForAllotment = false;
  for (int Try = 0; Try < MaxGrantRequests && !Context.expired(); ++Try) {
    // Servers may come and suspicions arise between two grant requests.
    std::vector<std::uint32_t> Cells = cellsFor(Context, Options.OnlyServer_);
    if (Cells.empty()) {
      Ended = notRun(ResultCode::NoBackendServer);
      break;
    }
    std::size_t SpanNumber = Context.Trace_.begin("wait-for-grant");
    CellId Cell{Context.document().Service_, Context.Pool_->Name_,
                Cells[CellTries % Cells.size()]};
    GrantRequest Request = makeGrantRequest(Context, Excluded);
    if (!Options.OnlyServer_.empty())
      continueAt(Options.OnlyServer_, Context, Request);
    Request.IsRetry_ = CellTries > 0 || Options.IsRetry_ ||
                       Context.SinceFirstAttempt_.count() > 0;
    auto Answer = co_await Wait->wait(std::move(Cell), std::move(Request),
                                      Context.Deadline_);
    Context.Trace_.end(SpanNumber);
    Context.Waited_ =
        duration_cast<microseconds>(steady_clock::now() - Context.Started_);
    if (!Answer) {
      Ended = notRun(endOfWait(*Wait));
      break;
    }
    if (Answer->Code_ != ResultCode::Ok) {
      Ended = notRun(Answer->Code_);
      Ended.RetryAfter_ = Answer->RetryAfter_;
      // Another cell of the pool may have capacity for the request.
      bool MoreCells = ++CellTries < Cells.size();
      bool OtherCellMayGrant =
          Answer->Code_ != ResultCode::ShedForHigherTier &&
          Answer->Code_ != ResultCode::CrashesServers &&
          Answer->Code_ != ResultCode::PromptPartCrashesServers;
      if (MoreCells && OtherCellMayGrant)
        continue;
      if (mayWaitForAllotment(Context, *Answer) &&
          !std::exchange(WaitedForAllotment, true)) {
        co_await Wait->pause(Answer->RetryAfter_);
        CellTries = 0;
        continue;
      }
      break;
    }
    if (std::ranges::count(Excluded, Answer->Server_) > 0) {
      // Its keeper did not know, or answered another ask.
      Grants.done(Context.Id_, ServedSample());
      Ended = notRun(ResultCode::NoBackendServer);
      logUnfitGrant(Context, Answer->Server_);
      continue;
    }
    // The server may have started to leave while the request waited, so the
    // newest snapshot is checked, not the one that the request started with.
    auto Server = findServer(Context, Answer->Server_);
    if (!Server) {
      Grants.done(Context.Id_, ServedSample());
      Excluded.push_back(Answer->Server_);
      Ended = notRun(ResultCode::NoBackendServer);
      continue;
    }
    BackendServer Chosen = std::move(*Server);
    // The server may have said something in an answer since the grant.
    auto IsHeld = [&] {
      return !Grants.holds()->maySend(Chosen.Name_, Chosen.Incarnation_,
                                      steady_clock::now());
    };
    if (IsHeld()) {
      Grants.done(Context.Id_, ServedSample());
      Excluded.push_back(Answer->Server_);
      Ended = notRun(ResultCode::NoBackendServer);
      continue;
    }
    std::optional<Verdict> Refused = checkStop(Context, BeforeSend);
    if (!Refused && Options.Prepare_)
      Refused = co_await Options.Prepare_();
    if (Refused) {
      Grants.done(Context.Id_, ServedSample());
      Context.State_.tryGiveUp();
      co_return std::move(*Refused);
    }
    ServerTarget Target = targetOf(Context, Chosen);
    auto Connected = co_await Context.Services_.Servers_.take(
        std::move(Target), Options.MaxIdle_, callKeyOf(Context));
    if (auto *Failed = std::get_if<LinkFailure>(&Connected)) {
      ServedSample Unreachable;
      Unreachable.Faulty_ = !Failed->PathLost_;
      Grants.done(Context.Id_, Unreachable);
      Excluded.push_back(Answer->Server_);
      Ended = notRun(Failed->PathLost_ ? ResultCode::NoPath
                                       : ResultCode::ConnectFailed);
      Ended.Detail_ = Failed->Detail_;
      logUnreachable(Context, Answer->Server_, Ended);
      continue;
    }
    auto &Link = std::get<ServerLink>(Connected);
    // Its entry may have changed, or the server may have left meanwhile.
    bool Fits = findServer(Context, Chosen.Name_).has_value();
    if (IsHeld() || !Fits) {
      Grants.done(Context.Id_, ServedSample());
      Context.Services_.Servers_.putBack(Chosen.Address_, std::move(Link));
      Excluded.push_back(Answer->Server_);
      Ended = notRun(ResultCode::NoBackendServer);
      continue;
    }
    Refused = checkStop(Context, BeforeSend);
    if (!Refused && Options.BeforeDispatch_)
      Refused = Options.BeforeDispatch_();
    if (!Refused)
      Refused = checkCrashes(Context);
    // After a pause of this process the event for the caller's disconnect may
    // still be queued in the event loop. Engines would then get requests whose
    // callers left during the pause, so the caller's connection is checked
    // directly.
    bool CallerLeft =
        Wait->hasCallerLeft() || Context.Exchange_.hasCallerLeft();
    if (Refused || CallerLeft) {
      Grants.done(Context.Id_, ServedSample());
      Ended = Refused ? std::move(*Refused) : notRun(ResultCode::CallerLeft);
      break;
    }
    // This process may have been paused anywhere above until after the
    // deadline.
    bool MayDispatch = Options.IsRetry_ || Context.State_.tryDispatch();
    if (Context.expired() || !MayDispatch) {
      Grants.done(Context.Id_, ServedSample());
      Ended = notRun(ResultCode::DeadlineInQueue);
      break;
    }
    Context.Servers_.push_back({Chosen.Name_, Chosen.Version_});
    Context.Relay_ = Link.Relay_;
    ReadyServer Ready;
    Ready.Server_ = std::move(Chosen);
    Ready.Connection_ = std::move(Link.Connection_);
    Ready.Relay_ = std::move(Link.Relay_);
    Ready.Limited_ = Answer->Limited_;
    if (!Answer->Backup_.empty())
      Ready.Backup_ = findServer(Context, Answer->Backup_);
    co_return std::move(Ready);
  }
  Context.State_.tryGiveUp();
  co_return std::move(Ended);
}

ServerTarget targetOf(const RequestContext &Context,
                      const BackendServer &Server) {
  return {{Context.document().Service_, Context.Pool_->Name_, Server.Name_},
          Server.Address_};
}

CallKey callKeyOf(const RequestContext &Context) {
  bool Forwarded = Context.Route_ && Context.Route_->Forwarding_;
  return callKey(Forwarded ? Context.Call_.CallId_ : Context.Id_.str());
}

void releaseConnection(RequestContext &Context, ReadyServer &Used) {
  Context.Services_.Servers_.giveBack(
      Used.Server_.Address_, {std::move(Used.Connection_), Used.Relay_});
}

HttpRequest endToEndRequest(const RequestContext &Context) {
  HttpRequest Forwarded = Context.Exchange_.request();
  Context.Services_.Dialect_.Fields_.removeHopFields(Forwarded.Fields_);
  Forwarded.Fields_.erase(CallerKeyField);
  return Forwarded;
}

Awaitable<Result<HttpResponse>> readAnswerHead(const RequestContext &Context,
                                               HttpConnection &Connection,
                                               milliseconds Timeout) {
  auto Head = co_await Connection.readHead(Timeout);
  if (!Head)
    co_return Head;
  auto Fault = Context.Services_.Dialect_.Fields_.answerFault(Head->Fields_);
  if (Fault)
    co_return Failure{ResultCode::MalformedAnswer, std::move(*Fault)};
  co_return Head;
}

std::optional<Verdict> recheckCallerKey(const RequestContext &Context) {
  if (!Context.Customer_)
    return std::nullopt;
  if (!Context.Services_.Freshness_.valid(BootClock::now()))
    return notRun(ResultCode::ConfigurationStale);
  auto Newest = Context.Services_.Documents_.snapshot();
  const ServiceConfiguration *Service =
      Newest->service(Context.document().Service_);
  if (!Service || !Service->Document_->customerByKeyDigest(Context.KeyDigest_))
    return notRun(ResultCode::UnknownCustomer);
  return std::nullopt;
}

std::optional<Verdict> checkCrashes(RequestContext &Context) {
  Suspicion Known = suspicionOf(Context);
  if (Known.Standing_ != RequestStanding::Refused)
    return std::nullopt;
  return notRun(refusalCode(Known.Cause_));
}

std::optional<Verdict> checkStop(const RequestContext &Context,
                                 StopStage Stage) {
  if (Context.decideStop(Stage) == StopDecision::GoOn)
    return std::nullopt;
  return notRun(ResultCode::Stopping);
}

HttpRequest backendRequest(RequestContext &Context, std::size_t SpanNumber) {
  HttpRequest Request = endToEndRequest(Context);
  Request.Fields_.erase("x-request-timeout-ms");
  Request.Fields_["x-request-id"] = Context.Id_.str();
  Request.Fields_["x-customer"] = Context.Customer_->Name_.str();
  Request.Fields_["traceparent"] = Context.Trace_.traceparent(SpanNumber);
  return Request;
}

namespace {

/// Limits Retry-After so that a caller that retries only once still has time
/// for its request, and adds jitter so that callers that are refused at the
/// same time don't retry at the same time.
void shortenRetryAfter(const RequestContext &Context, Verdict &Ended) {
  constexpr milliseconds MinDelay{50};
  constexpr std::uint64_t JitterSteps = 256;
  auto MaxDelay = std::max(MinDelay, Context.remaining() / RetryDelayDivisor);
  auto Delay = std::clamp(Ended.RetryAfter_, MinDelay, MaxDelay);
  std::uint64_t Step = std::hash<RequestId>()(Context.Id_) % JitterSteps;
  // The result is between two thirds of the delay and the whole delay.
  auto Jitter = Delay * static_cast<std::int64_t>(Step) /
                static_cast<std::int64_t>(RetryDelayDivisor * JitterSteps);
  Ended.RetryAfter_ = Delay - Jitter;
}

} // namespace

Awaitable<void> answerVerdict(RequestContext &Context, Verdict Ended) {
  if (Context.Route_ && Context.Route_->Forwarding_)
    shortenRetryAfter(Context, Ended);
  HttpResponse Response = finalResponse(
      Context.Id_, Ended, Context.Services_.Dialect_.FractionalRetryAfter_);
  Context.Services_.Dialect_.AddCallId_(Response.Fields_,
                                        Context.Call_.CallId_);
  co_await Context.Exchange_.respond(std::move(Response));
  reportEnd(Context, Ended.Outcome_, Ended.Code_);
}

void reportEnd(RequestContext &Context, Outcome Value, ResultCode Code) {
  // Shows whether several servers lost their connections under one request.
  if (Code == ResultCode::ConnectionLost)
    Context.fingerprint();
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
  Report.FirstEvent_ = Context.StreamTiming_.FirstEvent_;
  Report.LongestPause_ = Context.StreamTiming_.LongestPause_;
  Report.AnswerEnd_ = Context.AnswerEnd_;
  Report.OriginSource_ = Context.OriginSource_;
  Context.Services_.Report_(Report);
  Context.Trace_.attribute(Trace::Root, "outcome",
                           std::string(outcomeName(Value)));
  Context.Trace_.attribute(Trace::Root, "code",
                           std::to_string(static_cast<int>(Code)));
  if (Context.Services_.Traces_)
    Context.Services_.Traces_(Context.Trace_.finish());
}

} // namespace samphireshunt
