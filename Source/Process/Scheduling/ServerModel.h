#pragma once
/// \file
/// What a keeper knows of one engine: what it granted there, how fast the
/// engine has been seen to be, and which prompt prefixes it has likely cached.

#include "Common/Ids.h"
#include "Common/TimePoint.h"
#include "Process/Scheduling/EngineSpeed.h"
#include "Process/Scheduling/PrefixIndex.h"
#include "Process/Scheduling/ServerHealth.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace samphireshunt {

struct ServerCapacity {
  ServerName Name_;
  /// What may be sent there, with what waits inside the engine.
  std::uint32_t MaxInFlight_ = 1;
  bool Active_ = true;
  /// Tokens that its cache holds; 0 is unknown.
  Tokens CacheTokens_{0};
  /// Of MaxInFlight_, what waits inside the engine for a place to get free.
  std::uint32_t Ahead_ = 0;
  /// The engine's present process; 0 is unknown.
  Incarnation Incarnation_;
};

/// A request that ended.
struct ServedSample {
  bool Reached_ = false;  ///< Its bytes were sent to the engine.
  bool Complete_ = false; ///< The whole answer came.
  /// The server could not be reached, broke off or answered with an error.
  bool Faulty_ = false;
  /// Another server answered at its address: the one that was meant is gone.
  bool Replaced_ = false;
  Tokens Generated_;
  /// Tokens that came at once, in the first event.
  Tokens AtOnce_{1};
  std::chrono::microseconds FirstToken_{0};
  std::chrono::microseconds Duration_{0};
};

struct FirstTokenSample {
  std::chrono::microseconds Delay_{0};
};

/// An engine's own report; it lags.
struct LoadReport {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  bool Leaving_ = false;
};

/// Where the first half of a long prompt is, as seen from one engine.
enum class PrefixPlace { Elsewhere, InProgress, Cached };

class ServerModel {
public:
  explicit ServerModel(ServerCapacity Capacity);

  void configure(const ServerCapacity &Capacity);
  const ServerCapacity &capacity() const { return Capacity_; }
  /// False while the engine does not answer its keeper.
  void setReachable(bool Reachable) { Reachable_ = Reachable; }
  bool reachable() const { return Capacity_.Active_ && Reachable_; }
  /// False when the keeper's own view of engines is not to be believed.
  void trustReachability(bool Trusted) { ReachabilityTrusted_ = Trusted; }
  /// True when the engine may get new work.
  bool usable() const {
    bool Answers = Reachable_ || !ReachabilityTrusted_;
    return Capacity_.Active_ && !Reported_.Leaving_ && Answers && !LeftOut_ &&
           !Replaced_;
  }
  Incarnation incarnation() const { return Capacity_.Incarnation_; }
  /// Another server answers at its address. It stays gone, whatever the
  /// directory still says, until it starts again.
  void markReplaced() { Replaced_ = true; }
  ServerHealth &health() { return Health_; }
  const ServerHealth &health() const { return Health_; }
  /// Keeps work from the engine, or lets it have one request at a time.
  void setLeftOut(bool LeftOut, bool OnTrial) {
    LeftOut_ = LeftOut;
    OnTrial_ = OnTrial;
  }
  bool hasRoom(double Share) const;

  void start(const RequestId &Id, Tokens Prompt,
             std::span<const std::uint64_t> Prefix);
  /// \p Typical learns what all engines of the pool are like.
  void firstToken(const RequestId &Id, const FirstTokenSample &Seen,
                  EngineSpeed &Typical);
  void end(const RequestId &Id);
  /// What the engine has of a long prompt's beginning.
  PrefixPlace placeOf(std::span<const std::uint64_t> Prefix) const;
  void learn(const ServedSample &Seen, EngineSpeed &Typical);
  void report(const LoadReport &Seen) { Reported_ = Seen; }
  /// Moves the limit by a report: down to what the engine works on when it
  /// lets requests wait, since they wait there in the order of their coming;
  /// up by one when the limit is what holds requests back.
  void adaptLimit(const LoadReport &Seen);
  std::uint32_t limit() const { return Limit_; }
  /// Requests at the engine by its own last report.
  std::uint32_t reportedLoad() const {
    return Reported_.Running_ + Reported_.Waiting_;
  }

  std::uint32_t inFlight() const {
    return static_cast<std::uint32_t>(InFlight_.size());
  }
  /// It was granted there, to the engine's present process.
  bool runs(const RequestId &Id) const { return InFlight_.contains(Id); }
  /// Expected time until the first token of a request started now, a wait for
  /// a place of the engine included.
  std::chrono::nanoseconds
  expectedFirstToken(Tokens Prompt,
                     std::span<const std::uint64_t> Prefix) const;
  /// Expected cost of prompt work that the engine would do anew: its time, and
  /// as much again for each time that it has to be redone because this prompt
  /// drove another one's blocks out of a full cache.
  std::chrono::nanoseconds
  evictionCost(Tokens Prompt, std::span<const std::uint64_t> Prefix) const;
  /// Expected time between tokens; 0 while nothing was seen.
  std::chrono::nanoseconds betweenTokens() const {
    return Speed_.betweenTokens();
  }
  /// Time that the engine needs for the prompts that it has not read yet.
  std::chrono::nanoseconds unreadTime() const {
    return Speed_.reading(PendingPrefill_);
  }
  /// Time for reading a prompt, with nothing cached and nothing else to read.
  std::chrono::nanoseconds reading(Tokens Prompt) const {
    return Speed_.reading(Prompt);
  }
  /// The longest prompt that it reads within \p Time.
  Tokens readable(std::chrono::nanoseconds Time) const {
    return Speed_.readable(Time);
  }
  /// Time for all prompts that it has not read, with this one.
  std::chrono::nanoseconds
  readingWith(Tokens Prompt, std::span<const std::uint64_t> Prefix) const {
    return Speed_.reading(PendingPrefill_ + uncached(Prompt, Prefix));
  }
  /// What is believed of the engine before its own requests tell.
  void assume(const EngineSpeed &Typical) { Speed_.assume(Typical); }
  /// Time that the request would take with nothing else to do first; 0 while
  /// too little was seen, and for engines that give no tokens.
  std::chrono::nanoseconds
  idleService(Tokens Prompt, Tokens Answer,
              std::span<const std::uint64_t> Prefix) const;
  PrefixIndex &prefixes() { return Prefixes_; }
  const PrefixIndex &prefixes() const { return Prefixes_; }

private:
  void restarted();
  Tokens uncached(Tokens Prompt, std::span<const std::uint64_t> Prefix) const;

  ServerCapacity Capacity_;
  /// At the most the document's limit.
  std::uint32_t Limit_;
  bool Reachable_ = true;
  bool ReachabilityTrusted_ = true;
  ServerHealth Health_;
  bool LeftOut_ = false;
  bool OnTrial_ = false;
  bool Replaced_ = false;
  std::unordered_set<RequestId> InFlight_;
  LoadReport Reported_;
  /// Prompt work that the engine still has to do for one request.
  struct PrefillWork {
    Tokens Own_;
    Tokens WithThoseAhead_;
    std::vector<std::uint64_t> Prefix_;
    /// It did not have to wait for a place in the engine.
    bool HadPlace_ = true;
  };
  std::uint32_t places() const;
  std::chrono::nanoseconds waitForPlace() const;
  void endPrefill(const RequestId &Id);

  std::unordered_map<RequestId, PrefillWork> Prefilling_;
  /// Blocks of prompts that are being worked on, with their number.
  std::unordered_map<std::uint64_t, int> InProgress_;
  Tokens PendingPrefill_;
  EngineSpeed Speed_;
  std::chrono::nanoseconds Duration_{0};
  PrefixIndex Prefixes_;
};

} // namespace samphireshunt
