#include "Process/Scheduling/Scheduler.h"

#include <algorithm>
#include <limits>
#include <span>

namespace samphireshunt {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr milliseconds MinRetryAfter{500};
constexpr milliseconds MaxRetryAfter{30000};

/// \returns the cost of a request in its customer's share of the tier.
double tokenCost(const GrantRequest &Request) {
  auto Cost = (Request.Prompt_ + Request.Answer_).count();
  return static_cast<double>(std::max<std::int64_t>(1, Cost));
}

/// \returns the customer in whose queue the request waits: one for all unless
/// customers are served fairly.
CustomerName queueName(const Scheduler::Options &Options,
                       const GrantRequest &Request) {
  return Options.FairCustomers_ ? Request.Customer_ : CustomerName();
}

} // namespace

Scheduler::Scheduler(Options Settings)
    : Options_(Settings), Tiers_(std::max(1U, Settings.TierCount_)),
      Backups_(Settings.Backups_), Random_(Settings.Seed_) {}

void Scheduler::configure(std::vector<ServerCapacity> Servers,
                          std::map<CustomerName, CustomerPolicy> Customers,
                          std::uint32_t TierCount, std::size_t MaxWaiting) {
  std::map<ServerName, ServerModel> NextServers;
  for (const ServerCapacity &Capacity : Servers) {
    auto Known = Servers_.find(Capacity.Name_);
    auto Model = Known == Servers_.end() ? ServerModel(Capacity)
                                         : std::move(Known->second);
    Model.configure(Capacity);
    if (Known == Servers_.end())
      Model.assume(PoolSpeed_);
    NextServers.emplace(Capacity.Name_, std::move(Model));
  }
  Servers_ = std::move(NextServers);
  CustomerPolicies_ = std::move(Customers);
  Options_.MaxWaiting_ = MaxWaiting;
  // Requests that wait in a tier that the document no longer has stay in their
  // queue until they are served or expire.
  if (TierCount > Tiers_.size())
    addTiers(TierCount);
}

/// Adds queues for new tiers. An ingress daemon may learn of a new, lowest tier
/// before its keeper does; its requests then wait in the lowest queue that
/// exists. They are moved to their own queue when the tier is added. Otherwise
/// they would be looked up in the new queue while they are in the old one, and
/// the failed lookup would throw an exception that ends the process.
void Scheduler::addTiers(std::uint32_t Count) {
  std::vector<RequestId> Ids;
  for (const auto &[Id, Request] : Waiting_)
    if (Request.Details_.Tier_.count() >= Tiers_.size())
      Ids.push_back(Id);
  std::vector<WaitingRequest> Moved;
  std::ranges::transform(Ids, std::back_inserter(Moved),
                         [this](const RequestId &Id) { return dequeue(Id); });
  Tiers_.resize(Count);
  for (WaitingRequest &Request : Moved)
    enqueue(std::move(Request));
}

std::size_t Scheduler::queueIndex(TierIndex Tier) const {
  if (!Options_.StrictTiers_)
    return 0;
  return std::min<std::size_t>(Tier.count(), Tiers_.size() - 1);
}

double Scheduler::weightOf(const CustomerName &Customer) const {
  auto Found = CustomerPolicies_.find(Customer);
  return Found == CustomerPolicies_.end() ? 1.0 : Found->second.Weight_;
}

void Scheduler::enqueue(WaitingRequest Request) {
  const GrantRequest &Details = Request.Details_;
  TierQueue &Tier = Tiers_[queueIndex(Details.Tier_)];
  CustomerName Name = queueName(Options_, Details);
  CustomerQueue &Queue = Tier.Customers_[Name];
  if (Queue.Requests_.empty()) {
    // A customer that had no requests has no claim to what it did not use.
    if (!Tier.Active_.empty())
      Queue.ServedTokens_ =
          std::max(Queue.ServedTokens_, Tier.Active_.begin()->first);
    Tier.Active_.emplace(Queue.ServedTokens_, Name);
  }
  Queue.Requests_.emplace(Request.Rank_.Urgency_, Request.Arrival_,
                          Details.Id_);
  ++Tier.Count_;
  Tier.ObjectiveMissedCount_ += Request.Rank_.ObjectiveMissed_ ? 1 : 0;
  if (Details.goesOn())
    Tier.GoOn_.emplace(Request.Arrival_, Details.Id_);
  ByLatestStart_.emplace(Request.LatestStart_, Details.Id_);
  RequestId Id = Details.Id_;
  if (!Details.OnlyServer_.empty())
    Suspension_.waits(Id, Details.OnlyServer_);
  Waiting_.emplace(Id, std::move(Request));
}

Scheduler::WaitingRequest Scheduler::dequeue(const RequestId &Id) {
  auto Node = Waiting_.extract(Id);
  WaitingRequest Request = std::move(Node.mapped());
  const GrantRequest &Details = Request.Details_;
  TierQueue &Tier = Tiers_[queueIndex(Details.Tier_)];
  CustomerName Name = queueName(Options_, Details);
  CustomerQueue &Queue = Tier.Customers_[Name];
  Queue.Requests_.erase({Request.Rank_.Urgency_, Request.Arrival_, Id});
  --Tier.Count_;
  Tier.ObjectiveMissedCount_ -= Request.Rank_.ObjectiveMissed_ ? 1 : 0;
  Tier.GoOn_.erase({Request.Arrival_, Id});
  if (Queue.Requests_.empty())
    Tier.Active_.erase({Queue.ServedTokens_, Name});
  ByLatestStart_.erase({Request.LatestStart_, Id});
  if (!Details.OnlyServer_.empty())
    Suspension_.goesOn(Id);
  return Request;
}

std::vector<Decision> Scheduler::requestGrant(GrantRequest Request,
                                              TimePoint Now) {
  std::vector<Decision> Out;
  // An ingress daemon repeats a grant request when its link was replaced.
  // Either the first one is still queued, or it was granted and the grant was
  // lost with the link.
  if (Waiting_.contains(Request.Id_))
    return Out;
  if (auto Granted = Running_.find(Request.Id_); Granted != Running_.end())
    endRunning(Granted);
  Suspicion Known = suspicionOf(Request);
  if (Known.Standing_ == RequestStanding::Refused) {
    Out.push_back(refusal(Request, refusalCode(Known.Cause_)));
    return Out;
  }
  TierQueue &OwnTier = Tiers_[queueIndex(Request.Tier_)];
  QueueRank Rank = rankOf(Request, Now);
  bool Continues = !Request.OnlyServer_.empty();
  if (!Request.IsRetry_) {
    OwnTier.Share_.decay(Now);
    OwnTier.Share_.Arrived_ += 1;
    DecayingShare &OfLength = OwnTier.ShareByLength_[Rank.Length_];
    OfLength.decay(Now);
    OfLength.Arrived_ += 1;
  }
  if (!Continues)
    OwnTier.RecentArrivals_.add(Now);
  if (!hasServerFor(Request, Now) && !hasServerAgain(Request, Now)) {
    RefuseDecision Refusal = refusal(Request, ResultCode::NoBackendServer);
    Refusal.RetryAfter_ =
        timeUntilRested(Request, Now).value_or(Refusal.RetryAfter_);
    Out.push_back(Refusal);
    return Out;
  }
  auto Lowest = floor(Now);
  if (!Continues && Options_.StrictTiers_ && Lowest &&
      Request.Tier_ > *Lowest) {
    Out.push_back(refusal(Request, ResultCode::ShedForHigherTier));
    return Out;
  }
  nanoseconds Service = Options_.RefuseInfeasible_ && !Continues
                            ? bestServiceTime(Request)
                            : nanoseconds(0);
  if (Now + Service >= Request.Deadline_) {
    // Not even an idle engine could serve the request in time. This is no sign
    // of overload, so the admission floor is not raised.
    Out.push_back(refusal(Request, ResultCode::CannotFinishInTime));
    return Out;
  }
  // A stream that began waits for its own version, whatever the others wait
  // for.
  if (!Continues && Request.Version_.empty() &&
      wouldWaitTooLong(Request, Rank, Now)) {
    RefuseDecision Refusal = refusal(Request, ResultCode::WaitTooLong);
    Refusal.RetryAfter_ = returnAfter(Request, Now);
    Out.push_back(Refusal);
    return Out;
  }
  if (!Continues && Waiting_.size() >= Options_.MaxWaiting_ &&
      !shedOneBelow(Request.Tier_, Out)) {
    handleShed(Request.Tier_, Now, Out);
    Out.push_back(refusal(Request, ResultCode::QueueFull));
    return Out;
  }
  WaitingRequest Waiting;
  Waiting.Arrival_ = NextArrival_++;
  Waiting.LatestStart_ =
      Request.Deadline_ - duration_cast<TimePoint::duration>(Service);
  if (Request.MaxWait_.count() > 0)
    Waiting.LatestStart_ =
        std::min(Waiting.LatestStart_, Now + Request.MaxWait_);
  Waiting.Rank_ = Rank;
  Waiting.Details_ = std::move(Request);
  if (!Continues)
    OwnTier.RecentAdmitted_.add(Now);
  if (!Continues && !Rank.ObjectiveMissed_)
    OwnTier.RecentInTime_.add(Now);
  enqueue(std::move(Waiting));
  return Out;
}

std::optional<AskNumber> Scheduler::askOf(const RequestId &Id) const {
  if (auto Queued = Waiting_.find(Id); Queued != Waiting_.end())
    return Queued->second.Details_.Ask_;
  if (auto Granted = Running_.find(Id); Granted != Running_.end())
    return Granted->second.Ask_;
  return std::nullopt;
}

bool Scheduler::mayRunOn(const GrantRequest &Request,
                         const ServerModel &Server) {
  const ServerCapacity &Capacity = Server.capacity();
  bool VersionFits =
      Request.Version_.empty() || Request.Version_ == Capacity.Version_;
  bool ServerFits =
      Request.OnlyServer_.empty() || Request.OnlyServer_ == Capacity.Name_;
  bool HoldAllows = !Capacity.HeldBack_ || !Request.Version_.empty();
  return VersionFits && ServerFits && HoldAllows &&
         std::ranges::count(Request.Excluded_, Capacity.Name_) == 0;
}

/// \returns true if an engine may be free for the request before it would have
/// waited too long.
bool Scheduler::hasServerFor(const GrantRequest &Request, TimePoint Now) const {
  TimePoint Latest = Request.Deadline_;
  if (Request.MaxWait_.count() > 0)
    Latest = std::min(Latest, Now + Request.MaxWait_);
  return std::ranges::any_of(Servers_, [&](const auto &Item) {
    return Item.second.mayContinue() &&
           Item.second.restUntil(Request.Ingress_) < Latest &&
           mayRunOn(Request, Item.second);
  });
}

/// A server that was replaced may be usable again since the last decision.
bool Scheduler::hasServerAgain(const GrantRequest &Request, TimePoint Now) {
  for (auto &[Name, Server] : Servers_)
    Server.advance(Now);
  return hasServerFor(Request, Now);
}

std::optional<milliseconds>
Scheduler::timeUntilRested(const GrantRequest &Request, TimePoint Now) const {
  std::optional<milliseconds> Shortest;
  for (const auto &[Name, Server] : Servers_) {
    TimePoint Until = Server.restUntil(Request.Ingress_);
    if (!Server.usable() || Until <= Now)
      continue;
    auto Left = std::chrono::ceil<milliseconds>(Until - Now);
    Shortest = std::min(Shortest.value_or(Left), Left);
  }
  return Shortest;
}

/// Refuses waiting requests if no server is usable, so that they do not wait
/// until their deadlines. Those that began at a version that is held back wait
/// for its servers.
void Scheduler::refuseUnservable(std::vector<Decision> &Out) {
  bool AnyUsable = std::ranges::any_of(
      Servers_, [](const auto &Item) { return Item.second.usable(); });
  if (AnyUsable)
    return;
  std::vector<RequestId> Unservable;
  for (const auto &[Id, Waiting] : Waiting_) {
    const GrantRequest &Request = Waiting.Details_;
    bool Servable = std::ranges::any_of(Servers_, [&](const auto &Item) {
      return Item.second.mayContinue() && mayRunOn(Request, Item.second);
    });
    if (!Servable)
      Unservable.push_back(Id);
  }
  for (const RequestId &Id : Unservable) {
    WaitingRequest Refused = dequeue(Id);
    Out.push_back(refusal(Refused.Details_, ResultCode::NoBackendServer));
  }
}

std::vector<Decision>
Scheduler::refuseCrashing(const RequestFingerprint &Cause) {
  std::vector<RequestId> Ids;
  for (const auto &[Id, Waiting] : Waiting_) {
    const GrantRequest &Details = Waiting.Details_;
    auto Parts = sharedParts(Details.Parts_);
    bool HasPart = Cause.isPart() && std::ranges::count(Parts, Cause.Low_) > 0;
    if (HasPart || Details.Fingerprint_ == Cause)
      Ids.push_back(Id);
  }
  std::vector<Decision> Out;
  std::ranges::transform(
      Ids, std::back_inserter(Out), [&](const RequestId &Id) {
        return refusal(dequeue(Id).Details_, refusalCode(Cause));
      });
  return Out;
}

RefuseDecision Scheduler::refusal(const GrantRequest &Request,
                                  ResultCode Code) {
  return {Request.Id_, Code, retryAfter(Request.Tier_), Request.Ingress_,
          Request.Ask_};
}

/// Divides the number of requests that are served first by the rate at which
/// requests end, and adds jitter so that callers that are refused together do
/// not retry together.
milliseconds Scheduler::retryAfter(TierIndex Tier) {
  std::size_t Before = 0;
  for (const TierQueue &Queue : std::span(Tiers_).first(queueIndex(Tier) + 1))
    Before += Queue.Count_;
  double Rate = std::max(EndsPerSecond_, 1.0);
  double Millis = 1000.0 * static_cast<double>(Before) / Rate;
  Millis = std::clamp(Millis, static_cast<double>(MinRetryAfter.count()),
                      static_cast<double>(MaxRetryAfter.count()));
  constexpr double JitterSteps = 1000;
  double Jitter =
      Random_(static_cast<std::uint32_t>(JitterSteps)) / JitterSteps;
  return milliseconds(static_cast<std::int64_t>(Millis * (1.0 + Jitter)));
}

/// \returns the waiting request to shed first for one of tier \p Above: the one
/// with the latest deadline, of the customer that was served most, in the
/// lowest tier.
std::optional<RequestId> Scheduler::lowestWaiting(TierIndex Above) const {
  std::size_t First = queueIndex(Above) + 1;
  if (!Options_.StrictTiers_ || First >= Tiers_.size())
    return std::nullopt;
  auto Last = std::find_if(
      Tiers_.rbegin(), Tiers_.rend() - static_cast<std::ptrdiff_t>(First),
      [](const TierQueue &Tier) { return !Tier.Active_.empty(); });
  if (Last == Tiers_.rend() - static_cast<std::ptrdiff_t>(First))
    return std::nullopt;
  const CustomerName &Name = Last->Active_.rbegin()->second;
  const CustomerQueue &Queue = Last->Customers_.at(Name);
  return std::get<RequestId>(*Queue.Requests_.rbegin());
}

bool Scheduler::shedOneBelow(TierIndex Tier, std::vector<Decision> &Out) {
  auto Victim = lowestWaiting(Tier);
  if (!Victim)
    return false;
  WaitingRequest Shed = dequeue(*Victim);
  Out.push_back(refusal(Shed.Details_, ResultCode::ShedForHigherTier));
  return true;
}

void Scheduler::withdraw(const RequestId &Id) {
  Suspension_.ended(Id);
  if (Waiting_.contains(Id)) {
    dequeue(Id);
    return;
  }
  if (auto Found = Running_.find(Id); Found != Running_.end())
    endRunning(Found);
}

void Scheduler::withdrawWaiting(const RequestId &Id) {
  if (Waiting_.contains(Id))
    dequeue(Id);
}

void Scheduler::addRunning(const RunningRequest &Request) {
  withdrawWaiting(Request.Id_);
  auto Known = Running_.find(Request.Id_);
  if (Known != Running_.end() &&
      !mayBeSameAsk(Known->second.Ask_, Request.Ask_))
    endRunning(Known);
  if (!Running_.try_emplace(Request.Id_, Request).second)
    return;
  ++RunningByCustomer_[Request.Customer_];
  if (ServerModel *Server = server(Request.Server_))
    Server->start(Request.Id_, Tokens(0), {});
}

/// \returns the engine that the request runs on, or null if the engine is gone
/// or has restarted since: the outcome of the earlier process says nothing
/// about the current one.
ServerModel *Scheduler::runningServer(const RunningRequest &Request) {
  ServerModel *Current = server(Request.Server_);
  return Current && Current->runs(Request.Id_) ? Current : nullptr;
}

Scheduler::RunningMap::iterator
Scheduler::endRunning(RunningMap::iterator Item) {
  const RunningRequest &Request = Item->second;
  if (ServerModel *Server = runningServer(Request))
    Server->end(Request.Id_);
  auto Count = RunningByCustomer_.find(Request.Customer_);
  if (Count != RunningByCustomer_.end() && --Count->second == 0)
    RunningByCustomer_.erase(Count);
  Cancelled_.erase(Request.Id_);
  Suspension_.goesOn(Request.Id_);
  return Running_.erase(Item);
}

void Scheduler::done(const RequestId &Id, const ServedSample &Sample,
                     TimePoint Now) {
  auto Found = Running_.find(Id);
  if (Found == Running_.end())
    return;
  const RunningRequest &Ended = Found->second;
  if (!Sample.Suspended_)
    Suspension_.ended(Id);
  if (ServerModel *Server = runningServer(Ended)) {
    if (!Sample.Reached_)
      Server->rate().giveBack();
    if (Sample.Crashed_)
      recordCrash(*Server, Now);
    if (Sample.Rejected_)
      Server->rejections().rejected(Now);
    recordSpeed(*Server, Sample, Now);
    recordOutcome(*Server, Sample, Now);
  }
  Ends_.add(Now);
  // Of a run that went on, only the rest was generated here.
  bool Whole = Sample.Complete_ && !Ended.Continues_;
  if (Whole && Ended.Answer_.count() > 0) {
    double Share = static_cast<double>(Sample.Generated_.count()) /
                   static_cast<double>(Ended.Answer_.count());
    auto [Known, New] = AnswerShare_.try_emplace(Ended.Customer_, Share);
    constexpr double NewShareWeight = 0.1;
    if (!New)
      Known->second += NewShareWeight * (Share - Known->second);
  }
  endRunning(Found);
  if (!Sample.Complete_)
    return;
  recordSlotTime(Sample);
  std::chrono::duration<double> Gap = Now - LastEnd_;
  LastEnd_ = Now;
  constexpr double Smoothing = 0.05;
  double Rate = 1.0 / std::max(Gap.count(), 1e-4);
  EndsPerSecond_ += Smoothing * (Rate - EndsPerSecond_);
}

/// Learns the speed of a server from a request that has ended, as it is at the
/// usual work time. A stream meets slow and usual moments in turn.
void Scheduler::recordSpeed(ServerModel &Server, const ServedSample &Sample,
                            TimePoint Now) {
  auto Factor = readWorkTime(Server, Sample.WorkTimePercent_, Now);
  if (!Factor || Sample.FirstToken_.count() > 0)
    return Server.recordServed(Sample, PoolSpeed_);
  ServedSample Usual = Sample;
  Usual.Duration_ = std::chrono::duration_cast<std::chrono::microseconds>(
      Factor->removeFrom(Sample.Duration_));
  Server.recordServed(Usual, PoolSpeed_);
}

/// Records what an answer told of the work time. \returns the factor, or
/// nothing if it told none that can be used.
std::optional<WorkTimeFactor> Scheduler::readWorkTime(ServerModel &Server,
                                                      std::uint32_t Percent,
                                                      TimePoint Now) {
  if (Percent == 0 || !Options_.UseWorkTimes_)
    return std::nullopt;
  auto Factor = WorkTimeFactor::fromPercent(Percent);
  if (Factor)
    Server.workTime().read(*Factor, Now, WorkTimes_);
  else
    WorkTimes_.ignored();
  return Factor;
}

void Scheduler::firstToken(const RequestId &Id, const FirstTokenSample &Sample,
                           TimePoint Now) {
  auto Found = Running_.find(Id);
  if (Found == Running_.end())
    return;
  Found->second.Streaming_ = true;
  ServerModel *Server = runningServer(Found->second);
  if (!Server)
    return;
  FirstTokenSample Usual = Sample;
  if (auto Factor = readWorkTime(*Server, Sample.WorkTimePercent_, Now))
    Usual.Delay_ = std::chrono::duration_cast<std::chrono::microseconds>(
        Factor->removeFrom(Sample.Delay_));
  Server->firstToken(Id, Usual, PoolSpeed_);
}

std::vector<RequestId> Scheduler::removeWaiting(const VmId &Ingress) {
  std::vector<RequestId> Removed;
  for (const auto &[Id, Request] : Waiting_)
    if (Request.Details_.Ingress_ == Ingress)
      Removed.push_back(Id);
  std::ranges::for_each(Removed, [this](RequestId Id) { dequeue(Id); });
  return Removed;
}

RemovedRequests Scheduler::removeIngressRequests(const VmId &Ingress) {
  RemovedRequests Removed;
  Removed.Waiting_ = removeWaiting(Ingress);
  for (auto Item = Running_.begin(); Item != Running_.end();) {
    if (Item->second.Ingress_ != Ingress) {
      ++Item;
      continue;
    }
    Removed.Running_.push_back(Item->second);
    Item = endRunning(Item);
  }
  return Removed;
}

std::optional<TierIndex> Scheduler::floor(TimePoint Now) const {
  return Now < FloorUntil_ ? Floor_ : std::nullopt;
}

std::vector<Decision> Scheduler::raiseFloor(TierIndex Tier, TimePoint Until,
                                            TimePoint Now) {
  std::vector<Decision> Out;
  auto Current = floor(Now);
  if (!Current || Tier < *Current)
    Floor_ = Tier;
  FloorUntil_ = std::max(FloorUntil_, Until);
  shedAllBelow(Tier, Out);
  return Out;
}

void Scheduler::shedAllBelow(TierIndex Tier, std::vector<Decision> &Out) {
  while (shedOneBelow(Tier, Out)) {
  }
}

/// Raises the admission floor to \p Tier, of which a request is about to be
/// shed for lack of capacity; otherwise a higher tier would be shed while a
/// lower one is still served. Waiting requests of lower tiers are shed too;
/// running ones are cancelled unless they must not run again.
void Scheduler::handleShed(TierIndex Tier, TimePoint Now,
                           std::vector<Decision> &Out) {
  if (!Options_.StrictTiers_ || Options_.GuaranteedShare_ > 0)
    return;
  auto More = raiseFloor(Tier, Now + Options_.FloorDuration_, Now);
  std::ranges::move(More, std::back_inserter(Out));
  while (Options_.Preempt_ && preemptFor(Tier, Out)) {
  }
}

/// Cancels one running request of the lowest tier below \p Tier. The request
/// with the shortest prompt is chosen, because its prefill is lost.
bool Scheduler::preemptFor(TierIndex Tier, std::vector<Decision> &Out) {
  const RunningRequest *Victim = nullptr;
  auto Order = [](const RunningRequest &Request) {
    constexpr auto Lowest = std::numeric_limits<std::uint32_t>::max();
    return std::tuple(Lowest - Request.Tier_.count(), Request.Prompt_,
                      Request.Id_);
  };
  for (const auto &[Id, Request] : Running_) {
    if (Request.Tier_ <= Tier || Request.NonIdempotent_ ||
        Cancelled_.contains(Id))
      continue;
    if (!Victim || Order(Request) < Order(*Victim))
      Victim = &Request;
  }
  if (!Victim)
    return false;
  Cancelled_.insert(Victim->Id_);
  Out.push_back(CancelDecision{Victim->Id_, Victim->Server_, Victim->Ingress_,
                               Victim->Ask_});
  return true;
}

void Scheduler::expire(TimePoint Now, std::vector<Decision> &Out) {
  while (!ByLatestStart_.empty() && ByLatestStart_.begin()->first <= Now) {
    RequestId Id = ByLatestStart_.begin()->second;
    WaitingRequest Expired = dequeue(Id);
    handleShed(Expired.Details_.Tier_, Now, Out);
    Out.push_back(refusal(Expired.Details_, ResultCode::DeadlineInQueue));
  }
}

void Scheduler::preemptUrgent(TimePoint Now, std::vector<Decision> &Out) {
  if (!Options_.Preempt_ || !Options_.StrictTiers_)
    return;
  for (const auto &[LatestStart, Id] : ByLatestStart_) {
    if (LatestStart - Options_.PreemptMargin_ > Now)
      break;
    WaitingRequest &Urgent = Waiting_.at(Id);
    if (!Urgent.Preempting_ && !atMaxInFlight(Urgent.Details_.Customer_))
      Urgent.Preempting_ = preemptFor(Urgent.Details_.Tier_, Out);
  }
}

bool Scheduler::atMaxInFlight(const CustomerName &Customer) const {
  auto Share = CustomerPolicies_.find(Customer);
  if (Share == CustomerPolicies_.end() || Share->second.MaxInFlight_ == 0)
    return false;
  auto Count = RunningByCustomer_.find(Customer);
  return Count != RunningByCustomer_.end() &&
         Count->second >= Share->second.MaxInFlight_;
}

bool Scheduler::anyEngineHasRoom() const {
  return std::ranges::any_of(Servers_, [this](const auto &Item) {
    return Options_.TwoChoices_ ? Item.second.usable() : hasRoom(Item.second);
  });
}

void Scheduler::report(const ServerName &Name, bool Healthy,
                       const LoadReport &Report) {
  ServerModel *Model = server(Name);
  if (!Model)
    return;
  Model->setReachable(Healthy);
  Model->report(Report);
  if (Options_.AdaptLimits_)
    Model->adaptLimit(Report);
  // If no engine answers, it is more likely that this daemon is cut off than
  // that all engines failed. Ingress daemons may still reach the engines and
  // are allowed to try.
  bool AnyReachable = std::ranges::any_of(
      Servers_, [](const auto &Item) { return Item.second.reachable(); });
  for (auto &[Other, Server] : Servers_)
    Server.trustReachability(AnyReachable);
}

void Scheduler::refillRates(TimePoint Now) {
  for (auto &[Name, Server] : Servers_) {
    Server.rate().refill(Now, RateShare_);
    Server.rejections().advance(Now, RateShare_);
  }
}

/// An answer without a rate ends the limit only if its request was granted
/// after the server last named one: heads of long answers come in any order.
void Scheduler::limitRead(const ServerName &Name, const RequestId &Id,
                          const std::optional<RequestRate> &Named,
                          TimePoint Now) {
  ServerModel *Model = server(Name);
  if (!Model)
    return;
  if (Named)
    return Model->rate().name(*Named, Now);
  if (grantedAfter(*Model, Id, Model->rate().namedAt()))
    Model->rate().clear();
}

bool Scheduler::grantedAfter(const ServerModel &Server, const RequestId &Id,
                             TimePoint Time) const {
  auto Answered = Running_.find(Id);
  return Answered != Running_.end() && Server.runs(Id) &&
         Answered->second.Granted_ > Time;
}

void Scheduler::noticeRead(const ServerName &Name, const VmId &Ingress,
                           const RequestId &Id, const ServerNotice &Notice,
                           TimePoint Now) {
  ServerModel *Model = server(Name);
  if (!Model)
    return;
  if (std::holds_alternative<LeavingNotice>(Notice))
    return Model->markLeaving();
  if (const auto *Rest = std::get_if<RestNotice>(&Notice))
    return Model->rest(Ingress, Now + Rest->Time_);
  const auto &Brittle = std::get<BrittleNotice>(Notice);
  if (Brittle.Survived_)
    Model->rejections().name(*Brittle.Survived_, Now);
  else if (grantedAfter(*Model, Id, Model->rejections().namedAt()))
    Model->rejections().clear();
}

void Scheduler::serve(const WaitingRequest &Request, ServerModel &Server,
                      TimePoint Now, std::vector<Decision> &Out) {
  const GrantRequest &Details = Request.Details_;
  const ServerName &Name = Server.capacity().Name_;
  Server.start(Details.Id_, Details.Prompt_, prefixOf(Details));
  Server.rate().take();
  Server.rejections().take();
  if (Server.capacity().Canary_ && CanaryGrants_ > 0)
    --CanaryGrants_;
  ++RunningByCustomer_[Details.Customer_];
  Running_[Details.Id_] = {Details.Id_,
                           Details.Tier_,
                           Details.Customer_,
                           Name,
                           Details.Prompt_,
                           Details.Answer_,
                           Details.NonIdempotent_,
                           Details.Ingress_,
                           Details.Fingerprint_,
                           sharedParts(Details.Parts_),
                           Now,
                           Details.Deadline_,
                           expectedAnswer(Details),
                           !Details.OnlyServer_.empty(),
                           !Details.OnlyServer_.empty(),
                           Details.Ask_};
  Out.push_back(GrantDecision{Details.Id_, Name, Details.Ingress_,
                              Server.rate().named().has_value() ||
                                  Server.rejections().named().has_value(),
                              backupFor(Details, Server, Now), Details.Ask_});
}

/// Grants one request of the tier, a stream that goes on before a new request;
/// new requests get every fourth slot, so that no caller can keep others of its
/// tier out by what it names as streams.
/// New requests that have already missed their objective wait for lower load.
/// If they were served first, all requests after them would miss theirs too,
/// including those of other customers.
bool Scheduler::grantFromTier(TierQueue &Tier, TimePoint Now,
                              std::vector<Decision> &Out) {
  constexpr int MaxGoingOnInRow = 3;
  bool NewFirst = Tier.GoingOnInRow_ >= MaxGoingOnInRow;
  if (!NewFirst && grantGoingOn(Tier, Now, Out))
    return true;
  if ((Options_.RefuseLongWaits_ && grantInOrder(Tier, true, Now, Out)) ||
      grantInOrder(Tier, false, Now, Out)) {
    Tier.GoingOnInRow_ = 0;
    return true;
  }
  return NewFirst && grantGoingOn(Tier, Now, Out);
}

/// Grants the first stream that goes on and that an engine with room can take.
/// Each one is checked once in a round.
bool Scheduler::grantGoingOn(TierQueue &Tier, TimePoint Now,
                             std::vector<Decision> &Out) {
  auto Item = Tier.GoOn_.lower_bound({Tier.NextGoOn_, RequestId()});
  for (; Item != Tier.GoOn_.end(); ++Item) {
    auto [Arrival, Id] = *Item;
    Tier.NextGoOn_ = Arrival + 1;
    const GrantRequest &Details = Waiting_.at(Id).Details_;
    if (atMaxInFlight(Details.Customer_) || isCopyRunning(Details))
      continue;
    ServerModel *Server = chooseEngine(Details, Now);
    if (!Server)
      continue;
    CustomerName Customer = queueName(Options_, Details);
    grantTo(Tier, Customer, Placement{Id, Server}, Now, Out);
    ++Tier.GoingOnInRow_;
    return true;
  }
  return false;
}

bool Scheduler::grantInOrder(TierQueue &Tier, bool InTime, TimePoint Now,
                             std::vector<Decision> &Out) {
  for (const auto &[Served, Name] : Tier.Active_) {
    const CustomerQueue &Queue = Tier.Customers_.at(Name);
    RequestId Head = std::get<RequestId>(*Queue.Requests_.begin());
    const GrantRequest &First = Waiting_.at(Head).Details_;
    if (atMaxInFlight(First.Customer_))
      continue;
    auto Placed =
        InTime ? firstGrantable(Queue, true, Now) : firstPlaceable(Queue, Now);
    if (!Placed && !InTime && isInfeasible(First, Now)) {
      WaitingRequest Shed = dequeue(Head);
      handleShed(Shed.Details_.Tier_, Now, Out);
      Out.push_back(refusal(Shed.Details_, ResultCode::DeadlineInQueue));
      return true;
    }
    if (!Placed)
      continue;
    grantTo(Tier, CustomerName(Name), *Placed, Now, Out);
    return true;
  }
  return false;
}

void Scheduler::grantTo(TierQueue &Tier, const CustomerName &Customer,
                        const Placement &Placed, TimePoint Now,
                        std::vector<Decision> &Out) {
  CustomerQueue &Queue = Tier.Customers_.at(Customer);
  WaitingRequest Granted = dequeue(Placed.Id_);
  bool StillActive = !Queue.Requests_.empty();
  if (StillActive)
    Tier.Active_.erase({Queue.ServedTokens_, Customer});
  if (Granted.Details_.OnlyServer_.empty()) {
    Tier.Share_.decay(Now);
    Tier.Share_.Granted_ += 1;
    DecayingShare &OfLength = Tier.ShareByLength_[Granted.Rank_.Length_];
    OfLength.decay(Now);
    OfLength.Granted_ += 1;
  }
  double Cost = tokenCost(Granted.Details_);
  Queue.ServedTokens_ += Cost / weightOf(Granted.Details_.Customer_);
  if (StillActive)
    Tier.Active_.emplace(Queue.ServedTokens_, Customer);
  serve(Granted, *Placed.Server_, Now, Out);
}

void Scheduler::grant(TimePoint Now, std::vector<Decision> &Out) {
  if (Now < WarmupEnd_)
    return;
  Round_ = Round();
  for (TierQueue &Tier : Tiers_)
    Tier.NextGoOn_ = 0;
  grantPromised(Now, Out);
  grantStarving(Now, Out);
  for (TierQueue &Tier : Tiers_) {
    grantContinuing(Tier, Now, Out);
    while (!Tier.Active_.empty() && anyEngineHasRoom() &&
           grantFromTier(Tier, Now, Out)) {
    }
    if (!anyEngineHasRoom())
      return;
  }
}

/// Serves starving tiers, lowest first, because the lowest are the ones that
/// others starve.
void Scheduler::grantStarving(TimePoint Now, std::vector<Decision> &Out) {
  std::for_each(Tiers_.rbegin(), Tiers_.rend(), [&](TierQueue &Tier) {
    while (isStarving(Tier, Now) && anyEngineHasRoom() &&
           grantFromTier(Tier, Now, Out)) {
    }
  });
}

std::vector<Decision> Scheduler::decide(TimePoint Now) {
  std::vector<Decision> Out;
  applyHealth(Now);
  refillRates(Now);
  refuseUnservable(Out);
  promiseServers(Now);
  grant(Now, Out);
  suspendStreams(Now, Out);
  preemptUrgent(Now, Out);
  expire(Now, Out);
  return Out;
}

std::optional<RunningRequest>
Scheduler::findRunning(const RequestId &Id) const {
  auto Found = Running_.find(Id);
  if (Found == Running_.end())
    return std::nullopt;
  return Found->second;
}

std::size_t Scheduler::countRunning(
    const std::function<bool(const ServerName &)> &Matches) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Running_, [&](const auto &Item) {
        return Matches(Item.second.Server_);
      }));
}

ServerModel *Scheduler::server(const ServerName &Name) {
  auto Found = Servers_.find(Name);
  return Found == Servers_.end() ? nullptr : &Found->second;
}

} // namespace samphireshunt
