#pragma once
/// \file
/// Scheduling decisions of a cell's keeper: which waiting request is granted
/// which engine, and which request is refused or cancelled. The code is free of
/// I/O; the current time is passed in.
///
/// Requests are served strictly by tier. Within a tier, the customer with the
/// fewest served tokens relative to its weight goes first; within a customer,
/// the request with the earliest deadline. Streams that go on are served before
/// the new requests of their tier: their callers have waited longest.

#include "Common/Ids.h"
#include "Common/ResultCode.h"
#include "Common/SlidingCount.h"
#include "Process/Scheduling/BackupChoice.h"
#include "Process/Scheduling/CrashHistory.h"
#include "Process/Scheduling/PrefixIndex.h"
#include "Process/Scheduling/ServerModel.h"
#include "Process/Scheduling/ServerNotice.h"
#include "Process/Scheduling/StreamSuspension.h"

#include <pcg_random.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

namespace samphireshunt {

/// A request that waits for an engine of the cell.
struct GrantRequest {
  RequestId Id_;
  TierIndex Tier_;
  CustomerName Customer_;
  TimePoint Deadline_;
  /// The answer is worth most before this time. Unset means the deadline.
  TimePoint Objective_{};
  /// The longest pause between two events with which the answer still meets its
  /// objective; 0 means any pause.
  std::chrono::milliseconds MaxPause_{0};
  /// The longest time that the request may wait; 0 means until its latest
  /// start.
  std::chrono::milliseconds MaxWait_{0};
  Tokens Prompt_;
  Tokens Answer_; ///< Maximum number of generated tokens.
  /// The caller's estimate of the answer's length; 0 means none. The estimate
  /// is right in the median, but more often than not it is off by half.
  Tokens EstimatedAnswer_;
  /// True if the caller retries, or another cell refused the request. A caller
  /// that retries often must not be counted as several refused callers.
  bool IsRetry_ = false;
  std::vector<std::uint64_t> Prefix_; ///< Hashes of the prompt's blocks.
  /// The parts from which Prefix_ was computed, where only the parts of the
  /// prompt are known.
  std::vector<PromptPart> Parts_;
  bool NonIdempotent_ = false;
  std::vector<ServerName> Excluded_;
  /// The only version of server software that may run the request, which goes
  /// on with a stream; empty: any.
  SoftwareVersion Version_;
  /// The only server that may run the request, which goes on with a run whose
  /// memory is there; empty: any.
  ServerName OnlyServer_;
  VmId Ingress_;
  /// Set while any request is known to have crashed a server.
  RequestFingerprint Fingerprint_;
  /// Among the asks of the ingress daemon. A request asks again when a server
  /// refused it, and when its keeper changes.
  AskNumber Ask_;

  /// True for a stream whose caller has a part of it already.
  bool goesOn() const { return !Version_.empty() || !OnlyServer_.empty(); }
};

/// A request that runs on an engine of the cell.
struct RunningRequest {
  RequestId Id_;
  TierIndex Tier_;
  CustomerName Customer_;
  ServerName Server_;
  Tokens Prompt_;
  Tokens Answer_;
  bool NonIdempotent_ = false;
  VmId Ingress_;
  RequestFingerprint Fingerprint_;
  /// Ids of the parts of the prompt that it may share with other requests.
  std::vector<std::uint64_t> Parts_;
  /// Unset if another keeper granted it.
  TimePoint Granted_{};
  // The following are set only for streams that this keeper granted.
  TimePoint Deadline_{};
  /// The expected number of generated tokens; 0 while unknown.
  Tokens ExpectedAnswer_{};
  /// It goes on with a run that began under an earlier grant.
  bool Continues_ = false;
  /// Its caller has got an event.
  bool Streaming_ = false;
  /// The ask that was granted.
  AskNumber Ask_{};
};

/// The requests that an ingress daemon had at a keeper when it was removed.
struct RemovedRequests {
  std::vector<RequestId> Waiting_;
  std::vector<RunningRequest> Running_;
};

struct GrantDecision {
  RequestId Id_;
  ServerName Server_;
  VmId Ingress_;
  /// The server says something of itself that its answers may end.
  bool Limited_ = false;
  /// The server to which the run's memory is to be backed up; empty: none.
  ServerName Backup_;
  /// The ask that is granted; likewise in the other decisions.
  AskNumber Ask_{};
  bool operator==(const GrantDecision &) const = default;
};
struct RefuseDecision {
  RequestId Id_;
  ResultCode Code_;
  std::chrono::milliseconds RetryAfter_;
  VmId Ingress_;
  AskNumber Ask_{};
};
struct CancelDecision {
  RequestId Id_;
  ServerName Server_;
  VmId Ingress_;
  AskNumber Ask_{};
  bool operator==(const CancelDecision &) const = default;
};
/// The run is to be stopped with its memory kept, so that it goes on later.
struct SuspendDecision {
  RequestId Id_;
  ServerName Server_;
  VmId Ingress_;
  /// The server that takes a copy of the memory for a moment.
  ServerName CopyTo_;
  AskNumber Ask_{};
  bool operator==(const SuspendDecision &) const = default;
};
using Decision = std::variant<GrantDecision, RefuseDecision, CancelDecision,
                              SuspendDecision>;

/// A customer's weight and limit.
struct CustomerPolicy {
  std::uint32_t Weight_ = 1;
  std::uint32_t MaxInFlight_ = 0; ///< 0 means no limit.
};

class Scheduler {
public:
  struct Options {
    std::uint32_t TierCount_ = 1;
    std::size_t MaxWaiting_ = 1000;
    /// How long lower tiers are refused after a request of a higher one was
    /// shed.
    std::chrono::milliseconds FloorDuration_{400};
    /// How long before its latest start a request may preempt a running request
    /// of a lower tier.
    std::chrono::milliseconds PreemptMargin_{250};
    std::uint64_t Seed_ = 1;
    /// The rate of grants per arrival that each tier is guaranteed regardless
    /// of higher tiers, as a fraction of the same rate over all tiers. 0 means
    /// strict order, in which lower tiers are refused while a higher one is
    /// shed.
    double GuaranteedShare_ = 0;
    /// Refuse requests immediately when their predicted wait exceeds their
    /// maximum wait.
    bool RefuseLongWaits_ = false;
    /// An engine that is not among the fastest is preferred only if it is
    /// expected to give the first event within this fraction of the time left
    /// to the objective.
    double FirstEventFraction_ = 0.5;
    /// Send prompts only to engines where the pauses of all streams stay within
    /// what is allowed.
    bool LimitPauses_ = true;
    /// Requests that missed their objective do not count in the predicted wait
    /// of those that can still meet theirs.
    bool CountMissedSeparately_ = true;
    /// Schedule long answers after shorter ones.
    bool DeferLongAnswers_ = true;
    /// Assign each refused caller a retry time of its own.
    bool ScheduleRetries_ = true;
    /// Back up runs that can't be repeated while engines crash, where engines
    /// make backups.
    bool BackUpRuns_ = true;
    BackupChoice::Options Backups_{};
    /// Suspend streams of lower tiers for requests that would miss their
    /// objective, where engines move the memory of runs.
    bool SuspendStreams_ = true;
    /// Place requests by how long work takes at servers at the moment.
    bool UseWorkTimes_ = true;
    /// Reserve fast engines for prompts that only they read in time.
    bool ReserveFastEngines_ = true;
    // Parts of the algorithm that a benchmark can disable.
    bool StrictTiers_ = true;
    bool FairCustomers_ = true;
    bool RefuseInfeasible_ = true;
    bool Preempt_ = true;
    bool UsePrefixes_ = true;
    bool UseSpeeds_ = true;
    bool AdaptLimits_ = true;
    /// The baseline for benchmarks: every daemon decides alone and sends each
    /// request immediately to the less loaded of two random engines, by the
    /// load that the engines report.
    bool TwoChoices_ = false;
  };

  explicit Scheduler(Options Settings);

  /// Replaces servers and customers. Running requests of a removed server stay
  /// known until they end.
  void configure(std::vector<ServerCapacity> Servers,
                 std::map<CustomerName, CustomerPolicy> Customers,
                 std::uint32_t TierCount, std::size_t MaxWaiting);
  /// Sets the fraction of each server's limit that this keeper may use, from 0
  /// to 1.
  void setShare(double Share) { Share_ = Share; }
  /// Sets the hook that tells what is known about a request's crashes.
  void setStandingHook(
      std::function<RequestStanding(const RequestFingerprint &)> Hook) {
    StandingOf_ = std::move(Hook);
  }
  /// Sets the fraction of servers' named rates that this keeper may use.
  void setRateShare(double Share) { RateShare_ = Share; }
  /// Sets how many requests may still be granted to canaries.
  void setCanaryGrants(std::uint32_t Left) { CanaryGrants_ = Left; }
  /// Sets the number of tokens in one event of an answer.
  void setTokensPerEvent(std::int64_t Count) { TokensPerEvent_ = Count; }
  /// What a backup of a run costs.
  struct BackupCost {
    std::int64_t BytesPerToken_ = 0; ///< 0 if unknown.
    double LinkMbps_ = 0;            ///< Between engines; 0 if unknown.
  };
  /// Sets whether engines can back runs up to each other.
  void setBackups(bool Possible, BackupCost Cost) {
    BacksUpRuns_ = Possible;
    BackupCost_ = Cost;
  }
  /// Sets whether engines can stop runs and keep their memory.
  void setMovesRuns(bool Moves) { MovesRuns_ = Moves; }
  /// Sets the end of the warm-up, during which nothing is granted: a new keeper
  /// must first learn which requests are running.
  void setWarmupEnd(TimePoint Until) { WarmupEnd_ = Until; }
  bool warming(TimePoint Now) const { return Now < WarmupEnd_; }

  /// Queues a request, or refuses it at once.
  std::vector<Decision> requestGrant(GrantRequest Request, TimePoint Now);
  /// \returns the ask by which the request waits or runs; nothing if it does
  /// neither.
  std::optional<AskNumber> askOf(const RequestId &Id) const;
  /// Refuses all waiting requests of which servers crash: copies of one
  /// request, or those with one part of their prompts.
  std::vector<Decision> refuseCrashing(const RequestFingerprint &Cause);
  /// Removes a request that no longer waits, or that runs under another keeper.
  void withdraw(const RequestId &Id);
  /// Removes a request that waits; one that runs stays.
  void withdrawWaiting(const RequestId &Id);
  /// Adds a request that an earlier keeper granted and that still runs.
  void addRunning(const RunningRequest &Request);
  /// Ends a granted request; the server model learns from \p Sample.
  void done(const RequestId &Id, const ServedSample &Sample, TimePoint Now);
  /// Records that a run which was to be suspended goes on or has ended.
  void notSuspended(const RequestId &Id);
  const StreamSuspension &suspension() const { return Suspension_; }
  /// Records the first token of a granted request.
  void firstToken(const RequestId &Id, const FirstTokenSample &Sample,
                  TimePoint Now);
  /// Applies what an engine's answer to \p Id says about the rate of requests
  /// that it accepts.
  void limitRead(const ServerName &Server, const RequestId &Id,
                 const std::optional<RequestRate> &Named, TimePoint Now);
  /// Applies what an engine's answer to \p Id of the ingress daemon \p Ingress
  /// says about the engine.
  void noticeRead(const ServerName &Server, const VmId &Ingress,
                  const RequestId &Id, const ServerNotice &Notice,
                  TimePoint Now);
  /// Removes the waiting requests of an ingress daemon. \returns their ids.
  std::vector<RequestId> removeWaiting(const VmId &Ingress);
  /// Removes all requests of an ingress daemon. \returns them.
  RemovedRequests removeIngressRequests(const VmId &Ingress);
  /// Raises the admission floor after another keeper of the pool shed a request
  /// of \p Tier.
  std::vector<Decision> raiseFloor(TierIndex Tier, TimePoint Until,
                                   TimePoint Now);
  /// Makes all decisions that are possible now: grants, refusals of requests
  /// that can no longer finish, and cancellations in favor of higher tiers.
  std::vector<Decision> decide(TimePoint Now);

  /// Applies a report of an engine about itself.
  void report(const ServerName &Server, bool Healthy, const LoadReport &Report);

  /// \returns the admission floor, the lowest tier still admitted, while one is
  /// set.
  std::optional<TierIndex> floor(TimePoint Now) const;
  TimePoint floorUntil() const { return FloorUntil_; }
  std::size_t waiting() const { return Waiting_.size(); }
  std::size_t running() const { return Running_.size(); }
  /// \returns how often an engine was examined for a request since the start.
  std::uint64_t engineChecks() const { return EngineChecks_; }
  std::optional<RunningRequest> findRunning(const RequestId &Id) const;
  /// \returns the number of requests that run on servers which \p Matches
  /// accepts.
  std::size_t
  countRunning(const std::function<bool(const ServerName &)> &Matches) const;
  ServerModel *server(const ServerName &Name);
  const std::map<ServerName, ServerModel> &servers() const { return Servers_; }
  /// \returns what servers told of how long work takes there.
  const WorkTimePattern &workTimes() const { return WorkTimes_; }

private:
  /// The earliest time after a grant at which a first event can arrive.
  static constexpr std::chrono::milliseconds MinFirstEventDelay{60};
  static constexpr std::size_t RateSlots = 5;
  static constexpr std::chrono::milliseconds RateWindow{1000};
  using DeadlineKey = std::tuple<TimePoint, std::uint64_t, RequestId>;
  /// Class of how long an answer occupies its slot. Class 0 is up to the mean,
  /// each further class up to twice the one before, and the last one is
  /// unbounded. When answer lengths differ a thousandfold, one answer in ten
  /// takes more than eight times the mean of all tiers.
  using LengthClass = std::size_t;
  static constexpr LengthClass UsualLengthClass = 0;
  static constexpr std::size_t LengthClassCount = 7;
  /// Decay time of a tier's arrivals and grants when computing its share.
  static constexpr std::chrono::duration<double> TierDecayTime{30.0};
  /// Decay time of the arrivals and grants of each answer length. All lengths
  /// are served while load is low: with a longer decay time, long answers would
  /// be starved for that long in the next burst. With a shorter one, a keeper
  /// has too few answers of a length to count, and long answers get more than
  /// their share by chance.
  static constexpr std::chrono::duration<double> LengthDecayTime{20.0};
  /// A request's position in the order of its tier.
  struct QueueRank {
    /// Expected time in a slot of an average engine; 0 while unknown.
    std::chrono::nanoseconds Service_{0};
    /// Length class of the answer.
    LengthClass Length_ = UsualLengthClass;
    /// The request may be scheduled after others because of its length.
    bool Deferred_ = false;
    /// No answer can meet the objective any more.
    bool ObjectiveMissed_ = false;
    /// Requests are served in ascending order of this time.
    TimePoint Urgency_;
  };
  struct WaitingRequest {
    GrantRequest Details_;
    QueueRank Rank_;
    std::uint64_t Arrival_ = 0;
    TimePoint LatestStart_;
    bool Preempting_ = false;
  };
  /// Arrivals and grants, decaying over time.
  struct DecayingShare {
    std::chrono::duration<double> DecayTime_ = TierDecayTime;
    double Arrived_ = 0;
    double Granted_ = 0;
    TimePoint Decayed_;

    void decay(TimePoint Now);
    /// \returns the fraction of arrivals that were granted, or 1 if there were
    /// too few arrivals.
    double grantedFraction() const;
  };
  struct CustomerQueue {
    double ServedTokens_ = 0; ///< Divided by the customer's weight.
    std::set<DeadlineKey> Requests_;
  };
  static std::array<DecayingShare, LengthClassCount> sharesByLength() {
    std::array<DecayingShare, LengthClassCount> Shares;
    Shares.fill(DecayingShare{.DecayTime_ = LengthDecayTime});
    return Shares;
  }
  /// Assigns retry times to refused callers of a tier.
  class RetrySchedule {
  public:
    /// Reserves the next free retry time, at \p PerSecond of them. \returns the
    /// delay from \p Now, or nothing, without reserving a time, if it exceeds
    /// \p MaxDelay.
    std::optional<std::chrono::milliseconds>
    next(TimePoint Now, double PerSecond, std::chrono::milliseconds MaxDelay);

  private:
    TimePoint Next_;
  };
  struct TierQueue {
    std::map<CustomerName, CustomerQueue> Customers_;
    std::set<std::pair<double, CustomerName>> Active_;
    std::size_t Count_ = 0;
    /// The number of queued requests that had missed their objective when they
    /// arrived: they go last.
    std::size_t ObjectiveMissedCount_ = 0;
    /// Streams that go on, by arrival.
    std::set<std::pair<std::uint64_t, RequestId>> GoOn_;
    /// The first arrival of a stream that goes on which was not checked in this
    /// round.
    std::uint64_t NextGoOn_ = 0;
    /// Streams that go on which were granted since a new request was.
    int GoingOnInRow_ = 0;
    DecayingShare Share_;
    /// Shares by answer length.
    std::array<DecayingShare, LengthClassCount> ShareByLength_ =
        sharesByLength();
    /// Requests that arrived, those of them that were queued, and those of
    /// these that could still meet their objective.
    SlidingCount<RateSlots> RecentArrivals_{RateWindow};
    SlidingCount<RateSlots> RecentAdmitted_{RateWindow};
    SlidingCount<RateSlots> RecentInTime_{RateWindow};
    RetrySchedule RetrySchedule_;
  };
  struct Placement {
    RequestId Id_;
    ServerModel *Server_ = nullptr;
  };
  /// Cached results of one round of decisions, during which free capacity only
  /// shrinks.
  struct Round {
    static constexpr Tokens Any{std::numeric_limits<std::int64_t>::max()};
    /// The shortest prompt for which no engine had room: a longer one finds
    /// none either.
    Tokens MinUnplaceablePrompt_ = Any;
    /// The allowed pause for which the other two members were computed.
    std::chrono::milliseconds Pause_{-1};
    /// The longest prompt that stays within the pause on an idle engine.
    Tokens MaxPromptWithinPause_{0};
  };
  using RunningMap = std::unordered_map<RequestId, RunningRequest>;

  void addTiers(std::uint32_t Count);
  void enqueue(WaitingRequest Request);
  WaitingRequest dequeue(const RequestId &Id);
  std::size_t queueIndex(TierIndex Tier) const;
  /// \returns the worst that is known of the request and the parts of its
  /// prompt, and of which of them.
  Suspicion suspicionOf(const RunningRequest &Request) const;
  Suspicion suspicionOf(const GrantRequest &Request) const;
  Suspicion worseOf(const Suspicion &Known, std::uint64_t Part) const;
  /// \returns whether the server is one that may run the request, free or not.
  static bool mayRunOn(const GrantRequest &Request, const ServerModel &Server);
  bool hasServerFor(const GrantRequest &Request, TimePoint Now) const;
  bool hasServerAgain(const GrantRequest &Request, TimePoint Now);
  /// \returns the time until the first engine no longer rests for the request's
  /// ingress daemon; nothing if none rests.
  std::optional<std::chrono::milliseconds>
  timeUntilRested(const GrantRequest &Request, TimePoint Now) const;
  void refuseUnservable(std::vector<Decision> &Out);
  RefuseDecision refusal(const GrantRequest &Request, ResultCode Code);
  std::optional<RequestId> lowestWaiting(TierIndex Above) const;
  bool shedOneBelow(TierIndex Tier, std::vector<Decision> &Out);
  bool preemptFor(TierIndex Tier, std::vector<Decision> &Out);
  void shedAllBelow(TierIndex Tier, std::vector<Decision> &Out);
  void handleShed(TierIndex Tier, TimePoint Now, std::vector<Decision> &Out);
  void expire(TimePoint Now, std::vector<Decision> &Out);
  void preemptUrgent(TimePoint Now, std::vector<Decision> &Out);
  void grant(TimePoint Now, std::vector<Decision> &Out);
  std::optional<Placement> firstPlaceable(const CustomerQueue &Queue,
                                          TimePoint Now);
  bool grantGoingOn(TierQueue &Tier, TimePoint Now, std::vector<Decision> &Out);
  bool grantInOrder(TierQueue &Tier, bool InTime, TimePoint Now,
                    std::vector<Decision> &Out);
  std::optional<Placement> firstGrantable(const CustomerQueue &Queue,
                                          bool InTime, TimePoint Now);
  void grantTo(TierQueue &Tier, const CustomerName &Customer,
               const Placement &Placed, TimePoint Now,
               std::vector<Decision> &Out);
  bool grantFromTier(TierQueue &Tier, TimePoint Now,
                     std::vector<Decision> &Out);
  bool atMaxInFlight(const CustomerName &Customer) const;
  ServerModel *chooseEngine(const GrantRequest &Request, TimePoint Now);
  std::optional<PrefixState> preferredPrefixState(const GrantRequest &Request,
                                                  TimePoint Now) const;
  ServerModel *chooseFastest(const GrantRequest &Request, TimePoint Now,
                             PrefixState Wanted);
  bool hasRoom(const ServerModel &Server) const;
  void recordCrash(const ServerModel &Server, TimePoint Now);
  ServerName backupFor(const GrantRequest &Request, const ServerModel &Server,
                       TimePoint Now);
  void grantContinuing(TierQueue &Tier, TimePoint Now,
                       std::vector<Decision> &Out);
  void grantAtOwnServer(const RequestId &Id, TimePoint Now,
                        std::vector<Decision> &Out);
  void suspendStreams(TimePoint Now, std::vector<Decision> &Out);
  /// Requests that wait and could still meet their objective.
  struct UnservedInTime {
    std::size_t Count_ = 0;
    TierIndex Highest_;
  };
  UnservedInTime unservedInTime(TimePoint Now, std::size_t Limit) const;
  std::vector<SuspensionCandidate> suspensionCandidates(TimePoint Now) const;
  void setAsideForCopies(bool Needed, TimePoint Now);
  void promiseServers(TimePoint Now);
  void grantPromised(TimePoint Now, std::vector<Decision> &Out);
  bool canTake(const GrantRequest &Request, const ServerModel &Server,
               TimePoint Now) const;
  /// True if a copy of a suspected request runs.
  bool isCopyRunning(const GrantRequest &Request) const;
  bool standingAllows(const GrantRequest &Request,
                      const ServerModel &Server) const;
  bool staysWithinPause(const GrantRequest &Request, const ServerModel &Server,
                        std::chrono::nanoseconds Longest) const;
  std::chrono::nanoseconds allowedPause(const GrantRequest &Request) const;
  Tokens maxPromptWithinPause(std::chrono::milliseconds Pause) const;
  bool hasNoRoomAnywhere(const GrantRequest &Request);
  ServerModel *chooseForObjective(const GrantRequest &Request, TimePoint Now);
  std::chrono::nanoseconds minTimeBetweenTokens() const;
  void recordSpeed(ServerModel &Server, const ServedSample &Sample,
                   TimePoint Now);
  std::optional<WorkTimeFactor>
  readWorkTime(ServerModel &Server, std::uint32_t Percent, TimePoint Now);
  std::chrono::nanoseconds expectedFirstEvent(const GrantRequest &Request,
                                              const ServerModel &Server,
                                              TimePoint Now) const;
  ServerModel *chooseOfTwo();
  std::chrono::nanoseconds expectedService(const GrantRequest &Request,
                                           const ServerModel &Server) const;
  bool finishesInTime(const GrantRequest &Request, const ServerModel &Server,
                      TimePoint Now) const;
  bool isInfeasible(const GrantRequest &Request, TimePoint Now) const;
  std::span<const std::uint64_t> prefixOf(const GrantRequest &Request) const;
  /// \returns the expected number of generated tokens; 0 while unknown.
  Tokens expectedAnswer(const GrantRequest &Request) const;
  bool anyEngineHasRoom() const;
  bool onlyHeldHaveRoom() const;
  /// \returns the expected time on the fastest idle engine, with a margin; 0
  /// while unknown.
  std::chrono::nanoseconds bestServiceTime(const GrantRequest &Request) const;
  std::chrono::milliseconds retryAfter(TierIndex Tier);
  std::chrono::milliseconds returnAfter(const GrantRequest &Request,
                                        TimePoint Now);
  double slotRate(TierIndex Tier, bool ObjectiveMissed, TimePoint Now);
  bool isStarving(TierQueue &Tier, TimePoint Now);
  double grantedFractionOfAll(TimePoint Now);
  double guaranteedRate(TierIndex Tier, TimePoint Now);
  std::chrono::milliseconds waitBehind(TierIndex Tier, std::size_t OwnAhead,
                                       double SlotRate,
                                       double Guaranteed) const;
  std::chrono::milliseconds predictedWait(TierIndex Tier, bool ObjectiveMissed,
                                          TimePoint Now);
  bool wouldWaitTooLong(const GrantRequest &Request, const QueueRank &Rank,
                        TimePoint Now);
  std::chrono::nanoseconds averageService(const GrantRequest &Request) const;
  QueueRank rankOf(const GrantRequest &Request, TimePoint Now);
  bool mayDefer(TierIndex Tier, LengthClass Length, TimePoint Now);
  LengthClass lengthClassOf(std::chrono::nanoseconds Service) const;
  static double minGrantedFraction(LengthClass Length);
  static DecayingShare combinedShare(TierQueue &Tier, TimePoint Now);
  void recordSlotTime(const ServedSample &Sample);
  void applyHealth(TimePoint Now);
  void recordOutcome(ServerModel &Server, const ServedSample &Sample,
                     TimePoint Now);
  double poolFailureRate() const;
  void grantStarving(TimePoint Now, std::vector<Decision> &Out);
  void serve(const WaitingRequest &Request, ServerModel &Server, TimePoint Now,
             std::vector<Decision> &Out);
  void refillRates(TimePoint Now);
  /// True if the request was granted to the engine's current process after
  /// \p Time.
  bool grantedAfter(const ServerModel &Server, const RequestId &Id,
                    TimePoint Time) const;
  RunningMap::iterator endRunning(RunningMap::iterator Item);
  ServerModel *runningServer(const RunningRequest &Request);
  double weightOf(const CustomerName &Customer) const;

  Options Options_;
  std::function<RequestStanding(const RequestFingerprint &)> StandingOf_ =
      [](const RequestFingerprint &) { return RequestStanding::Unsuspected; };
  std::map<ServerName, ServerModel> Servers_;
  /// The speed of the pool's engines, learned from all of them together.
  EngineSpeed PoolSpeed_;
  WorkTimePattern WorkTimes_;
  std::map<CustomerName, CustomerPolicy> CustomerPolicies_;
  std::vector<TierQueue> Tiers_;
  std::unordered_map<RequestId, WaitingRequest> Waiting_;
  std::set<std::pair<TimePoint, RequestId>> ByLatestStart_;
  RunningMap Running_;
  std::unordered_map<CustomerName, std::uint32_t> RunningByCustomer_;
  /// Mean ratio of generated to allowed tokens of each customer's answers.
  std::unordered_map<CustomerName, double> AnswerShare_;
  std::set<RequestId> Cancelled_;
  bool MovesRuns_ = false;
  bool BacksUpRuns_ = false;
  BackupCost BackupCost_;
  BackupChoice Backups_;
  StreamSuspension Suspension_;
  /// The server whose slots are set aside for copies of the memory of runs;
  /// unset while none is.
  std::optional<ServerName> CopyServer_;
  TimePoint CopyNeeded_; ///< When a copy was last needed.
  double Share_ = 1.0;
  double RateShare_ = 1.0;
  std::uint32_t CanaryGrants_ = 0;
  std::int64_t TokensPerEvent_ = 1;
  Round Round_;
  std::uint64_t EngineChecks_ = 0;
  TimePoint WarmupEnd_;
  std::optional<TierIndex> Floor_;
  TimePoint FloorUntil_;
  std::uint64_t NextArrival_ = 0;
  double EndsPerSecond_ = 0;
  SlidingCount<RateSlots> Ends_{RateWindow};
  /// The mean time for which a granted request occupies its slot.
  std::chrono::nanoseconds MeanSlotTime_{0};
  TimePoint LastEnd_;
  pcg32 Random_;
};

} // namespace samphireshunt
