#pragma once
/// \file
/// The parts of a daemon that follow the platform's store, directly or through
/// another daemon, assembled as in the daemon's process. Used by tests and
/// benchmarks.

#include "Process/Configuration/PeerFollower.h"

#include "UnitTests/platform/FakeStore.h"
#include "platform/Configuration.h"
#include "platform/Store.h"

#include <memory>
#include <utility>

namespace samphireshunt::tests {

class StoreDaemon {
public:
  struct Settings {
    BootClock::duration Lease_{};
    BootClock::duration ApplyBound_{};
    StoreView::Times Times_{};
    std::chrono::milliseconds CallTimeout_{};
    StoreLimits Limits_{};
    StoreFollower::Options Service_;
    PeerFollower::Options Peers_;
  };

  StoreDaemon(boost::asio::io_context &Context, FakeStore &Store,
              Settings Wanted)
      : Context_(Context), Wanted_(std::move(Wanted)),
        Freshness_(Wanted_.Lease_, Wanted_.ApplyBound_),
        View_(Documents_, platform::storeLayout(), Wanted_.Times_),
        Service_(std::make_unique<StoreFollower>(Context, countedHooks(Store),
                                                 View_, Freshness_,
                                                 Wanted_.Service_)) {
    StoreView::Hooks Hooks;
    Hooks.DaemonEntryRead_ = [this](const VmId &Id, const KeyValue &Entry) {
      Service_->onDaemonEntry(Id, Entry);
    };
    Hooks.Changed_ = [this] { Peers_->onChanged(); };
    View_.setHooks(std::move(Hooks));
  }
  void start(const VmId &Self, PeerFollower::Hooks Hooks) {
    static std::uint64_t Process = 0;
    Peers_ = std::make_unique<PeerFollower>(Context_, Incarnation(++Process),
                                            *Service_, View_, Freshness_,
                                            Wanted_.Peers_, std::move(Hooks));
    Service_->start(Self, "10.0.0.9:7600");
    Peers_->start();
  }

  /// \returns how many reads of the store the daemon has begun. Unlike the
  /// store's count it has those that have not reached the store yet.
  std::size_t readsBegun() const { return ReadsBegun_; }

private:
  PlatformHooks countedHooks(const FakeStore &Store) {
    PlatformHooks Hooks =
        platform::storeHooks(Store.address(), Wanted_.CallTimeout_,
                             platform::DefaultMaxBodyTime, Wanted_.Limits_);
    Hooks.List_ = [this, List = Hooks.List_](std::string Prefix) {
      ++ReadsBegun_;
      return List(std::move(Prefix));
    };
    Hooks.Watch_ =
        [this, Watch = Hooks.Watch_](std::string Prefix, StorePosition After,
                                     std::chrono::milliseconds Wait) {
          ++ReadsBegun_;
          return Watch(std::move(Prefix), std::move(After), Wait);
        };
    return Hooks;
  }

  boost::asio::io_context &Context_;
  Settings Wanted_;
  std::size_t ReadsBegun_ = 0;

public:
  DocumentStore Documents_;
  FreshnessLease Freshness_;
  StoreView View_;
  std::unique_ptr<StoreFollower> Service_;
  std::unique_ptr<PeerFollower> Peers_;
};

} // namespace samphireshunt::tests
