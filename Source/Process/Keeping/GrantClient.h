#pragma once
/// \file
/// The ingress daemon's side of grants: requests them from the keeper of a
/// request's cell, moves all pending requests to the next keeper when that one
/// is lost, and reports to keepers which requests run. Public functions may be
/// called from any thread unless noted; the state is confined to the control
/// thread.

#include "Common/Log.h"
#include "Process/Keeping/Cell.h"
#include "Process/Keeping/KeeperMessages.h"
#include "Process/Membership/PeerNetwork.h"
#include "Process/Scheduling/Scheduler.h"
#include "Process/Scheduling/ServerHolds.h"
#include "Version/RcuCell.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace samphireshunt {

/// The keeper's answer to one grant request.
struct GrantAnswer {
  ResultCode Code_ = ResultCode::Ok;
  ServerName Server_; ///< With Ok.
  std::chrono::milliseconds RetryAfter_{1000};
  /// With Ok: the server names the rate of requests that it accepts.
  bool Limited_ = false;
  /// With Ok: the server to which the run's memory is to be backed up; empty:
  /// none.
  ServerName Backup_;
};

/// The server that gave an answer.
struct AnsweredServer {
  ServerName Name_;
  Incarnation Process_;
  /// The daemon that relayed the answer; unset if there is none.
  std::optional<VmId> Relay_;
};

class GrantClient {
public:
  struct Hooks {
    /// Returns the keeper of the cell, or nothing if all candidates are in
    /// \p Unreachable.
    std::function<std::optional<VmId>(const CellId &,
                                      const std::vector<VmId> &Unreachable)>
        KeeperOf_;
    std::function<void(const VmId &, std::string)> Send_;
    /// Called when the link to a keeper broke, to probe whether it is alive.
    std::function<void(const VmId &)> Check_;
    /// Reports the end of a request on a server.
    std::function<void(const ServerName &, const ServedSample &)> Ended_ =
        [](const ServerName &, const ServedSample &) {};
  };
  using Answered = std::function<void(GrantAnswer)>;
  using Cancelled = std::function<void()>;
  /// Called with the server that takes a copy of the run's memory for a moment.
  using Suspended = std::function<void(const ServerName &CopyTo)>;

  GrantClient(boost::asio::io_context &Control, VmId Self, Hooks Callbacks);
  /// Sets the keeper in this process, which delivers its decisions in
  /// event-loop iterations of their own. Called once, before the first grant
  /// request.
  void setLocalKeeper(class KeeperService *Keeper) { LocalKeeper_ = Keeper; }

  // From any thread.
  /// Requests a grant. Calls \p OnAnswer once, on the control thread, unless
  /// the request is withdrawn before.
  void acquire(CellId Cell, GrantRequest Request, Answered OnAnswer);
  void withdraw(RequestId Id);
  /// Records that the granted request was dispatched. \p OnCancel is called on
  /// the control thread when the keeper preempts it for a higher tier.
  /// \p OnSuspend is called there when the keeper wants the run to be stopped
  /// with its memory kept.
  void dispatched(RequestId Id, Cancelled OnCancel, Suspended OnSuspend = {});
  /// Reports that a run which was to be suspended goes on or has ended.
  void notSuspended(RequestId Id);
  void firstToken(RequestId Id, FirstTokenSample Sample);
  /// Reports what the server's answer to a granted request says about the rate
  /// of requests that it accepts.
  void limitRead(RequestId Id, std::optional<RequestRate> Named);
  /// Reports what the server's answer to a granted request says about the
  /// server.
  void noticeRead(RequestId Id, AnsweredServer Server, ServerNotice Notice);
  /// Whether this daemon may send requests to servers, by what these have said.
  std::shared_ptr<const ServerHolds> holds() const { return Holds_.read(); }
  /// Releases the grant, whether or not it was used.
  void done(RequestId Id, ServedSample Sample);

  // On the control thread.
  /// Applies what a server has said in an answer to this daemon, or in one that
  /// it relayed.
  void hold(const ServerStatement &Said);
  void onDecision(const Decision &Made, const VmId &From);
  /// Asks a keeper again whose link was reset, and fails over from any other.
  void onLinkDown(const VmId &Keeper, LinkLoss Loss);
  /// Ends the avoidance of a keeper whose process is a new one. The requests
  /// move to it at the next rebind().
  void onMemberSeen(const VmId &Id, Incarnation Process);
  /// Fails over from keepers whose answers are overdue in two consecutive
  /// checks.
  void checkOverdueAnswers(TimePoint Now);
  /// Moves all requests whose keeper has changed to the new one. Called when
  /// members change.
  void rebind();
  bool awaiting(const VmId &Keeper) const;
  std::size_t waiting() const { return PendingRequests_.size(); }
  std::size_t running() const { return GrantedRequests_.size(); }
  /// \returns how many grants were not used, since their ask had been answered
  /// or withdrawn, or another keeper was asked.
  std::uint64_t returned() const { return Returned_; }

private:
  struct Ask {
    CellId Cell_;
    GrantRequest Request_;
    Answered OnAnswer_;
    VmId Keeper_;
    /// The time by which its keeper should have granted or refused it.
    TimePoint AnswerDue_ = TimePoint::max();
  };
  struct GrantedRequest {
    CellId Cell_;
    RunningRequest Request_;
    Cancelled OnCancel_;
    Suspended OnSuspend_;
    VmId Keeper_;
    bool Dispatched_ = false;
  };

  /// What a server said of itself in answers to this daemon.
  struct KnownLimit {
    CellId Cell_;
    std::optional<RequestRate> Rate_;
    std::optional<RejectionCount> Survived_;
    bool Leaving_ = false;
    TimePoint RestUntil_;
    Incarnation Process_;
    TimePoint Named_;
  };

  std::optional<VmId> chooseKeeper(const CellId &Cell);
  void reportLimit(const CellId &Cell, const ServerName &Server,
                   const RequestId &Id, const std::optional<RequestRate> &Named,
                   const VmId &To);
  void reportStatement(const ServerStatement &Said, const VmId &To);
  void remember(const ServerStatement &Said);
  void informKeeper(const CellId &Cell, const VmId &Keeper);
  void sendGrantRequest(Ask &Target);
  void sendRunning(GrantedRequest &Target);
  void sendWithdraw(const CellId &Cell, const RequestId &Id, AskNumber Ask,
                    const VmId &To);
  void onGrant(const GrantDecision &Grant, const VmId &From);
  void onRefusal(const RefuseDecision &Refusal, const VmId &From);
  void failOver(const VmId &Keeper, std::chrono::milliseconds Duration);
  bool mayReopen(const VmId &Keeper);
  void askAgain(const VmId &Keeper);
  void withdrawAll(const VmId &Keeper);
  void onCancel(const CancelDecision &Cancel);
  void onSuspend(const SuspendDecision &Suspend);
  void returnGrant(const GrantDecision &Grant, const VmId &Keeper);
  void logReturned(const GrantDecision &Grant, const VmId &Keeper);
  void finish(const RequestId &Id, const ServedSample &Sample);
  void scheduleRebind(std::chrono::milliseconds Delay);
  void scheduleCheck();

  boost::asio::io_context &Control_;
  VmId Self_;
  Hooks Hooks_;
  KeeperService *LocalKeeper_ = nullptr;
  std::unordered_map<RequestId, Ask> PendingRequests_;
  std::unordered_map<RequestId, GrantedRequest> GrantedRequests_;
  /// Keepers that failed, with the time until which each is avoided.
  std::map<VmId, TimePoint> Unreachable_;
  /// When the link to each keeper was last opened again after a reset.
  std::map<VmId, TimePoint> Reopened_;
  std::map<VmId, Incarnation> Processes_;
  /// Keepers whose answers were overdue at the last check.
  std::set<VmId> OverdueKeepers_;
  std::map<ServerName, KnownLimit> KnownLimits_;
  RcuCell<ServerHolds> Holds_;
  /// The keepers that have the limits known here.
  std::map<CellId, VmId> InformedKeepers_;
  boost::asio::steady_timer RebindTimer_;
  boost::asio::steady_timer CheckTimer_;
  bool CheckScheduled_ = false;
  /// Of the last ask that was sent.
  AskNumber LastAsk_;
  std::uint64_t Returned_ = 0;
  LogSampler ReturnedSampler_;
};

} // namespace samphireshunt
