#include "Request/CrashEvidence.h"

namespace samphireshunt {

Awaitable<void> addCrashEvidence(RequestContext &Context, BackendServer Server,
                                 ResultCode Cause, ServedSample &Sample) {
  bool Lost =
      Cause == ResultCode::ConnectionLost || Cause == ResultCode::StreamBroken;
  bool Silent = Cause == ResultCode::AnswerTimeout;
  auto Newest = Context.Services_.Documents_.snapshot();
  bool Active =
      Newest->activeServer(Context.document().Service_, Context.Pool_->Name_,
                           Server.Name_) != nullptr;
  if ((!Lost && !Silent) || !Active)
    co_return;
  ServerTarget Target = targetOf(Context, Server);
  ServerCheck Found =
      co_await Context.Services_.Servers_.check(std::move(Target));
  if (Found == ServerCheck::PathLost)
    Sample.Faulty_ = false;
  if (!Lost || Found != ServerCheck::Refused)
    co_return;
  Sample.Crashed_ = true;
  Sample.Fingerprint_ = Context.fingerprint();
}

void addFingerprint(RequestContext &Context, ServedSample &Sample) {
  Sample.Fingerprint_ = Context.fingerprint();
}

} // namespace samphireshunt
