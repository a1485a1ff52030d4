/// \file
/// How long a request would wait, and which tier is served below its
/// guaranteed share.
///
/// Load pattern: a burst of the lowest tier, whose long streams hold most
/// slots. It must not keep higher tiers waiting, its requests are answered
/// while they are worth most rather than all of them late, and it is never
/// shut out altogether.

#include "Process/Scheduling/Scheduler.h"

#include <algorithm>
#include <bit>
#include <span>

namespace samphireshunt {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

/// Fewer arrivals than this say nothing of a share.
constexpr double LeastArrivals = 8;
/// A tier may count on at least this part of the rate, whatever goes first.
constexpr double LeastPartOfRate = 0.2;
/// Of the places for a tier, what is promised to callers that come back.
constexpr double PartForReturns = 0.5;
/// Callers wait for a third of the time that they have left, at the most.
constexpr int ReturnPart = 3;
/// A rate taken from fewer ends than this within the window is a guess.
constexpr double LeastEnds = 5;

} // namespace

void Scheduler::FadingShare::decay(TimePoint Now) {
  std::chrono::duration<double> Since = Now - Decayed_;
  double Kept = std::max(0.0, 1.0 - Since.count() / Memory_.count());
  Decayed_ = Now;
  Arrived_ *= Kept;
  Granted_ *= Kept;
}

double Scheduler::FadingShare::part() const {
  return Arrived_ < LeastArrivals ? 1.0 : Granted_ / Arrived_;
}

bool Scheduler::isStarving(TierQueue &Tier, TimePoint Now) {
  if (Options_.GuaranteedShare_ <= 0 || Tier.Count_ == 0)
    return false;
  Tier.Share_.decay(Now);
  return Tier.Share_.part() < Options_.GuaranteedShare_ * servedPart(Now);
}

/// The part of all tiers' arrivals that was granted.
double Scheduler::servedPart(TimePoint Now) {
  FadingShare All;
  for (TierQueue &Tier : Tiers_) {
    Tier.Share_.decay(Now);
    All.Arrived_ += Tier.Share_.Arrived_;
    All.Granted_ += Tier.Share_.Granted_;
  }
  return std::min(1.0, All.part());
}

/// Places that get free each second and that higher tiers will not take up
/// again; 0 while too little is known.
double Scheduler::freeRate(TierIndex Tier, TimePoint Now) {
  double Ends = Ends_.sum(Now);
  if (Ends < LeastEnds)
    return 0;
  // What is refused takes no place; in a burst it is most of what comes.
  double HigherAdmitted = 0;
  for (TierQueue &Higher : std::span(Tiers_).first(queueIndex(Tier)))
    HigherAdmitted += Higher.RecentAdmitted_.sum(Now);
  return std::max(Ends - HigherAdmitted, LeastPartOfRate * Ends);
}

/// What waits before a request of \p Tier, by the rate of places for it; or, if
/// that is sooner, what waits in its own tier by the rate that the tier is
/// guaranteed. What is late already goes after what is not: counted with the
/// others, callers that came back too late would turn away those that could
/// still be served in time, who then come back too late in their turn.
milliseconds Scheduler::predictedWait(TierIndex Tier, bool Late,
                                      TimePoint Now) {
  std::size_t Own = queueIndex(Tier);
  std::size_t OwnBefore = Tiers_[Own].Count_;
  if (!Late && Options_.CountLateApart_)
    OwnBefore -= Tiers_[Own].LateCount_;
  auto Before = static_cast<double>(OwnBefore);
  for (const TierQueue &Queue : std::span(Tiers_).first(Own))
    Before += static_cast<double>(Queue.Count_);
  double Free = freeRate(Tier, Now);
  if (Before == 0 || Free == 0)
    return milliseconds(0);
  double Seconds = Before / Free;
  double Guaranteed = Options_.GuaranteedShare_ * servedPart(Now) *
                      Tiers_[Own].RecentArrivals_.sum(Now);
  if (Guaranteed > 0)
    Seconds = std::min(Seconds, static_cast<double>(OwnBefore) / Guaranteed);
  std::chrono::duration<double> Wait(Seconds);
  return std::chrono::duration_cast<milliseconds>(Wait);
}

std::optional<milliseconds>
Scheduler::ReturnSchedule::next(TimePoint Now, double PerSecond,
                                milliseconds Longest) {
  std::chrono::duration<double> Each(1.0 / PerSecond);
  TimePoint Free = std::max(Next_, Now) +
                   std::chrono::duration_cast<TimePoint::duration>(Each);
  if (Free > Now + Longest)
    return std::nullopt;
  Next_ = Free;
  return std::chrono::duration_cast<milliseconds>(Next_ - Now);
}

/// Callers that are refused in a burst are told moments one after the other,
/// at the rate of places for them, and after what waits already. Told the same
/// moment, they would come back together and be refused again. Nobody is told a
/// moment that he has no time for: in a long burst the moments would run away,
/// to minutes, and stay there when it is over. For whom no moment is left, the
/// time that he has is as good at one moment as at another.
milliseconds Scheduler::returnAfter(const AskedRequest &Request,
                                    TimePoint Now) {
  TierIndex Tier = Request.Tier_;
  double Free = freeRate(Tier, Now);
  if (Free == 0 || !Options_.ScheduleReturns_)
    return retryAfter(Tier);
  auto Left = std::chrono::duration_cast<milliseconds>(Request.Deadline_ - Now);
  milliseconds Longest = std::max(milliseconds(1), Left / ReturnPart);
  auto Returns = Tiers_[queueIndex(Tier)].Returns_.next(
      Now, PartForReturns * Free, Longest);
  if (!Returns)
    return milliseconds(Random_(static_cast<std::uint32_t>(Longest.count())));
  return std::clamp(predictedWait(Tier, true, Now), *Returns, Longest);
}

void Scheduler::noteHold(const ServedSample &Seen) {
  constexpr std::int64_t NewestPart = 50;
  nanoseconds Held = Seen.Duration_;
  MeanHold_ += MeanHold_.count() == 0 ? Held : (Held - MeanHold_) / NewestPart;
}

/// How long the request would hold a place of an engine of middling speed; 0
/// while nothing is known.
nanoseconds Scheduler::typicalService(const AskedRequest &Request) const {
  nanoseconds Sum{0};
  std::int64_t Known = 0;
  for (const auto &[Name, Server] : Servers_) {
    nanoseconds Service = expectedService(Request, Server);
    Sum += Service;
    Known += Service.count() > 0;
  }
  return Known == 0 ? nanoseconds(0) : Sum / Known;
}

/// Requests of a customer are served by the moment at which an answer is
/// wanted. Of answers whose lengths differ a hundredfold, the longest fifth
/// takes most of the places, for a fifth of the callers: under load they go
/// behind.
Scheduler::Standing Scheduler::standingOf(const AskedRequest &Request,
                                          TimePoint Now) {
  Standing Place;
  if (Request.Objective_ == TimePoint()) {
    Place.Urgency_ = Request.Deadline_;
    return Place;
  }
  Place.Late_ = Request.Objective_ < Now + LeastFirstEvent;
  Place.Service_ = typicalService(Request);
  Place.Length_ = lengthOf(Place.Service_);
  Place.PutBack_ = mayPutBack(Request.Tier_, Place.Length_, Now);
  Place.Urgency_ = Request.Objective_;
  if (Place.PutBack_)
    Place.Urgency_ +=
        std::chrono::duration_cast<TimePoint::duration>(Place.Service_);
  return Place;
}

Scheduler::AnswerLength Scheduler::lengthOf(nanoseconds Service) const {
  if (MeanHold_.count() == 0 || Service <= MeanHold_)
    return UsualLength;
  auto Means = static_cast<std::uint64_t>(Service / MeanHold_);
  return std::min<AnswerLength>(std::bit_width(Means), AnswerLengths - 1);
}

/// All lengths of a tier's answers together, as long remembered as each.
Scheduler::FadingShare Scheduler::shareOfAll(TierQueue &Tier, TimePoint Now) {
  FadingShare All{.Memory_ = LengthMemory};
  for (FadingShare &Each : Tier.ShareByLength_) {
    Each.decay(Now);
    All.Arrived_ += Each.Arrived_;
    All.Granted_ += Each.Granted_;
  }
  return All;
}

/// How often answers of a length are served at least, as a part of how often
/// all of their tier are. A little more with each length: guesses are off by a
/// half, so those that truly are the longest are spread over two lengths and
/// served less often than either. Much more for them would cost too many of the
/// short ones, of which many are served in the place of a single long one.
double Scheduler::leastPart(AnswerLength Length) {
  constexpr double OfAnyLength = 0.55;
  constexpr double OfEachFurther = 0.02;
  return OfAnyLength + OfEachFurther * static_cast<double>(Length);
}

/// Answers longer than usual go behind others only while their own length is
/// served often enough. Counted together, those that were served were the
/// shorter ones of them, and of the longest tenth one in five: one notices by
/// refusals (211) of long guesses in a tier of which most are answered. With a
/// count for each length none makes up for another; the places come from the
/// same tier, never from a higher one.
bool Scheduler::mayPutBack(TierIndex Tier, AnswerLength Length, TimePoint Now) {
  if (Length == UsualLength || !Options_.PutLongBack_)
    return false;
  TierQueue &Own = Tiers_[queueIndex(Tier)];
  double PartOfAll = shareOfAll(Own, Now).part();
  return Own.ShareByLength_[Length].part() >= leastPart(Length) * PartOfAll;
}

/// A request that would be refused after a long wait is refused at once; and a
/// long one already after a short wait.
bool Scheduler::wouldWaitTooLong(const AskedRequest &Request,
                                 const Standing &Place, TimePoint Now) {
  if (!Options_.RefuseLongWaits_ || Request.MaxWait_.count() == 0)
    return false;
  constexpr double LeastPart = 0.1;
  double Part = 1;
  if (Place.PutBack_)
    Part = std::max(LeastPart, static_cast<double>(MeanHold_.count()) /
                                   static_cast<double>(Place.Service_.count()));
  std::chrono::duration<double, std::milli> Longest = Request.MaxWait_;
  return predictedWait(Request.Tier_, Place.Late_, Now) > Longest * Part;
}

/// Leaves out engines that fail what they get, unless that would leave too few:
/// the others would drown in what they can't take.
void Scheduler::judgeServers(TimePoint Now) {
  auto Judged = [&](const auto &Item) {
    return Item.second.health().leftOut(Now);
  };
  auto LeftOut =
      static_cast<std::size_t>(std::ranges::count_if(Servers_, Judged));
  bool TooMany = 2 * LeftOut > Servers_.size();
  for (auto &[Name, Server] : Servers_)
    Server.setLeftOut(!TooMany && Server.health().leftOut(Now),
                      !TooMany && Server.health().onTrial());
}

double Scheduler::poolFailureRate() const {
  double Sum = 0;
  for (const auto &[Name, Server] : Servers_)
    Sum += Server.health().failureRate();
  return Servers_.empty() ? 0 : Sum / static_cast<double>(Servers_.size());
}

void Scheduler::judge(ServerModel &Server, const ServedSample &Seen,
                      TimePoint Now) {
  if (Seen.Replaced_)
    Server.markReplaced();
  else if (Seen.Complete_)
    Server.health().succeeded();
  else if (Seen.Faulty_ && !Seen.Reached_)
    Server.health().unreachable(Now);
  else if (Seen.Faulty_)
    Server.health().failed(Now, poolFailureRate());
}

} // namespace samphireshunt
