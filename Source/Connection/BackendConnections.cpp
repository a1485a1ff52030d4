#include "Connection/BackendConnections.h"

#include <algorithm>

namespace samphireshunt {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// A server closes an idle connection when its keep-alive timeout expires, and
/// a request sent at that moment is lost. A connection is not reused within
/// this margin before the timeout.
constexpr milliseconds CloseMargin{700};
/// Connections that have been idle for longer are closed when another
/// connection to the same server is returned.
constexpr milliseconds MaxPooledIdle{10000};

bool usable(HttpConnection &Connection, milliseconds MaxIdle) {
  if (auto Limit = Connection.idleLimit())
    MaxIdle = std::min(MaxIdle, milliseconds(*Limit) - CloseMargin);
  auto Idle = steady_clock::now() - Connection.lastReceived();
  return Idle <= MaxIdle && Connection.hasNoUnexpectedInput();
}

} // namespace

std::unique_ptr<HttpConnection>
BackendConnections::takeIdle(const Endpoint &Address, milliseconds MaxIdle) {
  auto Found = Idle_.find(Address);
  if (Found == Idle_.end() || MaxIdle.count() == 0)
    return nullptr;
  Connections &Idle = Found->second;
  while (!Idle.empty()) {
    auto Connection = std::move(Idle.back());
    Idle.pop_back();
    if (usable(*Connection, MaxIdle))
      return Connection;
    Connection->close();
  }
  return nullptr;
}

void BackendConnections::returnConnection(
    const Endpoint &Address, std::unique_ptr<HttpConnection> Connection) {
  auto &Idle = Idle_[Address];
  auto Oldest = steady_clock::now() - MaxPooledIdle;
  std::erase_if(Idle, [Oldest](const auto &Pooled) {
    return Pooled->lastReceived() < Oldest;
  });
  if (!Connection->reusable() || Idle.size() >= Options_.MaxIdlePerServer_)
    return Connection->close();
  Idle.push_back(std::move(Connection));
}

} // namespace samphireshunt
