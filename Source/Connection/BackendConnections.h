#pragma once
/// \file
/// Connections to backend servers that are kept for a next request. One object
/// per worker thread; not thread-safe.

#include "Connection/Http.h"

#include <map>
#include <memory>
#include <vector>

namespace samphireshunt {

/// An idle connection may have gone silent: something between the two ends lost
/// track of it, a request written to it vanishes, and no error comes back. One
/// that carried an answer this recently is taken as proved; for a request that
/// may be sent again an older one does as well.
inline constexpr std::chrono::milliseconds ProvedMaxIdle{1000};

class BackendConnections {
public:
  struct Options {
    std::size_t MaxIdlePerServer_ = 64;
    std::chrono::milliseconds ConnectTimeout_{500};
  };

  explicit BackendConnections(Options Settings) : Options_(Settings) {}

  /// An idle connection that answered within \p MaxIdle, or a new one.
  Awaitable<Result<std::unique_ptr<HttpConnection>>>
  take(Endpoint Address, std::chrono::milliseconds MaxIdle);
  /// Keeps the connection when its last answer was read whole; closes it
  /// otherwise, so that a late answer can never meet another request.
  void giveBack(const Endpoint &Address,
                std::unique_ptr<HttpConnection> Connection);

private:
  using Connections = std::vector<std::unique_ptr<HttpConnection>>;
  std::unique_ptr<HttpConnection> takeIdle(Connections &Idle,
                                           std::chrono::milliseconds MaxIdle);

  Options Options_;
  std::map<Endpoint, Connections> Idle_;
};

} // namespace samphireshunt
