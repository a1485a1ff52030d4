#pragma once
/// \file
/// Follows the platform's key-value service by one watch: the configuration,
/// the directory of backend servers and the other daemons. Runs on the control
/// thread.

#include "Process/Configuration/FreshnessLease.h"
#include "Process/Configuration/OutageCause.h"
#include "Process/Configuration/StoreReaders.h"
#include "Process/Configuration/StoreView.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace samphireshunt {

class StoreFollower {
public:
  struct Options {
    /// How long one watch waits at the service. Each watch that returns costs a
    /// call, with changes or without.
    std::chrono::milliseconds WatchTime_{20000};
    /// How often the service's revision is requested in addition. This renews
    /// the freshness lease, of about five seconds, and shows whether the watch
    /// still receives changes. It takes two calls in the time in which a watch
    /// alone would need five.
    std::chrono::milliseconds ConfirmTime_{3200};
    /// The same at a daemon that others follow: until it notices that it has
    /// lost the service, its followers don't learn of servers that leave.
    std::chrono::milliseconds ReaderConfirmTime_{600};
    /// The shortest time between two such requests, however many are wanted.
    std::chrono::milliseconds MinConfirmTime_{150};
    /// How long the watch may lag behind the revision that the service has
    /// stated.
    std::chrono::milliseconds MaxWatchLag_{300};
    /// No shorter outage lets the entry of a live server expire: an entry
    /// expires after three missed beats, and the last beat may have come up to
    /// one interval of 1.2 s before the outage.
    std::chrono::milliseconds EarliestExpiry_{2400};
    /// Pause after a watch that returned changes, so that those that follow
    /// come in one answer; each answer counts as a call.
    std::chrono::milliseconds BatchTime_{500};
    /// The same after the first list of a process. In a fleet that starts, all
    /// daemons register during this pause, and at its end most of them follow
    /// another daemon.
    std::chrono::milliseconds FirstBatchTime_{1000};
    /// Pause after the second consecutive failure, doubled up to the longest.
    std::chrono::milliseconds FirstPause_{100};
    std::chrono::milliseconds MaxPause_{400};
    /// The same at a daemon that follows another one as soon as that one has
    /// regained the service. Each failed call counts too, and there are
    /// hundreds of such daemons.
    std::chrono::milliseconds SpareFirstPause_{1000};
    std::chrono::milliseconds SpareMaxPause_{2000};
    /// Daemons that follow others write their missing entries again at times
    /// spread over this interval.
    std::chrono::milliseconds RegisterSpread_{5000};
    OutageObserver::Options Outages_;
  };

  StoreFollower(boost::asio::io_context &Control, PlatformHooks Platform,
                StoreView &View, FreshnessLease &Freshness, Options Settings);

  /// Begins to follow the service, and registers this daemon under its address.
  void start(VmId Self, std::string Address);
  void stop() { Stopped_ = true; }
  /// Stops reading the service, because another daemon is followed instead.
  void pause();
  /// Follows the service again. \p AfterOutage: the service may have been
  /// unavailable, so servers whose entries expired meanwhile may still be live.
  /// This is ignored if the state here is younger than the time in which an
  /// entry can expire.
  void resume(bool AfterOutage);
  bool paused() const { return Paused_; }
  /// Sets the role. A daemon that becomes a reader confirms at once that it has
  /// the service.
  void setRole(StoreRole Role);
  /// Called when another daemon was heard. An outage of the service in which
  /// this daemon stops hearing others counts as its own.
  void heardOther() { Outage_.heardOther(BootClock::now()); }
  /// Confirms the state by a call that is sent after this one, as soon as
  /// Options::MinConfirmTime_ allows it.
  void confirmSoon();
  /// True if this daemon is registered under its address.
  bool registered() const { return RegisteredAddress_ == Address_; }
  /// When the last call of the service was sent whose answer is completely
  /// applied; the clock's epoch before the first.
  BootTime reachedAt() const { return ReachedAt_; }
  /// Reports, while another daemon is followed, whether that daemon finds no
  /// entry of this one in the service.
  void entryMissing(bool Missing);
  /// Schedules the removal of servers that went missing in an outage.
  void scheduleDrops();
  /// Called when a daemon's entry was read. This daemon's own entry shows that
  /// it is registered.
  void onDaemonEntry(const VmId &Daemon, const KeyValue &Entry);
  /// A single failure does not count, since one call may fail while the service
  /// is available, e.g. a watch that is cut.
  bool platformReachable() const { return Failures_ < 2; }
  /// Number of answers that were rejected because of their era.
  std::uint64_t badEras() const { return BadEras_; }

private:
  Awaitable<void> follow(std::uint64_t Generation);
  Awaitable<void> confirmRegularly();
  Awaitable<Result<StorePosition>> confirm();
  /// Records that all changes that the service had when asked at \p SentAt are
  /// applied.
  void appliedAsOf(BootTime SentAt);
  /// Renews the lease from the positions up to After_, which are applied.
  void renewLease();
  void startWatch();
  /// Records since when a configuration that is still arriving has been known.
  void noteLargeAnswer();
  /// True if the watch still receives data: its answer is on its way.
  bool answerArriving() const;
  Awaitable<Result<void>> listAll();
  Awaitable<Result<void>> watchOnce(std::uint64_t Generation);
  Awaitable<void> registerSelf();
  Awaitable<void> registerAgain();
  Result<void> noteReached(const StorePosition &Position);
  std::string ownKey() const;
  /// The write of this daemon's own entry, expected to be at \p Expected.
  KeyValueWrite ownEntry(const StorePosition &Expected) const;
  Awaitable<void> sleep(std::chrono::milliseconds Time);
  /// Sleeps until \p Time is over or the timer is cancelled.
  Awaitable<void> sleepUntilConfirm(std::chrono::milliseconds Time);
  Awaitable<void> dropMissingLater();
  void succeeded();
  void beginOutage();
  void endOutage();
  void applyDirectory();
  Awaitable<void> failed(const Failure &Cause);
  std::chrono::milliseconds confirmTime() const;
  std::chrono::milliseconds firstPause() const;
  std::chrono::milliseconds maxPause() const;

  boost::asio::io_context &Control_;
  PlatformHooks Platform_;
  StoreView &View_;
  FreshnessLease &Freshness_;
  Options Options_;
  VmId Self_;
  std::string Address_;
  std::string RegisteredAddress_;
  /// Position of this daemon's own entry; revision 0 if it has none.
  StorePosition OwnPosition_;
  StorePosition After_;
  /// Positions that the service stated and that are not applied yet, with the
  /// time at which the last call that returned them was sent.
  std::map<StorePosition, BootTime> PendingPositions_;
  BootTime ReachedAt_;
  /// Identifies the current watch. Earlier ones were abandoned, and end when
  /// they return.
  std::uint64_t Generation_ = 0;
  bool NeedsList_ = true;
  bool Stopped_ = false;
  bool Paused_ = false;
  /// The daemon that was followed had lost contact with the service.
  bool MaybeOutage_ = false;
  OutageObserver Outage_;
  bool InOutage_ = false;
  StoreRole Role_ = StoreRole::Alone;
  boost::asio::steady_timer ConfirmTimer_;
  bool ConfirmWanted_ = false;
  BootTime LastConfirm_;
  /// The cause for which the last answer's era was rejected, as logged.
  std::string BadEra_;
  std::uint64_t BadEras_ = 0;
  bool EntryMissing_ = false;
  bool RegisterPlanned_ = false;
  bool DropPlanned_ = false;
  bool SawChanges_ = false;
  bool ListedBefore_ = false;
  int Failures_ = 0;
};

} // namespace samphireshunt
