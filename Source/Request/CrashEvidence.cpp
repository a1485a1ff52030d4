#include "Request/CrashEvidence.h"

namespace samphireshunt {

namespace {

/// A VM answers at once that nothing listens at a port. Without an answer for
/// this long, nothing is known about the server.
constexpr std::chrono::milliseconds PortCheckTimeout{100};

} // namespace

Awaitable<void> addCrashEvidence(RequestContext &Context, BackendServer Server,
                                 ResultCode Cause, ServedSample &Sample) {
  bool Lost =
      Cause == ResultCode::ConnectionLost || Cause == ResultCode::StreamBroken;
  auto Newest = Context.Services_.Documents_.snapshot();
  bool Active =
      Newest->activeServer(Context.document().Service_, Context.Pool_->Name_,
                           Server.Name_) != nullptr;
  if (!Lost || !Active)
    co_return;
  PortState Port = co_await Context.Services_.Connections_.checkPort(
      Server.Address_, PortCheckTimeout);
  if (Port != PortState::Refused)
    co_return;
  Sample.Crashed_ = true;
  Sample.Fingerprint_ = Context.fingerprint();
}

void addFingerprint(RequestContext &Context, ServedSample &Sample) {
  Sample.Fingerprint_ = Context.fingerprint();
}

} // namespace samphireshunt
