#pragma once
/// \file
/// Retry budget: limits how often requests may be sent to a second server. The
/// current time is always an argument. Safe to use from several threads.
///
/// When a pool fails or refuses many requests, retrying all of them would
/// double its load at that very time. Retries are therefore limited to a
/// fraction of the pool's requests, plus a small allowance for pools with few
/// requests. The limit is that of the whole fleet over any window, and each
/// daemon keeps to its part without asking others.
///
/// Each daemon has a token bucket for each pool, and each retry takes a token.
/// Requests and time add tokens; the depth of the bucket is a part of the
/// daemon's share of the allowance, and of what its requests of the last window
/// permit. What can be sent within a window is therefore at most the depth at
/// its start and what is added meanwhile, wherever requests arrive. A bucket is
/// empty when its process starts, so the sum holds however often processes end.

#include "Common/Ids.h"
#include "Common/SlidingCount.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace samphireshunt {

/// What a decision about a retry is based on.
struct RetryAccount {
  /// Requests of the pool within the window.
  double Requests_ = 0;
  double Tokens_ = 0;
  /// Retries that were allowed and are not sent yet.
  double Reserved_ = 0;
  /// The maximum of tokens and reserved retries together.
  double Depth_ = 0;
  /// The number of daemons that share the allowance.
  std::size_t Daemons_ = 1;

  bool allowsOneMore() const { return Tokens_ >= 1; }
};

class RetryReservation;

class RetryBudget {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Options {
    /// Retries per request within the window.
    double Ratio_ = 0.2;
    /// Additional retries within the window, for the whole fleet together.
    double Allowance_ = 10;
    std::chrono::milliseconds Window_{10000};
    /// When this process started.
    TimePoint Started_{};
  };

  explicit RetryBudget(Options Settings) : Options_(Settings) {}

  /// Notes that \p Daemons daemons are known, this one included. A smaller
  /// number counts once it has been smaller for FleetMemory: a daemon that
  /// loses sight of the others keeps to its share.
  void noteFleetSize(std::size_t Daemons, TimePoint Now);
  /// Counts a request of \p Pool, which extends its budget.
  void recordRequest(const PoolName &Pool, TimePoint Now);
  /// \returns a reservation when the budget of \p Pool allows one more retry.
  std::optional<RetryReservation> tryRetry(const PoolName &Pool, TimePoint Now);
  /// \returns whether tryRetry() would allow one more; takes nothing.
  bool hasRetry(const PoolName &Pool, TimePoint Now);

  RetryAccount account(const PoolName &Pool, TimePoint Now);
  /// Number of retries that were allowed, and that were refused, in all.
  std::size_t allowedInAll() const { return Allowed_; }
  std::size_t refusedInAll() const { return Refused_; }

private:
  friend class RetryReservation;

  static constexpr std::size_t Slots = 10;
  /// Of one pool. Reservations may outlive the budget.
  struct Bucket {
    Bucket(std::chrono::milliseconds Window, TimePoint Started)
        : Requests_(Window), Refilled_(Started) {}
    std::mutex Mutex_;
    SlidingCount<Slots> Requests_;
    double Tokens_ = 0;
    /// Taken tokens whose retries are not sent yet. Until then they take up the
    /// depth, so that retries that wait for a server and are then sent together
    /// are within the limit too.
    double Reserved_ = 0;
    TimePoint Refilled_;
  };
  struct Fleet {
    std::size_t Daemons_ = 1;
    /// The number that is known by now if it is smaller, and since when.
    std::optional<std::size_t> Smaller_;
    TimePoint SmallerSince_;
  };

  std::pair<std::shared_ptr<Bucket>, std::size_t> find(const PoolName &Pool,
                                                       TimePoint Now);
  /// Adds the tokens of the time since the last call.
  RetryAccount refill(Bucket &Locked, std::size_t Daemons, TimePoint Now) const;

  const Options Options_;
  std::atomic<std::size_t> Allowed_ = 0;
  std::atomic<std::size_t> Refused_ = 0;
  std::mutex Mutex_;
  Fleet Fleet_;
  std::map<PoolName, std::shared_ptr<Bucket>> Pools_;
};

/// A retry that was allowed. Its token is given back if it is never sent.
class RetryReservation {
public:
  RetryReservation(RetryReservation &&) noexcept = default;
  RetryReservation &operator=(RetryReservation &&) = delete;
  RetryReservation(const RetryReservation &) = delete;
  RetryReservation &operator=(const RetryReservation &) = delete;
  ~RetryReservation();

  /// Called just before the first byte of the retry is sent.
  void sent();

private:
  friend class RetryBudget;
  explicit RetryReservation(std::shared_ptr<RetryBudget::Bucket> Taken)
      : Bucket_(std::move(Taken)) {}

  /// Null once the retry was sent, or this was moved from.
  std::shared_ptr<RetryBudget::Bucket> Bucket_;
};

} // namespace samphireshunt
