#include "UnitTests/Request/ForwardingHarness.h"

#include "Common/Hash.h"
#include "UnitTests/Process/Keeping/LoneKeeper.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace samphireshunt::tests {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

const ServiceName Service("fleet");
const PoolName ThePool("pool");
constexpr std::size_t ReadBytes = 4096;
/// Time limit of runUntil(): far longer than any test case takes, and short
/// enough to notice one that hangs.
constexpr std::chrono::seconds MaxRunTime{10};

Endpoint anyPort() { return {asio::ip::make_address("127.0.0.1"), 0}; }

std::size_t headEnd(const std::string &Bytes) {
  constexpr std::string_view Blank = "\r\n\r\n";
  std::size_t At = Bytes.find(Blank);
  return At == std::string::npos ? At : At + Blank.size();
}

/// \returns true if \p Bytes contain a complete message, by its length or its
/// last chunk.
bool isComplete(const std::string &Bytes) {
  std::size_t End = headEnd(Bytes);
  if (End == std::string::npos)
    return false;
  std::string Length = fieldIn(Bytes, "content-length");
  if (!Length.empty())
    return Bytes.size() - End >= std::stoul(Length);
  if (!fieldIn(Bytes, "transfer-encoding").empty())
    return Bytes.ends_with(LastChunk);
  return true;
}

Awaitable<bool> readMore(Tcp::socket &Socket, std::string &Into) {
  std::array<char, ReadBytes> Buffer;
  boost::system::error_code Error;
  std::size_t Count = co_await Socket.async_read_some(
      asio::buffer(Buffer), asio::redirect_error(asio::use_awaitable, Error));
  Into.append(Buffer.data(), Count);
  co_return !Error;
}

} // namespace

ScriptedServer::ScriptedServer(asio::io_context &Context, ScriptOf Decide)
    : Acceptor_(Context, anyPort()),
      Release_(Context, steady_clock::time_point::max()),
      Decide_(std::move(Decide)) {
  Address_ = Acceptor_.local_endpoint();
  auto Accept = [this]() { return accept(); };
  asio::co_spawn(Context, std::move(Accept), asio::detached);
}

Awaitable<void> ScriptedServer::accept() {
  while (Acceptor_.is_open()) {
    boost::system::error_code Error;
    Tcp::socket Accepted = co_await Acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error)
      co_return;
    ++Connections_;
    auto Executor = Accepted.get_executor();
    auto Peer = std::make_shared<Tcp::socket>(std::move(Accepted));
    Peers_.push_back(Peer);
    auto Serve = [this, Peer, Number = Connections_]() {
      return serve(Peer, Number);
    };
    asio::co_spawn(Executor, std::move(Serve), asio::detached);
  }
}

void ScriptedServer::crash() {
  Acceptor_.close();
  resetConnections();
}

void ScriptedServer::resetConnections() {
  for (const auto &Weak : Peers_)
    if (auto Peer = Weak.lock()) {
      boost::system::error_code Error;
      Peer->set_option(asio::socket_base::linger(true, 0), Error);
      Peer->close(Error);
    }
}

void ScriptedServer::actOnOthers(const Socket &Own, const Script &Current) {
  for (const auto &Weak : Peers_) {
    auto Peer = Weak.lock();
    if (!Peer || Peer.get() == &Own || !Peer->is_open())
      continue;
    boost::system::error_code Error;
    asio::write(*Peer, asio::buffer(Current.ToOthers_), Error);
    if (Current.Then_ == Script::Then::CloseOthers)
      Peer->close(Error);
  }
}

Awaitable<void> ScriptedServer::serve(std::shared_ptr<Tcp::socket> Peer,
                                      std::size_t Number) {
  Tcp::socket &Socket = *Peer;
  std::string Request;
  Script Current;
  bool Decided = false;
  while (true) {
    if (!Decided && headEnd(Request) != std::string::npos) {
      Serving_ = Number;
      Current = Decide_(Request, Requests_.size());
      Decided = true;
    }
    bool AnswerEarly = Decided && Current.AnswerAfterBytes_ > 0 &&
                       Request.size() >= Current.AnswerAfterBytes_;
    if (!AnswerEarly && !isComplete(Request)) {
      bool More = co_await readMore(Socket, Request);
      if (More)
        continue;
      ++Closed_;
      co_return;
    }
    Requests_.push_back(std::exchange(Request, {}));
    Decided = false;
    boost::system::error_code Error;
    auto Buffer = asio::buffer(Current.Bytes_);
    co_await asio::async_write(
        Socket, Buffer, asio::redirect_error(asio::use_awaitable, Error));
    if (Current.AwaitsRelease_)
      co_await Release_.async_wait(
          asio::redirect_error(asio::use_awaitable, Error));
    if (Current.Silence_.count() > 0) {
      asio::steady_timer Timer(Socket.get_executor(), Current.Silence_);
      co_await Timer.async_wait(asio::use_awaitable);
    }
    if (Current.Silence_.count() > 0 || Current.AwaitsRelease_) {
      auto Later = asio::buffer(Current.AfterSilence_);
      co_await asio::async_write(
          Socket, Later, asio::redirect_error(asio::use_awaitable, Error));
    }
    if (Current.Then_ == Script::Then::Repeat) {
      boost::system::error_code Closed;
      auto Again = asio::buffer(Current.AfterSilence_);
      while (!Closed)
        co_await asio::async_write(
            Socket, Again, asio::redirect_error(asio::use_awaitable, Closed));
      co_return;
    }
    bool ClosesOthers = Current.Then_ == Script::Then::CloseOthers;
    if (ClosesOthers || !Current.ToOthers_.empty())
      actOnOthers(Socket, Current);
    if (ClosesOthers)
      continue;
    if (Current.Then_ == Script::Then::Close)
      co_return;
    if (Current.Then_ == Script::Then::Stall) {
      Stalled_.push_back(Peer);
      co_return;
    }
    if (Current.Then_ == Script::Then::End) {
      Socket.close(Error);
      crash();
      co_return;
    }
    if (Current.Then_ == Script::Then::Crash) {
      crash();
      co_return;
    }
    if (Current.Then_ == Script::Then::Reset) {
      // Closed explicitly, since the destructor would reset the linger option.
      Socket.set_option(asio::socket_base::linger(true, 0), Error);
      Socket.close(Error);
      co_return;
    }
    if (Current.Then_ == Script::Then::KeepOpen)
      continue;
    std::string Ignored;
    bool Open = true;
    while (Open)
      Open = co_await readMore(Socket, Ignored);
    ++Closed_;
    co_return;
  }
}

BareListener::BareListener()
    : Acceptor_(Context_, anyPort()), Socket_(Context_) {
  Acceptor_.non_blocking(true);
}

bool BareListener::connected() {
  boost::system::error_code Error;
  if (!Socket_.is_open())
    Acceptor_.accept(Socket_, Error);
  return Socket_.is_open();
}

void BareListener::read() {
  if (!connected() || Closed_)
    return;
  std::array<char, ReadBytes> Buffer;
  boost::system::error_code Error;
  Socket_.non_blocking(true);
  while (!Error) {
    std::size_t Count = Socket_.read_some(asio::buffer(Buffer), Error);
    Received_.append(Buffer.data(), Count);
  }
  Closed_ = Error != asio::error::would_block;
}

const std::string &BareListener::received() {
  read();
  return Received_;
}

bool BareListener::closed() {
  read();
  return Closed_;
}

int CallerReply::status() const {
  constexpr std::size_t StatusAt = 9;
  constexpr std::size_t StatusDigits = 3;
  if (Bytes_.size() < StatusAt + StatusDigits)
    return 0;
  return std::stoi(Bytes_.substr(StatusAt, StatusDigits));
}

std::string CallerReply::body() const {
  std::size_t End = headEnd(Bytes_);
  return End == std::string::npos ? std::string() : Bytes_.substr(End);
}

bool CallerReply::hasLastChunk() const { return Bytes_.ends_with(LastChunk); }

ForwardingHarness::ForwardingHarness(Options Wanted,
                                     std::vector<ScriptOf> Servers)
    : Options_(Wanted), Lease_(Wanted.Lease_, Wanted.ApplyBound_),
      Connector_(Context_, connecting(), relays()) {
  for (ScriptOf &Decide : Servers)
    Servers_.push_back(
        std::make_unique<ScriptedServer>(Context_, std::move(Decide)));
  auto AddressOf = [this](const ServerName &Name) -> std::optional<Endpoint> {
    auto Snapshot = Documents_.snapshot();
    const BackendServer *Known = Snapshot->activeServer(Service, ThePool, Name);
    return Known ? std::optional(Known->Address_) : std::nullopt;
  };
  for (std::size_t Index = 0; Index < Wanted.Relays_; ++Index)
    Relays_.push_back(std::make_unique<RelayingDaemon>(
        VmId(fmt::format("relay-{}", Index)), AddressOf));
  Lease_.renew(BootClock::now());
  GrantClient::Hooks ClientHooks;
  ClientHooks.KeeperOf_ = [](const CellId &, const std::vector<VmId> &) {
    return std::optional(VmId("vm"));
  };
  ClientHooks.Check_ = [](const VmId &) {};
  ClientHooks.Ended_ = [this](const ServerName &Server,
                              const ServedSample &Sample) {
    Crashes_.requestEnded(Server, Sample);
  };
  Grants_ = std::make_unique<GrantClient>(Context_, VmId("vm"),
                                          std::move(ClientHooks));
  KeeperService::Hooks Hooks = loneKeeperHooks();
  Hooks.Decided_ = [this](const CellId &, const Decision &Taken) {
    Grants_->onDecision(Taken, VmId("vm"));
  };
  Hooks.StandingOf_ = [this](const RequestFingerprint &Request) {
    return Crashes_.standing(Request);
  };
  KeeperService::Options Keeping;
  Keeping.Scheduling_.GuaranteedShare_ = 0.5;
  Keeping.Scheduling_.RefuseInfeasible_ = false;
  Keeping.Scheduling_.Preempt_ = false;
  // Scripted servers answer at once, so hardly any run is expected to be lost.
  if (Options_.RunMemory_.Backups_)
    Keeping.Scheduling_.Backups_.MinLoss_ = 0;
  Keeper_ = std::make_unique<KeeperService>(Context_, Documents_, Keeping,
                                            std::move(Hooks));
  Grants_->setLocalKeeper(Keeper_.get());
  Origins_ = std::make_unique<StreamOriginService>(
      Context_, StreamOriginService::Options(), origins());
  Documents_.onChanged([this](const ServiceName &, DocumentVersion) {
    if (KeeperKnows_)
      Keeper_->refresh();
  });
  publish();
  adopt({"key"});
  Callers_ = std::make_unique<CallerService>(
      services(), [] { return true; },
      [this] {
        return RequestId{1, NextId_++};
      });
  HttpServerOptions Listening;
  Listening.Address_ = anyPort();
  Listening.Handler_ = [this](HttpExchange &Exchange) {
    return Callers_->handle(Exchange);
  };
  Listening.CheckBody_ = [this](const HttpRequest &Head) {
    return Callers_->checkHead(Head);
  };
  Listening.Refusal_ = [](Failure Cause) {
    Verdict Ended(Cause.Code_, Cause.Detail_);
    return finalResponse(RequestId(), Ended);
  };
  Front_ = std::move(*HttpServer::create(Context_, {&Context_}, Memory_,
                                         std::move(Listening)));
}

Connector connectorFor(const PortState &Links) {
  return [&Links](Endpoint Address,
                  milliseconds Timeout) -> Awaitable<ConnectResult> {
    if (Links == PortState::Open)
      co_return co_await openTcp(std::move(Address), Timeout);
    ConnectResult Failed;
    Failed.State_ = Links;
    co_return Failed;
  };
}

RelayingDaemon::RelayingDaemon(
    VmId Id,
    std::function<std::optional<Endpoint>(const ServerName &)> AddressOf)
    : Id_(std::move(Id)), Context_(std::make_unique<asio::io_context>(1)),
      Connector_(*Context_, connecting(), relays()) {
  RelayServer::Options Listening;
  Listening.Address_ = anyPort();
  auto Open = [this, AddressOf = std::move(AddressOf)](
                  RelayTarget Target) -> Awaitable<RelayedSocket> {
    RelayedSocket Unknown;
    Unknown.Result_ = RelayResult::UnknownServer;
    auto Address = AddressOf(Target.Server_);
    if (!Address)
      co_return Unknown;
    ServerTarget Known{std::move(Target), *Address};
    co_return co_await Connector_.openForRelay(std::move(Known));
  };
  Server_ = std::move(
      *RelayServer::create(*Context_, std::move(Listening), std::move(Open)));
  Server_->start({Context_.get()});
  Address_ = Server_->address();
}

ServerConnector::Options RelayingDaemon::connecting() {
  ServerConnector::Options Connecting;
  Connecting.Connect_ = [this, Open = connectorFor(Links_)](
                            Endpoint Address, milliseconds Timeout) {
    ++ConnectsTried_;
    return Open(std::move(Address), Timeout);
  };
  return Connecting;
}

ServerConnector::Hooks RelayingDaemon::relays() {
  ServerConnector::Hooks Hooks;
  Hooks.Relays_ = [this] { return Others_; };
  return Hooks;
}

void RelayingDaemon::setOthers(std::vector<RelayCandidate> Others) {
  Others_ =
      std::make_shared<const std::vector<RelayCandidate>>(std::move(Others));
}

void RelayingDaemon::kill() {
  Server_.reset();
  Context_.reset();
}

void RelayingDaemon::poll() {
  if (Context_)
    Context_->poll();
}

ServerConnector::Options ForwardingHarness::connecting() {
  ServerConnector::Options Connecting;
  Connecting.Connect_ = [this, Open = connectorFor(Links_)](
                            Endpoint Address, milliseconds Timeout) {
    Connecting_();
    return Open(std::move(Address), Timeout);
  };
  return Connecting;
}

void ForwardingHarness::say(std::size_t Server, ServerNotice Notice) {
  ServerStatement Said;
  Said.Server_ = ServerName(fmt::format("server-{}", Server));
  Said.Notice_ = Notice;
  Grants_->hold(Said);
}

void ForwardingHarness::suspend(std::uint64_t Number, std::size_t CopyTo) {
  SuspendDecision Made{RequestId{1, Number},
                       {},
                       VmId("vm"),
                       ServerName(fmt::format("server-{}", CopyTo))};
  Grants_->onDecision(Made, VmId("vm"));
}

ServerConnector::Hooks ForwardingHarness::relays() {
  ServerConnector::Hooks Hooks;
  Hooks.Relays_ = [this] {
    auto Candidates = std::make_shared<std::vector<RelayCandidate>>();
    std::ranges::transform(
        Relays_, std::back_inserter(*Candidates),
        [](const auto &Known) { return Known->candidate(); });
    return std::shared_ptr<const std::vector<RelayCandidate>>(Candidates);
  };
  return Hooks;
}

StreamOriginService::Hooks ForwardingHarness::origins() {
  StreamOriginService::Hooks Hooks;
  Hooks.Others_ = [] { return std::vector<VmId>(); };
  Hooks.VersionOf_ = [this](const UnrecordedStream &) {
    return Options_.Versions_.size() == 1
               ? StreamVersion{StreamVersion::Proof::Shown,
                               SoftwareVersion(Options_.Versions_.front())}
               : StreamVersion();
  };
  return Hooks;
}

PlatformHooks ForwardingHarness::platform() {
  PlatformHooks Hooks;
  Hooks.Get_ =
      [this](std::string Key) -> Awaitable<Result<std::optional<KeyValue>>> {
    auto Found = Stored_.find(Key);
    if (Found == Stored_.end())
      co_return std::optional<KeyValue>();
    KeyValue Known;
    Known.Key_ = Key;
    Known.Value_ = Found->second;
    co_return std::optional(std::move(Known));
  };
  Hooks.Put_ = [this](KeyValueWrite Write) -> Awaitable<Result<StorePosition>> {
    Stored_[Write.Key_] = Write.Value_;
    co_return StorePosition();
  };
  return Hooks;
}

RequestServices ForwardingHarness::services() {
  return {Documents_,
          *Grants_,
          Claims_,
          Connector_,
          Crashes_,
          VmId("vm"),
          Incarnation(1),
          [](const VmId &, Incarnation) { return true; },
          [](const RequestReport &) {},
          nullptr,
          Dialect_,
          Lease_,
          RetryBudget_,
          [this] { return Stop_; },
          *Origins_,
          Memory_};
}

void ForwardingHarness::publish(std::vector<std::size_t> Leaving,
                                std::vector<std::size_t> Gone) {
  std::vector<BackendServer> Listed;
  for (std::size_t Index = 0; Index < Servers_.size(); ++Index) {
    if (std::ranges::count(Gone, Index))
      continue;
    BackendServer Built;
    auto Renamed = Names_.find(Index);
    Built.Name_ =
        ServerName(Renamed == Names_.end() ? fmt::format("server-{}", Index)
                                           : Renamed->second);
    Built.Address_ = Servers_[Index]->address();
    Built.MaxInFlight_ = Options_.MaxInFlight_;
    Built.Leaving_ = std::ranges::count(Leaving, Index) > 0;
    Built.HeldBack_ = std::ranges::count(HeldBack_, Index) > 0;
    const auto &Versions = Options_.Versions_;
    Built.Version_ = SoftwareVersion(Versions[Index % Versions.size()]);
    Listed.push_back(std::move(Built));
  }
  Documents_.setServers(Service, {{ThePool, std::move(Listed)}});
}

void ForwardingHarness::hold(std::vector<std::size_t> HeldBack,
                             bool KeeperKnows) {
  HeldBack_ = std::move(HeldBack);
  KeeperKnows_ = KeeperKnows;
  publish();
  KeeperKnows_ = true;
}

void ForwardingHarness::rename(std::size_t Index, std::string Name) {
  Names_[Index] = std::move(Name);
  publish();
}

void ForwardingHarness::publishAt(const Endpoint &Address) {
  BackendServer Built;
  Built.Name_ = ServerName("server-0");
  Built.Address_ = Address;
  Built.MaxInFlight_ = Options_.MaxInFlight_;
  Documents_.setServers(Service, {{ThePool, {std::move(Built)}}});
}

void ForwardingHarness::adopt(std::vector<std::string> Keys) {
  Document Built;
  Built.Service_ = Service;
  Built.Tiers_ = {"0"};
  Pool Target;
  Target.Name_ = ThePool;
  Target.FromDirectory_ = true;
  Target.RunMemory_ = Options_.RunMemory_;
  Target.RunMemory_.Moves_ = Options_.MovesRuns_;
  Target.Models_ = {"m"};
  Target.Kind_ = Options_.OwnInterface_.value_or(Target.Kind_);
  Built.Pools_.push_back(std::move(Target));
  Route Only;
  Only.PathPrefix_ = "/";
  Only.Pool_ = ThePool;
  Only.NonIdempotent_ = Options_.NonIdempotent_;
  ForwardingRule Rule;
  Rule.Kind_ = Options_.Kind_;
  Rule.Resumable_ = Options_.Resumable_;
  Rule.MaxAttempts_ = Options_.Attempts_;
  Rule.Timeout_ = Options_.Timeout_;
  Rule.Objective_ = milliseconds(500);
  Rule.Anonymous_ = !Options_.RequiresKey_;
  Rule.Targets_ = {{ThePool, 1}};
  if (!Options_.OwnInterface_)
    Only.Forwarding_ = std::make_shared<const ForwardingRule>(std::move(Rule));
  Built.Routes_.push_back(std::make_shared<const Route>(std::move(Only)));
  Customer Caller;
  Caller.Name_ = CustomerName("customer");
  Caller.Allotment_ = Options_.Allotment_;
  std::ranges::transform(Keys, std::back_inserter(Caller.KeyDigests_),
                         [](const std::string &Key) { return sha256Hex(Key); });
  Built.Customers_.push_back(std::move(Caller));
  Built.buildIndex();
  Documents_.adopt(Service, DocumentVersion(++Version_),
                   std::make_shared<const Document>(std::move(Built)));
}

Awaitable<void>
ForwardingHarness::sendAndReceive(std::string Bytes,
                                  std::shared_ptr<CallerReply> Reply) {
  auto Socket = std::make_shared<Tcp::socket>(Context_);
  Reply->Connection_ = Socket;
  boost::system::error_code Error;
  co_await Socket->async_connect(
      Front_->address(), asio::redirect_error(asio::use_awaitable, Error));
  auto Buffer = asio::buffer(Bytes);
  co_await asio::async_write(*Socket, Buffer,
                             asio::redirect_error(asio::use_awaitable, Error));
  bool Open = !Error;
  if (Reply->Pause_)
    co_await Reply->Pause_->async_wait(
        asio::redirect_error(asio::use_awaitable, Error));
  while (Open && !isComplete(Reply->Bytes_))
    Open = co_await readMore(*Socket, Reply->Bytes_);
  Reply->Ended_ = true;
}

std::shared_ptr<CallerReply>
ForwardingHarness::begin(const std::string &CallId, const std::string &Body,
                         const std::string &MoreFields) {
  std::string Bytes = fmt::format(
      "{} /p HTTP/1.1\r\nHost: h\r\nX-Call-Id: {}\r\nAuthorization: Bearer "
      "key\r\nContent-Length: {}\r\n{}\r\n{}",
      Options_.Method_, CallId, Body.size(), MoreFields, Body);
  auto Reply = std::make_shared<CallerReply>();
  auto Ask = [this, Bytes, Reply]() { return sendAndReceive(Bytes, Reply); };
  asio::co_spawn(Context_, std::move(Ask), asio::detached);
  return Reply;
}

std::shared_ptr<CallerReply>
ForwardingHarness::beginUnread(const std::string &CallId,
                               const std::string &Body) {
  auto Reply = begin(CallId, Body);
  Reply->Pause_ = std::make_shared<asio::steady_timer>(
      Context_, steady_clock::time_point::max());
  return Reply;
}

CallerReply ForwardingHarness::call(const std::string &CallId,
                                    const std::string &Body,
                                    const std::string &MoreFields) {
  auto Reply = begin(CallId, Body, MoreFields);
  runUntil([&] { return Reply->Ended_; });
  return *Reply;
}

void ForwardingHarness::endSending(const CallerReply &Call) {
  if (auto Socket = Call.Connection_.lock()) {
    boost::system::error_code Ignored;
    Socket->shutdown(Tcp::socket::shutdown_send, Ignored);
  }
}

void ForwardingHarness::disconnect(const CallerReply &Call) {
  if (auto Socket = Call.Connection_.lock())
    Socket->close();
}

bool ForwardingHarness::runUntil(const std::function<bool()> &Done) {
  auto End = steady_clock::now() + MaxRunTime;
  Context_.restart();
  // Relays have contexts of their own, whose events don't wake this one.
  milliseconds Wait(Relays_.empty() ? 50 : 1);
  while (!Done() && steady_clock::now() < End) {
    Context_.run_one_for(Wait);
    for (const auto &Relay : Relays_)
      Relay->poll();
  }
  return Done();
}

void ForwardingHarness::settle() {
  Context_.restart();
  while (Context_.poll() > 0) {
  }
}

std::size_t ForwardingHarness::received() const {
  std::size_t Sum = 0;
  for (const auto &Server : Servers_)
    Sum += Server->requests().size();
  return Sum;
}

ForwardingHarness::Options optionsOf(RequestKind Kind) {
  ForwardingHarness::Options Wanted;
  Wanted.Kind_ = Kind;
  return Wanted;
}

std::string completeAnswer(const std::string &CallId, const std::string &Body,
                           int Status) {
  return fmt::format("HTTP/1.1 {} Answer\r\nX-Call-Id: {}\r\nX-Answer-Proof: "
                     "p\r\nContent-Length: {}\r\n\r\n{}",
                     Status, CallId, Body.size(), Body);
}

std::string streamHead(const std::string &CallId) {
  return fmt::format("HTTP/1.1 200 OK\r\nX-Call-Id: {}\r\nX-Answer-Proof: "
                     "p\r\nContent-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n",
                     CallId);
}

std::string chunk(const std::string &Data) {
  return fmt::format("{:x}\r\n{}\r\n", Data.size(), Data);
}

std::string eventChunk(int Id, const std::string &Data) {
  return chunk(fmt::format("id: {}\ndata: {}\n\n", Id, Data));
}

std::string refusal(const std::string &CallId) {
  return fmt::format("HTTP/1.1 503 Full\r\nX-Call-Id: {}\r\nX-Not-Run: "
                     "1\r\nContent-Length: 0\r\n\r\n",
                     CallId);
}

std::string misdirected(const std::string &CallId, const std::string &Named) {
  std::string Field = Named.empty() ? "" : "X-Server: " + Named + "\r\n";
  return fmt::format("HTTP/1.1 421 Other\r\nX-Call-Id: {}\r\n{}"
                     "Content-Length: 0\r\n\r\n",
                     CallId, Field);
}

std::string fieldIn(const std::string &Bytes, const std::string &Name) {
  std::string Lower = Bytes.substr(0, headEnd(Bytes));
  std::ranges::transform(Lower, Lower.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  std::size_t At = Lower.find("\r\n" + Name + ":");
  if (At == std::string::npos)
    return {};
  At += Name.size() + 3;
  std::size_t End = Bytes.find("\r\n", At);
  std::string Value = Bytes.substr(At, End - At);
  Value.erase(0, Value.find_first_not_of(' '));
  return Value;
}

} // namespace samphireshunt::tests
