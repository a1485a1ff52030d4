/// \file
/// Answers whose bytes don't end.

#include "Connection/Http.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <string>

using namespace samphireshunt;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds Timeout{2000};
constexpr std::size_t BlockBytes = 65536;
/// Far more than may be held, and little enough for a reader that holds it.
constexpr std::size_t SentBytes = 32 * 1024 * 1024;

/// A server that sends \p Start and then one letter for as long as it is read.
class EndlessServer {
public:
  EndlessServer(asio::io_context &Context, std::string Start)
      : Acceptor_(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        Start_(std::move(Start)) {
    asio::co_spawn(
        Context, [this] { return serve(); }, asio::detached);
  }
  Endpoint address() const { return Acceptor_.local_endpoint(); }

private:
  Awaitable<void> serve() {
    Tcp::socket Peer = co_await Acceptor_.async_accept(asio::use_awaitable);
    std::string Block = std::move(Start_);
    boost::system::error_code Error;
    for (std::size_t Sent = 0; Sent < SentBytes && !Error; Sent += BlockBytes) {
      co_await asio::async_write(
          Peer, asio::buffer(Block),
          asio::redirect_error(asio::use_awaitable, Error));
      Block.assign(BlockBytes, 'a');
    }
    // Keeps the connection open until the peer closes it.
    std::array<char, 4096> Ignored;
    while (!Error)
      co_await Peer.async_read_some(
          asio::buffer(Ignored),
          asio::redirect_error(asio::use_awaitable, Error));
  }

  Tcp::acceptor Acceptor_;
  std::string Start_;
};

Awaitable<void> readWhole(Endpoint Address, Result<std::string> &Read) {
  auto Opened = co_await HttpConnection::connect(Address, Timeout);
  HttpConnection &Connection = **Opened;
  HttpRequest Request;
  (void)co_await Connection.send(Request, Timeout);
  auto Head = co_await Connection.readHead(Timeout);
  if (!Head) {
    Read = Head.error();
    co_return;
  }
  do
    Read = co_await Connection.readSome(Timeout);
  while (Read && !Read->empty());
}

/// \returns the code with which a read of such an answer ends.
ResultCode readFrom(std::string Start) {
  asio::io_context Context(1);
  EndlessServer Server(Context, std::move(Start));
  Result<std::string> Read = std::string("unread");
  auto Work = [&]() { return readWhole(Server.address(), Read); };
  asio::co_spawn(Context, std::move(Work), asio::detached);
  Context.run();
  return Read ? ResultCode::Ok : Read.error().Code_;
}

const std::string ChunkedHead =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("a head without end is given up at a limit") {
  // Guards against a head that takes the daemon's memory.
  CHECK(readFrom("HTTP/1.1 200 OK\r\nx: ") == ResultCode::AnswerTooLarge);
}

TEST_CASE("a line before a chunk is given up at a limit") {
  // Guards against framing without end that takes the daemon's memory.
  CHECK(readFrom(ChunkedHead + "1;a=") == ResultCode::AnswerTooLarge);
  CHECK(readFrom(ChunkedHead + "1\r\nb\r\n2;a=") == ResultCode::AnswerTooLarge);
}

TEST_CASE("fields after the last chunk are given up at a limit") {
  // Guards against framing without end that takes the daemon's memory.
  CHECK(readFrom(ChunkedHead + "1\r\nb\r\n0\r\nx: ") ==
        ResultCode::AnswerTooLarge);
}

TEST_CASE("an answer that is reset is not whole, whoever has seen the reset") {
  // Guards against a part of an answer without a length that a caller gets as
  // the whole: the write of its request was told of the reset, and the read
  // sees a normal end.
  asio::io_context Context(1);
  Tcp::acceptor Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0});
  for (bool Resets : {false, true}) {
    Tcp::socket Near(Context);
    Near.connect(Acceptor.local_endpoint());
    Tcp::socket Far = Acceptor.accept();
    int Copy = ::dup(Near.native_handle());
    auto Connection =
        HttpConnection::adopt(std::move(Near), EndOfBytes::OfConnection);
    Connection->acceptUnframed();
    Result<std::string> Read = std::string("unread");
    auto Work = [&]() -> Awaitable<void> {
      HttpRequest Request;
      (void)co_await Connection->send(Request, Timeout);
      asio::write(Far,
                  asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\npart")));
      (void)co_await Connection->readHead(Timeout);
      Read = co_await Connection->readSome(Timeout);
      CHECK(*Read == "part");
      if (Resets) {
        Far.set_option(asio::socket_base::linger(true, 0));
        Far.close();
        CHECK(::send(Copy, "x", 1, MSG_NOSIGNAL) < 0);
      } else {
        Far.shutdown(Tcp::socket::shutdown_send);
      }
      Read = co_await Connection->readSome(Timeout);
    };
    asio::co_spawn(Context, std::move(Work), asio::detached);
    Context.restart();
    Context.run();
    ::close(Copy);
    CHECK(Read.has_value() == !Resets);
    if (Read)
      CHECK(Read->empty());
  }
}
