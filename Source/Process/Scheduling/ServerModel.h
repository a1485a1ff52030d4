#pragma once
/// \file
/// A keeper's model of one engine: the requests granted there, its measured
/// speed, and the prompt prefixes that it has likely cached.

#include "Common/Ids.h"
#include "Common/RequestFingerprint.h"
#include "Common/TimePoint.h"
#include "Process/Scheduling/EngineSpeed.h"
#include "Process/Scheduling/PrefixIndex.h"
#include "Process/Scheduling/RejectionLimit.h"
#include "Process/Scheduling/ServerHealth.h"
#include "Process/Scheduling/ServerRate.h"
#include "Process/Scheduling/WorkTime.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace samphireshunt {

struct ServerCapacity {
  ServerName Name_;
  /// Maximum number of requests sent to the engine, including those queued
  /// inside it.
  std::uint32_t MaxInFlight_ = 1;
  bool Active_ = true;
  /// Number of tokens that the engine's cache holds; 0 means unknown.
  Tokens CacheTokens_{0};
  /// How many of MaxInFlight_ requests may be queued inside the engine until a
  /// slot is free. The others are the engine's slots.
  std::uint32_t MaxQueuedInEngine_ = 0;
  /// The engine's current process; 0 means unknown.
  Incarnation Incarnation_;
  /// The engine's version is on trial: only a limited number of requests may be
  /// granted to it.
  bool Canary_ = false;
  /// Of the engine's software; empty means unknown.
  SoftwareVersion Version_;
  DataCenterName DataCenter_;
  /// The engine gets only requests that began at its version.
  bool HeldBack_ = false;
};

/// The outcome of a request.
struct ServedSample {
  bool Reached_ = false;  ///< Bytes of the request were sent to the engine.
  bool Complete_ = false; ///< The whole answer was received.
  /// The server could not be reached, closed the connection early or answered
  /// with an error.
  bool Faulty_ = false;
  /// Another server answered at the address: the intended one is gone.
  bool Replaced_ = false;
  /// The server's process ended while it ran the request.
  bool Crashed_ = false;
  /// The server refused before running.
  bool Rejected_ = false;
  /// The run was stopped and its memory is kept; its request will ask for the
  /// server again.
  bool Suspended_ = false;
  /// How long work took on the server's machine, in percent of the usual time;
  /// 0 if unknown.
  std::uint32_t WorkTimePercent_ = 0;
  /// Set if the server crashed or the request completed.
  RequestFingerprint Fingerprint_;
  /// Ids of the parts of the prompt that may have caused the crash, or that the
  /// server has answered on.
  std::vector<std::uint64_t> Parts_;
  Tokens Generated_;
  /// Number of tokens in the first event.
  Tokens FirstEventTokens_{1};
  std::chrono::microseconds FirstToken_{0};
  std::chrono::microseconds Duration_{0};
};

struct FirstTokenSample {
  std::chrono::microseconds Delay_{0};
  /// As in ServedSample.
  std::uint32_t WorkTimePercent_ = 0;
};

/// The load that an engine reports about itself; it is out of date by some
/// time.
struct LoadReport {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  bool Leaving_ = false;
};

/// Where the first half of a long prompt is, as seen from one engine.
enum class PrefixState { NotCached, InProgress, Cached };

class ServerModel {
public:
  explicit ServerModel(ServerCapacity Capacity);

  void configure(const ServerCapacity &Capacity);
  const ServerCapacity &capacity() const { return Capacity_; }
  /// Sets whether the engine answers its keeper.
  void setReachable(bool Reachable) { Reachable_ = Reachable; }
  bool reachable() const { return Capacity_.Active_ && Reachable_; }
  /// Sets whether the keeper's own view of reachability is reliable.
  void trustReachability(bool Trusted) { ReachabilityTrusted_ = Trusted; }
  /// True if the engine may get new work.
  bool usable() const { return mayContinue() && !Capacity_.HeldBack_; }
  /// True if the engine may get requests that began at its version.
  bool mayContinue() const {
    bool Answers = Reachable_ || !ReachabilityTrusted_;
    return Capacity_.Active_ && !Reported_.Leaving_ && Answers && !LeftOut_ &&
           Now_ >= ReplacedUntil_.value_or(TimePoint()) && !SaysLeaving_;
  }
  Incarnation incarnation() const { return Capacity_.Incarnation_; }
  /// Takes the engine out of use for a while because another server answers at
  /// its address. Then it gets one request at a time, until it answers one.
  void markReplaced(TimePoint Now);
  /// The engine answers at its address.
  void confirmPresent() { ReplacedUntil_.reset(); }
  /// True if another server answered last at the engine's address.
  bool replaced() const { return ReplacedUntil_.has_value(); }
  /// Sets the current time.
  void advance(TimePoint Now) { Now_ = std::max(Now_, Now); }
  /// Marks the engine's process as leaving, whatever the directory says.
  void markLeaving() { SaysLeaving_ = true; }
  bool saysLeaving() const { return SaysLeaving_; }
  /// The engine wants no requests from \p Ingress until \p Until.
  void rest(const VmId &Ingress, TimePoint Until);
  /// \returns the end of the rest; the clock's epoch without one.
  TimePoint restUntil(const VmId &Ingress) const;
  ServerHealth &health() { return Health_; }
  const ServerHealth &health() const { return Health_; }
  /// Excludes the engine from new work, or limits it to one request at a time.
  void setLeftOut(bool LeftOut, bool OnTrial) {
    LeftOut_ = LeftOut;
    OnTrial_ = OnTrial;
  }
  bool hasRoom(double Share) const;
  /// Sets how many slots are kept free for copies of the memory of runs.
  void setSlotsAside(std::uint32_t Count) { SlotsAside_ = Count; }
  std::uint32_t slots() const;
  /// The rate of requests that the engine accepts, if it names one.
  ServerRate &rate() { return Rate_; }
  const ServerRate &rate() const { return Rate_; }
  /// What it rejects, if it says that it is brittle.
  RejectionLimit &rejections() { return Rejections_; }
  const RejectionLimit &rejections() const { return Rejections_; }

  void start(const RequestId &Id, Tokens Prompt,
             std::span<const std::uint64_t> Prefix);
  /// How long work takes there at the moment.
  WorkTime &workTime() { return WorkTime_; }
  const WorkTime &workTime() const { return WorkTime_; }
  /// \returns the usual time of a request there that produces no tokens; 0
  /// while unknown.
  std::chrono::nanoseconds usualDuration() const { return Duration_; }
  /// Records the first token of a request; \p Typical learns from it too, for
  /// all engines of the pool.
  void firstToken(const RequestId &Id, const FirstTokenSample &Sample,
                  EngineSpeed &Typical);
  void end(const RequestId &Id);
  /// \returns where the beginning of a long prompt is.
  PrefixState prefixState(std::span<const std::uint64_t> Prefix) const;
  void recordServed(const ServedSample &Sample, EngineSpeed &Typical);
  void report(const LoadReport &Report) { Reported_ = Report; }
  /// Adapts the limit to a report. The limit is lowered to what the engine
  /// works on if requests wait inside it, since they wait there in order of
  /// arrival regardless of their tier. It is raised by one when the limit is
  /// what holds requests back.
  void adaptLimit(const LoadReport &Report);
  std::uint32_t limit() const { return Limit_; }
  /// Number of requests at the engine according to its last report.
  std::uint32_t reportedLoad() const {
    return Reported_.Running_ + Reported_.Waiting_;
  }

  std::uint32_t inFlight() const {
    return static_cast<std::uint32_t>(InFlight_.size());
  }
  /// True if the request was granted to the engine's current process.
  bool runs(const RequestId &Id) const { return InFlight_.contains(Id); }
  /// Expected time until the first token of a request that starts now,
  /// including the wait for a slot of the engine.
  std::chrono::nanoseconds
  expectedFirstToken(Tokens Prompt,
                     std::span<const std::uint64_t> Prefix) const;
  /// Expected cost of evicting another prompt's blocks from a full cache: the
  /// time for reading the uncached part of this prompt, for each time that
  /// evicted work is expected to be repeated. 0 while the cache is not full,
  /// and for prompts with few shared blocks.
  std::chrono::nanoseconds
  evictionCost(Tokens Prompt, std::span<const std::uint64_t> Prefix) const;
  /// Expected time between tokens; 0 while unknown.
  std::chrono::nanoseconds timeBetweenTokens() const {
    return Speed_.timeBetweenTokens();
  }
  /// Expected time for the prompts that the engine has not read yet.
  std::chrono::nanoseconds pendingReadingTime() const {
    return Speed_.readingTime(PendingPrefill_);
  }
  /// Expected time for reading a prompt, with nothing cached and nothing else
  /// to read.
  std::chrono::nanoseconds readingTime(Tokens Prompt) const {
    return Speed_.readingTime(Prompt);
  }
  /// The longest prompt that the engine reads within \p Time.
  Tokens longestPromptWithin(std::chrono::nanoseconds Time) const {
    return Speed_.longestPromptWithin(Time);
  }
  /// Expected time for all prompts that the engine has not read yet, including
  /// this one.
  std::chrono::nanoseconds
  readingTimeWith(Tokens Prompt, std::span<const std::uint64_t> Prefix) const {
    return Speed_.readingTime(PendingPrefill_ + uncached(Prompt, Prefix));
  }
  /// Sets the speed that is assumed until the engine's own requests are
  /// measured.
  void assume(const EngineSpeed &Typical) { Speed_.assume(Typical); }
  /// Expected time for the request on an idle engine; 0 while too little is
  /// known, and for engines that produce no tokens.
  std::chrono::nanoseconds
  idleService(Tokens Prompt, Tokens Answer,
              std::span<const std::uint64_t> Prefix) const;
  PrefixIndex &prefixes() { return Prefixes_; }
  const PrefixIndex &prefixes() const { return Prefixes_; }

private:
  void restarted();
  Tokens uncached(Tokens Prompt, std::span<const std::uint64_t> Prefix) const;

  ServerCapacity Capacity_;
  /// The adapted limit; never above the limit of the document.
  std::uint32_t Limit_;
  bool Reachable_ = true;
  bool ReachabilityTrusted_ = true;
  ServerHealth Health_;
  ServerRate Rate_;
  RejectionLimit Rejections_;
  WorkTime WorkTime_;
  bool LeftOut_ = false;
  bool OnTrial_ = false;
  std::uint32_t SlotsAside_ = 0;
  TimePoint Now_;
  std::optional<TimePoint> ReplacedUntil_;
  bool SaysLeaving_ = false;
  /// Until when it wants no requests from ingress daemons.
  std::map<VmId, TimePoint> RestUntil_;
  std::unordered_set<RequestId> InFlight_;
  LoadReport Reported_;
  /// Prompt work that the engine still has to do for one request.
  struct PrefillWork {
    Tokens Own_;
    Tokens WithPending_;
    std::vector<std::uint64_t> Prefix_;
    /// The request did not have to wait for a slot in the engine.
    bool HadSlot_ = true;
  };
  std::chrono::nanoseconds waitForSlot() const;
  void endPrefill(const RequestId &Id);

  std::unordered_map<RequestId, PrefillWork> Prefilling_;
  /// Blocks of prompts that are being read, with the number of requests that
  /// have them.
  std::unordered_map<std::uint64_t, int> InProgress_;
  Tokens PendingPrefill_;
  EngineSpeed Speed_;
  std::chrono::nanoseconds Duration_{0};
  PrefixIndex Prefixes_;
};

} // namespace samphireshunt
