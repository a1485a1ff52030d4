#include "Connection/TcpConnect.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace samphireshunt {

namespace asio = boost::asio;
namespace beast = boost::beast;

std::string_view portStateName(PortState State) {
  switch (State) {
  case PortState::Open:
    return "open";
  case PortState::Refused:
    return "refused";
  case PortState::Silent:
    return "silent";
  }
  return "silent";
}

Awaitable<ConnectResult> openTcp(Endpoint Address,
                                 std::chrono::milliseconds Timeout) {
  // The stream's own timeout shares the state of the stream. The handler of a
  // separate timer could already be queued when the connection is established,
  // outlive this coroutine, and close an object that has since been placed at
  // the same address.
  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  beast::error_code Error;
  Stream.expires_after(Timeout);
  co_await Stream.async_connect(
      Address, asio::redirect_error(asio::use_awaitable, Error));
  ConnectResult Opened;
  if (!Error) {
    Opened.State_ = PortState::Open;
    Opened.Socket_ = Stream.release_socket();
    co_return Opened;
  }
  if (Error == asio::error::connection_refused ||
      Error == asio::error::connection_reset)
    Opened.State_ = PortState::Refused;
  Opened.Detail_ = formatEndpoint(Address) + ": " + Error.message();
  co_return Opened;
}

Awaitable<Result<asio::ip::tcp::socket>>
connectTcp(Endpoint Address, std::chrono::milliseconds Timeout) {
  auto Opened = co_await openTcp(Address, Timeout);
  if (!Opened.Socket_)
    co_return Failure{ResultCode::ConnectFailed, std::move(Opened.Detail_)};
  co_return std::move(*Opened.Socket_);
}

} // namespace samphireshunt
