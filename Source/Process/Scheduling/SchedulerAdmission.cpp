/// \file
/// Predicts how long a request would wait, and which tiers are served below
/// their guaranteed share.
///
/// Load pattern: a burst of the lowest tier, whose long streams occupy most
/// slots. The burst must not delay higher tiers. Its requests should be
/// answered while the answers are worth most, instead of all of them missing
/// their objectives, and the tier must never be starved completely.

#include "Process/Scheduling/Scheduler.h"

#include <algorithm>
#include <bit>
#include <span>

namespace samphireshunt {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

/// With fewer arrivals than this, no share is computed.
constexpr double MinArrivals = 8;
/// A tier is assumed to get at least this fraction of the rate, whatever is
/// served first.
constexpr double MinRateFraction = 0.2;
/// The same for requests that have missed their objective.
constexpr double MinLateRateFraction = 0.05;
/// The fraction of a tier's slots that is assigned to callers that retry.
constexpr double RetryFraction = 0.5;
/// Callers wait before a retry for at most one third of the time that they have
/// left.
constexpr int RetryTimeDivisor = 3;
/// With fewer ends than this within the window, the rate is unknown.
constexpr double MinEnds = 5;

} // namespace

void Scheduler::DecayingShare::decay(TimePoint Now) {
  std::chrono::duration<double> Elapsed = Now - Decayed_;
  double DecayFactor =
      std::max(0.0, 1.0 - Elapsed.count() / DecayTime_.count());
  Decayed_ = Now;
  Arrived_ *= DecayFactor;
  Granted_ *= DecayFactor;
}

double Scheduler::DecayingShare::grantedFraction() const {
  return Arrived_ < MinArrivals ? 1.0 : Granted_ / Arrived_;
}

bool Scheduler::isStarving(TierQueue &Tier, TimePoint Now) {
  if (Options_.GuaranteedShare_ <= 0 || Tier.Count_ == 0)
    return false;
  Tier.Share_.decay(Now);
  return Tier.Share_.grantedFraction() <
         Options_.GuaranteedShare_ * grantedFractionOfAll(Now);
}

/// \returns the fraction of all tiers' arrivals that was granted.
double Scheduler::grantedFractionOfAll(TimePoint Now) {
  DecayingShare All;
  for (TierQueue &Tier : Tiers_) {
    Tier.Share_.decay(Now);
    All.Arrived_ += Tier.Share_.Arrived_;
    All.Granted_ += Tier.Share_.Granted_;
  }
  return std::min(1.0, All.grantedFraction());
}

/// \returns the number of slots that become free each second and that higher
/// tiers will not use again; 0 while too little is known. Requests that have
/// missed their objective get only what those in time of their own tier leave:
/// otherwise they would be held for long, and refused in the end.
double Scheduler::slotRate(TierIndex Tier, bool ObjectiveMissed,
                           TimePoint Now) {
  double Ends = Ends_.sum(Now);
  if (Ends < MinEnds)
    return 0;
  // Refused requests take no slot; in a burst they are most of what arrives.
  double HigherAdmitted = 0;
  for (TierQueue &Higher : std::span(Tiers_).first(queueIndex(Tier)))
    HigherAdmitted += Higher.RecentAdmitted_.sum(Now);
  if (ObjectiveMissed)
    return std::max(Ends - HigherAdmitted -
                        Tiers_[queueIndex(Tier)].RecentInTime_.sum(Now),
                    MinLateRateFraction * Ends);
  return std::max(Ends - HigherAdmitted, MinRateFraction * Ends);
}

/// \returns the predicted wait of a request of \p Tier, as the shorter of two:
/// the number of requests ahead of it, divided by the rate of slots for the
/// tier; and the number of those in its own tier, divided by the tier's
/// guaranteed rate. 0 while too little is known. \p ObjectiveMissed tells
/// whether the request has missed its objective.
///
/// Requests that have missed their objective are served after the others and
/// are not counted for them. Otherwise callers that retry too late would cause
/// the refusal of callers that could still be served in time, who would then
/// retry too late themselves.
milliseconds Scheduler::predictedWait(TierIndex Tier, bool ObjectiveMissed,
                                      TimePoint Now) {
  std::size_t Own = queueIndex(Tier);
  std::size_t OwnAhead = Tiers_[Own].Count_;
  if (!ObjectiveMissed && Options_.CountMissedSeparately_)
    OwnAhead -= Tiers_[Own].ObjectiveMissedCount_;
  double Guaranteed = guaranteedRate(Tier, Now);
  if (ObjectiveMissed)
    Guaranteed -= Tiers_[Own].RecentInTime_.sum(Now);
  return waitBehind(Tier, OwnAhead, slotRate(Tier, ObjectiveMissed, Now),
                    Guaranteed);
}

/// \returns the number of slots that the tier gets each second regardless of
/// higher ones.
double Scheduler::guaranteedRate(TierIndex Tier, TimePoint Now) {
  return Options_.GuaranteedShare_ * grantedFractionOfAll(Now) *
         Tiers_[queueIndex(Tier)].RecentArrivals_.sum(Now);
}

/// \returns the wait behind \p OwnAhead requests of the tier and all of higher
/// ones, with the tier's rates of slots.
milliseconds Scheduler::waitBehind(TierIndex Tier, std::size_t OwnAhead,
                                   double SlotRate, double Guaranteed) const {
  auto Ahead = static_cast<double>(OwnAhead);
  for (const TierQueue &Queue : std::span(Tiers_).first(queueIndex(Tier)))
    Ahead += static_cast<double>(Queue.Count_);
  if (Ahead == 0 || SlotRate == 0)
    return milliseconds(0);
  double Seconds = Ahead / SlotRate;
  if (Guaranteed > 0)
    Seconds = std::min(Seconds, static_cast<double>(OwnAhead) / Guaranteed);
  std::chrono::duration<double> Wait(Seconds);
  return std::chrono::duration_cast<milliseconds>(Wait);
}

std::optional<milliseconds>
Scheduler::RetrySchedule::next(TimePoint Now, double PerSecond,
                               milliseconds MaxDelay) {
  std::chrono::duration<double> Interval(1.0 / PerSecond);
  TimePoint NextFree =
      std::max(Next_, Now) +
      std::chrono::duration_cast<TimePoint::duration>(Interval);
  if (NextFree > Now + MaxDelay)
    return std::nullopt;
  Next_ = NextFree;
  return std::chrono::duration_cast<milliseconds>(Next_ - Now);
}

/// \returns the retry delay of a refused request. Callers that are refused in a
/// burst get consecutive retry times, at the rate of slots for them and after
/// what already waits. With the same time for all, they would retry together
/// and be refused again.
///
/// No caller gets a time beyond what it can wait for: in a long burst the times
/// would otherwise grow to minutes and stay there after its end. When no such
/// time is left, the delay is random within that limit, since no time in it is
/// better than another.
milliseconds Scheduler::returnAfter(const GrantRequest &Request,
                                    TimePoint Now) {
  TierIndex Tier = Request.Tier_;
  double SlotRate = slotRate(Tier, /*ObjectiveMissed=*/false, Now);
  if (SlotRate == 0 || !Options_.ScheduleRetries_)
    return retryAfter(Tier);
  auto TimeLeft =
      std::chrono::duration_cast<milliseconds>(Request.Deadline_ - Now);
  milliseconds MaxDelay =
      std::max(milliseconds(1), TimeLeft / RetryTimeDivisor);
  auto RetryDelay = Tiers_[queueIndex(Tier)].RetrySchedule_.next(
      Now, RetryFraction * SlotRate, MaxDelay);
  if (!RetryDelay)
    return milliseconds(Random_(static_cast<std::uint32_t>(MaxDelay.count())));
  milliseconds Wait = waitBehind(Tier, Tiers_[queueIndex(Tier)].Count_,
                                 SlotRate, guaranteedRate(Tier, Now));
  return std::clamp(Wait, *RetryDelay, MaxDelay);
}

void Scheduler::recordSlotTime(const ServedSample &Sample) {
  constexpr std::int64_t SmoothingDivisor = 50;
  nanoseconds SlotTime = Sample.Duration_;
  MeanSlotTime_ += MeanSlotTime_.count() == 0
                       ? SlotTime
                       : (SlotTime - MeanSlotTime_) / SmoothingDivisor;
}

/// \returns how long the request would occupy a slot of an average engine; 0
/// while unknown.
nanoseconds Scheduler::averageService(const GrantRequest &Request) const {
  nanoseconds Sum{0};
  std::int64_t Known = 0;
  for (const auto &[Name, Server] : Servers_) {
    nanoseconds Service = expectedService(Request, Server);
    Sum += Service;
    Known += Service.count() > 0;
  }
  return Known == 0 ? nanoseconds(0) : Sum / Known;
}

/// Computes the request's position in the queue. Requests of a customer are
/// ordered by the time at which their answers are wanted. When answer lengths
/// differ a hundredfold, the longest fifth occupies most of the slots for a
/// fifth of the callers, so under load long answers are deferred.
Scheduler::QueueRank Scheduler::rankOf(const GrantRequest &Request,
                                       TimePoint Now) {
  QueueRank Rank;
  if (Request.Objective_ == TimePoint()) {
    Rank.Urgency_ = Request.Deadline_;
    return Rank;
  }
  // Streams that go on are served before new requests, whatever their
  // objective.
  Rank.ObjectiveMissed_ =
      !Request.goesOn() && Request.Objective_ < Now + MinFirstEventDelay;
  Rank.Service_ = averageService(Request);
  Rank.Length_ = lengthClassOf(Rank.Service_);
  Rank.Deferred_ =
      !Request.goesOn() && mayDefer(Request.Tier_, Rank.Length_, Now);
  Rank.Urgency_ = Request.Objective_;
  if (Rank.Deferred_)
    Rank.Urgency_ +=
        std::chrono::duration_cast<TimePoint::duration>(Rank.Service_);
  return Rank;
}

Scheduler::LengthClass Scheduler::lengthClassOf(nanoseconds Service) const {
  if (MeanSlotTime_.count() == 0 || Service <= MeanSlotTime_)
    return UsualLengthClass;
  auto Means = static_cast<std::uint64_t>(Service / MeanSlotTime_);
  return std::min<LengthClass>(std::bit_width(Means), LengthClassCount - 1);
}

/// \returns the share of all answer lengths of a tier together, with the same
/// decay time as the share of each length.
Scheduler::DecayingShare Scheduler::combinedShare(TierQueue &Tier,
                                                  TimePoint Now) {
  DecayingShare All{.DecayTime_ = LengthDecayTime};
  for (DecayingShare &OfLength : Tier.ShareByLength_) {
    OfLength.decay(Now);
    All.Arrived_ += OfLength.Arrived_;
    All.Granted_ += OfLength.Granted_;
  }
  return All;
}

/// \returns the minimum rate at which answers of a length are granted, as a
/// fraction of that of their whole tier. It rises slightly with each length
/// class. Callers' estimates are off by half, so the answers that really are
/// the longest are spread over two classes and served less often than either. A
/// much higher rate would cost too many short answers, many of which can be
/// served in the time of a single long one.
double Scheduler::minGrantedFraction(LengthClass Length) {
  constexpr double BaseFraction = 0.55;
  constexpr double FractionPerClass = 0.02;
  return BaseFraction + FractionPerClass * static_cast<double>(Length);
}

/// \returns whether an answer may be deferred because of its length. Longer
/// answers are deferred only while their own length class is served often
/// enough. If all of them were counted together, the shorter ones would be
/// served and, of the longest tenth, only one in five. The symptom is refusals
/// (211) of requests with long estimates in a tier of which most requests are
/// answered. With a count for each class, no class makes up for another; the
/// slots come from the same tier, never from a higher one.
bool Scheduler::mayDefer(TierIndex Tier, LengthClass Length, TimePoint Now) {
  if (Length == UsualLengthClass || !Options_.DeferLongAnswers_)
    return false;
  TierQueue &Own = Tiers_[queueIndex(Tier)];
  double GrantedOfAll = combinedShare(Own, Now).grantedFraction();
  return Own.ShareByLength_[Length].grantedFraction() >=
         minGrantedFraction(Length) * GrantedOfAll;
}

/// \returns whether to refuse a request immediately that would otherwise be
/// refused after a long wait. A request whose long answer is deferred is
/// refused after a shorter predicted wait.
bool Scheduler::wouldWaitTooLong(const GrantRequest &Request,
                                 const QueueRank &Rank, TimePoint Now) {
  if (!Options_.RefuseLongWaits_ || Request.MaxWait_.count() == 0)
    return false;
  constexpr double MinFraction = 0.1;
  double Fraction = 1;
  if (Rank.Deferred_)
    Fraction =
        std::max(MinFraction, static_cast<double>(MeanSlotTime_.count()) /
                                  static_cast<double>(Rank.Service_.count()));
  std::chrono::duration<double, std::milli> MaxWait = Request.MaxWait_;
  return predictedWait(Request.Tier_, Rank.ObjectiveMissed_, Now) >
         MaxWait * Fraction;
}

/// Excludes engines that fail their requests, unless that would leave too few:
/// the others would be overloaded.
void Scheduler::applyHealth(TimePoint Now) {
  auto IsExcluded = [&](const auto &Item) {
    return !Item.second.capacity().HeldBack_ &&
           Item.second.health().leftOut(Now);
  };
  auto IsHeldBack = [](const auto &Item) {
    return Item.second.capacity().HeldBack_;
  };
  auto ExcludedCount = std::ranges::count_if(Servers_, IsExcluded);
  auto HeldBackCount = std::ranges::count_if(Servers_, IsHeldBack);
  bool TooMany = 2 * ExcludedCount > std::ssize(Servers_) - HeldBackCount;
  for (auto &[Name, Server] : Servers_) {
    Server.advance(Now);
    Server.setLeftOut(!TooMany && Server.health().leftOut(Now),
                      !TooMany && Server.health().onTrial());
  }
}

double Scheduler::poolFailureRate() const {
  double Sum = 0;
  int Count = 0;
  for (const auto &[Name, Server] : Servers_) {
    if (Server.capacity().HeldBack_)
      continue;
    Sum += Server.health().failureRate();
    ++Count;
  }
  return Count == 0 ? 0 : Sum / Count;
}

void Scheduler::recordOutcome(ServerModel &Server, const ServedSample &Sample,
                              TimePoint Now) {
  if (Sample.Complete_)
    Server.confirmPresent();
  if (Sample.Replaced_)
    Server.markReplaced(Now);
  else if (Sample.Complete_)
    Server.health().succeeded();
  else if (Sample.Faulty_ && !Sample.Reached_)
    Server.health().unreachable(Now);
  else if (Sample.Faulty_)
    Server.health().failed(Now, poolFailureRate());
}

} // namespace samphireshunt
