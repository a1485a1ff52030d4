#pragma once
/// \file
/// Follows the platform's key-value service by one watch: the configuration,
/// the directory of backend servers and the other daemons. Runs on the control
/// thread.

#include "Process/Configuration/FreshnessLease.h"
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
    /// How long one watch waits at the service: each one that returns is a
    /// call, with changes or without.
    std::chrono::milliseconds WatchTime_{20000};
    /// How often the service's revision is asked for besides. That renews the
    /// freshness lease, of five seconds or so, and shows whether the watch
    /// still hears: two calls in the time in which a watch alone would need
    /// five.
    std::chrono::milliseconds ConfirmTime_{3200};
    /// The same at a daemon that others follow: until a lost service shows,
    /// these hear nothing of servers that leave.
    std::chrono::milliseconds ReaderConfirmTime_{600};
    /// How long the watch may be behind the revision that was told.
    std::chrono::milliseconds BehindTime_{300};
    /// No outage shorter than this lets the entry of a living server lapse: it
    /// does after three beats of silence, and the last one may have come up to
    /// a beat, of 1.2 s, before the outage.
    std::chrono::milliseconds LapseTime_{2400};
    /// Pause after a watch that told of changes: those that follow come in one
    /// answer, and each answer counts as a call.
    std::chrono::milliseconds GatherTime_{500};
    /// The same after the first list of a process: in a fleet that starts all
    /// daemons register meanwhile, and by its end most follow another one.
    std::chrono::milliseconds FirstGatherTime_{1000};
    /// Pause after the second failure in a row, doubled up to the longest.
    std::chrono::milliseconds FirstPause_{100};
    std::chrono::milliseconds LongestPause_{400};
    /// The same at a daemon that follows another one as soon as that has the
    /// service back: each failed call counts too, and there are hundreds.
    std::chrono::milliseconds SpareFirstPause_{1000};
    std::chrono::milliseconds SpareLongestPause_{2000};
    /// Daemons that follow others write their entries again spread over this
    /// time.
    std::chrono::milliseconds RegisterSpread_{5000};
  };

  StoreFollower(boost::asio::io_context &Control, PlatformHooks Platform,
                StoreView &View, FreshnessLease &Freshness, Options Settings);

  /// Begins to follow, and registers this daemon under its address.
  void start(VmId Self, std::string Address);
  void stop() { Stopped_ = true; }
  /// Leaves the service alone: another daemon is followed instead.
  void pause();
  /// Follows the service again. \p AfterOutage: it may have been away, and
  /// servers that lapsed meanwhile only seem gone, unless what is known here is
  /// younger than any entry that lapses.
  void resume(bool AfterOutage);
  bool paused() const { return Paused_; }
  /// One that becomes a reader proves at once that it has the service.
  void setRole(StoreRole Role);
  /// This daemon is registered under its address.
  bool registered() const { return RegisteredAddress_ == Address_; }
  /// When the service was asked last whose answer is taken in; the clock's
  /// beginning before the first.
  BootTime reachedAt() const { return ReachedAt_; }
  /// While another daemon is followed: the service has no entry of this one, by
  /// that daemon's word.
  void entryMissing(bool Missing);
  /// Sees to what is to be dropped later of what was taken in.
  void planDrops();
  /// A daemon's entry was read; its own tells that it is registered.
  void daemonSeen(const VmId &Daemon, const KeyValue &Entry);
  /// One call may fail while the service is well, e.g. a watch that is cut.
  bool platformReachable() const { return Failures_ < 2; }
  /// Answers whose era could not be taken.
  std::uint64_t badEras() const { return BadEras_; }

private:
  Awaitable<void> follow(std::uint64_t Generation);
  Awaitable<void> confirmRegularly();
  Awaitable<Result<StorePosition>> confirm();
  /// The service told all up to what is taken in, when asked at \p SentAt.
  void heardAt(BootTime SentAt);
  /// All up to After_ is taken in.
  void proveFresh();
  void startWatch();
  /// Notes since when a configuration that is not here yet is known of.
  void noteLargeAnswer();
  /// The watch is not deaf: what it answers is on its way.
  bool answerComes() const;
  Awaitable<Result<void>> listAll();
  Awaitable<Result<void>> watchOnce(std::uint64_t Generation);
  Awaitable<void> registerSelf();
  Awaitable<void> registerAgain();
  Result<void> noteReached(const StorePosition &Told);
  std::string ownKey() const;
  /// The write of it, where it must stand as at \p Expected.
  KeyValueWrite ownEntry(const StorePosition &Expected) const;
  Awaitable<void> sleep(std::chrono::milliseconds Time);
  /// May be ended before its time by cancelling the timer.
  Awaitable<void> sleepUntilConfirm(std::chrono::milliseconds Time);
  Awaitable<void> dropUnseenLater();
  void succeeded();
  void applyDirectory();
  Awaitable<void> failed(const Failure &Cause);
  std::chrono::milliseconds confirmTime() const;
  std::chrono::milliseconds firstPause() const;
  std::chrono::milliseconds longestPause() const;

  boost::asio::io_context &Control_;
  PlatformHooks Platform_;
  StoreView &View_;
  FreshnessLease &Freshness_;
  Options Options_;
  VmId Self_;
  std::string Address_;
  std::string RegisteredAddress_;
  /// Of this daemon's own entry; revision 0 when it has none.
  StorePosition OwnPosition_;
  StorePosition After_;
  /// Positions that were told and are not taken in yet, with the moment at
  /// which they were asked for last.
  std::map<StorePosition, BootTime> Unproven_;
  BootTime ReachedAt_;
  /// Of the watch that counts; others were given up and end when they return.
  std::uint64_t Generation_ = 0;
  bool NeedsList_ = true;
  bool Stopped_ = false;
  bool Paused_ = false;
  /// The daemon that was followed had not heard of the service lately.
  bool MaybeOutage_ = false;
  StoreRole Role_ = StoreRole::Alone;
  boost::asio::steady_timer ConfirmTimer_;
  /// The cause of the last answer whose era could not be taken, as logged.
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
