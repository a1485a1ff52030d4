#pragma once
/// \file
/// Claims of idempotency keys in the platform's key-value service. A claim is
/// made by one create with compare-and-swap and never lapses while its key is
/// kept: whoever holds it may dispatch, however long it was paused.

#include "Process/Configuration/Platform.h"

#include <functional>

namespace samphireshunt {

/// Names a key of a customer of a service.
struct ClaimKey {
  ServiceName Service_;
  CustomerName Customer_;
  std::string IdempotencyKey_;

  /// The key of the key-value service.
  std::string storeKey() const;
};

enum class ClaimState { Claimed, Answered, Unknown };

struct Claim {
  std::string Attempt_; ///< The request's id; tells attempts apart.
  VmId Vm_;
  Incarnation Incarnation_;
  std::string BodyDigest_;
  ClaimState State_ = ClaimState::Claimed;
  HttpResponse Answer_;    ///< With Answered.
  StorePosition Position_; ///< Not part of the value.
};

class ClaimStore {
public:
  struct Options {
    std::chrono::milliseconds Retention_{24 * 3600 * 1000};
    /// Tries to read back a write whose answer was lost.
    int ReadBackTries_ = 3;
    std::chrono::milliseconds RetryDelay_{50};
    /// Tries to store an answer or to release a claim.
    int FinishTries_ = 40;
    std::chrono::milliseconds FinishDelay_{500};
    /// A longer answer is not kept; a repeat then gets "unknown".
    std::size_t MaxAnswerBytes_ = 256 * 1024;
  };

  ClaimStore(PlatformHooks Platform, Options Settings)
      : Platform_(std::move(Platform)), Options_(Settings) {}

  /// The claim of a key, if there is one. \returns PlatformUnavailable.
  Awaitable<Result<std::optional<Claim>>> find(ClaimKey Key);
  /// Claims the key for Wanted.Attempt_. \returns the claim that stands: it is
  /// the caller's when Attempt_ is its own. \returns ClaimFailed when that
  /// can't be told; the caller then must not dispatch.
  Awaitable<Result<Claim>> claim(ClaimKey Key, Claim Wanted);
  /// Stores how the claimed run ended; tries for a while.
  Awaitable<void> finish(ClaimKey Key, Claim Ended);
  /// Gives up a claim that was never dispatched; tries for a while. With
  /// \p MayLandLate the create itself may still take effect.
  Awaitable<void> release(ClaimKey Key, Claim Unused, bool MayLandLate);

private:
  Awaitable<void> pause(std::chrono::milliseconds Time);

  PlatformHooks Platform_;
  Options Options_;
};

} // namespace samphireshunt
