#include "Process/Keeping/KeeperMessages.h"

#include <algorithm>
#include <cmath>

namespace samphireshunt {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

std::uint32_t remainingMillis(TimePoint Deadline) {
  auto Remaining = duration_cast<milliseconds>(Deadline - steady_clock::now());
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(1, Remaining.count()));
}

std::unique_ptr<wire::Fingerprint> toWire(const RequestFingerprint &Request) {
  if (!Request)
    return nullptr;
  return std::make_unique<wire::Fingerprint>(Request.High_, Request.Low_);
}

RequestFingerprint fromWire(const std::unique_ptr<wire::Fingerprint> &Request) {
  if (!Request)
    return {};
  return {Request->high(), Request->low()};
}

} // namespace

std::string encodeAsk(const CellId &Cell, const GrantRequest &Request) {
  wire::AskT Ask;
  Ask.id = toWire(Request.Id_);
  Ask.cell = Cell.toWire();
  Ask.tier = Request.Tier_.count();
  Ask.customer = Request.Customer_.str();
  // The deadline is sent as a duration rather than an instant, because the
  // clocks of VMs differ.
  Ask.deadline_ms = remainingMillis(Request.Deadline_);
  Ask.prompt_tokens = static_cast<std::uint32_t>(Request.Prompt_.count());
  Ask.answer_tokens = static_cast<std::uint32_t>(Request.Answer_.count());
  // A long prompt has hundreds of blocks but only a few prompt parts, so the
  // parts are sent if they are known.
  for (const PromptPart &Part : Request.Parts_)
    Ask.parts.emplace_back(Part.Id_,
                           static_cast<std::uint32_t>(Part.Length_.count()));
  if (Request.Parts_.empty())
    Ask.prefix = Request.Prefix_;
  Ask.non_idempotent = Request.NonIdempotent_;
  if (Request.Objective_ != TimePoint())
    Ask.objective_ms = remainingMillis(Request.Objective_);
  Ask.guessed_tokens =
      static_cast<std::uint32_t>(Request.EstimatedAnswer_.count());
  Ask.max_pause_ms = static_cast<std::uint32_t>(Request.MaxPause_.count());
  Ask.asked_before = Request.IsRetry_;
  Ask.max_wait_ms = static_cast<std::uint32_t>(Request.MaxWait_.count());
  Ask.fingerprint = toWire(Request.Fingerprint_);
  Ask.software = Request.Version_.str();
  Ask.only_server = Request.OnlyServer_.str();
  Ask.ask = Request.Ask_.count();
  for (const ServerName &Name : Request.Excluded_)
    Ask.excluded.push_back(Name.str());
  return encodeMessage(std::move(Ask));
}

std::string encodeRunning(const CellId &Cell, const RunningRequest &Request) {
  wire::RunningT Running;
  Running.id = toWire(Request.Id_);
  Running.cell = Cell.toWire();
  Running.server = Request.Server_.str();
  Running.tier = Request.Tier_.count();
  Running.customer = Request.Customer_.str();
  Running.prompt_tokens = static_cast<std::uint32_t>(Request.Prompt_.count());
  Running.answer_tokens = static_cast<std::uint32_t>(Request.Answer_.count());
  Running.non_idempotent = Request.NonIdempotent_;
  Running.fingerprint = toWire(Request.Fingerprint_);
  Running.parts = Request.Parts_;
  Running.ask = Request.Ask_.count();
  return encodeMessage(std::move(Running));
}

std::string encodeDone(const CellId &Cell, const RequestId &Id,
                       const ServedSample &Sample, AskNumber Ask) {
  wire::DoneT Done;
  Done.id = toWire(Id);
  Done.ask = Ask.count();
  Done.cell = Cell.toWire();
  Done.reached = Sample.Reached_;
  Done.complete = Sample.Complete_;
  Done.faulty = Sample.Faulty_;
  Done.replaced = Sample.Replaced_;
  Done.crashed = Sample.Crashed_;
  Done.rejected = Sample.Rejected_;
  Done.suspended = Sample.Suspended_;
  Done.work_time_percent = Sample.WorkTimePercent_;
  Done.fingerprint = toWire(Sample.Fingerprint_);
  Done.parts = Sample.Parts_;
  Done.at_once = static_cast<std::uint32_t>(Sample.FirstEventTokens_.count());
  Done.generated = static_cast<std::uint32_t>(Sample.Generated_.count());
  Done.first_token_us = static_cast<std::uint32_t>(Sample.FirstToken_.count());
  Done.duration_us = static_cast<std::uint32_t>(Sample.Duration_.count());
  return encodeMessage(std::move(Done));
}

std::string encodeWithdraw(const CellId &Cell, const RequestId &Id,
                           AskNumber Ask) {
  wire::WithdrawT Withdraw;
  Withdraw.id = toWire(Id);
  Withdraw.ask = Ask.count();
  Withdraw.cell = Cell.toWire();
  return encodeMessage(std::move(Withdraw));
}

std::string encodeNotSuspended(const CellId &Cell, const RequestId &Id) {
  wire::NotSuspendedT Message;
  Message.id = toWire(Id);
  Message.cell = Cell.toWire();
  return encodeMessage(std::move(Message));
}

std::string encodeFirstToken(const CellId &Cell, const RequestId &Id,
                             const FirstTokenSample &Sample) {
  wire::FirstTokenT Message;
  Message.id = toWire(Id);
  Message.cell = Cell.toWire();
  Message.delay_us = static_cast<std::uint32_t>(Sample.Delay_.count());
  Message.work_time_percent = Sample.WorkTimePercent_;
  return encodeMessage(std::move(Message));
}

std::string encodeServerLimit(const CellId &Cell, const ServerName &Server,
                              const RequestId &Id,
                              const std::optional<RequestRate> &Named) {
  wire::ServerLimitT Limit;
  Limit.id = toWire(Id);
  Limit.cell = Cell.toWire();
  Limit.server = Server.str();
  Limit.named = Named.has_value();
  Limit.per_second = Named.value_or(RequestRate()).perSecond();
  return encodeMessage(std::move(Limit));
}

std::string encodeStatement(const ServerStatement &Said, bool Relayed) {
  wire::ServerNoticeT Message;
  Message.id = toWire(Said.Id_);
  Message.cell = Said.Cell_.toWire();
  Message.server = Said.Server_.str();
  Message.incarnation = Said.Process_.count();
  Message.relayed = Relayed;
  if (const auto *Brittle = std::get_if<BrittleNotice>(&Said.Notice_)) {
    Message.kind = wire::NoticeKind::Brittle;
    Message.named = Brittle->Survived_.has_value();
    Message.count = Brittle->Survived_.value_or(RejectionCount()).count();
  } else if (const auto *Rest = std::get_if<RestNotice>(&Said.Notice_)) {
    Message.kind = wire::NoticeKind::Rest;
    Message.rest_ms = static_cast<std::uint32_t>(Rest->Time_.count());
  } else {
    Message.kind = wire::NoticeKind::Leaving;
  }
  return encodeMessage(std::move(Message));
}

std::optional<ServerStatement>
statementFromWire(const wire::ServerNoticeT &Notice) {
  ServerStatement Said{CellId::fromWire(Notice.cell), ServerName(Notice.server),
                       Incarnation(Notice.incarnation), fromWire(Notice.id),
                       LeavingNotice()};
  switch (Notice.kind) {
  case wire::NoticeKind::Brittle: {
    BrittleNotice Brittle;
    if (Notice.named)
      Brittle.Survived_ = RejectionCount(Notice.count);
    Said.Notice_ = Brittle;
    return Said;
  }
  case wire::NoticeKind::Leaving:
    return Said;
  case wire::NoticeKind::Rest:
    Said.Notice_ = RestNotice{milliseconds(Notice.rest_ms)};
    return Said;
  default:
    return std::nullopt;
  }
}

std::optional<RequestRate> rateFromWire(const wire::ServerLimitT &Limit) {
  bool Valid = std::isfinite(Limit.per_second) && Limit.per_second >= 0;
  if (!Limit.named || !Valid)
    return std::nullopt;
  return RequestRate(Limit.per_second);
}

GrantRequest askFromWire(const wire::AskT &Ask, const VmId &From) {
  GrantRequest Request;
  Request.Id_ = fromWire(Ask.id);
  Request.Tier_ = TierIndex(Ask.tier);
  Request.Customer_ = CustomerName(Ask.customer);
  Request.Deadline_ = steady_clock::now() + milliseconds(Ask.deadline_ms);
  Request.Prompt_ = Tokens(Ask.prompt_tokens);
  Request.Answer_ = Tokens(Ask.answer_tokens);
  for (const wire::Part &Part : Ask.parts)
    Request.Parts_.push_back({Part.id(), Tokens(Part.tokens())});
  Request.Prefix_ =
      Ask.parts.empty() ? Ask.prefix : prefixHashes(Request.Parts_);
  Request.NonIdempotent_ = Ask.non_idempotent;
  if (Ask.objective_ms > 0)
    Request.Objective_ = steady_clock::now() + milliseconds(Ask.objective_ms);
  Request.EstimatedAnswer_ = Tokens(Ask.guessed_tokens);
  Request.MaxWait_ = milliseconds(Ask.max_wait_ms);
  Request.MaxPause_ = milliseconds(Ask.max_pause_ms);
  Request.IsRetry_ = Ask.asked_before;
  for (const std::string &Name : Ask.excluded)
    Request.Excluded_.emplace_back(Name);
  Request.Ingress_ = From;
  Request.Fingerprint_ = fromWire(Ask.fingerprint);
  Request.Version_ = SoftwareVersion(Ask.software);
  Request.OnlyServer_ = ServerName(Ask.only_server);
  Request.Ask_ = AskNumber(Ask.ask);
  return Request;
}

RunningRequest runningFromWire(const wire::RunningT &Running,
                               const VmId &From) {
  RunningRequest Request{
      fromWire(Running.id),           TierIndex(Running.tier),
      CustomerName(Running.customer), ServerName(Running.server),
      Tokens(Running.prompt_tokens),  Tokens(Running.answer_tokens),
      Running.non_idempotent,         From,
      fromWire(Running.fingerprint),  Running.parts};
  Request.Ask_ = AskNumber(Running.ask);
  return Request;
}

ServedSample sampleFromWire(const wire::DoneT &Done) {
  ServedSample Sample;
  Sample.Reached_ = Done.reached;
  Sample.Complete_ = Done.complete;
  Sample.Faulty_ = Done.faulty;
  Sample.Replaced_ = Done.replaced;
  Sample.Crashed_ = Done.crashed;
  Sample.Rejected_ = Done.rejected;
  Sample.Suspended_ = Done.suspended;
  Sample.WorkTimePercent_ = Done.work_time_percent;
  Sample.Fingerprint_ = fromWire(Done.fingerprint);
  Sample.Parts_ = Done.parts;
  Sample.Generated_ = Tokens(Done.generated);
  Sample.FirstEventTokens_ = Tokens(Done.at_once);
  Sample.FirstToken_ = std::chrono::microseconds(Done.first_token_us);
  Sample.Duration_ = std::chrono::microseconds(Done.duration_us);
  return Sample;
}

FirstTokenSample sampleFromWire(const wire::FirstTokenT &First) {
  return {std::chrono::microseconds(First.delay_us), First.work_time_percent};
}

GrantDecision grantFromWire(const wire::GrantT &Grant) {
  return {fromWire(Grant.id), ServerName(Grant.server), {},
          Grant.limited,      ServerName(Grant.backup), AskNumber(Grant.ask)};
}

RefuseDecision refusalFromWire(const wire::RefuseT &Refusal) {
  return {fromWire(Refusal.id),
          static_cast<ResultCode>(Refusal.code),
          milliseconds(Refusal.retry_after_ms),
          {},
          AskNumber(Refusal.ask)};
}

CancelDecision cancelFromWire(const wire::CancelT &Cancel) {
  return {fromWire(Cancel.id), {}, {}, AskNumber(Cancel.ask)};
}

SuspendDecision suspendFromWire(const wire::SuspendT &Suspend) {
  return {fromWire(Suspend.id),
          {},
          {},
          ServerName(Suspend.copy_to),
          AskNumber(Suspend.ask)};
}

std::string encodeDecision(const Decision &Made) {
  if (const auto *Grant = std::get_if<GrantDecision>(&Made)) {
    wire::GrantT Message;
    Message.id = toWire(Grant->Id_);
    Message.server = Grant->Server_.str();
    Message.limited = Grant->Limited_;
    Message.backup = Grant->Backup_.str();
    Message.ask = Grant->Ask_.count();
    return encodeMessage(std::move(Message));
  }
  if (const auto *Refusal = std::get_if<RefuseDecision>(&Made)) {
    wire::RefuseT Message;
    Message.id = toWire(Refusal->Id_);
    Message.code = static_cast<int>(Refusal->Code_);
    Message.retry_after_ms =
        static_cast<std::uint32_t>(Refusal->RetryAfter_.count());
    Message.ask = Refusal->Ask_.count();
    return encodeMessage(std::move(Message));
  }
  if (const auto *Suspended = std::get_if<SuspendDecision>(&Made)) {
    wire::SuspendT Message;
    Message.id = toWire(Suspended->Id_);
    Message.copy_to = Suspended->CopyTo_.str();
    Message.ask = Suspended->Ask_.count();
    return encodeMessage(std::move(Message));
  }
  const auto &Cancel = std::get<CancelDecision>(Made);
  wire::CancelT Message;
  Message.id = toWire(Cancel.Id_);
  Message.ask = Cancel.Ask_.count();
  return encodeMessage(std::move(Message));
}

} // namespace samphireshunt
