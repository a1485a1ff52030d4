#include "Process/Keeping/GrantClient.h"

#include "Common/Log.h"
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

/// How long a keeper that could not be reached, or knows nothing, is passed
/// over.
constexpr milliseconds UnreachableTime{2000};
/// How long one that was late is passed over: a VM that was slow for a second
/// is so for some more.
constexpr milliseconds SlowTime{5000};
/// A keeper answers a request within the time that it may wait, give or take a
/// look at its queue each 10 ms and the way between two VMs.
constexpr milliseconds LateAnswer{250};
/// How often asks are checked for answers that are late.
constexpr milliseconds CheckPeriod{100};
/// When the check itself comes so late, it is this VM that is slow.
constexpr milliseconds OwnDelay{50};

} // namespace

GrantClient::GrantClient(asio::io_context &Control, VmId Self, Hooks Reactions)
    : Control_(Control), Self_(std::move(Self)), Hooks_(std::move(Reactions)),
      RebindTimer_(Control), CheckTimer_(Control) {}

void GrantClient::acquire(CellId Cell, AskedRequest Request,
                          Answered OnAnswer) {
  asio::post(Control_, [this, Cell = std::move(Cell),
                        Request = std::move(Request),
                        OnAnswer = std::move(OnAnswer)]() mutable {
    RequestId Id = Request.Id_;
    Request.Entry_ = Self_;
    auto [Item, New] = Asks_.insert_or_assign(
        Id, Ask{std::move(Cell), std::move(Request), std::move(OnAnswer), {}});
    sendAsk(Item->second);
    scheduleCheck();
  });
}

std::optional<VmId> GrantClient::chooseKeeper(const CellId &Cell) {
  auto Now = steady_clock::now();
  std::erase_if(Unreachable_,
                [Now](const auto &Item) { return Item.second <= Now; });
  std::vector<VmId> Passed;
  for (const auto &[Id, Until] : Unreachable_)
    Passed.push_back(Id);
  return Hooks_.KeeperOf_(Cell, Passed);
}

void GrantClient::sendAsk(Ask &Target) {
  // With no other keeper in reach this daemon keeps the cell itself, with the
  // share of the engines' limits that its part of the fleet may use.
  Target.Keeper_ = chooseKeeper(Target.Cell_).value_or(Self_);
  milliseconds MaxWait = Target.Request_.MaxWait_;
  if (MaxWait.count() > 0)
    Target.AnswerDue_ = steady_clock::now() + MaxWait + LateAnswer;
  if (Target.Keeper_ != Self_)
    return Hooks_.Send_(Target.Keeper_,
                        encodeAsk(Target.Cell_, Target.Request_));
  CellId Cell = Target.Cell_;
  AskedRequest Request = Target.Request_;
  Local_->ask(Cell, std::move(Request));
}

void GrantClient::sendRunning(Granted &Target) {
  Target.Keeper_ = chooseKeeper(Target.Cell_).value_or(Self_);
  if (Target.Keeper_ == Self_)
    return Local_->running(Target.Cell_, Target.Request_);
  Hooks_.Send_(Target.Keeper_, encodeRunning(Target.Cell_, Target.Request_));
}

void GrantClient::sendWithdraw(const CellId &Cell, const RequestId &Id,
                               const VmId &To) {
  if (To == Self_)
    return Local_->withdraw(Cell, Id);
  Hooks_.Send_(To, encodeWithdraw(Cell, Id));
}

void GrantClient::withdraw(RequestId Id) {
  asio::post(Control_, [this, Id] {
    auto Node = Asks_.extract(Id);
    if (Node) {
      sendWithdraw(Node.mapped().Cell_, Id, Node.mapped().Keeper_);
      return;
    }
    // The grant came while the withdrawal was on its way here.
    finish(Id, ServedSample());
  });
}

void GrantClient::dispatched(RequestId Id, Cancelled OnCancel) {
  asio::post(Control_, [this, Id, OnCancel = std::move(OnCancel)]() mutable {
    auto Found = Granted_.find(Id);
    if (Found == Granted_.end())
      return;
    Found->second.Dispatched_ = true;
    Found->second.OnCancel_ = std::move(OnCancel);
  });
}

void GrantClient::firstToken(RequestId Id, microseconds Delay) {
  asio::post(Control_, [this, Id, Delay] {
    auto Found = Granted_.find(Id);
    if (Found == Granted_.end())
      return;
    const Granted &Target = Found->second;
    if (Target.Keeper_ == Self_)
      return Local_->firstToken(Target.Cell_, Id, {Delay});
    Hooks_.Send_(Target.Keeper_, encodeFirstToken(Target.Cell_, Id, Delay));
  });
}

void GrantClient::done(RequestId Id, ServedSample Seen) {
  asio::post(Control_, [this, Id, Seen] { finish(Id, Seen); });
}

void GrantClient::finish(const RequestId &Id, const ServedSample &Seen) {
  auto Node = Granted_.extract(Id);
  if (!Node)
    return;
  const Granted &Ended = Node.mapped();
  if (Ended.Keeper_ == Self_)
    return Local_->done(Ended.Cell_, Id, Seen);
  Hooks_.Send_(Ended.Keeper_, encodeDone(Ended.Cell_, Id, Seen));
}

void GrantClient::onDecision(const Decision &Taken, const VmId &From) {
  if (const auto *Grant = std::get_if<GrantDecision>(&Taken))
    onGrant(*Grant, From);
  else if (const auto *Refusal = std::get_if<RefuseDecision>(&Taken))
    onRefusal(*Refusal, From);
  else
    onCancel(std::get<CancelDecision>(Taken));
}

/// A grant may come late, for a request that was given up; from a keeper that
/// this entry no longer asks; or twice. Only the keeper that is asked now can
/// grant, and only once: any other grant is handed back, or the engine's place
/// would stay taken until the entry's end.
void GrantClient::onGrant(const GrantDecision &Grant, const VmId &From) {
  auto Found = Asks_.find(Grant.Id_);
  if (Found == Asks_.end() || Found->second.Keeper_ != From) {
    auto Running = Granted_.find(Grant.Id_);
    bool Duplicate =
        Running != Granted_.end() && Running->second.Keeper_ == From;
    if (!Duplicate)
      handBack(Grant.Id_, From);
    return;
  }
  Ask Granting = std::move(Found->second);
  Asks_.erase(Found);
  const AskedRequest &Asked = Granting.Request_;
  Granted Target;
  Target.Cell_ = Granting.Cell_;
  Target.Keeper_ = From;
  Target.Request_ = {
      Asked.Id_,     Asked.Tier_,   Asked.Customer_,      Grant.Server_,
      Asked.Prompt_, Asked.Answer_, Asked.NonIdempotent_, Self_};
  Granted_[Asked.Id_] = std::move(Target);
  Granting.OnAnswer_({ResultCode::Ok, Grant.Server_, {}});
}

void GrantClient::handBack(const RequestId &Id, const VmId &Keeper) {
  // The cell is not known here any more; a keeper looks in all of its cells.
  if (Keeper == Self_)
    return Local_->handBack(Id);
  Hooks_.Send_(Keeper, encodeDone(CellId(), Id, ServedSample()));
}

void GrantClient::onRefusal(const RefuseDecision &Refusal, const VmId &From) {
  // A daemon that has just started may be the keeper by its name, and be turned
  // away by the platform's service: it knows no engine, others do.
  if (Refusal.Code_ == ResultCode::NotReady && From != Self_)
    return passOver(From, UnreachableTime);
  // One that was passed over may refuse late what another one has room for.
  auto Found = Asks_.find(Refusal.Id_);
  if (Found == Asks_.end() || Found->second.Keeper_ != From)
    return;
  auto Node = Asks_.extract(Found);
  Node.mapped().OnAnswer_({Refusal.Code_, {}, Refusal.RetryAfter_});
}

void GrantClient::onCancel(const CancelDecision &Cancel) {
  auto Found = Granted_.find(Cancel.Id_);
  if (Found != Granted_.end() && Found->second.OnCancel_)
    Found->second.OnCancel_();
}

void GrantClient::onLinkDown(const VmId &Keeper) {
  Hooks_.Check_(Keeper);
  logEvent(LogCategory::Keeper, spdlog::level::warn, "keeper-unreachable",
           {{"keeper", Keeper.str()}});
  passOver(Keeper, UnreachableTime);
}

void GrantClient::passOver(const VmId &Keeper, milliseconds Time) {
  Unreachable_[Keeper] = steady_clock::now() + Time;
  rebind();
  scheduleRebind(Time + milliseconds(1));
}

void GrantClient::scheduleCheck() {
  if (CheckScheduled_ || Asks_.empty())
    return;
  CheckScheduled_ = true;
  CheckTimer_.expires_after(CheckPeriod);
  CheckTimer_.async_wait([this](const boost::system::error_code &Error) {
    CheckScheduled_ = false;
    if (Error)
      return;
    auto Now = steady_clock::now();
    if (Now - CheckTimer_.expiry() > OwnDelay)
      Late_.clear();
    else
      checkLateAnswers(Now);
    scheduleCheck();
  });
}

/// A keeper whose VM is slow or out of processor time holds its links, but its
/// answers come after the callers have left: all requests of its cells fail for
/// as long as that lasts. Another daemon can keep the cell. Only at the second
/// check in a row: after a pause of this process its answers may lie unread.
void GrantClient::checkLateAnswers(TimePoint Now) {
  std::set<VmId> Late;
  for (const auto &[Id, Target] : Asks_)
    if (Target.Keeper_ != Self_ && Target.AnswerDue_ <= Now)
      Late.insert(Target.Keeper_);
  std::set<VmId> Before = std::exchange(Late_, Late);
  for (const VmId &Keeper : Late) {
    if (!Before.contains(Keeper))
      continue;
    Late_.erase(Keeper);
    logEvent(LogCategory::Keeper, spdlog::level::warn, "keeper-late",
             {{"keeper", Keeper.str()}});
    withdrawAll(Keeper);
    passOver(Keeper, SlowTime);
  }
}

/// A keeper that is left although its link holds must hear it: what it granted
/// would keep its places there for ever.
void GrantClient::withdrawAll(const VmId &Keeper) {
  for (const auto &[Id, Target] : Asks_)
    if (Target.Keeper_ == Keeper)
      sendWithdraw(Target.Cell_, Id, Keeper);
  for (const auto &[Id, Target] : Granted_)
    if (Target.Keeper_ == Keeper)
      sendWithdraw(Target.Cell_, Id, Keeper);
}

void GrantClient::scheduleRebind(milliseconds Delay) {
  RebindTimer_.expires_after(Delay);
  RebindTimer_.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      rebind();
  });
}

void GrantClient::rebind() {
  // Nobody answers on this stack, the keeper in this process neither: the maps
  // stay as they are while they are walked through.
  auto Moves = [this](const auto &Target) {
    return Unreachable_.contains(Target.Keeper_) ||
           chooseKeeper(Target.Cell_).value_or(Self_) != Target.Keeper_;
  };
  auto Leave = [this](const RequestId &Id, const auto &Target) {
    if (!Unreachable_.contains(Target.Keeper_))
      sendWithdraw(Target.Cell_, Id, Target.Keeper_);
  };
  // What runs goes first: the next keeper must not give its places away.
  for (auto &[Id, Target] : Granted_)
    if (Moves(Target)) {
      Leave(Id, Target);
      sendRunning(Target);
    }
  for (auto &[Id, Target] : Asks_)
    if (Moves(Target)) {
      Leave(Id, Target);
      sendAsk(Target);
    }
}

bool GrantClient::awaiting(const VmId &Keeper) const {
  auto AskedHere = [&](const auto &Item) {
    return Item.second.Keeper_ == Keeper;
  };
  return std::ranges::any_of(Asks_, AskedHere) ||
         std::ranges::any_of(Granted_, AskedHere);
}

} // namespace samphireshunt
