#include "Request/RetryBudget.h"

#include <algorithm>

namespace samphireshunt {

namespace {

// Parts of what is permitted within a window: what may be sent at once, and
// what is added during the window. Each pair adds up to 1 at most.
constexpr double AllowanceAtOnce = 0.7;
constexpr double AllowanceOverTime = 0.3;
constexpr double RequestsAtOnce = 0.3;
/// The rest compensates for retries that are delayed after they were sent.
constexpr double RequestsOverTime = 0.65;
/// Longer than most partitions last.
constexpr std::chrono::minutes FleetMemory{10};

} // namespace

void RetryBudget::noteFleetSize(std::size_t Daemons, TimePoint Now) {
  std::lock_guard Lock(Mutex_);
  if (Daemons >= Fleet_.Daemons_) {
    Fleet_.Daemons_ = Daemons;
    Fleet_.Smaller_.reset();
    return;
  }
  if (!Fleet_.Smaller_)
    Fleet_.SmallerSince_ = Now;
  Fleet_.Smaller_ = std::max<std::size_t>(1, Daemons);
}

std::pair<std::shared_ptr<RetryBudget::Bucket>, std::size_t>
RetryBudget::find(const PoolName &Pool, TimePoint Now) {
  std::lock_guard Lock(Mutex_);
  if (Fleet_.Smaller_ && Now - Fleet_.SmallerSince_ >= FleetMemory)
    Fleet_.Daemons_ = *std::exchange(Fleet_.Smaller_, std::nullopt);
  std::shared_ptr<Bucket> &Known = Pools_[Pool];
  if (!Known)
    Known = std::make_shared<Bucket>(Options_.Window_, Options_.Started_);
  return {Known, Fleet_.Daemons_};
}

RetryAccount RetryBudget::refill(Bucket &Locked, std::size_t Daemons,
                                 TimePoint Now) const {
  RetryAccount Account;
  Account.Daemons_ = Daemons;
  Account.Requests_ = Locked.Requests_.sum(Now);
  Account.Reserved_ = Locked.Reserved_;
  double Share = Options_.Allowance_ / static_cast<double>(Daemons);
  Account.Depth_ = AllowanceAtOnce * Share +
                   RequestsAtOnce * Options_.Ratio_ * Account.Requests_;
  double Windows = std::chrono::duration<double>(Now - Locked.Refilled_) /
                   std::chrono::duration<double>(Options_.Window_);
  // Calls of several threads may come out of order.
  Locked.Tokens_ += AllowanceOverTime * Share * std::max(0.0, Windows);
  Locked.Refilled_ = std::max(Locked.Refilled_, Now);
  double Room = std::max(0.0, Account.Depth_ - Locked.Reserved_);
  Locked.Tokens_ = std::min(Locked.Tokens_, Room);
  Account.Tokens_ = Locked.Tokens_;
  return Account;
}

void RetryBudget::recordRequest(const PoolName &Pool, TimePoint Now) {
  auto [Target, Daemons] = find(Pool, Now);
  std::lock_guard Lock(Target->Mutex_);
  Target->Requests_.add(Now);
  Target->Tokens_ += RequestsOverTime * Options_.Ratio_;
  refill(*Target, Daemons, Now);
}

RetryAccount RetryBudget::account(const PoolName &Pool, TimePoint Now) {
  auto [Target, Daemons] = find(Pool, Now);
  std::lock_guard Lock(Target->Mutex_);
  return refill(*Target, Daemons, Now);
}

bool RetryBudget::hasRetry(const PoolName &Pool, TimePoint Now) {
  return account(Pool, Now).allowsOneMore();
}

std::optional<RetryReservation> RetryBudget::tryRetry(const PoolName &Pool,
                                                      TimePoint Now) {
  auto [Target, Daemons] = find(Pool, Now);
  std::lock_guard Lock(Target->Mutex_);
  if (!refill(*Target, Daemons, Now).allowsOneMore()) {
    ++Refused_;
    return std::nullopt;
  }
  ++Allowed_;
  --Target->Tokens_;
  ++Target->Reserved_;
  return RetryReservation(Target);
}

RetryReservation::~RetryReservation() {
  if (!Bucket_)
    return;
  std::lock_guard Lock(Bucket_->Mutex_);
  --Bucket_->Reserved_;
  ++Bucket_->Tokens_;
}

void RetryReservation::sent() {
  auto Taken = std::exchange(Bucket_, nullptr);
  if (!Taken)
    return;
  std::lock_guard Lock(Taken->Mutex_);
  --Taken->Reserved_;
}

} // namespace samphireshunt
