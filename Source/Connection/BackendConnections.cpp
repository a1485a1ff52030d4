#include "Connection/BackendConnections.h"

#include <algorithm>
#include <iterator>

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
BackendConnections::takeIdle(const Endpoint &Address, milliseconds MaxIdle,
                             CallKey Call) {
  auto Found = Idle_.find(Address);
  if (Found == Idle_.end() || MaxIdle.count() == 0 || Call == CallKey())
    return nullptr;
  Connections &Idle = Found->second;
  auto MayCarry = [Call](const auto &Pooled) {
    return !Pooled->carried().contains(Call);
  };
  while (true) {
    auto Newest = std::find_if(Idle.rbegin(), Idle.rend(), MayCarry);
    if (Newest == Idle.rend())
      return nullptr;
    auto Connection = std::move(*Newest);
    Idle.erase(std::next(Newest).base());
    if (usable(*Connection, MaxIdle))
      return Connection;
    Connection->close();
  }
}

void BackendConnections::returnConnection(
    const Endpoint &Address, std::unique_ptr<HttpConnection> Connection) {
  auto &Idle = Idle_[Address];
  auto Oldest = steady_clock::now() - MaxPooledIdle;
  std::erase_if(Idle, [Oldest](const auto &Pooled) {
    return Pooled->lastReceived() < Oldest;
  });
  bool MayKeep = Connection->reusable() && Connection->carried().mayCarryMore();
  if (!MayKeep || Idle.size() >= Options_.MaxIdlePerServer_)
    return Connection->close();
  Idle.push_back(std::move(Connection));
}

} // namespace samphireshunt
