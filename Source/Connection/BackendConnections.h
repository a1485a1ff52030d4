#pragma once
/// \file
/// A pool of keep-alive connections to backend servers. There is one pool per
/// worker thread; it is not thread-safe.

#include "Connection/Http.h"

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
  };

  explicit BackendConnections(Options Settings) : Options_(Settings) {}

  /// \returns an idle connection that received bytes within \p MaxIdle and has
  /// not carried \p Call; null if there is none, with a \p MaxIdle of 0, or if
  /// \p Call is unknown.
  std::unique_ptr<HttpConnection> takeIdle(const Endpoint &Address,
                                           std::chrono::milliseconds MaxIdle,
                                           CallKey Call);
  /// Closes the idle connections to a server.
  void closeIdle(const Endpoint &Address) { Idle_.erase(Address); }
  /// Returns \p Connection to the pool if its last response was read completely
  /// and it may carry more calls. Otherwise closes it, so that the rest of that
  /// response can never be taken for the response to another request.
  void returnConnection(const Endpoint &Address,
                        std::unique_ptr<HttpConnection> Connection);

private:
  using Connections = std::vector<std::unique_ptr<HttpConnection>>;

  Options Options_;
  std::map<Endpoint, Connections> Idle_;
};

} // namespace samphireshunt
