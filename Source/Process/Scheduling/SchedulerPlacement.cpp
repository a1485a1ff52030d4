/// \file
/// Which engine a waiting request should go to, and whether it can finish there
/// in time.

#include "Process/Scheduling/Scheduler.h"

#include <algorithm>

namespace samphireshunt {

namespace {

using std::chrono::nanoseconds;

/// An engine counts as quick when it takes less than 3/2 of the time between
/// tokens that the quickest one takes.
constexpr int QuickFactor = 3;
constexpr int QuickDivisor = 2;

/// What is late in any case takes no quick engine, unless the others would
/// take longer than this.
constexpr std::chrono::milliseconds LateBudget{1000};

/// A prompt that breaks the allowed pause on every engine may take this many
/// times the least that it does anywhere.
constexpr int UnavoidableFactor = 2;

/// Expected times are averages, and half of the requests take longer: a
/// request is started only when a fifth of its expected time is left over.
nanoseconds withMargin(nanoseconds Expected) { return Expected + Expected / 5; }

} // namespace

std::span<const std::uint64_t>
Scheduler::prefixOf(const AskedRequest &Request) const {
  if (!Options_.UsePrefixes_)
    return {};
  return Request.Prefix_;
}

Tokens Scheduler::expectedAnswer(const AskedRequest &Request) const {
  if (Request.Guessed_.count() > 0)
    return std::min(Request.Guessed_, std::max(Request.Answer_, Tokens(1)));
  auto Share = AnswerShare_.find(Request.Customer_);
  if (Share == AnswerShare_.end())
    return Tokens(0);
  double Count = static_cast<double>(Request.Answer_.count()) * Share->second;
  return Tokens(static_cast<std::int64_t>(Count));
}

nanoseconds Scheduler::expectedService(const AskedRequest &Request,
                                       const ServerModel &Server) const {
  if (Server.betweenTokens().count() == 0)
    return nanoseconds(0);
  return Server.expectedFirstToken(Request.Prompt_, prefixOf(Request)) +
         Server.betweenTokens() * expectedAnswer(Request).count();
}

/// A request that an engine can't finish by its deadline would cost its
/// prefill for nothing there; another engine may be faster.
bool Scheduler::finishesInTime(const AskedRequest &Request,
                               const ServerModel &Server, TimePoint Now) const {
  auto Service = expectedService(Request, Server);
  if (!Options_.RefuseInfeasible_ || Service.count() == 0)
    return true;
  return Now + withMargin(Service) <= Request.Deadline_;
}

/// True when not even an idle engine could finish the request in time.
bool Scheduler::isDoomed(const AskedRequest &Request, TimePoint Now) const {
  auto Service = bestServiceTime(Request);
  return Options_.RefuseInfeasible_ && Service.count() > 0 &&
         Now + Service > Request.Deadline_;
}

ServerModel *Scheduler::choose(const AskedRequest &Request, TimePoint Now) {
  if (Options_.TwoChoices_)
    return chooseOfTwo();
  if (Request.Objective_ != TimePoint())
    return justQuickEnough(Request, Now);
  if (auto Wanted = prefixPlace(Request, Now))
    return quickest(Request, Now, *Wanted);
  return quickest(Request, Now, PrefixPlace::Elsewhere);
}

/// Whether the engine can take the request now.
bool Scheduler::canTake(const AskedRequest &Request, const ServerModel &Server,
                        TimePoint Now) const {
  bool Excluded =
      std::ranges::count(Request.Excluded_, Server.capacity().Name_) > 0;
  return !Excluded && Server.hasRoom(Share_) &&
         finishesInTime(Request, Server, Now);
}

/// The longest prompt that keeps the pause on an idle engine.
Tokens Scheduler::longestKeeping(std::chrono::milliseconds Pause) const {
  if (!Options_.KeepPauses_ || Pause.count() == 0)
    return Round::Any;
  Tokens Longest{0};
  for (const auto &[Name, Server] : Servers_)
    if (Server.usable())
      Longest =
          std::max(Longest, Server.readable(Pause - Server.betweenTokens() *
                                                        TokensPerEvent_));
  return Longest;
}

/// Whether the last looks in this round tell that no engine has room. Without
/// it a queue of which nothing can be placed costs the keeper a look at each
/// engine for each waiting request, at each message: its answers then come
/// after its callers have left, and those who come back keep it so, long after
/// the burst. One whose beginning is cached may need less room than a shorter
/// prompt; it waits for the next round then.
bool Scheduler::hasNoRoomAnywhere(const AskedRequest &Request) {
  if (Round_.Pause_ != Request.MaxPause_) {
    Round_ = Round();
    Round_.Pause_ = Request.MaxPause_;
    Round_.LongestKeeping_ = longestKeeping(Request.MaxPause_);
  }
  return Request.Prompt_ >= Round_.Unplaceable_ &&
         Request.Prompt_ <= Round_.LongestKeeping_;
}

/// The longest pause between events that the prompt may cause: what answers in
/// time may have; or, for a prompt so long that it breaks that everywhere, a
/// little more than on the engine where it does least harm.
nanoseconds Scheduler::longestPause(const AskedRequest &Request) const {
  if (!Options_.KeepPauses_ || Request.MaxPause_.count() == 0)
    return nanoseconds::max();
  if (Request.Prompt_ <= Round_.LongestKeeping_)
    return Request.MaxPause_;
  nanoseconds Least = nanoseconds::max();
  for (const auto &[Name, Server] : Servers_)
    if (Server.usable())
      Least = std::min(Least, Server.betweenTokens() * TokensPerEvent_ +
                                  Server.reading(Request.Prompt_));
  if (Least == nanoseconds::max())
    return Request.MaxPause_;
  return Least * UnavoidableFactor;
}

/// Whether no pause between events at the engine gets longer than \p Longest.
///
/// An engine reads a prompt in chunks between the tokens of all that stream
/// there: all of it, and what else it has not read, falls into the pause before
/// one event. An engine that is quick enough for the first event of a long
/// prompt may still break the pauses of its neighbours, and they pay: of
/// answers whose caller accepts 250 ms, one in ten had a longer pause on the
/// slow engines of a calm day.
bool Scheduler::keepsPauses(const AskedRequest &Request,
                            const ServerModel &Server,
                            nanoseconds Longest) const {
  if (Longest == nanoseconds::max() || Server.inFlight() == 0)
    return true;
  nanoseconds Event = Server.betweenTokens() * TokensPerEvent_;
  return Event + Server.readingWith(Request.Prompt_, prefixOf(Request)) <=
         Longest;
}

/// Of the engines on which the first event would come well within the
/// objective, one that is not among the quick ones, if there is any: those are
/// kept for long prompts, which only they read in time. Of several the one
/// that is expected to answer first.
ServerModel *Scheduler::justQuickEnough(const AskedRequest &Request,
                                        TimePoint Now) {
  if (hasNoRoomAnywhere(Request))
    return nullptr;
  EngineLooks_ += Servers_.size();
  auto Prefix = prefixOf(Request);
  nanoseconds Quickest = quickestBetweenTokens();
  nanoseconds Budget = LateBudget;
  if (Request.Objective_ > Now + LeastFirstEvent)
    Budget = std::chrono::duration_cast<nanoseconds>(
        (Request.Objective_ - Now) * Options_.ObjectivePart_);
  bool AnyRoom = false;
  nanoseconds Pause = longestPause(Request);
  ServerModel *Best = nullptr;
  auto BestScore = std::tuple(true, true, nanoseconds::max(), 0U);
  for (auto &[Name, Server] : Servers_) {
    if (!Server.hasRoom(Share_) || !keepsPauses(Request, Server, Pause))
      continue;
    AnyRoom = true;
    if (!canTake(Request, Server, Now))
      continue;
    auto First = Server.expectedFirstToken(Request.Prompt_, Prefix);
    bool Late = First > Budget;
    bool Quick = Options_.KeepQuick_ &&
                 Server.betweenTokens() * QuickDivisor < Quickest * QuickFactor;
    auto Score = std::tuple(Late, !Late && Quick, First, Server.inFlight());
    if (Best && Score >= BestScore)
      continue;
    Best = &Server;
    BestScore = Score;
  }
  if (!AnyRoom)
    Round_.Unplaceable_ = std::min(Round_.Unplaceable_, Request.Prompt_);
  return Best;
}

nanoseconds Scheduler::quickestBetweenTokens() const {
  nanoseconds Quickest{0};
  for (const auto &[Name, Server] : Servers_) {
    nanoseconds Between = Server.betweenTokens();
    if (Server.usable() && Between.count() > 0 &&
        (Quickest.count() == 0 || Between < Quickest))
      Quickest = Between;
  }
  return Quickest;
}

/// Where a long prompt should go, when not just anywhere. Its work done anew on
/// another engine would cost that engine its time, and a full cache the blocks
/// of another prompt, which then are worked on anew in turn. So while there is
/// time, the request waits for an engine that has its beginning, or is about
/// to.
std::optional<PrefixPlace> Scheduler::prefixPlace(const AskedRequest &Request,
                                                  TimePoint Now) const {
  // With an objective there is no time to spare: a long prompt's own engine
  // is preferred by its time alone.
  if (Request.Objective_ != TimePoint())
    return std::nullopt;
  auto Prefix = prefixOf(Request);
  auto Best = PrefixPlace::Elsewhere;
  bool HasTime = false;
  for (const auto &[Name, Server] : Servers_) {
    auto Place =
        Server.usable() ? Server.placeOf(Prefix) : PrefixPlace::Elsewhere;
    if (Place == PrefixPlace::Elsewhere || Place < Best)
      continue;
    Best = Place;
    auto Service = withMargin(expectedService(Request, Server));
    HasTime |= Now + Service + Options_.PreemptMargin_ < Request.Deadline_;
  }
  return HasTime ? std::optional(Best) : std::nullopt;
}

/// The engine with room that is expected to answer first, of those that have
/// the prompt's beginning cached when \p Wanted says so. One that is only in
/// progress is waited for.
ServerModel *Scheduler::quickest(const AskedRequest &Request, TimePoint Now,
                                 PrefixPlace Wanted) {
  ServerModel *Best = nullptr;
  auto BestScore = std::tuple(nanoseconds::max(), 0U);
  auto Prefix = prefixOf(Request);
  if (Wanted == PrefixPlace::InProgress)
    return nullptr;
  for (auto &[Name, Server] : Servers_) {
    if (!canTake(Request, Server, Now))
      continue;
    if (Wanted == PrefixPlace::Cached && Server.placeOf(Prefix) != Wanted)
      continue;
    auto Time = Server.expectedFirstToken(Request.Prompt_, Prefix) +
                Server.evictionCost(Request.Prompt_, Prefix);
    if (Options_.UseSpeeds_)
      Time += Server.betweenTokens() * expectedAnswer(Request).count();
    auto Score = std::tuple(Time, Server.inFlight());
    if (Best && Score >= BestScore)
      continue;
    Best = &Server;
    BestScore = Score;
  }
  return Best;
}

ServerModel *Scheduler::chooseOfTwo() {
  std::vector<ServerModel *> Usable;
  for (auto &[Name, Server] : Servers_)
    if (Server.usable())
      Usable.push_back(&Server);
  if (Usable.empty())
    return nullptr;
  auto Count = static_cast<std::uint32_t>(Usable.size());
  ServerModel *First = Usable[Random_(Count)];
  ServerModel *Second = Usable[Random_(Count)];
  return First->reportedLoad() <= Second->reportedLoad() ? First : Second;
}

nanoseconds Scheduler::bestServiceTime(const AskedRequest &Request) const {
  nanoseconds Best = nanoseconds::max();
  for (const auto &[Name, Server] : Servers_)
    if (Server.usable())
      Best = std::min(Best, Server.idleService(Request.Prompt_,
                                               expectedAnswer(Request),
                                               prefixOf(Request)));
  return Best == nanoseconds::max() ? nanoseconds(0) : withMargin(Best);
}

/// The first request that an engine with room can take, of those that could
/// still be answered in time or, without \p InTime, of all.
std::optional<Scheduler::Placement>
Scheduler::firstOf(const CustomerQueue &Queue, bool InTime, TimePoint Now) {
  // A few are looked at one by one: the first may wait for its own engine
  // while others could be served.
  constexpr int LookedAt = 8;
  int Seen = 0;
  for (const DeadlineKey &Key : Queue.Requests_) {
    RequestId Id = std::get<RequestId>(Key);
    const AskedRequest &Asked = Waiting_.at(Id).Asked_;
    if (InTime && Asked.Objective_ < Now + LeastFirstEvent)
      continue;
    if (ServerModel *Server = choose(Asked, Now))
      return Placement{Id, Server};
    if (!Options_.UsePrefixes_ || ++Seen == LookedAt)
      break;
  }
  return std::nullopt;
}

/// The first request of the queue that an engine with room can finish in time.
/// The one with the earliest deadline may only be for a fast engine; without a
/// look further, slow engines would stand idle while it waits.
std::optional<Scheduler::Placement>
Scheduler::firstPlaceable(const CustomerQueue &Queue, TimePoint Now) {
  if (auto First = firstOf(Queue, false, Now))
    return First;
  RequestId Head = std::get<RequestId>(*Queue.Requests_.begin());
  const AskedRequest &Asked = Waiting_.at(Head).Asked_;
  if (!Options_.RefuseInfeasible_)
    return std::nullopt;
  nanoseconds Soonest = nanoseconds::max();
  for (const auto &[Name, Server] : Servers_)
    if (Server.hasRoom(Share_))
      Soonest = std::min(Soonest, expectedService(Asked, Server));
  if (Soonest == nanoseconds::max())
    return std::nullopt;
  DeadlineKey Least{Now + withMargin(Soonest), 0, RequestId()};
  auto Later = Queue.Requests_.lower_bound(Least);
  if (Later == Queue.Requests_.end())
    return std::nullopt;
  RequestId Id = std::get<RequestId>(*Later);
  ServerModel *Server = choose(Waiting_.at(Id).Asked_, Now);
  return Server ? std::optional(Placement{Id, Server}) : std::nullopt;
}

} // namespace samphireshunt
