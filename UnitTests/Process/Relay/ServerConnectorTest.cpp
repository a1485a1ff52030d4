#include "Process/Relay/ServerConnector.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

using namespace samphireshunt;
namespace asio = boost::asio;

namespace {

ServerTarget targetAt(std::uint16_t Port) {
  return {{}, {asio::ip::make_address("127.0.0.1"), Port}};
}

/// \returns what a check of \p Target finds; nothing if it never ends.
std::optional<ServerCheck> checkAt(asio::io_context &Context,
                                   ServerConnector &Connector,
                                   const ServerTarget &Target) {
  std::optional<ServerCheck> Found;
  asio::co_spawn(
      Context,
      [&]() -> Awaitable<void> { Found = co_await Connector.check(Target); },
      asio::detached);
  while (!Found && Context.run_one() > 0) {
  }
  return Found;
}

} // namespace

TEST_CASE("checks for other daemons hide no crash") {
  // Guards against a crash that counts as one of many losses because other
  // daemons ask for servers that ended earlier.
  asio::io_context Context{1};
  asio::steady_timer Never(Context,
                           std::chrono::steady_clock::time_point::max());
  std::map<Endpoint, int> Tries;
  ServerConnector::Options Options;
  Options.Connect_ =
      [&](Endpoint Server,
          std::chrono::milliseconds) -> Awaitable<ConnectResult> {
    boost::system::error_code Ignored;
    if (++Tries[Server] > 1)
      co_await Never.async_wait(
          asio::redirect_error(asio::use_awaitable, Ignored));
    ConnectResult Tried;
    Tried.State_ = PortState::Refused;
    co_return Tried;
  };
  ServerConnector Connector(Context, Options, {});
  for (std::uint16_t Port = 1; Port <= 4; ++Port)
    asio::co_spawn(Context, Connector.openForRelay(targetAt(Port)),
                   asio::detached);
  Context.poll();
  REQUIRE(std::ranges::all_of(
      Tries, [](const auto &Item) { return Item.second == 2; }));
  std::optional<ServerCheck> Found;
  asio::co_spawn(
      Context,
      [&]() -> Awaitable<void> {
        Found = co_await Connector.check(targetAt(5));
      },
      asio::detached);
  Context.restart();
  Context.poll();
  CHECK(Found == ServerCheck::Refused);
}

TEST_CASE("a server that still accepts connections while it ends has crashed") {
  // Guards against a crash that is none, because the system closes the
  // listening socket of an ended process after its connections.
  asio::io_context Context{1};
  asio::ip::tcp::acceptor Listener(Context, targetAt(0).Address_);
  ServerTarget Target = targetAt(Listener.local_endpoint().port());
  ServerConnector::Options Options;
  Options.Connect_ =
      [&](Endpoint Server,
          std::chrono::milliseconds Timeout) -> Awaitable<ConnectResult> {
    auto Tried = co_await openTcp(std::move(Server), Timeout);
    Listener.close();
    co_return Tried;
  };
  ServerConnector Connector(Context, Options, {});
  CHECK(checkAt(Context, Connector, Target) == ServerCheck::Refused);
}

TEST_CASE("a server that goes on accepting connections has not crashed") {
  // Guards against requests that are blamed for a server's broken connection,
  // also where it resets connections above its limit.
  for (bool Resets : {false, true}) {
    asio::io_context Context{1};
    asio::ip::tcp::acceptor Listener(Context, targetAt(0).Address_);
    ServerTarget Target = targetAt(Listener.local_endpoint().port());
    if (Resets)
      asio::co_spawn(
          Context,
          [&]() -> Awaitable<void> {
            while (true) {
              auto Peer = co_await Listener.async_accept(asio::use_awaitable);
              Peer.close();
            }
          },
          asio::detached);
    int Connects = 0;
    ServerConnector::Options Options;
    Options.Connect_ = [&](Endpoint Server, std::chrono::milliseconds Timeout) {
      ++Connects;
      return openTcp(std::move(Server), Timeout);
    };
    ServerConnector Connector(Context, Options, {});
    CHECK(checkAt(Context, Connector, Target) == ServerCheck::Reached);
    CHECK(Connects == (Resets ? 2 : 1));
  }
}

TEST_CASE("checks of servers that go on hide no crash") {
  // Guards against a crash that counts as one of many losses, because servers
  // that reset connections are being checked.
  asio::io_context Context{1};
  std::vector<asio::ip::tcp::acceptor> Listeners;
  ServerConnector Connector(Context, {}, {});
  for (int Number = 0; Number < 4; ++Number) {
    Listeners.emplace_back(Context, targetAt(0).Address_);
    std::uint16_t Port = Listeners.back().local_endpoint().port();
    asio::co_spawn(Context, Connector.check(targetAt(Port)), asio::detached);
  }
  Endpoint Refusing = Listeners.back().local_endpoint();
  Listeners.pop_back();
  Context.run_one_for(std::chrono::milliseconds(1));
  Context.poll();
  CHECK(checkAt(Context, Connector, targetAt(Refusing.port())) ==
        ServerCheck::Refused);
}

TEST_CASE("a daemon opens no connection to itself, nor has another one do it") {
  // An entry of the directory named a daemon's own address. Its requests came
  // back to it as those of a caller.
  asio::io_context Context{1};
  int Opened = 0;
  int Asked = 0;
  ServerConnector::Options Options;
  Options.Connect_ =
      [&](Endpoint, std::chrono::milliseconds) -> Awaitable<ConnectResult> {
    ++Opened;
    co_return ConnectResult();
  };
  ServerConnector::Hooks Hooks;
  Hooks.IsOwnAddress_ = [](const Endpoint &Address) {
    return Address.port() == 7;
  };
  Hooks.Relays_ = [&] {
    ++Asked;
    return std::make_shared<const std::vector<RelayCandidate>>();
  };
  ServerConnector Connector(Context, Options, Hooks);
  std::vector<bool> Taken;
  auto Take = [&](std::uint16_t Port) -> Awaitable<void> {
    auto Link = co_await Connector.take(
        targetAt(Port), std::chrono::milliseconds(1000), callKey("c1"));
    Taken.push_back(std::holds_alternative<ServerLink>(Link));
    auto Relayed = co_await Connector.openForRelay(targetAt(Port));
    Taken.push_back(Relayed.Socket_.has_value());
  };
  asio::co_spawn(Context, Take(7), asio::detached);
  Context.run();
  CHECK(Taken == std::vector<bool>{false, false});
  CHECK(Opened + Asked == 0);
  Context.restart();
  asio::co_spawn(Context, Take(8), asio::detached);
  Context.run();
  CHECK(Opened >= 2);
}
