#include "Connection/BackendConnections.h"

namespace samphireshunt {

Awaitable<Result<std::unique_ptr<HttpConnection>>>
BackendConnections::take(Endpoint Address, bool Fresh) {
  auto &Idle = Idle_[Address];
  auto OldestProof = std::chrono::steady_clock::now() - Options_.ProvedFor_;
  while (!Fresh && !Idle.empty()) {
    auto Connection = std::move(Idle.back());
    Idle.pop_back();
    if (Connection->lastHeard() >= OldestProof && Connection->quiet())
      co_return Connection;
    Connection->close();
  }
  co_return co_await HttpConnection::connect(Address, Options_.ConnectTimeout_);
}

void BackendConnections::giveBack(const Endpoint &Address,
                                  std::unique_ptr<HttpConnection> Connection) {
  auto &Idle = Idle_[Address];
  if (!Connection->reusable() || Idle.size() >= Options_.MaxIdlePerServer_)
    return Connection->close();
  Idle.push_back(std::move(Connection));
}

} // namespace samphireshunt
