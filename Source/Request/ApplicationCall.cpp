/// \file
/// A request to an application engine: one dispatch, one whole answer, never
/// resumed. Non-idempotent ones run under a claim of their idempotency key.

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Connection/Spawn.h"
#include "Request/RequestContext.h"

#include <boost/asio/this_coro.hpp>
#include <fmt/format.h>

namespace samphireshunt {

namespace {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t MaxIdempotencyKeyBytes = 256;
constexpr milliseconds RunningRetryAfter{1000};

/// Fields of a stored answer that a repeat gets as well.
HttpResponse storable(const HttpResponse &Answer) {
  HttpResponse Kept;
  Kept.Status_ = Answer.Status_;
  Kept.Body_ = Answer.Body_;
  auto Type = Answer.Fields_.find("content-type");
  if (Type != Answer.Fields_.end())
    Kept.Fields_.insert(*Type);
  return Kept;
}

class ApplicationCall {
public:
  explicit ApplicationCall(RequestContext &Context) : Context_(Context) {}

  Awaitable<void> run() {
    bool Claims = Context_.Route_->NonIdempotent_;
    if (Claims) {
      auto Known = co_await checkKey();
      if (Known)
        co_return;
    }
    SeekOptions Options;
    Options.MaxIdle_ = Claims ? milliseconds(0) : ProvedMaxIdle;
    if (Claims)
      Options.Prepare_ = [this]() { return claimKey(); };
    auto Obtained = co_await obtainServer(Context_, std::move(Options));
    if (auto *Refused = std::get_if<Verdict>(&Obtained)) {
      Verdict Ended = std::move(*Refused);
      co_return co_await refuse(std::move(Ended));
    }
    Ready_ = std::move(std::get<ReadyServer>(Obtained));
    Context_.Services_.Grants_.dispatched(Context_.Id_, nullptr);
    // From here on the run goes to its end although the caller may leave:
    // nobody could tell what a run that is cut short took effect of.
    Context_.Exchange_.onCallerLeft(nullptr);
    Dispatched_ = steady_clock::now();
    auto Answer = co_await exchange();
    ServedSample Seen;
    Seen.Reached_ = true;
    Seen.Complete_ = Answer.has_value();
    Seen.Duration_ =
        duration_cast<microseconds>(steady_clock::now() - Dispatched_);
    Context_.Services_.Grants_.done(Context_.Id_, Seen);
    if (Answer)
      co_await answerWhole(std::move(*Answer));
    else
      co_await answerFailed(Answer.error());
  }

private:
  ClaimKey claimKeyOf() const {
    return {Context_.document().Service_, Context_.Customer_->Name_,
            Context_.Exchange_.request().field("idempotency-key")};
  }

  std::string bodyDigest() const {
    const HttpRequest &Request = Context_.Exchange_.request();
    return sha256Hex(Request.Method_ + " " + Request.Target_ + "\n" +
                     Request.Body_);
  }

  /// Looks for a claim before any wait. \returns true when that answered the
  /// request.
  Awaitable<bool> checkKey() {
    ClaimKey Key = claimKeyOf();
    Verdict Bad;
    if (Key.IdempotencyKey_.empty() ||
        Key.IdempotencyKey_.size() > MaxIdempotencyKeyBytes) {
      Bad.Code_ = ResultCode::IdempotencyKeyMissing;
      co_await answerVerdict(Context_, std::move(Bad));
      co_return true;
    }
    auto Found = co_await Context_.Services_.Claims_.find(Key);
    if (!Found) {
      Bad.Code_ = ResultCode::PlatformUnavailable;
      Bad.Detail_ = Found.error().Detail_;
      co_await answerVerdict(Context_, std::move(Bad));
      co_return true;
    }
    if (!*Found)
      co_return false;
    Claim Standing = std::move(**Found);
    co_await answerFromClaim(std::move(Standing));
    co_return true;
  }

  /// Claims the key just before the dispatch, so that what is shed while it
  /// waits costs the platform nothing.
  Awaitable<std::optional<Verdict>> claimKey() {
    if (Claimed_)
      co_return std::nullopt;
    Claim Wanted;
    Wanted.Attempt_ = Context_.Id_.str();
    Wanted.Vm_ = Context_.Services_.Vm_;
    Wanted.Incarnation_ = Context_.Services_.Incarnation_;
    Wanted.BodyDigest_ = bodyDigest();
    Wanted_ = Wanted;
    auto Standing =
        co_await Context_.Services_.Claims_.claim(claimKeyOf(), Wanted);
    if (!Standing) {
      Verdict Ended;
      Ended.Code_ = ResultCode::ClaimFailed;
      Ended.Detail_ = Standing.error().Detail_;
      MayLandLate_ = true;
      co_return Ended;
    }
    if (Standing->Attempt_ != Wanted.Attempt_) {
      Other_ = std::move(*Standing);
      co_return Verdict();
    }
    Claimed_ = std::move(*Standing);
    co_return std::nullopt;
  }

  Awaitable<void> refuse(Verdict Ended) {
    if (Other_)
      co_return co_await answerFromClaim(std::move(*Other_));
    if (Claimed_ || MayLandLate_)
      co_await releaseInBackground();
    co_await answerVerdict(Context_, std::move(Ended));
  }

  /// What a repeat of a key gets: never a second run.
  Awaitable<void> answerFromClaim(Claim Standing) {
    Verdict Ended;
    Ended.Outcome_ = Outcome::Unknown;
    if (Standing.BodyDigest_ != bodyDigest()) {
      Ended.Outcome_ = Outcome::NotRun;
      Ended.Code_ = ResultCode::IdempotencyKeyReused;
    } else if (Standing.State_ == ClaimState::Answered) {
      HttpResponse Stored = std::move(Standing.Answer_);
      Stored.Fields_["idempotent-replay"] = "true";
      addOutcomeFields(Stored, Context_.Id_, Outcome::Answered, ResultCode::Ok);
      Stored.Fields_["x-served-by"] = Context_.Services_.Vm_.str();
      co_await Context_.Exchange_.respond(std::move(Stored));
      co_return reportEnd(Context_, Outcome::Answered, ResultCode::Ok);
    } else if (Standing.State_ == ClaimState::Claimed &&
               Context_.Services_.IsProcessAlive_(Standing.Vm_,
                                                  Standing.Incarnation_)) {
      Ended.Code_ = ResultCode::FirstAttemptRunning;
      Ended.RetryAfter_ = RunningRetryAfter;
    } else {
      Ended.Code_ = ResultCode::FirstAttemptUnknown;
    }
    co_await answerVerdict(Context_, std::move(Ended));
  }

  Awaitable<Result<HttpResponse>> exchange() {
    std::size_t SpanNumber = Context_.Trace_.begin("dispatch");
    Context_.Trace_.attribute(SpanNumber, "server", Ready_.Server_.Name_.str());
    HttpRequest Request = backendRequest(Context_, SpanNumber);
    HttpConnection &Connection = *Ready_.Connection_;
    auto Sent = co_await Connection.send(Request, Context_.remaining());
    if (!Sent)
      co_return Sent.error();
    auto Head = co_await Connection.readHead(Context_.remaining());
    if (!Head)
      co_return Head.error();
    while (true) {
      auto Part = co_await Connection.readSome(Context_.remaining());
      if (!Part)
        co_return Part.error();
      if (Part->empty())
        break;
      Head->Body_ += *Part;
    }
    Context_.Trace_.end(SpanNumber);
    auto Echo = Head->Fields_.find("x-request-id");
    if (Echo != Head->Fields_.end() && Echo->second != Context_.Id_.str())
      co_return Failure{ResultCode::CrossedAnswer, "answer to another request"};
    bool Refused = Ready_.Server_.RefusesBeforeRunning_ &&
                   (Head->Status_ == 503 || Head->Status_ == 429);
    if (Refused)
      co_return Failure{ResultCode::RefusedByServer,
                        fmt::format("status {}", Head->Status_)};
    co_return Head;
  }

  Awaitable<void> answerWhole(HttpResponse Answer) {
    if (Claimed_)
      co_await finishInBackground(ClaimState::Answered, &Answer);
    Context_.Services_.Connections_.giveBack(Ready_.Server_.Address_,
                                             std::move(Ready_.Connection_));
    for (std::string_view Field :
         {"connection", "keep-alive", "transfer-encoding", "content-length"})
      Answer.Fields_.erase(std::string(Field));
    addOutcomeFields(Answer, Context_.Id_, Outcome::Answered, ResultCode::Ok);
    Answer.Fields_["x-served-by"] = Context_.Services_.Vm_.str();
    Answer.Fields_["x-backend-server"] = Ready_.Server_.Name_.str();
    co_await Context_.Exchange_.respond(std::move(Answer));
    reportEnd(Context_, Outcome::Answered, ResultCode::Ok);
  }

  Awaitable<void> answerFailed(Failure Cause) {
    // The answer may still come: on a connection of its own it meets nobody.
    Ready_.Connection_->close();
    Verdict Ended;
    Ended.Code_ = Cause.Code_;
    Ended.Detail_ = Cause.Detail_;
    bool Refused = Cause.Code_ == ResultCode::RefusedByServer;
    Ended.Outcome_ = Refused ? Outcome::NotRun : Outcome::Unknown;
    if (Claimed_ && Refused)
      co_await releaseInBackground();
    else if (Claimed_)
      co_await finishInBackground(ClaimState::Unknown, nullptr);
    co_await answerVerdict(Context_, std::move(Ended));
  }

  /// The caller's answer does not wait for the platform.
  Awaitable<void> finishInBackground(ClaimState State,
                                     const HttpResponse *Answer) {
    Claim Ended = *Claimed_;
    Ended.State_ = State;
    if (Answer)
      Ended.Answer_ = storable(*Answer);
    auto Executor = co_await asio::this_coro::executor;
    auto Finish = [&Claims = Context_.Services_.Claims_, Key = claimKeyOf(),
                   Ended = std::move(Ended)]() {
      return Claims.finish(Key, Ended);
    };
    spawnLogged(Executor, "finish-claim", std::move(Finish));
  }

  Awaitable<void> releaseInBackground() {
    auto Executor = co_await asio::this_coro::executor;
    auto Release = [&Claims = Context_.Services_.Claims_, Key = claimKeyOf(),
                    Unused = *Wanted_, Late = MayLandLate_]() {
      return Claims.release(Key, Unused, Late);
    };
    spawnLogged(Executor, "release-claim", std::move(Release));
  }

  RequestContext &Context_;
  ReadyServer Ready_;
  TimePoint Dispatched_;
  std::optional<Claim> Wanted_;
  std::optional<Claim> Claimed_;
  std::optional<Claim> Other_;
  bool MayLandLate_ = false;
};

} // namespace

Awaitable<void> runApplicationCall(RequestContext &Context) {
  ApplicationCall Call(Context);
  co_await Call.run();
}

} // namespace samphireshunt
