#pragma once
/// \file
/// The decisions of a cell's keeper: which waiting request gets which engine,
/// and which is given up. Pure: no sockets, and the time is an argument.
///
/// Order: strictly by tier; within a tier the customer with the least served
/// tokens for its weight; within a customer the earliest deadline.

#include "Common/Ids.h"
#include "Common/ResultCode.h"
#include "Common/SlidingCount.h"
#include "Process/Scheduling/PrefixIndex.h"
#include "Process/Scheduling/ServerModel.h"

#include <pcg_random.hpp>

#include <array>
#include <chrono>
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
struct AskedRequest {
  RequestId Id_;
  TierIndex Tier_;
  CustomerName Customer_;
  TimePoint Deadline_;
  /// Within this the answer is worth most; unset: up to the deadline.
  TimePoint Objective_{};
  /// The longest pause between events of an answer in time; 0 is any.
  std::chrono::milliseconds MaxPause_{0};
  /// The longest that it may wait; 0: until its latest start.
  std::chrono::milliseconds MaxWait_{0};
  Tokens Prompt_;
  Tokens Answer_; ///< The most that may be generated.
  /// The caller's guess of the answer's length; 0 is none. Right in the
  /// middle, and off by a half more often than not.
  Tokens Guessed_;
  /// Its caller came back, or another cell refused it: one who asks often is
  /// not several who are turned away.
  bool AskedBefore_ = false;
  std::vector<std::uint64_t> Prefix_; ///< Hashes of the prompt's blocks.
  /// What Prefix_ was made of, where only that is known of the prompt.
  std::vector<PromptPart> Parts_;
  bool NonIdempotent_ = false;
  std::vector<ServerName> Excluded_;
  VmId Entry_;
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
  VmId Entry_;
};

/// What an entry that is gone had at a keeper.
struct EntryRemains {
  std::vector<RequestId> Waiting_;
  std::vector<RunningRequest> Running_;
};

struct GrantDecision {
  RequestId Id_;
  ServerName Server_;
  VmId Entry_;
  bool operator==(const GrantDecision &) const = default;
};
struct RefuseDecision {
  RequestId Id_;
  ResultCode Code_;
  std::chrono::milliseconds RetryAfter_;
  VmId Entry_;
};
struct CancelDecision {
  RequestId Id_;
  ServerName Server_;
  VmId Entry_;
  bool operator==(const CancelDecision &) const = default;
};
using Decision = std::variant<GrantDecision, RefuseDecision, CancelDecision>;

/// What the scheduler needs to know of a customer.
struct CustomerShare {
  std::uint32_t Weight_ = 1;
  std::uint32_t MaxInFlight_ = 0; ///< 0 is no ceiling.
};

class Scheduler {
public:
  struct Options {
    std::uint32_t TierCount_ = 1;
    std::size_t MaxWaiting_ = 1000;
    /// How long lower tiers stay shut out after a higher one was shed.
    std::chrono::milliseconds FloorHold_{400};
    /// How long before its latest start a request may take the engine of a
    /// lower tier's running one.
    std::chrono::milliseconds PreemptMargin_{250};
    std::uint64_t Seed_ = 1;
    /// How often each tier is served whatever higher tiers ask for, as a part
    /// of how often all are; 0 is strict order, with lower tiers shut out while
    /// a higher one is shed.
    double GuaranteedShare_ = 0;
    /// Refuse at once what would wait longer than it may.
    bool RefuseLongWaits_ = false;
    /// The part of the time left to its objective within which the first event
    /// is expected, where an engine that is not among the quick ones is taken.
    double ObjectivePart_ = 0.5;
    /// Prompts go where the pauses of all that stream there stay allowed.
    bool KeepPauses_ = true;
    /// What is late turns nothing away that is not.
    bool CountLateApart_ = true;
    /// Long answers go behind others.
    bool PutLongBack_ = true;
    /// Refused callers get moments of their own to come back.
    bool ScheduleReturns_ = true;
    /// Quick engines are kept for what only they read in time.
    bool KeepQuick_ = true;
    // Decisions that a measurement may leave out.
    bool StrictTiers_ = true;
    bool FairCustomers_ = true;
    bool RefuseInfeasible_ = true;
    bool Preempt_ = true;
    bool UsePrefixes_ = true;
    bool UseSpeeds_ = true;
    bool AdaptLimits_ = true;
    /// The baseline of measurements: every daemon by itself, each request at
    /// once to the less loaded of two random engines, by their own reports.
    bool TwoChoices_ = false;
  };

  explicit Scheduler(Options Settings);

  /// Replaces servers and customers. Running requests of a server that is
  /// gone stay known until they end.
  void configure(std::vector<ServerCapacity> Servers,
                 std::map<CustomerName, CustomerShare> Customers,
                 std::uint32_t TierCount, std::size_t MaxWaiting);
  /// The part of each server's limit that this keeper may use, from 0 to 1.
  void setShare(double Share) { Share_ = Share; }
  /// How many tokens one event of an answer holds.
  void setTokensPerEvent(std::int64_t Count) { TokensPerEvent_ = Count; }
  /// Before this no grant is given: a new keeper first hears what runs.
  void setWarmUntil(TimePoint Until) { WarmUntil_ = Until; }
  bool warming(TimePoint Now) const { return Now < WarmUntil_; }

  /// Takes a request in, or refuses it at once.
  std::vector<Decision> ask(AskedRequest Request, TimePoint Now);
  /// The request waits no more, or runs under another keeper.
  void withdraw(const RequestId &Id);
  /// A request of an earlier keeper runs on this server.
  void addRunning(const RunningRequest &Request);
  /// A granted request ended; the model learns from \p Seen.
  void done(const RequestId &Id, const ServedSample &Seen, TimePoint Now);
  /// A granted request gave its first token.
  void firstToken(const RequestId &Id, const FirstTokenSample &Seen);
  /// Forgets the requests of a daemon that wait. \returns them.
  std::vector<RequestId> removeWaiting(const VmId &Entry);
  /// Forgets all requests of a daemon. \returns them.
  EntryRemains removeEntry(const VmId &Entry);
  /// Another keeper of the pool shed a request of \p Tier.
  std::vector<Decision> raiseFloor(TierIndex Tier, TimePoint Until,
                                   TimePoint Now);
  /// What can be decided now: grants, refusals of what can no longer finish,
  /// cancellations for higher tiers.
  std::vector<Decision> decide(TimePoint Now);

  /// An engine's own report came.
  void report(const ServerName &Server, bool Healthy, const LoadReport &Seen);

  /// The lowest tier that is admitted, while a floor holds.
  std::optional<TierIndex> floor(TimePoint Now) const;
  TimePoint floorUntil() const { return FloorUntil_; }
  std::size_t waiting() const { return Waiting_.size(); }
  std::size_t running() const { return Running_.size(); }
  /// How many engines were looked at for requests' sake, since the start.
  std::uint64_t engineLooks() const { return EngineLooks_; }
  std::optional<RunningRequest> findRunning(const RequestId &Id) const;
  ServerModel *server(const ServerName &Name);
  const std::map<ServerName, ServerModel> &servers() const { return Servers_; }

private:
  /// No first event comes sooner than this after a grant.
  static constexpr std::chrono::milliseconds LeastFirstEvent{60};
  static constexpr std::size_t RateSlots = 5;
  static constexpr std::chrono::milliseconds RateWindow{1000};
  using DeadlineKey = std::tuple<TimePoint, std::uint64_t, RequestId>;
  /// How long an answer holds its place: 0 is up to the mean, each further one
  /// up to twice as long as the one before, the last one any longer. Of answers
  /// whose lengths differ a thousandfold one in ten is beyond eight times the
  /// mean of all tiers.
  using AnswerLength = std::size_t;
  static constexpr AnswerLength UsualLength = 0;
  static constexpr std::size_t AnswerLengths = 7;
  /// How long a tier's arrivals and grants are remembered for its share.
  static constexpr std::chrono::duration<double> TierMemory{30.0};
  /// The same for each length of its answers. In a calm time all lengths are
  /// served: remembered for long, the long ones have to go without for as long
  /// in the next burst. Remembered for less, few answers of a length are left
  /// to count at a keeper, and long ones get more than their part by chance.
  static constexpr std::chrono::duration<double> LengthMemory{20.0};
  /// Where a request stands among those of its tier.
  struct Standing {
    /// How long it would hold a place of an engine of middling speed; 0 while
    /// nothing is known.
    std::chrono::nanoseconds Service_{0};
    /// How much longer than others its answer is.
    AnswerLength Length_ = UsualLength;
    /// It may be put behind others for that.
    bool PutBack_ = false;
    /// No answer would be within its objective any more.
    bool Late_ = false;
    /// Requests are served in the order of these moments.
    TimePoint Urgency_;
  };
  struct WaitingRequest {
    AskedRequest Asked_;
    Standing Standing_;
    std::uint64_t Arrival_ = 0;
    TimePoint LatestStart_;
    bool Preempting_ = false;
  };
  /// Arrivals and grants, fading with time.
  struct FadingShare {
    std::chrono::duration<double> Memory_ = TierMemory;
    double Arrived_ = 0;
    double Granted_ = 0;
    TimePoint Decayed_;

    void decay(TimePoint Now);
    /// The part of the arrivals that was granted; 1 while there were few.
    double part() const;
  };
  struct CustomerQueue {
    double ServedTokens_ = 0; ///< Divided by the customer's weight.
    std::set<DeadlineKey> Requests_;
  };
  static std::array<FadingShare, AnswerLengths> sharesByLength() {
    std::array<FadingShare, AnswerLengths> Shares;
    Shares.fill(FadingShare{.Memory_ = LengthMemory});
    return Shares;
  }
  /// When callers of a tier that were refused may come back.
  class ReturnSchedule {
  public:
    /// The next free moment, at \p PerSecond of them; nothing, and none is
    /// taken, when that is later than \p Longest from now.
    std::optional<std::chrono::milliseconds>
    next(TimePoint Now, double PerSecond, std::chrono::milliseconds Longest);

  private:
    TimePoint Next_;
  };
  struct TierQueue {
    std::map<CustomerName, CustomerQueue> Customers_;
    std::set<std::pair<double, CustomerName>> Active_;
    std::size_t Count_ = 0;
    /// Of those the ones that were late when they asked: they go last.
    std::size_t LateCount_ = 0;
    FadingShare Share_;
    /// The same by the lengths of answers.
    std::array<FadingShare, AnswerLengths> ShareByLength_ = sharesByLength();
    /// What came, and what of it was let wait for a place.
    SlidingCount<RateSlots> RecentArrivals_{RateWindow};
    SlidingCount<RateSlots> RecentAdmitted_{RateWindow};
    ReturnSchedule Returns_;
  };
  struct Placement {
    RequestId Id_;
    ServerModel *Server_ = nullptr;
  };
  /// What holds for one round of decisions, in which room only shrinks.
  struct Round {
    static constexpr Tokens Any{std::numeric_limits<std::int64_t>::max()};
    /// Of prompts that no engine had room for, the shortest: a longer one finds
    /// none either.
    Tokens Unplaceable_ = Any;
    /// The pause that the two refer to.
    std::chrono::milliseconds Pause_{-1};
    /// The longest prompt that keeps the pause on an idle engine.
    Tokens LongestKeeping_{0};
  };
  using RunningMap = std::unordered_map<RequestId, RunningRequest>;

  void addTiers(std::uint32_t Count);
  void enqueue(WaitingRequest Request);
  WaitingRequest dequeue(const RequestId &Id);
  std::size_t queueIndex(TierIndex Tier) const;
  bool hasServerFor(const AskedRequest &Request) const;
  void refuseUnservable(std::vector<Decision> &Out);
  RefuseDecision refusal(const AskedRequest &Request, ResultCode Code);
  std::optional<RequestId> lowestWaiting(TierIndex Above) const;
  bool makeRoom(TierIndex Tier, std::vector<Decision> &Out);
  bool preemptFor(TierIndex Tier, std::vector<Decision> &Out);
  void shedBelow(TierIndex Tier, std::vector<Decision> &Out);
  void noteShed(TierIndex Tier, TimePoint Now, std::vector<Decision> &Out);
  void expire(TimePoint Now, std::vector<Decision> &Out);
  void preemptUrgent(TimePoint Now, std::vector<Decision> &Out);
  void grant(TimePoint Now, std::vector<Decision> &Out);
  std::optional<Placement> firstPlaceable(const CustomerQueue &Queue,
                                          TimePoint Now);
  bool grantInOrder(TierQueue &Tier, bool InTime, TimePoint Now,
                    std::vector<Decision> &Out);
  std::optional<Placement> firstOf(const CustomerQueue &Queue, bool InTime,
                                   TimePoint Now);
  void grantTo(TierQueue &Tier, const CustomerName &Customer,
               const Placement &Placed, TimePoint Now,
               std::vector<Decision> &Out);
  bool grantFromTier(TierQueue &Tier, TimePoint Now,
                     std::vector<Decision> &Out);
  bool atCeiling(const CustomerName &Customer) const;
  ServerModel *choose(const AskedRequest &Request, TimePoint Now);
  std::optional<PrefixPlace> prefixPlace(const AskedRequest &Request,
                                         TimePoint Now) const;
  ServerModel *quickest(const AskedRequest &Request, TimePoint Now,
                        PrefixPlace Wanted);
  bool canTake(const AskedRequest &Request, const ServerModel &Server,
               TimePoint Now) const;
  bool keepsPauses(const AskedRequest &Request, const ServerModel &Server,
                   std::chrono::nanoseconds Longest) const;
  std::chrono::nanoseconds longestPause(const AskedRequest &Request) const;
  Tokens longestKeeping(std::chrono::milliseconds Pause) const;
  bool hasNoRoomAnywhere(const AskedRequest &Request);
  ServerModel *justQuickEnough(const AskedRequest &Request, TimePoint Now);
  std::chrono::nanoseconds quickestBetweenTokens() const;
  ServerModel *chooseOfTwo();
  std::chrono::nanoseconds expectedService(const AskedRequest &Request,
                                           const ServerModel &Server) const;
  bool finishesInTime(const AskedRequest &Request, const ServerModel &Server,
                      TimePoint Now) const;
  bool isDoomed(const AskedRequest &Request, TimePoint Now) const;
  std::span<const std::uint64_t> prefixOf(const AskedRequest &Request) const;
  /// How many tokens the answer will likely have; 0 while nothing is known.
  Tokens expectedAnswer(const AskedRequest &Request) const;
  bool anySpare() const;
  /// Time on the quickest idle engine, with a margin; 0 while none is known.
  std::chrono::nanoseconds bestServiceTime(const AskedRequest &Request) const;
  std::chrono::milliseconds retryAfter(TierIndex Tier);
  std::chrono::milliseconds returnAfter(const AskedRequest &Request,
                                        TimePoint Now);
  double freeRate(TierIndex Tier, TimePoint Now);
  bool isStarving(TierQueue &Tier, TimePoint Now);
  double servedPart(TimePoint Now);
  std::chrono::milliseconds predictedWait(TierIndex Tier, bool Late,
                                          TimePoint Now);
  bool wouldWaitTooLong(const AskedRequest &Request, const Standing &Place,
                        TimePoint Now);
  std::chrono::nanoseconds typicalService(const AskedRequest &Request) const;
  Standing standingOf(const AskedRequest &Request, TimePoint Now);
  bool mayPutBack(TierIndex Tier, AnswerLength Length, TimePoint Now);
  AnswerLength lengthOf(std::chrono::nanoseconds Service) const;
  static double leastPart(AnswerLength Length);
  static FadingShare shareOfAll(TierQueue &Tier, TimePoint Now);
  void noteHold(const ServedSample &Seen);
  void judgeServers(TimePoint Now);
  void judge(ServerModel &Server, const ServedSample &Seen, TimePoint Now);
  double poolFailureRate() const;
  void grantStarving(TimePoint Now, std::vector<Decision> &Out);
  void serve(const WaitingRequest &Request, ServerModel &Server,
             std::vector<Decision> &Out);
  RunningMap::iterator endRunning(RunningMap::iterator Item);
  ServerModel *runningAt(const RunningRequest &Request);
  double weightOf(const CustomerName &Customer) const;

  Options Options_;
  std::map<ServerName, ServerModel> Servers_;
  /// What all engines of the pool are like, taken together.
  EngineSpeed Typical_;
  std::map<CustomerName, CustomerShare> Shares_;
  std::vector<TierQueue> Tiers_;
  std::unordered_map<RequestId, WaitingRequest> Waiting_;
  std::set<std::pair<TimePoint, RequestId>> ByLatestStart_;
  RunningMap Running_;
  std::unordered_map<CustomerName, std::uint32_t> RunningByCustomer_;
  /// The part of their allowed answers that a customer's answers have.
  std::unordered_map<CustomerName, double> AnswerShare_;
  std::set<RequestId> Cancelled_;
  double Share_ = 1.0;
  std::int64_t TokensPerEvent_ = 1;
  Round Round_;
  std::uint64_t EngineLooks_ = 0;
  TimePoint WarmUntil_;
  std::optional<TierIndex> Floor_;
  TimePoint FloorUntil_;
  std::uint64_t NextArrival_ = 0;
  double EndsPerSecond_ = 0;
  SlidingCount<RateSlots> Ends_{RateWindow};
  /// How long a granted request holds its place, on average.
  std::chrono::nanoseconds MeanHold_{0};
  TimePoint LastEnd_;
  pcg32 Random_;
};

} // namespace samphireshunt
