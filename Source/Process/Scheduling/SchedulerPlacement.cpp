/// \file
/// Selects the engine for a waiting request, and decides whether the request
/// can finish there in time.

#include "Process/Scheduling/Scheduler.h"

#include <algorithm>

namespace samphireshunt {

namespace {

using std::chrono::nanoseconds;

/// An engine counts as fast if its time between tokens is less than 3/2 of that
/// of the fastest engine.
constexpr int FastFactor = 3;
constexpr int FastDivisor = 2;

/// Requests that miss their objective in any case use no fast engine, unless
/// the other engines would take longer than this.
constexpr std::chrono::milliseconds OverdueBudget{1000};

/// A prompt that exceeds the allowed pause on every engine may cause a pause of
/// up to this many times the smallest one that it causes on any engine.
constexpr int UnavoidableFactor = 2;

/// Adds a margin to an expected time. Expected times are averages, and half of
/// the requests take longer: a request is started only if a fifth of its
/// expected time is left over.
nanoseconds withMargin(nanoseconds Expected) { return Expected + Expected / 5; }

} // namespace

std::span<const std::uint64_t>
Scheduler::prefixOf(const GrantRequest &Request) const {
  if (!Options_.UsePrefixes_)
    return {};
  return Request.Prefix_;
}

Tokens Scheduler::expectedAnswer(const GrantRequest &Request) const {
  if (Request.EstimatedAnswer_.count() > 0)
    return std::min(Request.EstimatedAnswer_,
                    std::max(Request.Answer_, Tokens(1)));
  auto Share = AnswerShare_.find(Request.Customer_);
  if (Share == AnswerShare_.end())
    return Tokens(0);
  double Count = static_cast<double>(Request.Answer_.count()) * Share->second;
  return Tokens(static_cast<std::int64_t>(Count));
}

nanoseconds Scheduler::expectedService(const GrantRequest &Request,
                                       const ServerModel &Server) const {
  if (Server.timeBetweenTokens().count() == 0)
    return nanoseconds(0);
  return Server.expectedFirstToken(Request.Prompt_, prefixOf(Request)) +
         Server.timeBetweenTokens() * expectedAnswer(Request).count();
}

/// \returns whether the engine can finish the request by its deadline. If it
/// can't, the prefill there would be wasted; another engine may be faster.
bool Scheduler::finishesInTime(const GrantRequest &Request,
                               const ServerModel &Server, TimePoint Now) const {
  auto Service = expectedService(Request, Server);
  if (!Options_.RefuseInfeasible_ || Service.count() == 0)
    return true;
  return Now + withMargin(Service) <= Request.Deadline_;
}

/// True if not even an idle engine could finish the request in time.
bool Scheduler::isInfeasible(const GrantRequest &Request, TimePoint Now) const {
  auto Service = bestServiceTime(Request);
  return Options_.RefuseInfeasible_ && Service.count() > 0 &&
         Now + Service > Request.Deadline_;
}

ServerModel *Scheduler::chooseEngine(const GrantRequest &Request,
                                     TimePoint Now) {
  if (Options_.TwoChoices_)
    return chooseOfTwo();
  if (Request.Objective_ != TimePoint())
    return chooseForObjective(Request, Now);
  if (auto Wanted = preferredPrefixState(Request, Now))
    return chooseFastest(Request, Now, *Wanted);
  return chooseFastest(Request, Now, PrefixState::NotCached);
}

bool Scheduler::hasRoom(const ServerModel &Server) const {
  bool Allowed = !Server.capacity().Canary_ || CanaryGrants_ > 0;
  return Allowed && Server.hasRoom(Share_);
}

/// True if only engines of versions that are held back have room. Many other
/// requests must not hold up those that began there.
bool Scheduler::onlyHeldHaveRoom() const {
  auto RoomAt = [this](bool Held) {
    return std::ranges::any_of(Servers_, [&](const auto &Item) {
      return Item.second.capacity().HeldBack_ == Held && hasRoom(Item.second);
    });
  };
  return RoomAt(true) && !RoomAt(false);
}

/// True if the engine can take the request now.
bool Scheduler::canTake(const GrantRequest &Request, const ServerModel &Server,
                        TimePoint Now) const {
  bool Rests = Now < Server.restUntil(Request.Ingress_);
  const ServerName &Name = Server.capacity().Name_;
  return mayRunOn(Request, Server) && !Rests && hasRoom(Server) &&
         Suspension_.mayTake(Name, Request.Id_) &&
         finishesInTime(Request, Server, Now) &&
         standingAllows(Request, Server);
}

Suspicion Scheduler::worseOf(const Suspicion &Known, std::uint64_t Part) const {
  RequestFingerprint Key = partKey(Part);
  RequestStanding Standing = StandingOf_(Key);
  return Standing > Known.Standing_ ? Suspicion{Standing, Key} : Known;
}

Suspicion Scheduler::suspicionOf(const RunningRequest &Request) const {
  Suspicion Worst{StandingOf_(Request.Fingerprint_), Request.Fingerprint_};
  for (std::uint64_t Part : Request.Parts_)
    Worst = worseOf(Worst, Part);
  return Worst;
}

Suspicion Scheduler::suspicionOf(const GrantRequest &Request) const {
  Suspicion Worst{StandingOf_(Request.Fingerprint_), Request.Fingerprint_};
  // The last part belongs to the request alone.
  std::span<const PromptPart> Parts = Request.Parts_;
  if (!Parts.empty())
    Parts = Parts.first(Parts.size() - 1);
  for (const PromptPart &Part : Parts)
    Worst = worseOf(Worst, Part.Id_);
  return Worst;
}

namespace {

/// \returns whether the request is a copy of the cause, or has it as a part.
bool hasCause(const RunningRequest &Request, const RequestFingerprint &Cause) {
  if (!Cause.isPart())
    return Request.Fingerprint_ == Cause;
  return std::ranges::count(Request.Parts_, Cause.Low_) > 0;
}

} // namespace

bool Scheduler::isCopyRunning(const GrantRequest &Request) const {
  Suspicion Known = suspicionOf(Request);
  if (Known.Standing_ == RequestStanding::Unsuspected)
    return false;
  return std::ranges::any_of(Running_, [&](const auto &Item) {
    return hasCause(Item.second, Known.Cause_);
  });
}

/// \returns false for a suspected request while another one with the same cause
/// runs, and on a server that runs another suspected request. Otherwise one
/// more crash would end several servers, or would not show what causes it.
bool Scheduler::standingAllows(const GrantRequest &Request,
                               const ServerModel &Server) const {
  Suspicion Known = suspicionOf(Request);
  if (Known.Standing_ != RequestStanding::Suspected)
    return Known.Standing_ == RequestStanding::Unsuspected;
  return std::ranges::none_of(Running_, [&](const auto &Item) {
    const RunningRequest &Other = Item.second;
    if (hasCause(Other, Known.Cause_))
      return true;
    return Other.Server_ == Server.capacity().Name_ &&
           suspicionOf(Other).Standing_ != RequestStanding::Unsuspected;
  });
}

/// The longest prompt that stays within the pause on an idle engine.
Tokens Scheduler::maxPromptWithinPause(std::chrono::milliseconds Pause) const {
  if (!Options_.LimitPauses_ || Pause.count() == 0)
    return Round::Any;
  Tokens Longest{0};
  for (const auto &[Name, Server] : Servers_)
    if (Server.usable())
      Longest = std::max(
          Longest, Server.longestPromptWithin(
                       Pause - Server.timeBetweenTokens() * TokensPerEvent_));
  return Longest;
}

/// \returns whether earlier checks in this round show that no engine has room.
/// Without this check, a queue of which nothing can be granted costs the keeper
/// a check of every engine for each waiting request, at each message. Its
/// answers then come after its callers have left, and callers that retry keep
/// it in that state long after the burst. A prompt whose beginning is cached
/// may need less room than a shorter one; such a request then waits for the
/// next round.
bool Scheduler::hasNoRoomAnywhere(const GrantRequest &Request) {
  if (Round_.Pause_ != Request.MaxPause_) {
    Round_ = Round();
    Round_.Pause_ = Request.MaxPause_;
    Round_.MaxPromptWithinPause_ = maxPromptWithinPause(Request.MaxPause_);
  }
  return Request.Prompt_ >= Round_.MinUnplaceablePrompt_ &&
         Request.Prompt_ <= Round_.MaxPromptWithinPause_;
}

/// \returns the longest pause between events that the prompt may cause. This is
/// the pause with which answers still meet their objective or, for a prompt so
/// long that it exceeds that pause everywhere, a multiple of the smallest pause
/// that it causes on any engine.
nanoseconds Scheduler::allowedPause(const GrantRequest &Request) const {
  if (!Options_.LimitPauses_ || Request.MaxPause_.count() == 0)
    return nanoseconds::max();
  if (Request.Prompt_ <= Round_.MaxPromptWithinPause_)
    return Request.MaxPause_;
  nanoseconds MinPause = nanoseconds::max();
  for (const auto &[Name, Server] : Servers_)
    if (Server.usable())
      MinPause =
          std::min(MinPause, Server.timeBetweenTokens() * TokensPerEvent_ +
                                 Server.readingTime(Request.Prompt_));
  if (MinPause == nanoseconds::max())
    return Request.MaxPause_;
  return MinPause * UnavoidableFactor;
}

/// \returns whether no pause between events at the engine gets longer than \p
/// Longest.
///
/// An engine reads a prompt in chunks between the tokens of all requests that
/// stream there. The whole prompt, and all other unread prompts, therefore add
/// to the pause before one event. An engine that is fast enough for the first
/// event of a long prompt may still exceed the allowed pauses of the other
/// requests: without this check, one in ten answers whose caller accepts 250 ms
/// had a longer pause on slow engines, even under low load.
bool Scheduler::staysWithinPause(const GrantRequest &Request,
                                 const ServerModel &Server,
                                 nanoseconds Longest) const {
  if (Longest == nanoseconds::max() || Server.inFlight() == 0)
    return true;
  nanoseconds Event = Server.timeBetweenTokens() * TokensPerEvent_;
  return Event + Server.readingTimeWith(Request.Prompt_, prefixOf(Request)) <=
         Longest;
}

/// Selects among the engines on which the first event is expected well within
/// the objective. An engine that is not among the fast ones is preferred,
/// because those are reserved for long prompts that only they read in time. Of
/// several engines, the one that is expected to answer first is selected. An
/// idle canary goes first: if it only got what others have no room for, too
/// little would be learned of its version while load is low.
ServerModel *Scheduler::chooseForObjective(const GrantRequest &Request,
                                           TimePoint Now) {
  if (hasNoRoomAnywhere(Request))
    return nullptr;
  EngineChecks_ += Servers_.size();
  nanoseconds MinBetweenTokens = minTimeBetweenTokens();
  nanoseconds Budget = OverdueBudget;
  if (Request.Objective_ > Now + MinFirstEventDelay)
    Budget = std::chrono::duration_cast<nanoseconds>(
        (Request.Objective_ - Now) * Options_.FirstEventFraction_);
  bool AnyRoom = false;
  nanoseconds Pause = allowedPause(Request);
  ServerModel *Best = nullptr;
  auto BestScore = std::tuple(true, true, true, nanoseconds::max(), 0U);
  for (auto &[Name, Server] : Servers_) {
    if (!hasRoom(Server) || !staysWithinPause(Request, Server, Pause))
      continue;
    AnyRoom = true;
    if (!canTake(Request, Server, Now))
      continue;
    auto FirstToken = expectedFirstEvent(Request, Server, Now);
    bool ExceedsBudget = FirstToken > Budget;
    bool Fast = Options_.ReserveFastEngines_ &&
                Server.timeBetweenTokens() * FastDivisor <
                    MinBetweenTokens * FastFactor;
    bool IdleCanary = Server.capacity().Canary_ && Server.inFlight() == 0;
    auto Score = std::tuple(ExceedsBudget, !IdleCanary, !ExceedsBudget && Fast,
                            FirstToken, Server.inFlight());
    if (Best && Score >= BestScore)
      continue;
    Best = &Server;
    BestScore = Score;
  }
  if (!AnyRoom)
    Round_.MinUnplaceablePrompt_ =
        std::min(Round_.MinUnplaceablePrompt_, Request.Prompt_);
  return Best;
}

/// \returns the expected time until the first event, or until the answer of a
/// server that produces no tokens, with the work time at the server.
nanoseconds Scheduler::expectedFirstEvent(const GrantRequest &Request,
                                          const ServerModel &Server,
                                          TimePoint Now) const {
  nanoseconds Usual =
      Server.expectedFirstToken(Request.Prompt_, prefixOf(Request));
  if (WorkTimes_.readings() == 0)
    return Usual;
  if (Server.timeBetweenTokens().count() == 0)
    Usual += Server.usualDuration();
  return Server.workTime().expectedOver(Now, Usual, WorkTimes_).applyTo(Usual);
}

nanoseconds Scheduler::minTimeBetweenTokens() const {
  nanoseconds MinBetweenTokens{0};
  for (const auto &[Name, Server] : Servers_) {
    nanoseconds Between = Server.timeBetweenTokens();
    if (Server.usable() && Between.count() > 0 &&
        (MinBetweenTokens.count() == 0 || Between < MinBetweenTokens))
      MinBetweenTokens = Between;
  }
  return MinBetweenTokens;
}

/// \returns where a long prompt should go, or nothing if any engine will do.
/// Reading it again on another engine would cost that engine's time and, with a
/// full cache, evict blocks of another prompt, which would then have to be read
/// again in turn. While there is time, the request therefore waits for an
/// engine that has cached its beginning or is reading it.
std::optional<PrefixState>
Scheduler::preferredPrefixState(const GrantRequest &Request,
                                TimePoint Now) const {
  // A request with an objective has no time to spare: the engine that has its
  // prompt is preferred only through its expected time.
  if (Request.Objective_ != TimePoint())
    return std::nullopt;
  auto Prefix = prefixOf(Request);
  auto Best = PrefixState::NotCached;
  bool HasTime = false;
  for (const auto &[Name, Server] : Servers_) {
    auto State =
        Server.usable() ? Server.prefixState(Prefix) : PrefixState::NotCached;
    if (State == PrefixState::NotCached || State < Best)
      continue;
    Best = State;
    auto Service = withMargin(expectedService(Request, Server));
    HasTime |= Now + Service + Options_.PreemptMargin_ < Request.Deadline_;
  }
  return HasTime ? std::optional(Best) : std::nullopt;
}

/// Selects the engine with room that is expected to answer first. If \p Wanted
/// is PrefixState::Cached, only engines that have cached the prompt's beginning
/// are considered. If it is PrefixState::InProgress, none is selected and the
/// request waits.
ServerModel *Scheduler::chooseFastest(const GrantRequest &Request,
                                      TimePoint Now, PrefixState Wanted) {
  ServerModel *Best = nullptr;
  auto BestScore = std::tuple(nanoseconds::max(), 0U);
  auto Prefix = prefixOf(Request);
  if (Wanted == PrefixState::InProgress)
    return nullptr;
  for (auto &[Name, Server] : Servers_) {
    if (!canTake(Request, Server, Now))
      continue;
    if (Wanted == PrefixState::Cached && Server.prefixState(Prefix) != Wanted)
      continue;
    auto Time = Server.expectedFirstToken(Request.Prompt_, Prefix) +
                Server.evictionCost(Request.Prompt_, Prefix);
    if (Options_.UseSpeeds_)
      Time += Server.timeBetweenTokens() * expectedAnswer(Request).count();
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

nanoseconds Scheduler::bestServiceTime(const GrantRequest &Request) const {
  nanoseconds Best = nanoseconds::max();
  for (const auto &[Name, Server] : Servers_)
    if (Server.usable())
      Best = std::min(Best, Server.idleService(Request.Prompt_,
                                               expectedAnswer(Request),
                                               prefixOf(Request)));
  return Best == nanoseconds::max() ? nanoseconds(0) : withMargin(Best);
}

/// \returns the first new request that an engine with room can take. With \p
/// InTime, only requests that can still meet their objective are considered.
std::optional<Scheduler::Placement>
Scheduler::firstGrantable(const CustomerQueue &Queue, bool InTime,
                          TimePoint Now) {
  // A few requests are checked one by one: the first may wait for its own
  // engine while others could be served.
  constexpr int MaxChecked = 8;
  int Checked = 0;
  if (onlyHeldHaveRoom())
    return std::nullopt;
  for (const DeadlineKey &Key : Queue.Requests_) {
    RequestId Id = std::get<RequestId>(Key);
    const GrantRequest &Details = Waiting_.at(Id).Details_;
    // Those have been checked before, and must not hold up the others.
    if (Details.goesOn())
      continue;
    if (InTime && Details.Objective_ < Now + MinFirstEventDelay)
      continue;
    // Many copies of one request must not hold up its customer's others.
    if (isCopyRunning(Details))
      continue;
    if (ServerModel *Server = chooseEngine(Details, Now))
      return Placement{Id, Server};
    if (!Options_.UsePrefixes_ || ++Checked == MaxChecked)
      break;
  }
  return std::nullopt;
}

/// \returns the first request of the queue that an engine with room can finish
/// in time. The request with the earliest deadline may need a fast engine;
/// without a further search, slow engines would be idle while it waits.
std::optional<Scheduler::Placement>
Scheduler::firstPlaceable(const CustomerQueue &Queue, TimePoint Now) {
  if (auto First = firstGrantable(Queue, false, Now))
    return First;
  RequestId Head = std::get<RequestId>(*Queue.Requests_.begin());
  const GrantRequest &Details = Waiting_.at(Head).Details_;
  if (!Options_.RefuseInfeasible_)
    return std::nullopt;
  nanoseconds Soonest = nanoseconds::max();
  for (const auto &[Name, Server] : Servers_)
    if (hasRoom(Server))
      Soonest = std::min(Soonest, expectedService(Details, Server));
  if (Soonest == nanoseconds::max())
    return std::nullopt;
  DeadlineKey LowerBound{Now + withMargin(Soonest), 0, RequestId()};
  auto Later = Queue.Requests_.lower_bound(LowerBound);
  if (Later == Queue.Requests_.end())
    return std::nullopt;
  RequestId Id = std::get<RequestId>(*Later);
  ServerModel *Server = chooseEngine(Waiting_.at(Id).Details_, Now);
  return Server ? std::optional(Placement{Id, Server}) : std::nullopt;
}

} // namespace samphireshunt
