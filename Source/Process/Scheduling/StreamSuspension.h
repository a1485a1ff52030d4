#pragma once
/// \file
/// Decides which running streams make room for requests of higher tiers, and
/// remembers those that were asked to stop. The code is free of I/O.
///
/// Load pattern: a burst of the lowest tier fills the slots with streams that
/// run for a second and more; seconds later a higher tier bursts. Its requests
/// would miss their objectives behind streams that can't be cancelled without
/// losing them.

#include "Common/Ids.h"
#include "Common/TimePoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace samphireshunt {

/// A running stream that may be suspended.
struct SuspensionCandidate {
  RequestId Id_;
  TierIndex Tier_;
  ServerName Server_;
  VmId Ingress_;
  /// The expected time until it ends by itself.
  std::chrono::nanoseconds Rest_{0};
  /// The time until its caller's deadline.
  std::chrono::nanoseconds Left_{0};
  /// The number of slots of its server.
  std::size_t Slots_ = 1;
};

class StreamSuspension {
public:
  struct Options {
    /// Streams asked to stop, or stopped, as a fraction of the slots of the
    /// cell and of each server. All of them go on there and need a slot again.
    double MaxShare_ = 0.5;
    /// How often one stream may be suspended: each time its caller waits.
    int MaxTimes_ = 2;
    /// A stream that ends within this by itself is left alone: to stop it takes
    /// some tens of milliseconds, and its slot is free soon anyway.
    std::chrono::milliseconds MinRest_{300};
    /// Time that must be left beyond the rest of a stream: the longest pause
    /// that callers take.
    std::chrono::milliseconds MinSlack_{4000};
    /// After this an order counts as lost.
    std::chrono::milliseconds OrderTime_{1000};
    /// How long orders count for MaxTimes_. Streams are rarely longer.
    std::chrono::milliseconds TimesKept_{60000};
    /// Copies at a time, each in a slot that is set aside.
    std::size_t Copies_ = 2;
  };

  StreamSuspension() = default;
  explicit StreamSuspension(Options Settings) : Options_(Settings) {}
  const Options &options() const { return Options_; }

  /// Selects up to \p Wanted streams of lower tiers than \p Above among
  /// \p Candidates, in the order in which they are to be stopped. \p Slots is
  /// the number of slots of the cell.
  std::vector<SuspensionCandidate>
  choose(std::vector<SuspensionCandidate> Candidates, TierIndex Above,
         std::size_t Wanted, std::size_t Slots) const;

  /// Records an order to stop a run.
  void ordered(const SuspensionCandidate &Run, TimePoint Now);
  /// Records that a run waits until it may go on at \p Server: it was stopped
  /// there, or it was lost and its backup is there.
  void waits(const RequestId &Id, const ServerName &Server);
  /// \returns the runs that wait, and their servers.
  const std::map<RequestId, ServerName> &waiting() const { return Stopped_; }
  /// Records that the run goes on, or waits no longer.
  void goesOn(const RequestId &Id);
  /// Records that the run has ended, or that nobody waits for it any more.
  void ended(const RequestId &Id);
  /// Forgets orders whose outcome did not come, and how often streams were
  /// stopped long ago.
  void forgetOld(TimePoint Now);

  /// Promises the next slot of \p Server to the stream \p Id.
  void promise(const ServerName &Server, const RequestId &Id);
  void clearPromises() { Promised_.clear(); }
  const std::map<ServerName, RequestId> &promised() const { return Promised_; }
  /// \returns false while the server is promised to another request.
  bool mayTake(const ServerName &Server, const RequestId &Id) const;

  /// Records that an order was declined.
  void declined(const RequestId &Id);

  std::size_t orders() const { return Orders_.size(); }
  /// \returns how many orders there were, and how many had no effect.
  std::uint64_t ordersInAll() const { return OrdersInAll_; }
  std::uint64_t failedInAll() const { return FailedInAll_; }
  /// \returns the number of streams that are stopped.
  std::size_t stopped() const { return Stopped_.size(); }

private:
  struct Run {
    ServerName Server_;
    TimePoint Ordered_;
  };
  struct Count {
    int Orders_ = 0;
    TimePoint Last_;
  };
  /// The numbers of streams that were stopped, or are to be.
  using StoppedAt = std::map<ServerName, std::size_t>;
  StoppedAt stoppedAt() const;
  bool isEligible(const SuspensionCandidate &Run, TierIndex Above,
                  const StoppedAt &Counts) const;

  Options Options_;
  std::uint64_t OrdersInAll_ = 0;
  std::uint64_t FailedInAll_ = 0;
  std::map<RequestId, Run> Orders_;
  std::map<RequestId, ServerName> Stopped_;
  std::map<RequestId, Count> Times_;
  std::map<ServerName, RequestId> Promised_;
};

} // namespace samphireshunt
