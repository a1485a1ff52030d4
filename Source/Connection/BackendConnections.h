#pragma once
/// \file
/// Connections to backend servers that are kept for a next request. One object
/// per worker thread; not thread-safe.

#include "Connection/Http.h"

#include <map>
#include <memory>
#include <vector>

namespace samphireshunt {

class BackendConnections {
public:
  struct Options {
    /// An idle connection may have gone silent: something between the two
    /// ends lost track of it, a request written to it vanishes, and no error
    /// comes back. One that carried an answer this recently is taken as
    /// proved; an older one is closed and a new one opened instead.
    std::chrono::milliseconds ProvedFor_{1000};
    std::size_t MaxIdlePerServer_ = 64;
    std::chrono::milliseconds ConnectTimeout_{500};
  };

  explicit BackendConnections(Options Settings) : Options_(Settings) {}

  /// A proved idle connection, or a new one; always new with \p Fresh.
  Awaitable<Result<std::unique_ptr<HttpConnection>>> take(Endpoint Address,
                                                          bool Fresh);
  /// Keeps the connection when its last answer was read whole; closes it
  /// otherwise, so that a late answer can never meet another request.
  void giveBack(const Endpoint &Address,
                std::unique_ptr<HttpConnection> Connection);

private:
  Options Options_;
  std::map<Endpoint, std::vector<std::unique_ptr<HttpConnection>>> Idle_;
};

} // namespace samphireshunt
