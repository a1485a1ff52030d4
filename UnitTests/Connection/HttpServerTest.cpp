/// \file
/// The server of HTTP, against callers that are slow at the worst moment.

#include "Connection/Http.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr milliseconds ReadTimeout{20};

/// A server and one caller in the test's thread: what both do between two calls
/// of poll() comes up in one turn.
class ServerFixture {
public:
  explicit ServerFixture(HttpHandler Handler) : Caller_(CallerContext_) {
    HttpServerOptions Options;
    Options.Address_ = {asio::ip::make_address("127.0.0.1"), 0};
    Options.ReadTimeout_ = ReadTimeout;
    Options.Handler_ = std::move(Handler);
    auto Made = HttpServer::create(Context_, {&Context_}, std::move(Options));
    REQUIRE(Made.has_value());
    Server_ = std::move(*Made);
    Caller_.connect(Server_->address());
  }

  void write(std::string_view Bytes) {
    asio::write(Caller_, asio::buffer(Bytes));
  }

  bool pollUntil(const std::function<bool()> &Done) {
    auto End = steady_clock::now() + std::chrono::seconds(5);
    while (!Done() && steady_clock::now() < End) {
      Context_.restart();
      Context_.run_one_for(milliseconds(10));
    }
    return Done();
  }
  void poll() {
    Context_.restart();
    Context_.poll();
  }

  asio::io_context Context_;
  asio::io_context CallerContext_;
  Tcp::socket Caller_;
  std::unique_ptr<HttpServer> Server_;
};

} // namespace

TEST_CASE(
    "a request that is whole when its time is up is served as any other") {
  // Symptom: a caller closes its connection, and its request goes on waiting
  // for an engine, and reaches one.
  // Sequence: the process gets no processor for a while; the last bytes of a
  // request come in meanwhile, and its time for reading ends; both come up in
  // one turn, the read first.
  // Cause: the timer's handler was queued already when the timer was cancelled,
  // and cancelled whatever the connection did by then: the look-out for the
  // caller's end, or a part of the answer.
  bool Asked = false;
  bool Left = false;
  ServerFixture Test([&](HttpExchange &Exchange) -> Awaitable<void> {
    Asked = true;
    Exchange.onCallerLeft([&] { Left = true; });
    asio::steady_timer Timer(co_await asio::this_coro::executor,
                             std::chrono::hours(1));
    co_await Timer.async_wait(asio::use_awaitable);
  });
  Test.write("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\n");
  REQUIRE(Test.pollUntil([&] { return Test.Server_->activeExchanges() == 1; }));
  Test.poll();
  std::this_thread::sleep_until(steady_clock::now() + 2 * ReadTimeout);
  Test.write("x");
  Test.poll();
  REQUIRE(Test.pollUntil([&] { return Asked; }));
  Test.Caller_.close();
  CHECK(Test.pollUntil([&] { return Left; }));
}

TEST_CASE("a request whose handler throws is over, and its connection closed") {
  // Symptom: a daemon that is to stop waits its whole time for requests that
  // are long over.
  // Sequence: the handler of a request ends by an exception.
  // Cause: the count of requests that run was lowered on the usual way only.
  ServerFixture Test([](HttpExchange &) -> Awaitable<void> {
    throw std::runtime_error("the handler's own");
    co_return;
  });
  Test.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  REQUIRE(Test.pollUntil([&] { return Test.Server_->openConnections() == 1; }));
  CHECK(Test.pollUntil([&] { return Test.Server_->openConnections() == 0; }));
  CHECK(Test.Server_->activeExchanges() == 0);
}

TEST_CASE(
    "a handler that throws while it looks out for its caller's end closes "
    "the connection too") {
  // Symptom: a caller waits for an answer until its own time is up, and nothing
  // comes, neither an answer nor the connection's end.
  // Sequence: a handler looks out for its caller's end and ends by an
  // exception.
  // Cause: the look-out holds the connection until the caller itself ends it.
  ServerFixture Test([](HttpExchange &Exchange) -> Awaitable<void> {
    Exchange.onCallerLeft([] {});
    throw std::runtime_error("the handler's own");
    co_return;
  });
  Test.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  REQUIRE(Test.pollUntil([&] { return Test.Server_->openConnections() == 1; }));
  CHECK(Test.pollUntil([&] { return Test.Server_->openConnections() == 0; }));
  CHECK(Test.Server_->activeExchanges() == 0);
}
