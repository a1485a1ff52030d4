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
    if (auto Reused = takeIdle(Idle_[Address], MaxIdle))
      co_return Reused;
  auto Opened = co_await Options_.Connect_(Address, Options_.ConnectTimeout_);
  if (!Opened.Socket_)
    co_return Failure{ResultCode::ConnectFailed, std::move(Opened.Detail_)};
  co_return HttpConnection::adopt(std::move(*Opened.Socket_));
}

Awaitable<PortState> BackendConnections::checkPort(Endpoint Address,
                                                   milliseconds Timeout) {
  auto Opened = co_await Options_.Connect_(std::move(Address), Timeout);
  co_return Opened.State_;
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
