#include "Process/Relay/RelayServer.h"

#include "Process/Relay/RelayHandshake.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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

Endpoint anyPort() { return {asio::ip::make_address("127.0.0.1"), 0}; }

/// A relay to one server, with another holder of its socket to that.
struct OneRelay {
  OneRelay() {
    RelayServer::Options Listening;
    Listening.Address_ = anyPort();
    auto Open = [this](RelayTarget) { return open(); };
    Relay_ = std::move(
        *RelayServer::create(Context_, std::move(Listening), std::move(Open)));
    Relay_->start({&Context_});
  }
  ~OneRelay() { ::close(Copy_); }

  Awaitable<RelayedSocket> open() {
    Tcp::socket Near(Context_);
    Endpoint Address = Server_.local_endpoint();
    co_await Near.async_connect(Address, asio::use_awaitable);
    Copy_ = ::dup(Near.native_handle());
    RelayedSocket Opened;
    Opened.Result_ = RelayResult::Connected;
    Opened.Socket_ = std::move(Near);
    co_return Opened;
  }

  asio::io_context Context_{1};
  Tcp::acceptor Server_{Context_, anyPort()};
  int Copy_ = -1;
  std::unique_ptr<RelayServer> Relay_;
};

} // namespace

TEST_CASE("a relay does not say that an answer ended which was reset") {
  // Guards against a part of an answer without a length that a caller gets as
  // the whole: the write of its request was told of the reset, and the read of
  // the relay sees a normal end.
  for (bool Resets : {false, true}) {
    CAPTURE(Resets);
    OneRelay Test;
    Result<std::string> Read = std::string("unread");
    bool Done = false;
    auto Work = [&]() -> Awaitable<void> {
      RelayTarget Names;
      auto Opened =
          co_await requestRelay(Test.Relay_->address(), Names, Timeout);
      Tcp::socket Far = co_await Test.Server_.async_accept(asio::use_awaitable);
      auto Connection = HttpConnection::adopt(std::move(*Opened.Socket_),
                                              EndOfBytes::InFrame);
      Connection->acceptUnframed();
      HttpRequest Request;
      (void)co_await Connection->send(Request, Timeout);
      const std::string Part = "HTTP/1.1 200 OK\r\n\r\npart";
      asio::write(Far, asio::buffer(Part));
      (void)co_await Connection->readHead(Timeout);
      Read = co_await Connection->readSome(Timeout);
      CHECK(*Read == "part");
      if (Resets) {
        Far.set_option(asio::socket_base::linger(true, 0));
        Far.close();
        CHECK(::send(Test.Copy_, "x", 1, MSG_NOSIGNAL) < 0);
      } else {
        Far.shutdown(Tcp::socket::shutdown_send);
      }
      Read = co_await Connection->readSome(Timeout);
      Done = true;
    };
    asio::co_spawn(Test.Context_, std::move(Work), asio::detached);
    while (!Done && Test.Context_.run_one_for(Timeout) > 0) {
    }
    REQUIRE(Done);
    CHECK(Read.has_value() == !Resets);
  }
}
