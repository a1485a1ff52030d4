#pragma once
/// \file
/// Relays connections of other daemons to servers that these daemons can't
/// reach. Bytes are passed on unchanged in both directions, those of the server
/// in frames; what a request is, and whether it may run again, is known to the
/// other daemon alone.

#include "Connection/AcceptLoop.h"
#include "Process/Relay/RelayHandshake.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace samphireshunt {

class RelayServer {
public:
  struct Options {
    Endpoint Address_;
    /// The maximum number of connections that are relayed at a time.
    std::size_t MaxConnections_ = 256;
    /// How long the other daemon may take to name the server.
    std::chrono::milliseconds HandshakeTimeout_{1000};
  };
  /// Connects to a server. Called on the context that will carry the
  /// connection.
  using OpenHook = std::function<Awaitable<RelayedSocket>(RelayTarget)>;

  /// Binds the address. \returns BadSetting if that fails.
  static Result<std::unique_ptr<RelayServer>>
  create(boost::asio::io_context &Accept, Options Settings, OpenHook Open);

  /// Begins to accept and distributes the connections over \p Workers.
  void start(std::vector<boost::asio::io_context *> Workers);
  Endpoint address() const { return Accepting_->address(); }
  /// \returns the number of connections that are being relayed. Thread-safe.
  std::size_t connections() const { return *Connections_; }
  /// Refuses new connections; those that are being relayed go on.
  void refuseNew() { Stopping_ = true; }
  void stop();

private:
  using Tcp = boost::asio::ip::tcp;

  RelayServer(Tcp::acceptor Acceptor, Options Settings, OpenHook Open);
  Awaitable<void> serve(Tcp::socket Accepted);
  Awaitable<RelayedSocket> open(RelayTarget Target);

  std::shared_ptr<AcceptLoop> Accepting_;
  std::vector<boost::asio::io_context *> Workers_;
  std::size_t NextWorker_ = 0;
  Options Options_;
  OpenHook Open_;
  std::atomic<bool> Stopping_ = false;
  /// Shared with coroutines that may be destroyed after this object.
  std::shared_ptr<std::atomic<std::size_t>> Connections_ =
      std::make_shared<std::atomic<std::size_t>>(0);
};

} // namespace samphireshunt
