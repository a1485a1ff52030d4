#include "FailureTests/platform/LinkFaults.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace samphireshunt::tests {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t CopyBytes = 16384;

} // namespace

LinkFaults::LinkFaults()
    : Guard_(asio::make_work_guard(Context_)), Signals_(Context_),
      Resumed_(Context_), Mode_(PassSignal) {
  for (int Signal : {PassSignal, HangSignal, ResetSignal, RefuseNewSignal})
    Signals_.add(Signal);
  awaitSignal();
  Thread_ = std::thread([this] { Context_.run(); });
}

LinkFaults::~LinkFaults() {
  Context_.stop();
  Thread_.join();
}

void LinkFaults::awaitSignal() {
  Signals_.async_wait([this](const error_code &Error, int Signal) {
    if (Error)
      return;
    apply(Signal);
    awaitSignal();
  });
}

void LinkFaults::apply(int Signal) {
  Mode_ = Signal;
  if (Signal == HangSignal)
    Resumed_.expires_at(asio::steady_timer::time_point::max());
  else
    Resumed_.cancel();
  if (Signal != ResetSignal)
    return;
  for (const auto &Weak : Links_)
    if (auto Target = Weak.lock())
      reset(*Target);
  Links_.clear();
}

void LinkFaults::reset(Link &Target) {
  for (Socket *End : {&Target.Daemon_, &Target.Server_}) {
    error_code Ignored;
    End->set_option(asio::socket_base::linger(true, 0), Ignored);
    End->close(Ignored);
  }
}

Connector LinkFaults::connector() {
  return [this](Endpoint Address, std::chrono::milliseconds Timeout) {
    return connect(std::move(Address), Timeout);
  };
}

Awaitable<ConnectResult>
LinkFaults::connect(Endpoint Address, std::chrono::milliseconds Timeout) {
  int Mode = Mode_;
  ConnectResult Failed;
  Failed.Detail_ = "fault of the link";
  if (Mode == HangSignal) {
    asio::steady_timer Timer(co_await asio::this_coro::executor, Timeout);
    co_await Timer.async_wait(asio::use_awaitable);
    co_return Failed;
  }
  Failed.State_ = PortState::Refused;
  if (Mode != PassSignal)
    co_return Failed;
  auto Opened = co_await openTcp(std::move(Address), Timeout);
  if (!Opened.Socket_)
    co_return Opened;
  asio::ip::tcp::acceptor Acceptor(Context_,
                                   {asio::ip::address_v4::loopback(), 0});
  auto Added = std::make_shared<Link>(
      Link{Socket(Context_),
           Socket(Context_, asio::ip::tcp::v4(), Opened.Socket_->release())});
  Opened.Socket_->connect(Acceptor.local_endpoint());
  Acceptor.accept(Added->Daemon_);
  asio::post(Context_, [this, Added] { start(Added); });
  co_return Opened;
}

void LinkFaults::start(std::shared_ptr<Link> Added) {
  if (Mode_ == ResetSignal)
    return reset(*Added);
  std::erase_if(Links_, [](const auto &Weak) { return Weak.expired(); });
  Links_.push_back(Added);
  for (bool FromDaemon : {true, false}) {
    auto Copy = [this, Added, FromDaemon]() {
      Socket &From = FromDaemon ? Added->Daemon_ : Added->Server_;
      Socket &To = FromDaemon ? Added->Server_ : Added->Daemon_;
      return copy(Added, From, To);
    };
    asio::co_spawn(Context_, std::move(Copy), asio::detached);
  }
}

Awaitable<void> LinkFaults::copy(std::shared_ptr<Link> Through, Socket &From,
                                 Socket &To) {
  std::array<char, CopyBytes> Bytes;
  error_code Error;
  while (!Error) {
    std::size_t Count = co_await From.async_read_some(
        asio::buffer(Bytes), asio::redirect_error(asio::use_awaitable, Error));
    while (Mode_ == HangSignal) {
      error_code Ignored;
      co_await Resumed_.async_wait(
          asio::redirect_error(asio::use_awaitable, Ignored));
    }
    if (Error)
      break;
    auto Read = asio::buffer(Bytes, Count);
    co_await asio::async_write(
        To, Read, asio::redirect_error(asio::use_awaitable, Error));
  }
  if (Error != asio::error::eof)
    co_return reset(*Through);
  error_code Ignored;
  To.shutdown(Socket::shutdown_send, Ignored);
}

} // namespace samphireshunt::tests
