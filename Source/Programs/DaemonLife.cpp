/// \file
/// The daemon's life: start, readiness, signals, reload and graceful stop.

#include "Common/Log.h"
#include "Programs/Daemon.h"

#include <boost/asio/executor_work_guard.hpp>

#include <algorithm>
#include <csignal>
#include <utility>

namespace samphireshunt {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// How long a daemon that starts waits for a word of another one, and then for
/// the configuration that this one has.
constexpr milliseconds JoinTime{1500};
constexpr milliseconds FetchTime{1500};
/// How often a stop or a start is looked at.
constexpr milliseconds DrainCheckInterval{50};
/// The same while the daemon neither starts nor stops.
constexpr milliseconds CalmCheckInterval{250};
/// How often the settings' file is looked at: it may change without a signal.
constexpr milliseconds FlagFileInterval{1000};
/// Turns of a thread after which a connection that was there at the first has
/// been accepted, its request read, and counts as active.
constexpr std::size_t LookTurns = 5;

} // namespace

bool Daemon::isReady() const { return Ready_; }

/// With a configuration that may be out of date, keys can't be honoured: other
/// daemons should get the callers, and already when that is about to happen.
/// While no daemon is in touch, the balancer sends to all of them.
bool Daemon::isTakingCallers() const {
  bool InTouch = Configuration_ || PeerFollower_->inTouch();
  BootTime Now = BootClock::now();
  return isReady() && !Draining_ && InTouch && Freshness_.valid(Now) &&
         !Freshness_.overdue(Now);
}

/// The service may have come back from a copy that lacks what was accepted. One
/// that starts then would serve by an older configuration than the others: it
/// hears one of them first, and gets what that one names.
bool Daemon::configurationReady() {
  if (Configuration_)
    return Configuration_->ready();
  if (Documents_.snapshot()->Services_.empty())
    return false;
  auto Running = steady_clock::now() - Started_;
  bool Joined = Membership_->protocol().heardFromPeer() || Running >= JoinTime;
  bool Complete =
      !PeerFollower_->lacksHeardVersion() || Running >= JoinTime + FetchTime;
  Joined_ = Joined_ || (Joined && Complete);
  return Joined_;
}

bool Daemon::platformReachable() const {
  return Configuration_ ? Configuration_->platformReachable()
                        : PeerFollower_->inTouch();
}

RequestId Daemon::nextRequestId() { return {Origin_, NextSequence_++}; }

void Daemon::startConfiguration() {
  if (Configuration_) {
    Configuration_->start();
    return Engines_->start();
  }
  Follower_->start(Settings_.Vm_, Members_->self().Address_);
  PeerFollower_->start();
}

void Daemon::awaitSignal() {
  Signals_.async_wait(
      [this](const boost::system::error_code &Error, int Number) {
        if (Error)
          return;
        if (Number == SIGHUP)
          reloadSettings();
        else if (!Draining_)
          beginDrain();
        awaitSignal();
      });
}

int Daemon::run() {
  Signals_.add(SIGTERM);
  Signals_.add(SIGINT);
  Signals_.add(SIGHUP);
  awaitSignal();
  logEvent(LogCategory::Process, spdlog::level::info, "started",
           {{"incarnation", std::to_string(Incarnation_.count())}});
  Started_ = steady_clock::now();
  Membership_->start();
  std::ranges::for_each(Settings_.SeedPeers_, [this](const Endpoint &Peer) {
    Membership_->join(Peer);
  });
  startConfiguration();
  if (Settings_.TraceCollector_.port() != 0)
    Traces_->start();
  awaitDrained();
  for (auto &Present : Workers_)
    if (Present->Context_ != &Control_)
      Present->Thread_ = std::thread([&Context = *Present->Context_] {
        auto Guard = asio::make_work_guard(Context);
        Context.run();
      });
  Control_.run();
  for (auto &Present : Workers_) {
    if (Present->Context_ == &Control_)
      continue;
    Present->Context_->stop();
    Present->Thread_.join();
  }
  logEvent(LogCategory::Process, spdlog::level::info, "stopped");
  spdlog::default_logger()->flush();
  return 0;
}

/// A planned stop. The balancer goes on sending for some seconds, so new
/// connections are still taken; others learn at once that this daemon leaves
/// and take its cells.
void Daemon::beginDrain() {
  logEvent(LogCategory::Process, spdlog::level::info, "draining");
  // The other threads read the moment once they see that the stop began. Seen
  // first, it would be the clock's beginning, and they refuse what has time.
  DrainStarted_ = steady_clock::now();
  Draining_ = true;
  Members_->leave();
  membersChanged();
  Membership_->spreadNews();
  CallerServer_->closeAfterAnswers();
  refreshSoon();
}

/// A request that is refused finds another daemon; one that is cut is lost.
bool Daemon::hasTimeFor(const ForwardingRule &Rule) const {
  if (!Draining_)
    return true;
  auto Drained = steady_clock::now() - DrainStarted_;
  if (Drained < Settings_.DrainAdmit_)
    return true;
  return Rule.Kind_ != RequestKind::Stream &&
         Drained + Rule.Timeout_ < Settings_.DrainTimeout_;
}

/// A process or a thread that was not let run for a while finds at once that
/// the time of its stop has come and that connections and requests lie unread.
/// Decided in that turn, the stop would cut them. So all threads go through
/// what there is first, and the stop is decided when the last has done so.
void Daemon::lookAround() {
  if (std::exchange(LookingAround_, true))
    return;
  LookStarted_ = steady_clock::now();
  std::vector<asio::io_context *> Turns(LookTurns, &Control_);
  for (const auto &Context : WorkerContexts_)
    Turns.insert(Turns.begin(), LookTurns, Context.get());
  lookThrough(std::move(Turns));
}

void Daemon::lookThrough(std::vector<asio::io_context *> Left) {
  if (Left.empty())
    return asio::post(Control_, [this] { onLookedAround(); });
  asio::io_context &Next = *Left.back();
  Left.pop_back();
  asio::post(Next, [this, Left = std::move(Left)]() mutable {
    lookThrough(std::move(Left));
  });
}

void Daemon::onLookedAround() {
  LookingAround_ = false;
  // What came meanwhile may lie unread again.
  if (CallerServer_->lastAccepted() >= LookStarted_)
    return;
  if (mayStop(steady_clock::now() - DrainStarted_))
    stopAll();
}

/// A balancer with few other daemons goes on sending to this one, so it takes
/// connections until none comes any more. Where that never happens it goes on
/// only while requests run: what comes late it refuses anyway.
bool Daemon::mayStop(steady_clock::duration Drained) {
  auto SinceAccepted = steady_clock::now() - CallerServer_->lastAccepted();
  if (Settings_.DrainQuiet_.count() == 0)
    CallerServer_->stopAccepting();
  bool Quiet = SinceAccepted >= Settings_.DrainQuiet_ ||
               Drained >= 2 * Settings_.DrainDelay_;
  return CallerServer_->activeExchanges() == 0 && Quiet;
}

/// Checks regularly whether the daemon became ready, or its stop is complete.
void Daemon::awaitDrained() {
  bool WasReady = Ready_;
  Ready_ = configurationReady();
  if (Ready_ && !WasReady)
    logEvent(LogCategory::Process, spdlog::level::info, "ready");
  if (Draining_) {
    auto Drained = steady_clock::now() - DrainStarted_;
    if (Drained >= Settings_.DrainTimeout_)
      return stopAll();
    if (Drained >= Settings_.DrainDelay_)
      lookAround();
  }
  if (steady_clock::now() - FlagFileLooked_ >= FlagFileInterval)
    reloadSettings();
  bool Calm = Ready_ && !Draining_;
  DrainTimer_.expires_after(Calm ? CalmCheckInterval : DrainCheckInterval);
  DrainTimer_.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      awaitDrained();
  });
}

/// Takes over what may change while the daemon runs: the log level, the peers
/// to join and the times of a stop. Addresses stay until the next start.
void Daemon::reloadSettings() {
  FlagFileLooked_ = steady_clock::now();
  if (Settings_.FlagFile_.empty())
    return;
  std::error_code Error;
  auto Written = std::filesystem::last_write_time(Settings_.FlagFile_, Error);
  if (Error || Written == std::exchange(FlagFileTime_, Written))
    return;
  auto Read = Settings_.reload();
  if (!Read) {
    logEvent(LogCategory::Process, spdlog::level::err, "settings-not-reloaded",
             {{"detail", Read.error().Detail_}});
    return;
  }
  Settings_.LogLevel_ = Read->LogLevel_;
  Settings_.DrainDelay_ = Read->DrainDelay_;
  Settings_.DrainQuiet_ = Read->DrainQuiet_;
  Settings_.DrainAdmit_ = Read->DrainAdmit_;
  Settings_.DrainTimeout_ = Read->DrainTimeout_;
  std::ranges::for_each(Read->SeedPeers_, [this](const Endpoint &Peer) {
    Membership_->join(Peer);
  });
  applyLogLevel();
  logEvent(LogCategory::Process, spdlog::level::info, "settings-read");
}

void Daemon::stopAll() {
  Membership_->stop();
  MemberLog_.stop();
  Peers_->stop();
  Keeper_->stop();
  if (Follower_) {
    Follower_->stop();
    PeerFollower_->stop();
  }
  Control_.stop();
}

} // namespace samphireshunt
