#include "Connection/TcpConnect.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace samphireshunt {

namespace asio = boost::asio;
namespace beast = boost::beast;

Awaitable<Result<asio::ip::tcp::socket>>
connectTcp(Endpoint Address, std::chrono::milliseconds Timeout) {
  // The stream's own timeout shares the state of the stream. The handler of a
  // separate timer could already be queued when the connection is established,
  // outlive this coroutine, and close an object that has since been placed at
  // the same address.
  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  beast::error_code Error;
  Stream.expires_after(Timeout);
  co_await Stream.async_connect(
      Address, asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    co_return Failure{ResultCode::ConnectFailed,
                      formatEndpoint(Address) + ": " + Error.message()};
  co_return Stream.release_socket();
}

Awaitable<PortState> checkPort(Endpoint Address,
                               std::chrono::milliseconds Timeout) {
  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  beast::error_code Error;
  Stream.expires_after(Timeout);
  co_await Stream.async_connect(
      Address, asio::redirect_error(asio::use_awaitable, Error));
  if (!Error)
    co_return PortState::Open;
  co_return Error == asio::error::connection_refused ? PortState::Refused
                                                     : PortState::Silent;
}

} // namespace samphireshunt
