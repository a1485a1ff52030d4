#include "Process/Relay/RelayServer.h"

#include "Common/Log.h"
#include "Connection/ByteFrames.h"
#include "Connection/SocketOptions.h"
#include "Connection/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace samphireshunt {

namespace asio = boost::asio;
using boost::system::error_code;
using Socket = asio::ip::tcp::socket;

namespace {

constexpr std::size_t CopyBytes = 8192;
/// Counts a connection while it exists.
class ConnectionCount {
public:
  explicit ConnectionCount(std::shared_ptr<std::atomic<std::size_t>> Count)
      : Count_(std::move(Count)) {
    ++*Count_;
  }
  ConnectionCount(const ConnectionCount &) = delete;
  ConnectionCount &operator=(const ConnectionCount &) = delete;
  ~ConnectionCount() { --*Count_; }

private:
  std::shared_ptr<std::atomic<std::size_t>> Count_;
};

/// A relayed connection: its end at the other daemon, and at the server.
struct RelayedPair {
  RelayedPair(RelayRequest Asked, Socket Server,
              std::shared_ptr<std::atomic<std::size_t>> Count)
      : Daemon_(std::move(Asked.Socket_)), Framed_(Asked.Framed_),
        Server_(std::move(Server)), Counted_(std::move(Count)) {}

  Socket Daemon_;
  /// The server's bytes are sent in frames.
  bool Framed_;
  Socket Server_;
  ConnectionCount Counted_;

  void reset() {
    for (Socket *End : {&Daemon_, &Server_}) {
      error_code Ignored;
      End->set_option(asio::socket_base::linger(true, 0), Ignored);
      End->close(Ignored);
    }
  }
};

/// Copies bytes until one end closes, \p Framed or as they are. \returns how
/// \p From ended.
Awaitable<error_code> copyBytes(Socket &From, Socket &To, bool Framed) {
  std::array<char, CopyBytes> Bytes;
  while (true) {
    error_code Error;
    std::size_t Count = co_await From.async_read_some(
        asio::buffer(Bytes), asio::redirect_error(asio::use_awaitable, Error));
    if (Error)
      co_return Error;
    FrameHead Head = frameHead(Count);
    std::array<asio::const_buffer, 2> Read = {
        asio::buffer(Head.data(), Framed ? Head.size() : 0),
        asio::buffer(Bytes, Count)};
    co_await asio::async_write(
        To, Read, asio::redirect_error(asio::use_awaitable, Error));
    if (Error)
      co_return Error;
  }
}

/// The other daemon closes its end only when it gives up the request, which the
/// server has to notice at once.
Awaitable<void> copyRequest(std::shared_ptr<RelayedPair> Pair) {
  error_code Error = co_await copyBytes(Pair->Daemon_, Pair->Server_,
                                        /*Framed=*/false);
  if (Error != asio::error::eof)
    co_return Pair->reset();
  error_code Ignored;
  Pair->Server_.close(Ignored);
  Pair->Daemon_.close(Ignored);
}

/// An answer without a length ends with its connection, and is complete only if
/// the server closed it normally. The last frame says so.
Awaitable<void> copyAnswer(std::shared_ptr<RelayedPair> Pair) {
  error_code Error =
      co_await copyBytes(Pair->Server_, Pair->Daemon_, Pair->Framed_);
  if (Error != asio::error::eof || wasReset(Pair->Server_))
    co_return Pair->reset();
  error_code Ignored;
  FrameHead Last = frameHead(0);
  auto Buffer = asio::buffer(Last.data(), Pair->Framed_ ? Last.size() : 0);
  co_await asio::async_write(
      Pair->Daemon_, Buffer,
      asio::redirect_error(asio::use_awaitable, Ignored));
  Pair->Daemon_.shutdown(Socket::shutdown_send, Ignored);
}

void configure(Socket &Target) {
  error_code Ignored;
  Target.set_option(asio::ip::tcp::no_delay(true), Ignored);
  limitSilence(Target, ServerSilence);
}

} // namespace

Result<std::unique_ptr<RelayServer>>
RelayServer::create(asio::io_context &Accept, Options Settings, OpenHook Open) {
  error_code Error;
  Tcp::acceptor Acceptor(Accept);
  Acceptor.open(Settings.Address_.protocol(), Error);
  if (!Error)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Settings.Address_, Error);
  if (!Error)
    Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return Failure{ResultCode::BadSetting,
                   "can't listen on " + formatEndpoint(Settings.Address_) +
                       ": " + Error.message()};
  return std::unique_ptr<RelayServer>(new RelayServer(
      std::move(Acceptor), std::move(Settings), std::move(Open)));
}

RelayServer::RelayServer(Tcp::acceptor Acceptor, Options Settings,
                         OpenHook Open)
    : Options_(std::move(Settings)), Open_(std::move(Open)) {
  AcceptLoop::Hooks Accepting;
  Accepting.Context_ = [this]() -> asio::io_context & {
    return *Workers_[NextWorker_++ % Workers_.size()];
  };
  Accepting.Accepted_ = [this](Socket Accepted) {
    auto Executor = Accepted.get_executor();
    auto Shared = std::make_shared<Socket>(std::move(Accepted));
    auto Serve = [this, Shared]() { return serve(std::move(*Shared)); };
    spawnLogged(Executor, "relay", std::move(Serve));
  };
  Accepting_ = AcceptLoop::create(std::move(Acceptor), "accept-relay",
                                  std::move(Accepting));
}

void RelayServer::start(std::vector<asio::io_context *> Workers) {
  Workers_ = std::move(Workers);
  Accepting_->start();
}

void RelayServer::stop() { Accepting_->stop(); }

Awaitable<RelayedSocket> RelayServer::open(RelayTarget Target) {
  RelayedSocket Refused;
  Refused.Result_ = RelayResult::Stopping;
  if (Stopping_)
    co_return Refused;
  Refused.Result_ = RelayResult::Busy;
  if (connections() >= Options_.MaxConnections_)
    co_return Refused;
  co_return co_await Open_(std::move(Target));
}

Awaitable<void> RelayServer::serve(Tcp::socket Accepted) {
  configure(Accepted);
  auto Asked = co_await readRelayRequest(std::move(Accepted),
                                         Options_.HandshakeTimeout_);
  if (!Asked) {
    logEvent(LogCategory::Process, spdlog::level::warn, "relay-not-asked",
             {{"code", std::to_string(static_cast<int>(Asked.error().Code_))},
              {"detail", Asked.error().Detail_}});
    co_return;
  }
  RelayTarget Target = Asked->Target_;
  auto Opened = co_await open(std::move(Target));
  bool Sent = co_await sendRelayResult(*Asked, Opened.Result_);
  if (!Sent || !Opened.Socket_)
    co_return;
  configure(*Opened.Socket_);
  auto Executor = Asked->Socket_.get_executor();
  auto Pair = std::make_shared<RelayedPair>(
      std::move(*Asked), std::move(*Opened.Socket_), Connections_);
  auto Copy = [Pair]() { return copyAnswer(Pair); };
  spawnLogged(Executor, "relay-answer", std::move(Copy));
  co_await copyRequest(std::move(Pair));
}

} // namespace samphireshunt
