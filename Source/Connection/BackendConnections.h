#pragma once
/// \file
/// A pool of keep-alive connections to backend servers. There is one pool per
/// worker thread; it is not thread-safe.

#include "Connection/TcpConnect.h"

#include <map>
#include <memory>
#include <vector>

namespace samphireshunt {

/// Idle time up to which a pooled connection is assumed to work. A network
/// element between the two ends may have lost the state of an idle connection;
/// a request written to it then vanishes without an error. Requests that are
/// safe to retry may use connections that have been idle for longer.
inline constexpr std::chrono::milliseconds TrustedMaxIdle{1000};

class BackendConnections {
public:
  struct Options {
    std::size_t MaxIdlePerServer_ = 64;
    std::chrono::milliseconds ConnectTimeout_{500};
    Connector Connect_ = openTcp;
  };

  explicit BackendConnections(Options Settings)
      : Options_(std::move(Settings)) {}

  /// \returns an idle connection that received bytes within \p MaxIdle, or a
  /// new one. Fails with ConnectFailed.
  Awaitable<Result<std::unique_ptr<HttpConnection>>>
  take(Endpoint Address, std::chrono::milliseconds MaxIdle);
  /// Opens a connection and closes it.
  Awaitable<PortState> checkPort(Endpoint Address,
                                 std::chrono::milliseconds Timeout);
  /// Returns \p Connection to the pool if its last response was read
  /// completely. Otherwise closes it, so that the rest of that response can
  /// never be taken for the response to another request.
  void returnConnection(const Endpoint &Address,
                        std::unique_ptr<HttpConnection> Connection);

private:
  using Connections = std::vector<std::unique_ptr<HttpConnection>>;
  std::unique_ptr<HttpConnection> takeIdle(Connections &Idle,
                                           std::chrono::milliseconds MaxIdle);

  Options Options_;
  std::map<Endpoint, Connections> Idle_;
};

} // namespace samphireshunt
