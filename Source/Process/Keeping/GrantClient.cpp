#include "Process/Keeping/GrantClient.h"

#include "Common/Log.h"
#include "Connection/Spawn.h"
#include "Process/Keeping/KeeperMessages.h"
#include "Process/Keeping/KeeperService.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace samphireshunt {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// How long a keeper is avoided after it could not be reached, or answered that
/// it has no configuration.
constexpr milliseconds UnreachableBackoff{2000};
/// A keeper whose link is reset twice within this time is taken for
/// unreachable: it may be one that accepts links and closes them at once.
constexpr milliseconds ReopenPause{500};
/// How long a keeper is avoided after its answers were overdue: a VM that was
/// slow for a second is likely to stay slow for a few more.
constexpr milliseconds SlowBackoff{5000};
/// How long an answer may take beyond the maximum wait of its request. A keeper
/// answers within that wait; its queue checks every 10 ms and the network round
/// trip are added.
constexpr milliseconds AnswerMargin{250};
/// How often pending requests are checked for overdue answers.
constexpr milliseconds CheckPeriod{100};
/// If the check itself is delayed by more than this, it is the local VM that is
/// slow, and no keeper is blamed.
constexpr milliseconds MaxCheckDelay{50};
/// Maximum number of returned grants logged each second. Where callers leave
/// while they wait, each one may have a grant on its way.
constexpr std::uint32_t MaxReturnedLogsPerSecond = 5;
/// How long a server's limit is remembered for a new keeper after the server
/// last named it to this daemon.
constexpr std::chrono::seconds LimitMemory{60};

} // namespace

GrantClient::GrantClient(asio::io_context &Control, VmId Self, Hooks Callbacks)
    : Control_(Control), Self_(std::move(Self)), Hooks_(std::move(Callbacks)),
      Holds_(std::make_shared<const ServerHolds>()), RebindTimer_(Control),
      CheckTimer_(Control), ReturnedSampler_(MaxReturnedLogsPerSecond) {}

void GrantClient::acquire(CellId Cell, GrantRequest Request,
                          Answered OnAnswer) {
  asio::post(Control_, [this, Cell = std::move(Cell),
                        Request = std::move(Request),
                        OnAnswer = std::move(OnAnswer)]() mutable {
    RequestId Id = Request.Id_;
    Request.Ingress_ = Self_;
    auto [Item, New] = PendingRequests_.insert_or_assign(
        Id, Ask{std::move(Cell), std::move(Request), std::move(OnAnswer), {}});
    sendGrantRequest(Item->second);
    scheduleCheck();
  });
}

std::optional<VmId> GrantClient::chooseKeeper(const CellId &Cell) {
  auto Now = steady_clock::now();
  std::erase_if(Unreachable_,
                [Now](const auto &Item) { return Item.second <= Now; });
  std::vector<VmId> Avoided;
  for (const auto &[Id, Until] : Unreachable_)
    Avoided.push_back(Id);
  return Hooks_.KeeperOf_(Cell, Avoided);
}

void GrantClient::sendGrantRequest(Ask &Target) {
  // If no other keeper is reachable, this daemon schedules the cell itself,
  // with the share of the engines' limits that its partition of the fleet may
  // use.
  Target.Keeper_ = chooseKeeper(Target.Cell_).value_or(Self_);
  // A keeper that is asked a second time may still answer the first ask, which
  // allowed other servers.
  LastAsk_ += AskNumber(1);
  Target.Request_.Ask_ = LastAsk_;
  informKeeper(Target.Cell_, Target.Keeper_);
  milliseconds MaxWait = Target.Request_.MaxWait_;
  if (MaxWait.count() > 0)
    Target.AnswerDue_ = steady_clock::now() + MaxWait + AnswerMargin;
  if (Target.Keeper_ != Self_)
    return Hooks_.Send_(Target.Keeper_,
                        encodeAsk(Target.Cell_, Target.Request_));
  CellId Cell = Target.Cell_;
  GrantRequest Request = Target.Request_;
  LocalKeeper_->requestGrant(Cell, std::move(Request));
}

void GrantClient::sendRunning(GrantedRequest &Target) {
  Target.Keeper_ = chooseKeeper(Target.Cell_).value_or(Self_);
  informKeeper(Target.Cell_, Target.Keeper_);
  if (Target.Keeper_ == Self_)
    return LocalKeeper_->running(Target.Cell_, Target.Request_);
  Hooks_.Send_(Target.Keeper_, encodeRunning(Target.Cell_, Target.Request_));
}

void GrantClient::sendWithdraw(const CellId &Cell, const RequestId &Id,
                               AskNumber Ask, const VmId &To) {
  if (To == Self_)
    return LocalKeeper_->withdraw(Cell, Id, Ask);
  Hooks_.Send_(To, encodeWithdraw(Cell, Id, Ask));
}

void GrantClient::withdraw(RequestId Id) {
  asio::post(Control_, [this, Id] {
    auto Node = PendingRequests_.extract(Id);
    if (Node) {
      const Ask &Left = Node.mapped();
      sendWithdraw(Left.Cell_, Id, Left.Request_.Ask_, Left.Keeper_);
      return;
    }
    // The grant arrived while the withdrawal was queued here.
    finish(Id, ServedSample());
  });
}

void GrantClient::dispatched(RequestId Id, Cancelled OnCancel,
                             Suspended OnSuspend) {
  asio::post(Control_, [this, Id, OnCancel = std::move(OnCancel),
                        OnSuspend = std::move(OnSuspend)]() mutable {
    auto Found = GrantedRequests_.find(Id);
    if (Found == GrantedRequests_.end())
      return;
    Found->second.Dispatched_ = true;
    Found->second.OnCancel_ = std::move(OnCancel);
    Found->second.OnSuspend_ = std::move(OnSuspend);
  });
}

void GrantClient::notSuspended(RequestId Id) {
  asio::post(Control_, [this, Id] {
    auto Found = GrantedRequests_.find(Id);
    if (Found == GrantedRequests_.end())
      return;
    const GrantedRequest &Target = Found->second;
    if (Target.Keeper_ == Self_)
      return LocalKeeper_->notSuspended(Target.Cell_, Id);
    Hooks_.Send_(Target.Keeper_, encodeNotSuspended(Target.Cell_, Id));
  });
}

void GrantClient::firstToken(RequestId Id, FirstTokenSample Sample) {
  asio::post(Control_, [this, Id, Sample] {
    auto Found = GrantedRequests_.find(Id);
    if (Found == GrantedRequests_.end())
      return;
    const GrantedRequest &Target = Found->second;
    if (Target.Keeper_ == Self_)
      return LocalKeeper_->firstToken(Target.Cell_, Id, Sample);
    Hooks_.Send_(Target.Keeper_, encodeFirstToken(Target.Cell_, Id, Sample));
  });
}

void GrantClient::limitRead(RequestId Id, std::optional<RequestRate> Named) {
  asio::post(Control_, [this, Id, Named] {
    auto Found = GrantedRequests_.find(Id);
    if (Found == GrantedRequests_.end())
      return;
    const GrantedRequest &Answered = Found->second;
    const ServerName &Server = Answered.Request_.Server_;
    if (Named || KnownLimits_.contains(Server)) {
      KnownLimit &Known = KnownLimits_[Server];
      Known.Cell_ = Answered.Cell_;
      Known.Rate_ = Named;
      Known.Named_ = steady_clock::now();
    }
    reportLimit(Answered.Cell_, Server, Id, Named, Answered.Keeper_);
  });
}

void GrantClient::reportLimit(const CellId &Cell, const ServerName &Server,
                              const RequestId &Id,
                              const std::optional<RequestRate> &Named,
                              const VmId &To) {
  if (To == Self_)
    return LocalKeeper_->limitRead(Cell, Server, Id, Named);
  Hooks_.Send_(To, encodeServerLimit(Cell, Server, Id, Named));
}

void GrantClient::noticeRead(RequestId Id, AnsweredServer Server,
                             ServerNotice Notice) {
  asio::post(Control_, [this, Id, Server = std::move(Server), Notice] {
    ServerStatement Said{{}, Server.Name_, Server.Process_, Id, Notice, Self_};
    auto Found = GrantedRequests_.find(Id);
    if (Found != GrantedRequests_.end())
      Said.Cell_ = Found->second.Cell_;
    hold(Said);
    if (Server.Relay_)
      Hooks_.Send_(*Server.Relay_, encodeStatement(Said, true));
    if (Found == GrantedRequests_.end())
      return;
    remember(Said);
    reportStatement(Said, Found->second.Keeper_);
  });
}

void GrantClient::hold(const ServerStatement &Said) {
  auto Now = steady_clock::now();
  ServerHolds Changed = *Holds_.read();
  const auto *Rest = std::get_if<RestNotice>(&Said.Notice_);
  bool Leaves = std::holds_alternative<LeavingNotice>(Said.Notice_);
  if (Rest && Now + Rest->Time_ > Changed.restUntil(Said.Server_))
    Changed.rest(Said.Server_, Now + Rest->Time_, Now);
  else if (Leaves && !Changed.isLeaving(Said.Server_, Said.Process_))
    Changed.leave(Said.Server_, Said.Process_, Now);
  else
    return;
  Changed.forgetOld(Now);
  Holds_.write(std::make_shared<const ServerHolds>(std::move(Changed)));
  logEvent(LogCategory::Keeper, spdlog::level::info, "server-held",
           {{"server", Said.Server_.str()},
            {"cause", Rest ? "rest" : "leaving"},
            {"rest_ms", std::to_string(Rest ? Rest->Time_.count() : 0)}});
}

/// Keeps what a server said for a keeper that takes over its cell.
void GrantClient::remember(const ServerStatement &Said) {
  const auto *Brittle = std::get_if<BrittleNotice>(&Said.Notice_);
  bool Ends = Brittle && !Brittle->Survived_;
  if (Ends && !KnownLimits_.contains(Said.Server_))
    return;
  KnownLimit &Known = KnownLimits_[Said.Server_];
  Known.Cell_ = Said.Cell_;
  Known.Process_ = Said.Process_;
  Known.Named_ = steady_clock::now();
  if (Brittle)
    Known.Survived_ = Brittle->Survived_;
  else if (const auto *Rest = std::get_if<RestNotice>(&Said.Notice_))
    Known.RestUntil_ = std::max(Known.RestUntil_, Known.Named_ + Rest->Time_);
  else
    Known.Leaving_ = true;
}

void GrantClient::reportStatement(const ServerStatement &Said, const VmId &To) {
  if (To == Self_)
    return LocalKeeper_->noticeRead(Said);
  Hooks_.Send_(To, encodeStatement(Said, false));
}

/// Tells a cell's new keeper which limits this daemon knows, before it grants
/// anything to this daemon. Otherwise it would learn of each limit only from an
/// answer to a request beyond it.
void GrantClient::informKeeper(const CellId &Cell, const VmId &Keeper) {
  if (KnownLimits_.empty())
    return;
  auto Oldest = steady_clock::now() - LimitMemory;
  std::erase_if(KnownLimits_, [Oldest](const auto &Item) {
    return Item.second.Named_ < Oldest;
  });
  auto [Informed, New] = InformedKeepers_.try_emplace(Cell, Keeper);
  if (!New && std::exchange(Informed->second, Keeper) == Keeper)
    return;
  for (const auto &[Server, Limit] : KnownLimits_) {
    if (Limit.Cell_ != Cell)
      continue;
    if (Limit.Rate_)
      reportLimit(Cell, Server, RequestId(), Limit.Rate_, Keeper);
    ServerStatement Said{Cell,        Server,          Limit.Process_,
                         RequestId(), LeavingNotice(), Self_};
    if (Limit.Leaving_)
      reportStatement(Said, Keeper);
    Said.Notice_ = BrittleNotice{Limit.Survived_};
    if (Limit.Survived_)
      reportStatement(Said, Keeper);
    auto Rest =
        duration_cast<milliseconds>(Limit.RestUntil_ - steady_clock::now());
    Said.Notice_ = RestNotice{Rest};
    if (Rest.count() > 0)
      reportStatement(Said, Keeper);
  }
}

void GrantClient::done(RequestId Id, ServedSample Sample) {
  asio::post(Control_, [this, Id, Sample] { finish(Id, Sample); });
}

void GrantClient::finish(const RequestId &Id, const ServedSample &Sample) {
  auto Node = GrantedRequests_.extract(Id);
  if (!Node)
    return;
  const GrantedRequest &Ended = Node.mapped();
  Hooks_.Ended_(Ended.Request_.Server_, Sample);
  if (Ended.Keeper_ == Self_)
    return LocalKeeper_->done(Ended.Cell_, Id, Sample, Ended.Request_.Ask_);
  Hooks_.Send_(Ended.Keeper_,
               encodeDone(Ended.Cell_, Id, Sample, Ended.Request_.Ask_));
}

void GrantClient::onDecision(const Decision &Made, const VmId &From) {
  if (const auto *Grant = std::get_if<GrantDecision>(&Made))
    onGrant(*Grant, From);
  else if (const auto *Refusal = std::get_if<RefuseDecision>(&Made))
    onRefusal(*Refusal, From);
  else if (const auto *Suspend = std::get_if<SuspendDecision>(&Made))
    onSuspend(*Suspend);
  else
    onCancel(std::get<CancelDecision>(Made));
}

/// Accepts a grant only once, and only from the keeper that the request is
/// currently assigned to, for the ask that it has sent there. A grant may
/// arrive after its request was abandoned, from a previous keeper, for an
/// earlier ask, or twice. Any other grant is returned to its keeper; otherwise
/// its engine slot would stay occupied until this daemon ends.
void GrantClient::onGrant(const GrantDecision &Grant, const VmId &From) {
  auto Found = PendingRequests_.find(Grant.Id_);
  auto IsFor = [&](const auto &Target) {
    return Target.Keeper_ == From &&
           mayBeSameAsk(Target.Request_.Ask_, Grant.Ask_);
  };
  if (Found == PendingRequests_.end() || !IsFor(Found->second)) {
    auto Running = GrantedRequests_.find(Grant.Id_);
    bool Duplicate =
        Running != GrantedRequests_.end() && IsFor(Running->second);
    if (!Duplicate)
      returnGrant(Grant, From);
    return;
  }
  Ask Accepted = std::move(Found->second);
  PendingRequests_.erase(Found);
  const GrantRequest &Request = Accepted.Request_;
  GrantedRequest Target;
  Target.Cell_ = Accepted.Cell_;
  Target.Keeper_ = From;
  Target.Request_ = {Request.Id_,
                     Request.Tier_,
                     Request.Customer_,
                     Grant.Server_,
                     Request.Prompt_,
                     Request.Answer_,
                     Request.NonIdempotent_,
                     Self_,
                     Request.Fingerprint_,
                     sharedParts(Request.Parts_)};
  Target.Request_.Ask_ = Request.Ask_;
  GrantedRequests_[Request.Id_] = std::move(Target);
  Accepted.OnAnswer_(
      {ResultCode::Ok, Grant.Server_, {}, Grant.Limited_, Grant.Backup_});
}

void GrantClient::returnGrant(const GrantDecision &Grant, const VmId &Keeper) {
  ++Returned_;
  logReturned(Grant, Keeper);
  // The cell is no longer known here; the keeper searches all its cells.
  if (Keeper == Self_)
    return LocalKeeper_->returnGrant(Grant.Id_, Grant.Ask_);
  Hooks_.Send_(Keeper,
               encodeDone(CellId(), Grant.Id_, ServedSample(), Grant.Ask_));
}

void GrantClient::logReturned(const GrantDecision &Grant, const VmId &Keeper) {
  auto Dropped = ReturnedSampler_.admit(0, steady_clock::now());
  if (!Dropped)
    return;
  auto Pending = PendingRequests_.find(Grant.Id_);
  AskNumber Waits = Pending == PendingRequests_.end()
                        ? AskNumber()
                        : Pending->second.Request_.Ask_;
  logEvent(LogCategory::Keeper, spdlog::level::info, "grant-returned",
           {{"request", Grant.Id_.str()},
            {"keeper", Keeper.str()},
            {"server", Grant.Server_.str()},
            {"ask", std::to_string(Grant.Ask_.count())},
            {"waiting_ask", std::to_string(Waits.count())},
            {"dropped", std::to_string(*Dropped)}});
}

void GrantClient::onRefusal(const RefuseDecision &Refusal, const VmId &From) {
  // A daemon that has just started may be chosen as the keeper by the hash
  // before it has a configuration, because the platform's service turned it
  // away. It knows no engine, but others do.
  if (Refusal.Code_ == ResultCode::NotReady && From != Self_)
    return failOver(From, UnreachableBackoff);
  // A refusal from a previous keeper is ignored: the current one may have
  // capacity for the request. So is that of an earlier ask.
  auto Found = PendingRequests_.find(Refusal.Id_);
  if (Found == PendingRequests_.end() || Found->second.Keeper_ != From ||
      !mayBeSameAsk(Found->second.Request_.Ask_, Refusal.Ask_))
    return;
  auto Node = PendingRequests_.extract(Found);
  Node.mapped().OnAnswer_({Refusal.Code_, {}, Refusal.RetryAfter_});
}

void GrantClient::onCancel(const CancelDecision &Cancel) {
  auto Found = GrantedRequests_.find(Cancel.Id_);
  if (Found != GrantedRequests_.end() && Found->second.OnCancel_ &&
      mayBeSameAsk(Found->second.Request_.Ask_, Cancel.Ask_))
    Found->second.OnCancel_();
}

void GrantClient::onSuspend(const SuspendDecision &Suspend) {
  auto Found = GrantedRequests_.find(Suspend.Id_);
  if (Found != GrantedRequests_.end() && Found->second.OnSuspend_ &&
      mayBeSameAsk(Found->second.Request_.Ask_, Suspend.Ask_))
    Found->second.OnSuspend_(Suspend.CopyTo_);
}

void GrantClient::onLinkDown(const VmId &Keeper, LinkLoss Loss) {
  Hooks_.Check_(Keeper);
  bool Reopens = Loss == LinkLoss::Reset && mayReopen(Keeper);
  logEvent(
      LogCategory::Keeper, spdlog::level::warn,
      Reopens ? "keeper-link-reset" : "keeper-unreachable",
      {{"keeper", Keeper.str()}, {"cause", std::string(linkLossName(Loss))}});
  if (Reopens)
    return askAgain(Keeper);
  failOver(Keeper, UnreachableBackoff);
}

bool GrantClient::mayReopen(const VmId &Keeper) {
  auto Now = steady_clock::now();
  std::erase_if(Reopened_, [Now](const auto &Item) {
    return Now - Item.second >= ReopenPause;
  });
  return Reopened_.try_emplace(Keeper, Now).second;
}

/// Reports to a keeper on a new link what runs, and asks again for what waits.
/// The end of a connection doesn't show that the keeper has ended. If all
/// daemons whose link was reset asked another one meanwhile, two would grant
/// from the same allotments. A keeper that has ended accepts no link.
void GrantClient::askAgain(const VmId &Keeper) {
  std::erase_if(InformedKeepers_,
                [&](const auto &Item) { return Item.second == Keeper; });
  for (auto &[Id, Target] : GrantedRequests_)
    if (Target.Keeper_ == Keeper)
      sendRunning(Target);
  for (auto &[Id, Target] : PendingRequests_)
    if (Target.Keeper_ == Keeper)
      sendGrantRequest(Target);
}

void GrantClient::onMemberSeen(const VmId &Id, Incarnation Process) {
  auto Known = Processes_.try_emplace(Id, Process).first;
  if (std::exchange(Known->second, Process) != Process)
    Unreachable_.erase(Id);
}

void GrantClient::failOver(const VmId &Keeper, milliseconds Duration) {
  Unreachable_[Keeper] = steady_clock::now() + Duration;
  std::erase_if(InformedKeepers_,
                [&](const auto &Item) { return Item.second == Keeper; });
  rebind();
  scheduleRebind(Duration + milliseconds(1));
}

void GrantClient::scheduleCheck() {
  if (CheckScheduled_ || PendingRequests_.empty())
    return;
  CheckScheduled_ = true;
  CheckTimer_.expires_after(CheckPeriod);
  CheckTimer_.async_wait([this](const boost::system::error_code &Error) {
    CheckScheduled_ = false;
    if (Error)
      return;
    auto Now = steady_clock::now();
    if (Now - CheckTimer_.expiry() > MaxCheckDelay)
      OverdueKeepers_.clear();
    else
      runLogged("check-keepers", [&] { checkOverdueAnswers(Now); });
    scheduleCheck();
  });
}

/// Fails over from keepers whose answers are overdue. A keeper whose VM is slow
/// or has no processor time keeps its links open, but answers after the callers
/// have left, so that all requests of its cells fail until it recovers. Another
/// daemon can schedule the cell meanwhile. This takes two consecutive checks:
/// after a pause of this process, answers may be received but not yet read.
void GrantClient::checkOverdueAnswers(TimePoint Now) {
  std::set<VmId> Overdue;
  for (const auto &[Id, Target] : PendingRequests_)
    if (Target.Keeper_ != Self_ && Target.AnswerDue_ <= Now)
      Overdue.insert(Target.Keeper_);
  std::set<VmId> Previous = std::exchange(OverdueKeepers_, Overdue);
  for (const VmId &Keeper : Overdue) {
    if (!Previous.contains(Keeper))
      continue;
    OverdueKeepers_.erase(Keeper);
    logEvent(LogCategory::Keeper, spdlog::level::warn, "keeper-late",
             {{"keeper", Keeper.str()}});
    withdrawAll(Keeper);
    failOver(Keeper, SlowBackoff);
  }
}

/// Withdraws all requests from a keeper that is abandoned although its link is
/// open. Otherwise what it granted would occupy its slots forever.
void GrantClient::withdrawAll(const VmId &Keeper) {
  for (const auto &[Id, Target] : PendingRequests_)
    if (Target.Keeper_ == Keeper)
      sendWithdraw(Target.Cell_, Id, Target.Request_.Ask_, Keeper);
  for (const auto &[Id, Target] : GrantedRequests_)
    if (Target.Keeper_ == Keeper)
      sendWithdraw(Target.Cell_, Id, Target.Request_.Ask_, Keeper);
}

void GrantClient::scheduleRebind(milliseconds Delay) {
  RebindTimer_.expires_after(Delay);
  RebindTimer_.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      rebind();
  });
}

void GrantClient::rebind() {
  // The maps don't change during these loops: nobody answers on this stack, not
  // even the keeper in this process.
  auto MustMove = [this](const auto &Target) {
    return Unreachable_.contains(Target.Keeper_) ||
           chooseKeeper(Target.Cell_).value_or(Self_) != Target.Keeper_;
  };
  auto WithdrawFromKeeper = [this](const RequestId &Id, const auto &Target) {
    if (!Unreachable_.contains(Target.Keeper_))
      sendWithdraw(Target.Cell_, Id, Target.Request_.Ask_, Target.Keeper_);
  };
  // Running requests are moved first: the next keeper must not grant their
  // slots to others.
  for (auto &[Id, Target] : GrantedRequests_)
    if (MustMove(Target)) {
      WithdrawFromKeeper(Id, Target);
      sendRunning(Target);
    }
  for (auto &[Id, Target] : PendingRequests_)
    if (MustMove(Target)) {
      WithdrawFromKeeper(Id, Target);
      sendGrantRequest(Target);
    }
}

bool GrantClient::awaiting(const VmId &Keeper) const {
  auto IsAssigned = [&](const auto &Item) {
    return Item.second.Keeper_ == Keeper;
  };
  return std::ranges::any_of(PendingRequests_, IsAssigned) ||
         std::ranges::any_of(GrantedRequests_, IsAssigned);
}

} // namespace samphireshunt
