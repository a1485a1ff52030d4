#include "Request/ForwardedCall.h"

#include "Common/Log.h"
#include "Connection/EventSplitter.h"
#include "Request/WaitPlan.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <memory>

namespace samphireshunt {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int StatusMultipleChoices = 300;
constexpr int StatusInternalError = 500;
/// Statuses by which a server promises that it did not run the request.
constexpr std::array PromisingStatuses = {408, 421, 429, 503};
/// Requests that may be sent again use a connection after this much idleness.
constexpr milliseconds RepeatableMaxIdle{4000};
/// With less time left no server could answer.
constexpr milliseconds LeastTimeLeft{20};
/// A stream that may go on elsewhere is taken from an engine that is silent for
/// this long: several times the pause that an engine with a full batch makes.
constexpr milliseconds ResumeAfterSilence{1200};
/// Of the time left, how long the first server of a repeatable request gets.
constexpr int FirstAttemptDivisor = 2;
/// Servers that may refuse a request, one after the other.
constexpr int MaxRefusals = 3;

/// What became of one dispatch.
enum class AttemptEnd {
  Answered,  ///< The caller has the whole answer.
  NotRun,    ///< The server refused before running.
  Failed,    ///< It may have run; no answer can be used.
  Broken,    ///< The caller has a part of the answer.
  CallerLeft ///< Nobody waits any more.
};

bool isPromise(int Status) {
  return std::ranges::count(PromisingStatuses, Status) > 0;
}

/// Its caller's leaving, which may come when it has ended, holds it weakly.
class ForwardedCall : public std::enable_shared_from_this<ForwardedCall> {
public:
  explicit ForwardedCall(RequestContext &Context)
      : Context_(Context), Rule_(*Context.Route_->Forwarding_),
        Dialect_(Context.Services_.Dialect_) {}

  Awaitable<void> run() {
    auto Now = steady_clock::now();
    Context_.Services_.Repeats_.noteRequest(Context_.Pool_->Name_, Now);
    while (true) {
      SeekOptions Options = seekOptions();
      auto Obtained = co_await obtainServer(Context_, std::move(Options));
      if (auto *Refused = std::get_if<Verdict>(&Obtained)) {
        Verdict Ended = std::move(*Refused);
        co_return co_await finish(std::move(Ended));
      }
      Ready_ = std::move(std::get<ReadyServer>(Obtained));
      AttemptEnd Ended = co_await attempt();
      reportAttempt(Ended);
      if (Ended == AttemptEnd::Answered)
        co_return reportEnd(Context_, Outcome::Answered, ResultCode::Ok);
      if (Ended == AttemptEnd::CallerLeft || !mayRepeat(Ended)) {
        Verdict Final = verdictAfter(Ended);
        co_return co_await finish(std::move(Final));
      }
      logRepeat(Ended);
    }
  }

private:
  bool isStream() const { return Rule_.Kind_ == RequestKind::Stream; }

  SeekOptions seekOptions() {
    SeekOptions Options;
    Options.MaxIdle_ = Rule_.repeatable() ? RepeatableMaxIdle : ProvedMaxIdle;
    Options.Excluded_ = Tried_;
    Options.Repeat_ = Sends_ > 0;
    Options.BeforeDispatch_ = [this] { return checkOnceMore(); };
    return Options;
  }

  /// The request may have waited: its key may have been taken away, or this
  /// process may have been paused so long that it can't know.
  std::optional<Verdict> checkOnceMore() const {
    return checkCallerStillAllowed(Context_);
  }

  Awaitable<AttemptEnd> attempt() {
    ++Sends_;
    Context_.Services_.Grants_.dispatched(Context_.Id_, nullptr);
    Dispatched_ = steady_clock::now();
    FirstEvent_ = TimePoint();
    Faulty_ = false;
    Replaced_ = false;
    watchCaller();
    HttpConnection &Connection = *Ready_.Connection_;
    Connection.acceptUnframed();
    HttpRequest Request = forwardedRequest();
    auto Sent = co_await Connection.send(Request, Context_.remaining());
    if (!Sent)
      co_return failed(Sent.error());
    auto Head = co_await Connection.readHead(headTimeout());
    if (!Head)
      co_return failed(Head.error());
    AnswerLabels Labels = Dialect_.ReadAnswer_(*Head);
    // An extra answer of an earlier request may stand where this one's is due.
    if (Labels.CallId_ != Context_.Call_.CallId_)
      co_return failed({ResultCode::CrossedAnswer, Labels.CallId_});
    Replaced_ = Labels.Replaced_;
    if (Labels.NotRun_)
      co_return co_await refusedByServer(std::move(*Head));
    bool Success = Head->Status_ < StatusMultipleChoices;
    if (Success && !Labels.Proved_)
      co_return failed({ResultCode::CrossedAnswer, "answer without proof"});
    if (isStream() && Success)
      co_return co_await relayEvents(std::move(*Head));
    co_return co_await relayWhole(std::move(*Head));
  }

  HttpRequest forwardedRequest() {
    std::size_t SpanNumber = Context_.Trace_.begin("dispatch");
    Context_.Trace_.attribute(SpanNumber, "server", Ready_.Server_.Name_.str());
    HttpRequest Request = endToEndRequest(Context_.Exchange_.request());
    Request.Fields_["traceparent"] = Context_.Trace_.traceparent(SpanNumber);
    ForwardLabels Labels;
    Labels.Timeout_ = Context_.remaining();
    Labels.Server_ = Ready_.Server_.Name_;
    if (Context_.Customer_)
      Labels.Customer_ = Context_.Customer_->Name_;
    Dialect_.WriteForward_(Request.Fields_, Labels);
    if (Splitter_.lastId())
      Request.Fields_["last-event-id"] = *Splitter_.lastId();
    return Request;
  }

  /// A server that hangs must leave time for another one, where one is allowed.
  milliseconds headTimeout() const {
    auto Left = Context_.remaining();
    bool Last = Sends_ >= static_cast<int>(Rule_.MaxAttempts_);
    if (Last || !Rule_.repeatable())
      return isStream() ? std::min(Left, callerPatience(Rule_)) : Left;
    return isStream() ? std::min(Left, ResumeAfterSilence)
                      : Left / FirstAttemptDivisor;
  }

  milliseconds eventTimeout() const {
    bool Last = Sends_ >= static_cast<int>(Rule_.MaxAttempts_);
    auto Patience =
        Rule_.Resumable_ && !Last ? ResumeAfterSilence : callerPatience(Rule_);
    return std::min(Context_.remaining(), Patience);
  }

  /// The caller's leaving closes the server's connection, which makes the
  /// server stop. A run that must not be repeated goes to its end: nobody could
  /// tell what took effect of one that is cut short.
  void watchCaller() {
    bool CutsRun = Rule_.repeatable() || isStream();
    Context_.Exchange_.onCallerLeft([Weak = weak_from_this(), CutsRun] {
      if (auto Present = Weak.lock())
        Present->noteCallerLeft(CutsRun);
    });
  }

  void noteCallerLeft(bool CutsRun) {
    CallerLeft_ = true;
    if (CutsRun && Ready_.Connection_)
      Ready_.Connection_->close();
  }

  AttemptEnd failed(Failure Cause) {
    Ready_.Connection_->close();
    MayHaveRun_ = true;
    if (CallerLeft_)
      return AttemptEnd::CallerLeft;
    Faulty_ = !Context_.expired();
    Cause_ = std::move(Cause);
    return Begun_ ? AttemptEnd::Broken : AttemptEnd::Failed;
  }

  Awaitable<AttemptEnd> refusedByServer(HttpResponse Head) {
    bool Whole = co_await readBody(Head);
    if (Whole)
      giveBack();
    else
      Ready_.Connection_->close();
    Cause_ = {ResultCode::RefusedByServer,
              fmt::format("status {}", Head.Status_)};
    co_return AttemptEnd::NotRun;
  }

  Awaitable<bool> readBody(HttpResponse &Answer) {
    while (true) {
      auto Part = co_await Ready_.Connection_->readSome(Context_.remaining());
      if (!Part)
        co_return false;
      if (Part->empty())
        co_return true;
      Answer.Body_ += *Part;
    }
  }

  void giveBack() {
    Context_.Services_.Connections_.giveBack(Ready_.Server_.Address_,
                                             std::move(Ready_.Connection_));
  }

  Awaitable<AttemptEnd> relayWhole(HttpResponse Answer) {
    bool Whole = co_await readBody(Answer);
    if (!Whole)
      co_return failed({ResultCode::ConnectionLost, "answer broke off"});
    giveBack();
    if (isPromise(Answer.Status_)) {
      // It may have run, and the caller would take this for a promise.
      MayHaveRun_ = true;
      Cause_ = {ResultCode::ServerError,
                fmt::format("status {}", Answer.Status_)};
      co_return AttemptEnd::Failed;
    }
    if (Begun_) {
      Cause_ = {ResultCode::StreamBroken,
                fmt::format("status {}", Answer.Status_)};
      co_return AttemptEnd::Broken;
    }
    if (Answer.Status_ >= StatusInternalError) {
      MayHaveRun_ = true;
      Faulty_ = true;
      Cause_ = {ResultCode::ServerError,
                fmt::format("status {}", Answer.Status_)};
      KeptAnswer_ = std::move(Answer);
      co_return AttemptEnd::Failed;
    }
    co_await deliver(std::move(Answer));
    co_return AttemptEnd::Answered;
  }

  Awaitable<void> deliver(HttpResponse Answer) {
    removeHopFields(Answer.Fields_);
    co_await Context_.Exchange_.respond(std::move(Answer));
  }

  /// Passes events on as they come. Of a stream that may be resumed only whole
  /// ones, so that another engine can go on after them.
  Awaitable<AttemptEnd> relayEvents(HttpResponse Head) {
    while (true) {
      auto Part = co_await Ready_.Connection_->readSome(eventTimeout());
      if (!Part)
        co_return failed(Part.error());
      if (Part->empty())
        break;
      Context_.Pace_.event(Context_.Started_, steady_clock::now());
      if (FirstEvent_ == TimePoint())
        noteFirstEvent();
      std::string Ready = Splitter_.feed(*Part);
      if (!Rule_.Resumable_) {
        Ready = std::move(*Part);
        Splitter_.dropRest();
      }
      bool Written = co_await writeEvents(Head, std::move(Ready));
      if (!Written)
        co_return callerGone();
    }
    giveBack();
    std::string Rest = Splitter_.rest();
    bool Written = co_await writeEvents(Head, std::move(Rest));
    if (Written)
      Written = co_await Context_.Exchange_.endStream();
    co_return Written ? AttemptEnd::Answered : callerGone();
  }

  void noteFirstEvent() {
    FirstEvent_ = steady_clock::now();
    auto Delay = duration_cast<microseconds>(FirstEvent_ - Dispatched_);
    Context_.Services_.Grants_.firstToken(Context_.Id_, Delay);
  }

  /// The head goes out with the first events: until then another server may
  /// give the answer. A resumed stream keeps the head of its first server.
  Awaitable<bool> writeEvents(HttpResponse &Head, std::string Events) {
    if (!Begun_) {
      removeHopFields(Head.Fields_);
      bool Written = co_await Context_.Exchange_.beginStream(std::move(Head));
      if (!Written)
        co_return false;
      Begun_ = true;
    }
    co_return co_await Context_.Exchange_.writeChunk(std::move(Events));
  }

  AttemptEnd callerGone() {
    CallerLeft_ = true;
    if (Ready_.Connection_)
      Ready_.Connection_->close();
    return AttemptEnd::CallerLeft;
  }

  void reportAttempt(AttemptEnd Ended) {
    ServedSample Seen;
    Seen.Reached_ = true;
    Seen.Complete_ = Ended == AttemptEnd::Answered;
    Seen.Faulty_ = Faulty_;
    Seen.Replaced_ = Replaced_;
    auto Now = steady_clock::now();
    Seen.Duration_ = duration_cast<microseconds>(Now - Dispatched_);
    if (FirstEvent_ != TimePoint()) {
      Seen.FirstToken_ = duration_cast<microseconds>(FirstEvent_ - Dispatched_);
      auto Events = static_cast<std::int64_t>(Splitter_.count());
      Seen.AtOnce_ = Tokens(Context_.Pool_->TokensPerEvent_);
      Seen.Generated_ = Tokens(Events * Seen.AtOnce_.count());
    }
    Context_.Pace_.Events_ = Splitter_.count();
    Context_.Services_.Grants_.done(Context_.Id_, Seen);
    Tried_.push_back(Ready_.Server_.Name_);
    Splitter_.dropRest();
  }

  bool mayRepeat(AttemptEnd Ended) {
    if (CallerLeft_ || Context_.remaining() <= LeastTimeLeft)
      return false;
    if (Ended == AttemptEnd::NotRun) {
      if (++Refusals_ > MaxRefusals)
        return false;
    } else if (!Rule_.repeatable() || !resumesFromAnEvent(Ended) ||
               ++Runs_ >= static_cast<int>(Rule_.MaxAttempts_)) {
      return false;
    }
    return Context_.Services_.Repeats_.tryRepeat(
        Context_.Pool_->Name_, Context_.Services_.FleetSize_(),
        steady_clock::now());
  }

  /// A stream of which the caller has a part goes on after its last event.
  bool resumesFromAnEvent(AttemptEnd Ended) const {
    return Ended != AttemptEnd::Broken ||
           (Rule_.Resumable_ && Splitter_.lastId().has_value());
  }

  void logRepeat(AttemptEnd Ended) const {
    logEvent(LogCategory::Request, spdlog::level::info,
             Ended == AttemptEnd::Broken ? "resumed" : "repeated",
             {{"request", Context_.Id_.str()},
              {"call", Context_.Call_.CallId_},
              {"server", Ready_.Server_.Name_.str()},
              {"code", std::to_string(static_cast<int>(Cause_.Code_))},
              {"detail", Cause_.Detail_}});
  }

  Verdict verdictAfter(AttemptEnd Ended) const {
    Verdict Result(Cause_.Code_, Cause_.Detail_);
    if (Ended == AttemptEnd::CallerLeft)
      Result.Code_ = ResultCode::CallerLeft;
    return Result;
  }

  /// No server is left to ask, or none may be asked.
  Awaitable<void> finish(Verdict Ended) {
    if (Begun_) {
      Context_.Exchange_.abort();
      co_return reportEnd(Context_, Outcome::Partial, Ended.Code_);
    }
    if (KeptAnswer_ && !CallerLeft_) {
      co_await deliver(std::move(*KeptAnswer_));
      co_return reportEnd(Context_, Outcome::Answered, Cause_.Code_);
    }
    if (MayHaveRun_) {
      // A code of the first cause: "not run" would be a lie now.
      Ended.Outcome_ = Outcome::Unknown;
      if (Ended.Code_ != ResultCode::CallerLeft)
        Ended.Code_ = Cause_.Code_;
    }
    co_await answerVerdict(Context_, std::move(Ended));
  }

  RequestContext &Context_;
  const ForwardingRule &Rule_;
  const ForwardingDialect &Dialect_;
  ReadyServer Ready_;
  EventSplitter Splitter_;
  std::vector<ServerName> Tried_;
  std::optional<HttpResponse> KeptAnswer_;
  Failure Cause_;
  TimePoint Dispatched_;
  TimePoint FirstEvent_;
  int Sends_ = 0;    ///< Dispatches, refused ones too.
  int Runs_ = 0;     ///< Dispatches that may have run.
  int Refusals_ = 0; ///< Dispatches that were refused.
  bool Begun_ = false;
  bool MayHaveRun_ = false;
  bool Faulty_ = false;
  bool Replaced_ = false;
  bool CallerLeft_ = false;
};

} // namespace

Awaitable<void> runForwardedCall(RequestContext &Context) {
  auto Call = std::make_shared<ForwardedCall>(Context);
  co_await Call->run();
}

} // namespace samphireshunt
