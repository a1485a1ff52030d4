/// \file
/// The lifecycle of the daemon: start, readiness, signals, reload and graceful
/// stop.

#include "Common/Log.h"
#include "Connection/Spawn.h"
#include "Programs/Daemon.h"
#include "Programs/StopSettings.h"

#include <boost/asio/executor_work_guard.hpp>

#include <algorithm>
#include <csignal>
#include <iterator>
#include <utility>

namespace samphireshunt {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// How long a starting daemon waits for a message from another daemon, and
/// after that for the configuration that this one has.
constexpr milliseconds JoinTime{1500};
constexpr milliseconds FetchTime{1500};
/// Interval at which the progress of a start or a stop is checked.
constexpr milliseconds DrainCheckInterval{50};
/// The same while the daemon is neither starting nor stopping.
constexpr milliseconds SteadyCheckInterval{250};
/// Interval at which the flag file is checked, since it may change without a
/// signal.
constexpr milliseconds FlagFileInterval{1000};
/// Event-loop iterations of a thread after which a connection that was pending
/// at the first one has been accepted, its request read, and counts as active.
constexpr std::size_t FlushIterations = 5;

} // namespace

bool Daemon::isReady() const { return Ready_; }

/// True when the balancer should send callers to this daemon. With a
/// configuration that may be out of date, keys can't be verified reliably, so
/// callers should go to other daemons, already shortly before that happens.
/// While no daemon is in contact with the platform, the balancer sends to all
/// of them.
bool Daemon::isAcceptingCallers() const {
  bool InTouch = Configuration_ || PeerFollower_->hasSource();
  BootTime Now = BootClock::now();
  return isReady() && !Draining_ && InTouch && Freshness_.valid(Now) &&
         !Freshness_.overdue(Now);
}

/// True when the daemon has a configuration to start with. The service may have
/// been restored from a copy that lacks accepted changes. A daemon that starts
/// then would serve with an older configuration than the others, so it first
/// waits for a message from one of them and for the version named in it.
bool Daemon::configurationReady() {
  if (Configuration_)
    return Configuration_->ready();
  if (Documents_.snapshot()->Services_.empty())
    return false;
  auto Running = steady_clock::now() - Started_;
  bool Joined =
      Membership_->protocol().receivedFromPeer() || Running >= JoinTime;
  bool Complete = !PeerFollower_->lacksAnnouncedVersion() ||
                  Running >= JoinTime + FetchTime;
  Joined_ = Joined_ || (Joined && Complete);
  return Joined_;
}

bool Daemon::platformReachable() const {
  return Configuration_ ? Configuration_->platformReachable()
                        : PeerFollower_->hasSource();
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
  for (auto &Current : Workers_)
    if (Current->Context_ != &Control_)
      Current->Thread_ = std::thread([&Context = *Current->Context_] {
        auto Guard = asio::make_work_guard(Context);
        runContext(Context);
      });
  runContext(Control_);
  for (auto &Current : Workers_) {
    if (Current->Context_ == &Control_)
      continue;
    Current->Context_->stop();
    Current->Thread_.join();
  }
  logEvent(LogCategory::Process, spdlog::level::info, "stopped");
  spdlog::default_logger()->flush();
  return 0;
}

/// Starts a graceful stop. The balancer keeps sending for some seconds, so new
/// connections are still accepted. Other daemons are notified immediately that
/// this one is leaving, and take over its cells.
void Daemon::beginDrain() {
  logEvent(LogCategory::Process, spdlog::level::info, "draining");
  // DrainStarted_ is set first, because other threads read it as soon as they
  // see Draining_. Otherwise they would read the clock's epoch, and refuse
  // requests that have enough time.
  DrainStarted_ = steady_clock::now();
  Draining_ = true;
  Members_->leave();
  membersChanged();
  Membership_->spreadUpdates();
  CallerServer_->closeAfterAnswers();
  Relay_->refuseNew();
  scheduleRefresh();
}

StopTimes Daemon::stopTimes() const {
  return {Settings_.DrainAdmit_, Settings_.DrainTimeout_,
          Settings_.DrainTimeout_ + LastAnswersTime};
}

std::optional<CurrentStop> Daemon::currentStop() const {
  if (!Draining_)
    return std::nullopt;
  auto Since = steady_clock::now() - DrainStarted_;
  return CurrentStop{stopTimes(),
                     std::chrono::duration_cast<milliseconds>(Since)};
}

std::optional<milliseconds> Daemon::sinceRunsEnded() const {
  if (!RunsEnded_)
    return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                  *RunsEnded_);
}

/// Lets all workers end the requests that the stop leaves no time for.
void Daemon::endRequestsAtStop() {
  for (const auto &Current : Workers_)
    asio::post(*Current->Context_, [Callers = Current->Callers_.get()] {
      runLogged("end-at-stop", [&] { Callers->endAtStop(); });
    });
}

/// Starts to process all pending events before the stop is decided. A process
/// or thread that was not scheduled for a while may find in one event-loop
/// iteration that the stop is due and that connections and requests are unread;
/// a stop decided in that iteration would cut them. So all threads first
/// process their pending events, and the decision follows when the last thread
/// has finished.
void Daemon::flushEventQueues() {
  if (std::exchange(FlushingQueues_, true))
    return;
  FlushStarted_ = steady_clock::now();
  std::vector<asio::io_context *> Contexts(FlushIterations, &Control_);
  for (const auto &Context : WorkerContexts_)
    Contexts.insert(Contexts.begin(), FlushIterations, Context.get());
  flushNextQueue(std::move(Contexts));
}

void Daemon::flushNextQueue(std::vector<asio::io_context *> Left) {
  if (Left.empty())
    return asio::post(Control_, [this] { onEventQueuesFlushed(); });
  asio::io_context &Next = *Left.back();
  Left.pop_back();
  asio::post(Next, [this, Left = std::move(Left)]() mutable {
    flushNextQueue(std::move(Left));
  });
}

void Daemon::onEventQueuesFlushed() {
  FlushingQueues_ = false;
  // Connections accepted in the meantime may have unread requests again.
  if (CallerServer_->lastAccepted() >= FlushStarted_)
    return;
  if (mayStop(steady_clock::now() - DrainStarted_))
    stopAll();
}

/// True when no request is active, none is relayed and no new connections are
/// expected. A balancer with few other daemons keeps sending to this one, so
/// connections are accepted until none arrives any more. If they never end, the
/// daemon continues only while requests are active: requests that arrive that
/// late are refused anyway. Once the runs have ended, only their answers are
/// waited for.
bool Daemon::mayStop(steady_clock::duration Drained) {
  auto SinceAccepted = steady_clock::now() - CallerServer_->lastAccepted();
  if (Settings_.DrainQuiet_.count() == 0)
    CallerServer_->stopAccepting();
  bool Quiet = SinceAccepted >= Settings_.DrainQuiet_ ||
               Drained >= 2 * Settings_.DrainDelay_;
  bool Over = Drained >= Settings_.DrainTimeout_;
  return CallerServer_->activeExchanges() == 0 &&
         (Over || (Relay_->connections() == 0 && Quiet));
}

void Daemon::checkProcess() {
  bool WasReady = Ready_;
  Ready_ = configurationReady();
  if (Ready_ && !WasReady)
    logEvent(LogCategory::Process, spdlog::level::info, "ready");
  logPreviousProcess();
  if (Draining_) {
    auto Now = steady_clock::now();
    auto Drained = Now - DrainStarted_;
    bool Over = Drained >= Settings_.DrainTimeout_;
    if (mayEndUnfinished(*currentStop(), sinceRunsEnded()))
      return stopAll();
    endRequestsAtStop();
    if (Over && !RunsEnded_)
      RunsEnded_ = Now;
    if (Over || Drained >= Settings_.DrainDelay_)
      flushEventQueues();
  }
  if (steady_clock::now() - FlagFileChecked_ >= FlagFileInterval)
    reloadSettings();
}

void Daemon::logPreviousProcess() {
  auto Summary = PreviousProcess_.takeSummary(steady_clock::now());
  if (!Summary)
    return;
  LogFields Fields{{"reported_by", std::to_string(Summary->Reporters_)}};
  if (Summary->End_)
    std::ranges::copy(processEndFields(*Summary->End_),
                      std::back_inserter(Fields));
  logEvent(LogCategory::Process, spdlog::level::info, "previous-process",
           Fields);
}

/// Checks periodically whether the daemon has become ready or its stop is
/// complete.
void Daemon::awaitDrained() {
  runLogged("check-process", [this] { checkProcess(); });
  if (Stopped_)
    return;
  bool Steady = Ready_ && !Draining_;
  DrainTimer_.expires_after(Steady ? SteadyCheckInterval : DrainCheckInterval);
  DrainTimer_.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      awaitDrained();
  });
}

/// Applies the settings that may change while the daemon is running: the log
/// level, the peers to join and the times of a stop. Addresses don't change
/// until the next start.
void Daemon::reloadSettings() {
  FlagFileChecked_ = steady_clock::now();
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
  Stopped_ = true;
  Membership_->stop();
  MemberLog_.stop();
  Peers_->stop();
  Relay_->stop();
  Keeper_->stop();
  if (Follower_) {
    Follower_->stop();
    PeerFollower_->stop();
    Rollouts_->stop();
  }
  Control_.stop();
}

} // namespace samphireshunt
