#include "FailureTests/UnendingSenders.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace samphireshunt::tests {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::size_t BlockBytes = 65536;
/// How long a connection goes on sending what is not read.
constexpr std::chrono::milliseconds SendLimit{500};

} // namespace

Awaitable<void> UnendingSenders::send(Endpoint To, std::string Start,
                                      std::size_t Most) {
  auto Peer = std::make_shared<Tcp::socket>(Context_);
  boost::system::error_code Error;
  co_await Peer->async_connect(
      To, asio::redirect_error(asio::use_awaitable, Error));
  Peers_.push_back(Peer);
  std::string Block = std::move(Start);
  asio::steady_timer Limit(Context_, SendLimit);
  Limit.async_wait([Peer](const boost::system::error_code &Ended) {
    if (!Ended)
      Peer->cancel();
  });
  for (std::size_t Sent = 0; Sent < Most && !Error; Sent += BlockBytes) {
    co_await asio::async_write(
        *Peer, asio::buffer(Block),
        asio::redirect_error(asio::use_awaitable, Error));
    Block.assign(BlockBytes, 'a');
  }
}

} // namespace samphireshunt::tests
