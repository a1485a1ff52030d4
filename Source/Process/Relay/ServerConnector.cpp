#include "Process/Relay/ServerConnector.h"

#include "Common/Log.h"
#include "Connection/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace samphireshunt {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// How often the probes that are due are started.
constexpr milliseconds ProbeTick{100};
/// The minimum time between two checks of a server for other daemons.
constexpr milliseconds CheckInterval{1000};

/// So many servers that lose their connections together have a common fault,
/// which is none of the requests that ran there. Relays that lost their links
/// at the same moment may not know it yet.
constexpr std::size_t LossesTogether = 3;

/// The system closes the sockets of an ended process one after the other, its
/// listening one perhaps last. Less than callers notice.
constexpr milliseconds CloseTime{20};

/// \returns whether the peer of a new connection closes it at once.
Awaitable<bool> closes(asio::ip::tcp::socket &Socket) {
  auto Waiting = std::make_shared<bool>(true);
  asio::steady_timer Limit(Socket.get_executor(), CloseTime);
  Limit.async_wait([&Socket, Waiting](const boost::system::error_code &Error) {
    if (!Error && *Waiting)
      Socket.cancel();
  });
  boost::system::error_code Error;
  co_await Socket.async_wait(asio::ip::tcp::socket::wait_read,
                             asio::redirect_error(asio::use_awaitable, Error));
  *Waiting = false;
  co_return !Error;
}

void logPath(const char *Event, const Endpoint &Server, const char *Seen,
             const std::string &Relay) {
  constexpr std::uint32_t LinesPerSecond = 20;
  thread_local LogSampler Sampler(LinesPerSecond);
  auto Dropped = Sampler.admit(0, steady_clock::now());
  if (!Dropped)
    return;
  logEvent(LogCategory::Request, spdlog::level::info, Event,
           {{"address", formatEndpoint(Server)},
            {"seen", Seen},
            {"relay", Relay},
            {"dropped", std::to_string(*Dropped)}});
}

} // namespace

ServerConnector::ServerConnector(asio::io_context &Context, Options Settings,
                                 Hooks Callbacks)
    : Context_(Context), Options_(std::move(Settings)),
      Hooks_(std::move(Callbacks)), Pool_(Options_.Pool_),
      Paths_(Options_.Paths_) {}

milliseconds ServerConnector::directTimeout() const {
  return Hooks_.Relays_()->empty() ? Options_.OnlyTimeout_
                                   : Options_.DirectTimeout_;
}

Awaitable<std::variant<ServerLink, LinkFailure>>
ServerConnector::take(ServerTarget Target, milliseconds MaxIdle, CallKey Call) {
  auto Obtained = co_await obtain(std::move(Target), MaxIdle, Call);
  if (auto *Link = std::get_if<ServerLink>(&Obtained))
    Link->Connection_->carried().add(Call);
  co_return Obtained;
}

Awaitable<std::variant<ServerLink, LinkFailure>>
ServerConnector::obtain(ServerTarget Target, milliseconds MaxIdle,
                        CallKey Call) {
  LinkFailure Failed;
  if (Hooks_.IsOwnAddress_(Target.Address_)) {
    Failed.Detail_ = formatEndpoint(Target.Address_) + ": this daemon's own";
    co_return Failed;
  }
  Paths_.used(Target.Address_, steady_clock::now());
  ServerLink Link;
  if (!Paths_.trustsIdle(Target.Address_))
    Pool_.closeIdle(Target.Address_);
  else if ((Link.Connection_ = Pool_.takeIdle(Target.Address_, MaxIdle, Call)))
    co_return Link;
  PortState Seen = PortState::Silent;
  bool TriedDirect = !Paths_.isCutOff(Target.Address_);
  if (TriedDirect) {
    auto Opened = co_await Options_.Connect_(Target.Address_, directTimeout());
    if (Opened.Socket_) {
      onReached(Target.Address_);
      Link.Connection_ = HttpConnection::adopt(std::move(*Opened.Socket_),
                                               EndOfBytes::OfConnection);
      co_return Link;
    }
    Seen = Opened.State_;
    Failed.Detail_ = std::move(Opened.Detail_);
  }
  RelayTarget Names = Target.Names_;
  auto Tried = co_await tryRelays(std::move(Names));
  if (Tried.Last_.Socket_) {
    if (TriedDirect)
      onCutOff(Target, Seen, *Tried.Relay_);
    ++RelayedCount_;
    Link.Connection_ = HttpConnection::adopt(
        std::move(*Tried.Last_.Socket_),
        Tried.Last_.Framed_ ? EndOfBytes::InFrame : EndOfBytes::Unknown);
    Link.Relay_ = Tried.Relay_;
    co_return Link;
  }
  bool OthersFailed = Tried.Refused_ + Tried.Silent_ > 0;
  Failed.PathLost_ = !OthersFailed && (Tried.WithoutPath_ > 0 || !TriedDirect);
  co_return Failed;
}

void ServerConnector::giveBack(const Endpoint &Address, ServerLink Link) {
  if (Link.Relay_)
    return Link.Connection_->close();
  Pool_.returnConnection(Address, std::move(Link.Connection_));
}

void ServerConnector::putBack(const Endpoint &Address, ServerLink Link) {
  if (Link.Relay_ || !Link.Connection_->reusable())
    return Link.Connection_->close();
  Pool_.returnConnection(Address, std::move(Link.Connection_));
}

/// Asks daemons one after the other until one is connected. Nothing of a
/// request has been sent on a connection that is not used.
Awaitable<ServerConnector::RelayAttempt>
ServerConnector::tryRelays(RelayTarget Target) {
  RelayAttempt Tried;
  std::vector<VmId> Asked;
  auto Candidates = Hooks_.Relays_();
  std::uint64_t Key = NextKey_++;
  while (Asked.size() < Options_.MaxRelays_ &&
         Tried.Refused_ + Tried.Silent_ < Options_.MaxFailures_) {
    const RelayCandidate *Found =
        Choice_.next(*Candidates, Asked, Key, steady_clock::now());
    if (!Found) {
      bool Avoided = Choice_.anyWithoutPath(*Candidates, steady_clock::now());
      Tried.WithoutPath_ += Avoided ? 1 : 0;
      break;
    }
    RelayCandidate Chosen = *Found;
    Asked.push_back(Chosen.Id_);
    RelayTarget Names = Target;
    Endpoint Address = Chosen.Address_;
    Tried.Last_ = co_await requestRelay(std::move(Address), std::move(Names),
                                        Options_.RelayTimeout_);
    Choice_.answered(Chosen, Tried.Last_.Result_, steady_clock::now());
    Tried.Relay_ = Chosen.Id_;
    if (Tried.Last_.Socket_)
      break;
    Tried.Refused_ += Tried.Last_.Result_ == RelayResult::Refused ? 1 : 0;
    Tried.Silent_ += Tried.Last_.Result_ == RelayResult::Silent ? 1 : 0;
    bool WithoutPath = Tried.Last_.Result_ == RelayResult::NoPath ||
                       Tried.Last_.Result_ == RelayResult::NotNow;
    Tried.WithoutPath_ += WithoutPath ? 1 : 0;
  }
  co_return Tried;
}

Awaitable<ServerCheck> ServerConnector::check(ServerTarget Target) {
  TimePoint Begun = steady_clock::now();
  Endpoint Server = Target.Address_;
  beginCheck(Server, Begun);
  DirectAttempt Direct = co_await tryDirect(Server);
  ServerCheck Found = ServerCheck::Refused;
  if (Direct && Direct->State_ == PortState::Open) {
    // It has not become unreachable together with others, unless it is ending.
    endCheck(Server);
    bool Refuses = co_await refusesNext(Server, std::move(*Direct));
    if (!Refuses) {
      onReached(Server);
      co_return ServerCheck::Reached;
    }
    beginCheck(Server, Begun);
  } else {
    Found = co_await askOthers(std::move(Target), std::move(Direct));
  }
  endCheck(Server);
  bool Together = CheckedTogether_ >= Begun;
  if (Found == ServerCheck::Refused && Together)
    Found = ServerCheck::Silent;
  co_return Found;
}

Awaitable<ServerConnector::DirectAttempt>
ServerConnector::tryDirect(Endpoint Server) {
  if (Paths_.isCutOff(Server))
    co_return std::nullopt;
  co_return co_await Options_.Connect_(Server, Options_.ForRelayTimeout_);
}

void ServerConnector::beginCheck(const Endpoint &Server, TimePoint Begun) {
  ++InProgress_[Server];
  if (InProgress_.size() >= LossesTogether)
    CheckedTogether_ = Begun;
}

void ServerConnector::endCheck(const Endpoint &Server) {
  if (--InProgress_[Server] == 0)
    InProgress_.erase(Server);
}

/// \returns whether the server closes the connection that it has just accepted
/// and refuses the next one, as one does that is ending.
Awaitable<bool> ServerConnector::refusesNext(Endpoint Server,
                                             ConnectResult Accepted) {
  bool Closed = Accepted.Socket_ && co_await closes(*Accepted.Socket_);
  if (!Closed)
    co_return false;
  auto Next = co_await Options_.Connect_(Server, Options_.ForRelayTimeout_);
  co_return Next.State_ == PortState::Refused;
}

/// Asks other daemons for a server that this daemon does not reach.
Awaitable<ServerCheck> ServerConnector::askOthers(ServerTarget Target,
                                                  DirectAttempt Tried) {
  RelayTarget Names = Target.Names_;
  Names.IsCheck_ = true;
  auto Others = co_await tryRelays(std::move(Names));
  if (Others.Last_.Socket_ && Tried)
    onCutOff(Target, Tried->State_, *Others.Relay_);
  if (Others.Last_.Socket_)
    co_return ServerCheck::PathLost;
  bool OthersFailed = Others.Refused_ + Others.Silent_ > 0;
  if (!OthersFailed && (Others.WithoutPath_ > 0 || !Tried))
    co_return ServerCheck::PathLost;
  bool Refused =
      (!Tried || Tried->State_ == PortState::Refused) && Others.Silent_ == 0;
  co_return Refused ? ServerCheck::Refused : ServerCheck::Silent;
}

Awaitable<RelayedSocket> ServerConnector::openForRelay(ServerTarget Target) {
  RelayedSocket Opened;
  if (Hooks_.IsOwnAddress_(Target.Address_))
    co_return Opened;
  Paths_.used(Target.Address_, steady_clock::now());
  if (Paths_.isCutOff(Target.Address_)) {
    Opened.Result_ = RelayResult::NoPath;
    co_return Opened;
  }
  auto Direct =
      co_await Options_.Connect_(Target.Address_, Options_.ForRelayTimeout_);
  if (Direct.Socket_) {
    onReached(Target.Address_);
    Opened.Result_ = RelayResult::Connected;
    Opened.Socket_ = std::move(Direct.Socket_);
    co_return Opened;
  }
  Opened.Result_ = Direct.State_ == PortState::Refused ? RelayResult::Refused
                                                       : RelayResult::Silent;
  // Otherwise the checks of one daemon would spread to the whole fleet.
  if (!Target.Names_.IsCheck_)
    checkLater(std::move(Target));
  co_return Opened;
}

/// This daemon may be cut off as well, without a request of its own that shows
/// it.
void ServerConnector::checkLater(ServerTarget Target) {
  auto Now = steady_clock::now();
  std::erase_if(Checked_, [Now](const auto &Item) {
    return Now - Item.second >= CheckInterval;
  });
  if (!Checked_.try_emplace(Target.Address_, Now).second)
    return;
  auto Check = [this, Target]() -> Awaitable<void> {
    DirectAttempt Direct = co_await tryDirect(Target.Address_);
    bool Reached = Direct && Direct->State_ == PortState::Open;
    if (Reached)
      co_return onReached(Target.Address_);
    ServerTarget Checked = Target;
    co_await askOthers(std::move(Checked), std::move(Direct));
  };
  spawnLogged(Context_, "check-server", std::move(Check));
}

void ServerConnector::onReached(const Endpoint &Server) {
  if (!Paths_.reached(Server, steady_clock::now()))
    return;
  CutOffCount_ = Paths_.cutOffCount();
  logPath("path-restored", Server, "open", "");
}

void ServerConnector::onCutOff(const ServerTarget &Target, PortState Seen,
                               const VmId &Relay) {
  if (!Paths_.cutOff(Target.Address_, Seen, steady_clock::now()))
    return;
  CutOffCount_ = Paths_.cutOffCount();
  logPath("path-lost", Target.Address_, portStateName(Seen).data(),
          Relay.str());
  startProbes();
}

void ServerConnector::startProbes() {
  if (std::exchange(Probing_, true))
    return;
  auto Probe = [this]() { return probeAll(); };
  spawnRepeated(Context_, "probe-servers", std::move(Probe));
}

Awaitable<void> ServerConnector::probeAll() {
  asio::steady_timer Timer(Context_);
  while (Paths_.needsProbes()) {
    for (const Endpoint &Server : Paths_.toProbe(steady_clock::now())) {
      auto Probe = [this, Server]() { return probe(Server); };
      spawnLogged(Context_, "probe-server", std::move(Probe));
    }
    Timer.expires_after(ProbeTick);
    co_await Timer.async_wait(asio::use_awaitable);
  }
  Probing_ = false;
}

Awaitable<void> ServerConnector::probe(Endpoint Server) {
  Endpoint Address = Server;
  auto Opened =
      co_await Options_.Connect_(std::move(Address), Options_.DirectTimeout_);
  if (Opened.Socket_)
    co_return onReached(Server);
  Paths_.probeFailed(Server, Opened.State_);
  CutOffCount_ = Paths_.cutOffCount();
}

} // namespace samphireshunt
