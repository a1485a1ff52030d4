#include "FailureTests/UnendingSenders.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

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
  auto IsOver = std::make_shared<bool>(false);
  Limit.async_wait([Peer, IsOver](const boost::system::error_code &Ended) {
    *IsOver = !Ended;
    if (!Ended)
      Peer->cancel();
  });
  for (std::size_t Sent = 0; Sent < Most && !Error && !*IsOver;
       Sent += BlockBytes) {
    // A write that has ended when the limit does is not cancelled: one of
    // several parts would go on without a limit.
    asio::const_buffer Rest = asio::buffer(Block);
    while (Rest.size() > 0 && !Error && !*IsOver)
      Rest += co_await Peer->async_write_some(
          Rest, asio::redirect_error(asio::use_awaitable, Error));
    Block.assign(BlockBytes, 'a');
  }
}

Awaitable<std::size_t>
UnendingSenders::countEnded(std::chrono::milliseconds Limit) {
  // They stay the ones of now while this waits.
  auto Peers = Peers_;
  auto IsOver = std::make_shared<bool>(false);
  asio::steady_timer Timer(Context_, Limit);
  Timer.async_wait([Peers, IsOver](const boost::system::error_code &Ended) {
    *IsOver = !Ended;
    for (const auto &Peer : Peers)
      if (!Ended)
        Peer->cancel();
  });
  std::size_t Ended = 0;
  for (const auto &Peer : Peers) {
    std::array<char, 4096> Ignored;
    boost::system::error_code Error;
    while (!Error && !*IsOver)
      co_await Peer->async_read_some(
          asio::buffer(Ignored),
          asio::redirect_error(asio::use_awaitable, Error));
    // What the limit cut, or left unread, may have ended all the same.
    if (*IsOver) {
      Error = {};
      Peer->non_blocking(true);
      while (!Error)
        Peer->read_some(asio::buffer(Ignored), Error);
    }
    Ended += Error != asio::error::would_block ? 1 : 0;
  }
  co_return Ended;
}

} // namespace samphireshunt::tests
