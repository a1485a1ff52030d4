#pragma once
/// \file
/// Claims of idempotency keys in the platform's key-value service. A claim is
/// created by a single compare-and-swap and doesn't expire before its key's
/// retention ends: its owner may dispatch the request however long its process
/// was paused in between.

#include "Process/Configuration/Platform.h"

#include <functional>

namespace samphireshunt {

/// Identifies an idempotency key of one customer of one service.
struct ClaimKey {
  ServiceName Service_;
  CustomerName Customer_;
  std::string IdempotencyKey_;

  /// \returns the key under which the key-value service stores the claim.
  std::string storeKey() const;
};

enum class ClaimState { Claimed, Answered, Unknown };

struct Claim {
  std::string Attempt_; ///< The id of the request that made it.
  VmId Vm_;
  Incarnation Incarnation_;
  std::string BodyDigest_;
  ClaimState State_ = ClaimState::Claimed;
  HttpResponse Answer_;    ///< Set when State_ is Answered.
  StorePosition Position_; ///< Not part of the stored value.
};

class ClaimStore {
public:
  struct Options {
    std::chrono::milliseconds Retention_{24 * 3600 * 1000};
    /// Attempts to create a claim, each followed by a read-back on failure.
    int MaxClaimAttempts_ = 3;
    std::chrono::milliseconds RetryDelay_{50};
    /// Attempts to store an answer or to release a claim.
    int MaxFinishAttempts_ = 40;
    std::chrono::milliseconds FinishDelay_{500};
    /// A larger answer is not stored; a retry then gets outcome "unknown".
    std::size_t MaxAnswerBytes_ = 256 * 1024;
  };

  ClaimStore(PlatformHooks Platform, Options Settings)
      : Platform_(std::move(Platform)), Options_(Settings) {}

  /// Looks up the claim of a key. \returns nothing when there is none.
  /// Fails with PlatformUnavailable.
  Awaitable<Result<std::optional<Claim>>> find(ClaimKey Key);
  /// Claims the key for Wanted.Attempt_. \returns the claim that the store
  /// has now, which is the caller's if its Attempt_ equals Wanted.Attempt_.
  /// Fails with ClaimFailed when the owner can't be determined; the caller
  /// must not dispatch the request then.
  Awaitable<Result<Claim>> claim(ClaimKey Key, Claim Wanted);
  /// Stores how the claimed run ended. Retries MaxFinishAttempts_ times, then
  /// logs the failure.
  Awaitable<void> finish(ClaimKey Key, Claim Ended);
  /// Deletes a claim whose request was never dispatched. Retries
  /// MaxFinishAttempts_ times. With \p MayTakeEffectLate, the create itself may
  /// still take effect, so that an absent claim doesn't end the retries.
  Awaitable<void> release(ClaimKey Key, Claim Unused, bool MayTakeEffectLate);

private:
  Awaitable<void> pause(std::chrono::milliseconds Time);

  PlatformHooks Platform_;
  Options Options_;
};

} // namespace samphireshunt
