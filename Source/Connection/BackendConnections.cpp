#include "Connection/BackendConnections.h"

#include <algorithm>

namespace samphireshunt {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// A server closes an idle connection when its time is up; a request that
/// crosses that close is lost. So much earlier it is not used any more.
constexpr milliseconds CloseMargin{700};
/// Older ones are closed although nobody asks for them.
constexpr milliseconds KeptFor{10000};

bool usable(HttpConnection &Connection, milliseconds MaxIdle) {
  if (auto Limit = Connection.idleLimit())
    MaxIdle = std::min(MaxIdle, milliseconds(*Limit) - CloseMargin);
  auto Idle = steady_clock::now() - Connection.lastHeard();
  return Idle <= MaxIdle && Connection.quiet();
}

} // namespace

std::unique_ptr<HttpConnection>
BackendConnections::takeIdle(Connections &Idle, milliseconds MaxIdle) {
  while (!Idle.empty()) {
    auto Connection = std::move(Idle.back());
    Idle.pop_back();
    if (usable(*Connection, MaxIdle))
      return Connection;
    Connection->close();
  }
  return nullptr;
}

Awaitable<Result<std::unique_ptr<HttpConnection>>>
BackendConnections::take(Endpoint Address, milliseconds MaxIdle) {
  if (MaxIdle.count() > 0)
    if (auto Kept = takeIdle(Idle_[Address], MaxIdle))
      co_return Kept;
  co_return co_await HttpConnection::connect(Address, Options_.ConnectTimeout_);
}

void BackendConnections::giveBack(const Endpoint &Address,
                                  std::unique_ptr<HttpConnection> Connection) {
  auto &Idle = Idle_[Address];
  auto Oldest = steady_clock::now() - KeptFor;
  std::erase_if(
      Idle, [Oldest](const auto &Kept) { return Kept->lastHeard() < Oldest; });
  if (!Connection->reusable() || Idle.size() >= Options_.MaxIdlePerServer_)
    return Connection->close();
  Idle.push_back(std::move(Connection));
}

} // namespace samphireshunt
