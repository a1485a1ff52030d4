#pragma once
/// \file
/// The entry's side of grants: asks the keeper of a request's cell, moves all
/// asks to the next keeper when that one is lost, and tells keepers what runs.
/// Calls may come from any thread; the state lives on the control thread.

#include "Process/Keeping/Cell.h"
#include "Process/Scheduling/Scheduler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace samphireshunt {

/// The keeper's answer to one ask.
struct GrantAnswer {
  ResultCode Code_ = ResultCode::Ok;
  ServerName Server_; ///< With Ok.
  std::chrono::milliseconds RetryAfter_{1000};
};

class GrantClient {
public:
  struct Hooks {
    /// The keeper to ask, without those in \p Unreachable.
    std::function<std::optional<VmId>(const CellId &,
                                      const std::vector<VmId> &Unreachable)>
        KeeperOf_;
    std::function<void(const VmId &, std::string)> Send_;
    /// A keeper's link broke: does it live?
    std::function<void(const VmId &)> Check_;
  };
  using Answered = std::function<void(GrantAnswer)>;
  using Cancelled = std::function<void()>;

  GrantClient(boost::asio::io_context &Control, VmId Self, Hooks Reactions);
  /// The keeper in this process, which tells its decisions in turns of their
  /// own; set once, before the first ask.
  void setLocalKeeper(class KeeperService *Keeper) { Local_ = Keeper; }

  // From any thread.
  /// Calls \p OnAnswer once, on the control thread, unless withdrawn before.
  void acquire(CellId Cell, AskedRequest Request, Answered OnAnswer);
  void withdraw(RequestId Id);
  /// The granted request was dispatched. \p OnCancel is called on the control
  /// thread when its keeper takes the engine for a higher tier.
  void dispatched(RequestId Id, Cancelled OnCancel);
  void firstToken(RequestId Id, std::chrono::microseconds Delay);
  /// Ends the grant, whether or not it was used.
  void done(RequestId Id, ServedSample Seen);

  // On the control thread.
  void onDecision(const Decision &Taken, const VmId &From);
  void onLinkDown(const VmId &Keeper);
  /// Passes over keepers that are late with their answers at two checks in a
  /// row.
  void checkLateAnswers(TimePoint Now);
  /// Members changed: asks whose keeper is another one now move there.
  void rebind();
  bool awaiting(const VmId &Keeper) const;
  std::size_t waiting() const { return Asks_.size(); }
  std::size_t running() const { return Granted_.size(); }

private:
  struct Ask {
    CellId Cell_;
    AskedRequest Request_;
    Answered OnAnswer_;
    VmId Keeper_;
    /// By then its keeper has granted or refused it.
    TimePoint AnswerDue_ = TimePoint::max();
  };
  struct Granted {
    CellId Cell_;
    RunningRequest Request_;
    Cancelled OnCancel_;
    VmId Keeper_;
    bool Dispatched_ = false;
  };

  std::optional<VmId> chooseKeeper(const CellId &Cell);
  void sendAsk(Ask &Target);
  void sendRunning(Granted &Target);
  void sendWithdraw(const CellId &Cell, const RequestId &Id, const VmId &To);
  void onGrant(const GrantDecision &Grant, const VmId &From);
  void onRefusal(const RefuseDecision &Refusal, const VmId &From);
  void passOver(const VmId &Keeper, std::chrono::milliseconds Time);
  void withdrawAll(const VmId &Keeper);
  void onCancel(const CancelDecision &Cancel);
  void handBack(const RequestId &Id, const VmId &Keeper);
  void finish(const RequestId &Id, const ServedSample &Seen);
  void scheduleRebind(std::chrono::milliseconds Delay);
  void scheduleCheck();

  boost::asio::io_context &Control_;
  VmId Self_;
  Hooks Hooks_;
  KeeperService *Local_ = nullptr;
  std::unordered_map<RequestId, Ask> Asks_;
  std::unordered_map<RequestId, Granted> Granted_;
  /// Until when each keeper that failed is passed over.
  std::map<VmId, TimePoint> Unreachable_;
  /// Keepers that were late with an answer at the last check.
  std::set<VmId> Late_;
  boost::asio::steady_timer RebindTimer_;
  boost::asio::steady_timer CheckTimer_;
  bool CheckScheduled_ = false;
};

} // namespace samphireshunt
