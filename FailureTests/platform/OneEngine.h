#pragma once
/// \file
/// One daemon as a real process with one engine, which is in the test process.

#include "UnitTests/platform/FakeStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace samphireshunt::tests {

/// Writes a configuration with \p Routes to the pool "engines", and the entry
/// of its only server.
inline void publishEngine(FakeStore &Store, std::vector<nlohmann::json> Routes,
                          const Endpoint &Address, int Slots) {
  nlohmann::json Root = {{"version", 1},
                         {"routes", std::move(Routes)},
                         {"services", {{{"name", "engines"}}}},
                         {"limits", {{"idle-timeout-ms", 15000}}},
                         {"tenants", nlohmann::json::array()}};
  Store.put("op/config", Root.dump());
  nlohmann::json Entry = {
      {"service", "engines"}, {"address", formatEndpoint(Address)},
      {"zone", "z"},          {"batch-size", Slots},
      {"version", "v1"},      {"warmup-left-ms", 0},
      {"sequence", 1},        {"born", 1},
      {"state", "ready"}};
  Store.put("servers/engine", Entry.dump());
}

/// \returns the command line of the daemon \p Program, with \p More flags.
inline std::vector<std::string> daemonCommand(std::string Program,
                                              const FakeStore &Store,
                                              std::vector<std::string> More) {
  std::vector<std::string> Command = {std::move(Program),
                                      "--vm_id=vm-1",
                                      "--data_center=z",
                                      "--callers_address=127.0.0.1:0",
                                      "--peers_address=127.0.0.1:0",
                                      "--operators_address=127.0.0.1:0",
                                      "--platform_address=" +
                                          formatEndpoint(Store.address()),
                                      "--threads=0",
                                      "--admission=objectives",
                                      "--log_output=stderr"};
  std::ranges::move(More, std::back_inserter(Command));
  return Command;
}

/// Runs \p Serve for each connection to \p Engine until it is closed.
inline Awaitable<void>
acceptEach(boost::asio::ip::tcp::acceptor &Engine,
           std::function<
               Awaitable<void>(std::shared_ptr<boost::asio::ip::tcp::socket>)>
               Serve) {
  namespace asio = boost::asio;
  boost::system::error_code Error;
  while (!Error) {
    auto Peer = std::make_shared<asio::ip::tcp::socket>(Engine.get_executor());
    co_await Engine.async_accept(
        *Peer, asio::redirect_error(asio::use_awaitable, Error));
    if (!Error)
      asio::co_spawn(
          Engine.get_executor(), [Serve, Peer] { return Serve(Peer); },
          asio::detached);
  }
}

} // namespace samphireshunt::tests
