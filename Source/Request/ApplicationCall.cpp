/// \file
/// A request to an application engine: it is dispatched once and gets one
/// complete answer, which is never resumed. Non-idempotent requests run under a
/// claim of their idempotency key.

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Connection/MemoryBudget.h"
#include "Connection/Spawn.h"
#include "Request/CrashEvidence.h"
#include "Request/HeldAnswer.h"
#include "Request/ServerNotices.h"

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

/// \returns the part of an answer that is stored for retries of its request.
HttpResponse storable(const HttpResponse &Answer) {
  HttpResponse Stored;
  Stored.Status_ = Answer.Status_;
  Stored.Body_ = Answer.Body_;
  auto Type = Answer.Fields_.find("content-type");
  if (Type != Answer.Fields_.end())
    Stored.Fields_.add(Type->first, Type->second);
  return Stored;
}

class ApplicationCall {
public:
  explicit ApplicationCall(RequestContext &Context)
      : Context_(Context),
        HeldAnswer_(Context.Services_.Memory_, MemoryOwner::Answers) {}

  Awaitable<void> run() {
    bool NeedsClaim = Context_.Route_->NonIdempotent_;
    if (NeedsClaim) {
      auto IsAnswered = co_await checkKey();
      if (IsAnswered)
        co_return;
    }
    ObtainOptions Options;
    Options.MaxIdle_ = NeedsClaim ? milliseconds(0) : TrustedMaxIdle;
    if (NeedsClaim)
      Options.Prepare_ = [this]() { return claimKey(); };
    auto Obtained = co_await obtainServer(Context_, std::move(Options));
    if (auto *Refused = std::get_if<Verdict>(&Obtained)) {
      Verdict Ended = std::move(*Refused);
      co_return co_await refuse(std::move(Ended));
    }
    Ready_ = std::move(std::get<ReadyServer>(Obtained));
    Context_.Services_.Grants_.dispatched(Context_.Id_, nullptr);
    // From here on the request runs to its end even if the caller disconnects:
    // the effects of an interrupted run would be unknown.
    Context_.Exchange_.onCallerLeft(nullptr);
    Dispatched_ = steady_clock::now();
    auto Answer = co_await runExchange();
    ServedSample Sample;
    Sample.Reached_ = true;
    Sample.Complete_ = Answer.has_value();
    Sample.Duration_ =
        duration_cast<microseconds>(steady_clock::now() - Dispatched_);
    if (Answer) {
      addFingerprint(Context_, Sample);
      Context_.recordRun(Sample.Duration_);
    } else
      co_await addCrashEvidence(Context_, Ready_.Server_, Answer.error().Code_,
                                Sample);
    Context_.Services_.Grants_.done(Context_.Id_, Sample);
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

  /// Looks up the claim of the idempotency key before the request waits for a
  /// grant. \returns true when the request has been answered from it or
  /// refused.
  Awaitable<bool> checkKey() {
    ClaimKey Key = claimKeyOf();
    Verdict Refusal;
    if (Key.IdempotencyKey_.empty() ||
        Key.IdempotencyKey_.size() > MaxIdempotencyKeyBytes) {
      Refusal.Code_ = ResultCode::IdempotencyKeyMissing;
      co_await answerVerdict(Context_, std::move(Refusal));
      co_return true;
    }
    auto Found = co_await Context_.Services_.Claims_.find(Key);
    if (!Found) {
      Refusal.Code_ = ResultCode::PlatformUnavailable;
      Refusal.Detail_ = Found.error().Detail_;
      co_await answerVerdict(Context_, std::move(Refusal));
      co_return true;
    }
    if (!*Found)
      co_return false;
    Claim Existing = std::move(**Found);
    co_await answerFromClaim(std::move(Existing));
    co_return true;
  }

  /// Claims the key just before the dispatch, so that requests that are shed
  /// while they wait cause no load on the platform.
  Awaitable<std::optional<Verdict>> claimKey() {
    if (Claimed_)
      co_return std::nullopt;
    Claim Wanted;
    Wanted.Attempt_ = Context_.Id_.str();
    Wanted.Vm_ = Context_.Services_.Vm_;
    Wanted.Incarnation_ = Context_.Services_.Incarnation_;
    Wanted.BodyDigest_ = bodyDigest();
    Wanted_ = Wanted;
    auto Existing =
        co_await Context_.Services_.Claims_.claim(claimKeyOf(), Wanted);
    if (!Existing) {
      Verdict Ended;
      Ended.Code_ = ResultCode::ClaimFailed;
      Ended.Detail_ = Existing.error().Detail_;
      MayTakeEffectLate_ = true;
      co_return Ended;
    }
    if (Existing->Attempt_ != Wanted.Attempt_) {
      OtherClaim_ = std::move(*Existing);
      co_return Verdict();
    }
    Claimed_ = std::move(*Existing);
    co_return std::nullopt;
  }

  Awaitable<void> refuse(Verdict Ended) {
    if (OtherClaim_)
      co_return co_await answerFromClaim(std::move(*OtherClaim_));
    if (Claimed_ || MayTakeEffectLate_)
      co_await releaseInBackground();
    co_await answerVerdict(Context_, std::move(Ended));
  }

  /// Answers a retry from the claim of the first attempt. A retry never runs a
  /// second time.
  Awaitable<void> answerFromClaim(Claim Existing) {
    Verdict Ended;
    Ended.Outcome_ = Outcome::Unknown;
    if (Existing.BodyDigest_ != bodyDigest()) {
      Ended.Outcome_ = Outcome::NotRun;
      Ended.Code_ = ResultCode::IdempotencyKeyReused;
    } else if (Existing.State_ == ClaimState::Answered) {
      HttpResponse Stored = std::move(Existing.Answer_);
      Stored.Fields_["idempotent-replay"] = "true";
      addOutcomeFields(Stored, Context_.Id_, Outcome::Answered, ResultCode::Ok);
      Stored.Fields_["x-served-by"] = Context_.Services_.Vm_.str();
      co_await Context_.Exchange_.respond(std::move(Stored));
      co_return reportEnd(Context_, Outcome::Answered, ResultCode::Ok);
    } else if (Existing.State_ == ClaimState::Claimed &&
               Context_.Services_.IsProcessAlive_(Existing.Vm_,
                                                  Existing.Incarnation_)) {
      Ended.Code_ = ResultCode::FirstAttemptRunning;
      Ended.RetryAfter_ = RunningRetryAfter;
    } else {
      Ended.Code_ = ResultCode::FirstAttemptUnknown;
    }
    co_await answerVerdict(Context_, std::move(Ended));
  }

  Awaitable<Result<HttpResponse>> runExchange() {
    StopHook Hook(Context_, StopStage::Dispatched, [this] {
      StopEnded_ = true;
      Ready_.Connection_->close();
    });
    auto Answer = co_await exchange();
    bool Ended = !Answer && StopEnded_ &&
                 Answer.error().Code_ != ResultCode::RefusedByServer;
    if (Ended)
      co_return Failure{ResultCode::AnswerTimeout, "the daemon stops"};
    co_return Answer;
  }

  Awaitable<Result<HttpResponse>> exchange() {
    std::size_t SpanNumber = Context_.Trace_.begin("dispatch");
    Context_.Trace_.attribute(SpanNumber, "server", Ready_.Server_.Name_.str());
    HttpRequest Request = backendRequest(Context_, SpanNumber);
    HttpConnection &Connection = *Ready_.Connection_;
    Connection.acceptUnframed();
    auto Sent = co_await Connection.send(Request, Context_.remaining());
    if (!Sent)
      co_return Sent.error();
    auto Head =
        co_await readAnswerHead(Context_, Connection, Context_.remaining());
    if (!Head)
      co_return Head.error();
    reportServerNotices(Context_, Ready_, *Head);
    AnswerTurn Turn(Context_.Services_.Memory_);
    while (true) {
      auto Received = co_await Connection.readSome(Context_.remaining());
      if (!Received)
        co_return Received.error();
      if (Received->empty())
        break;
      std::size_t Size = Head->Body_.size() + Received->size();
      auto IsOver = [this] { return StopEnded_ || Context_.expired(); };
      bool Held = Turn.grow(HeldAnswer_, Size);
      if (!Held)
        Held = co_await awaitRoom(Turn, HeldAnswer_, Size, std::move(IsOver));
      if (!Held)
        co_return Failure{ResultCode::AnswerTooLarge,
                          fmt::format("{} bytes", Size)};
      Head->Body_ += *Received;
    }
    // An answer may be stored for repeats of its request, so its end has to be
    // known.
    if (!isEndKnown(Connection, Head->Body_))
      co_return Failure{ResultCode::ConnectionLost, "body without length"};
    Context_.Trace_.end(SpanNumber);
    auto [First, Last] = Head->Fields_.equal_range("x-request-id");
    bool IsCrossed = std::any_of(First, Last, [&](const auto &Echo) {
      return Echo.second != Context_.Id_.str();
    });
    if (IsCrossed)
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
    releaseConnection(Context_, Ready_);
    Context_.Services_.Dialect_.Fields_.removeHopFields(Answer.Fields_);
    addOutcomeFields(Answer, Context_.Id_, Outcome::Answered, ResultCode::Ok);
    Answer.Fields_["x-served-by"] = Context_.Services_.Vm_.str();
    Answer.Fields_["x-backend-server"] = Ready_.Server_.Name_.str();
    co_await Context_.Exchange_.respond(std::move(Answer));
    reportEnd(Context_, Outcome::Answered, ResultCode::Ok);
  }

  Awaitable<void> answerFailed(Failure Cause) {
    // The answer may still arrive. The connection is closed rather than reused,
    // so that no other request receives it.
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

  /// Stores the end of the run in the background, so that the caller's answer
  /// doesn't wait for the platform.
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

  /// Deletes the claim of a request that was not dispatched.
  Awaitable<void> releaseInBackground() {
    auto Executor = co_await asio::this_coro::executor;
    auto Release = [&Claims = Context_.Services_.Claims_, Key = claimKeyOf(),
                    Unused = *Wanted_, Late = MayTakeEffectLate_]() {
      return Claims.release(Key, Unused, Late);
    };
    spawnLogged(Executor, "release-claim", std::move(Release));
  }

  RequestContext &Context_;
  ReadyServer Ready_;
  /// The memory of the answer.
  MemoryUse HeldAnswer_;
  TimePoint Dispatched_;
  std::optional<Claim> Wanted_;
  std::optional<Claim> Claimed_;
  std::optional<Claim> OtherClaim_;
  bool MayTakeEffectLate_ = false;
  bool StopEnded_ = false;
};

} // namespace

Awaitable<void> runApplicationCall(RequestContext &Context) {
  ApplicationCall Call(Context);
  co_await Call.run();
}

} // namespace samphireshunt
