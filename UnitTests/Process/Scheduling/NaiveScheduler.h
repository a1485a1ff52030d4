#pragma once
/// \file
/// The scheduler's rules, implemented as a scan of one list for every decision:
/// a slow, simple reference for the real scheduler.

#include "Process/Scheduling/Scheduler.h"

#include <algorithm>

namespace samphireshunt::tests {

class NaiveScheduler {
public:
  NaiveScheduler(Scheduler::Options Settings,
                 std::vector<ServerCapacity> Servers,
                 std::map<CustomerName, CustomerPolicy> Shares)
      : Options_(Settings), CustomerPolicies_(std::move(Shares)) {
    for (const ServerCapacity &Capacity : Servers)
      Servers_.emplace(Capacity.Name_, ServerModel(Capacity));
  }

  std::vector<Decision> requestGrant(const GrantRequest &Request,
                                     TimePoint Now) {
    std::vector<Decision> Out;
    if (find(Request.Id_) != Waiting_.end())
      return Out;
    end(Request.Id_);
    bool Servable = std::ranges::any_of(Servers_, [&](const auto &Item) {
      return std::ranges::count(Request.Excluded_, Item.first) == 0;
    });
    if (!Servable) {
      refuse(Request, ResultCode::NoBackendServer, Out);
      return Out;
    }
    bool Below = Floor_ && Now < FloorUntil_ && Request.Tier_ > *Floor_;
    if (Below) {
      refuse(Request, ResultCode::ShedForHigherTier, Out);
      return Out;
    }
    if (Now >= Request.Deadline_) {
      refuse(Request, ResultCode::CannotFinishInTime, Out);
      return Out;
    }
    if (Waiting_.size() >= Options_.MaxWaiting_ &&
        !shedLowest(Request.Tier_, Out)) {
      handleShed(Request.Tier_, Now, Out);
      refuse(Request, ResultCode::QueueFull, Out);
      return Out;
    }
    activate(Request);
    Waiting_.push_back({Request, NextArrival_++, false});
    return Out;
  }

  void withdraw(const RequestId &Id) {
    if (auto Found = find(Id); Found != Waiting_.end())
      Waiting_.erase(Found);
    else
      end(Id);
  }

  void done(const RequestId &Id) { end(Id); }

  std::vector<RequestId> removeIngressRequests(const VmId &Ingress) {
    std::erase_if(Waiting_, [&](const WaitingRequest &One) {
      return One.Details_.Ingress_ == Ingress;
    });
    std::vector<RequestId> Orphans;
    for (const RunningRequest &One : Running_)
      if (One.Ingress_ == Ingress)
        Orphans.push_back(One.Id_);
    for (const RequestId &Id : Orphans)
      end(Id);
    return Orphans;
  }

  std::vector<Decision> decide(TimePoint Now) {
    std::vector<Decision> Out;
    while (grantOne(Out)) {
    }
    preemptUrgent(Now, Out);
    expire(Now, Out);
    return Out;
  }

  const std::vector<RunningRequest> &running() const { return Running_; }
  std::size_t waitingBelow(TierIndex Tier) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Waiting_, [&](const WaitingRequest &One) {
          return One.Details_.Tier_ > Tier;
        }));
  }
  bool cancelled(const RequestId &Id) const { return Cancelled_.contains(Id); }

private:
  struct WaitingRequest {
    GrantRequest Details_;
    std::uint64_t Arrival_ = 0;
    bool Preempting_ = false;
  };
  using ServedKey = std::pair<TierIndex, CustomerName>;

  std::vector<WaitingRequest>::iterator find(const RequestId &Id) {
    return std::ranges::find_if(Waiting_, [&](const WaitingRequest &One) {
      return One.Details_.Id_ == Id;
    });
  }

  void end(const RequestId &Id) {
    auto Found = std::ranges::find(Running_, Id, &RunningRequest::Id_);
    if (Found == Running_.end())
      return;
    Servers_.at(Found->Server_).end(Id);
    Cancelled_.erase(Id);
    Running_.erase(Found);
  }

  void refuse(const GrantRequest &Request, ResultCode Code,
              std::vector<Decision> &Out) {
    Out.push_back(RefuseDecision{Request.Id_, Code, {}, Request.Ingress_});
  }

  bool waits(const ServedKey &Key) const {
    return std::ranges::any_of(Waiting_, [&](const WaitingRequest &One) {
      return One.Details_.Tier_ == Key.first &&
             One.Details_.Customer_ == Key.second;
    });
  }

  void activate(const GrantRequest &Request) {
    ServedKey Key{Request.Tier_, Request.Customer_};
    if (waits(Key))
      return;
    std::optional<double> MinServed;
    for (const WaitingRequest &One : Waiting_)
      if (One.Details_.Tier_ == Request.Tier_) {
        double Served = Served_[{One.Details_.Tier_, One.Details_.Customer_}];
        MinServed = MinServed ? std::min(*MinServed, Served) : Served;
      }
    double &Own = Served_[Key];
    Own = std::max(Own, MinServed.value_or(Own));
  }

  /// \returns the key that orders waiting requests by when they are served.
  auto order(const WaitingRequest &One) {
    ServedKey Key{One.Details_.Tier_, One.Details_.Customer_};
    return std::tuple(One.Details_.Tier_, Served_[Key], One.Details_.Customer_,
                      One.Details_.Deadline_, One.Arrival_);
  }

  bool atMaxInFlight(const CustomerName &Customer) const {
    std::uint32_t Limit = CustomerPolicies_.at(Customer).MaxInFlight_;
    auto Count =
        std::ranges::count(Running_, Customer, &RunningRequest::Customer_);
    return Limit > 0 && static_cast<std::uint32_t>(Count) >= Limit;
  }

  ServerModel *chooseEngine(const GrantRequest &Request) {
    ServerModel *Best = nullptr;
    auto Score = [&](const ServerModel &Server) {
      return std::pair(
          Server.expectedFirstToken(Request.Prompt_, Request.Prefix_),
          Server.inFlight());
    };
    for (auto &[Name, Server] : Servers_) {
      if (!Server.hasRoom(1.0) || std::ranges::count(Request.Excluded_, Name))
        continue;
      if (!Best || Score(Server) < Score(*Best))
        Best = &Server;
    }
    return Best;
  }

  bool grantOne(std::vector<Decision> &Out) {
    std::vector<WaitingRequest> Sorted = Waiting_;
    std::ranges::sort(Sorted, {},
                      [this](const WaitingRequest &One) { return order(One); });
    std::map<ServedKey, int> Tried;
    constexpr int MaxChecked = 8;
    for (const WaitingRequest &One : Sorted) {
      const GrantRequest &Details = One.Details_;
      // Only the first few requests of each customer in a tier are considered.
      bool TooMany = ++Tried[{Details.Tier_, Details.Customer_}] > MaxChecked;
      if (TooMany || atMaxInFlight(Details.Customer_))
        continue;
      ServerModel *Server = chooseEngine(Details);
      if (!Server)
        continue;
      serve(Details, *Server, Out);
      return true;
    }
    return false;
  }

  void serve(GrantRequest Details, ServerModel &Server,
             std::vector<Decision> &Out) {
    double Cost = static_cast<double>(
        std::max<std::int64_t>(1, (Details.Prompt_ + Details.Answer_).count()));
    Served_[{Details.Tier_, Details.Customer_}] +=
        Cost / CustomerPolicies_.at(Details.Customer_).Weight_;
    Waiting_.erase(find(Details.Id_));
    Server.start(Details.Id_, Details.Prompt_, Details.Prefix_);
    ServerName Name = Server.capacity().Name_;
    Running_.push_back({Details.Id_, Details.Tier_, Details.Customer_, Name,
                        Details.Prompt_, Details.Answer_,
                        Details.NonIdempotent_, Details.Ingress_});
    Out.push_back(GrantDecision{Details.Id_, Name, Details.Ingress_});
  }

  bool shedLowest(TierIndex Above, std::vector<Decision> &Out) {
    auto Victim = Waiting_.end();
    for (auto One = Waiting_.begin(); One != Waiting_.end(); ++One)
      if (One->Details_.Tier_ > Above &&
          (Victim == Waiting_.end() || order(*Victim) < order(*One)))
        Victim = One;
    if (Victim == Waiting_.end())
      return false;
    refuse(Victim->Details_, ResultCode::ShedForHigherTier, Out);
    Waiting_.erase(Victim);
    return true;
  }

  bool preemptFor(TierIndex Tier, std::vector<Decision> &Out) {
    const RunningRequest *Victim = nullptr;
    auto Worse = [](const RunningRequest &Left, const RunningRequest &Right) {
      return std::tuple(Right.Tier_, Left.Prompt_, Left.Id_) <
             std::tuple(Left.Tier_, Right.Prompt_, Right.Id_);
    };
    for (const RunningRequest &One : Running_) {
      bool Eligible = One.Tier_ > Tier && !One.NonIdempotent_ &&
                      !Cancelled_.contains(One.Id_);
      if (Eligible && (!Victim || Worse(One, *Victim)))
        Victim = &One;
    }
    if (!Victim)
      return false;
    Cancelled_.insert(Victim->Id_);
    Out.push_back(
        CancelDecision{Victim->Id_, Victim->Server_, Victim->Ingress_});
    return true;
  }

  void handleShed(TierIndex Tier, TimePoint Now, std::vector<Decision> &Out) {
    if (!(Floor_ && Now < FloorUntil_ && *Floor_ <= Tier))
      Floor_ = Tier;
    FloorUntil_ = std::max(FloorUntil_, Now + Options_.FloorDuration_);
    while (shedLowest(Tier, Out)) {
    }
    while (preemptFor(Tier, Out)) {
    }
  }

  std::vector<RequestId> dueBy(TimePoint Limit) const {
    std::vector<std::pair<TimePoint, RequestId>> Due;
    for (const WaitingRequest &One : Waiting_)
      if (One.Details_.Deadline_ <= Limit)
        Due.emplace_back(One.Details_.Deadline_, One.Details_.Id_);
    std::ranges::sort(Due);
    std::vector<RequestId> Ids;
    for (const auto &[Deadline, Id] : Due)
      Ids.push_back(Id);
    return Ids;
  }

  void preemptUrgent(TimePoint Now, std::vector<Decision> &Out) {
    for (const RequestId &Id : dueBy(Now + Options_.PreemptMargin_)) {
      auto One = find(Id);
      if (!One->Preempting_ && !atMaxInFlight(One->Details_.Customer_))
        One->Preempting_ = preemptFor(One->Details_.Tier_, Out);
    }
  }

  void expire(TimePoint Now, std::vector<Decision> &Out) {
    for (const RequestId &Id : dueBy(Now)) {
      auto One = find(Id);
      if (One == Waiting_.end())
        continue;
      GrantRequest Details = One->Details_;
      Waiting_.erase(One);
      handleShed(Details.Tier_, Now, Out);
      refuse(Details, ResultCode::DeadlineInQueue, Out);
    }
  }

  Scheduler::Options Options_;
  std::map<ServerName, ServerModel> Servers_;
  std::map<CustomerName, CustomerPolicy> CustomerPolicies_;
  std::map<ServedKey, double> Served_;
  std::vector<WaitingRequest> Waiting_;
  std::vector<RunningRequest> Running_;
  std::set<RequestId> Cancelled_;
  std::optional<TierIndex> Floor_;
  TimePoint FloorUntil_;
  std::uint64_t NextArrival_ = 0;
};

} // namespace samphireshunt::tests
