#include "Request/CrashEvidence.h"

namespace samphireshunt {

Awaitable<void> addCrashEvidence(RequestContext &Context, BackendServer Server,
                                 ResultCode Cause, ServedSample &Sample) {
  // A timeout may have any cause. It is not worth the time to find out, which
  // the request has for another server.
  ServerConnector &Servers = Context.Services_.Servers_;
  if (Cause == ResultCode::AnswerTimeout && Servers.isCutOff(Server.Address_))
    Sample.Faulty_ = false;
  bool Lost =
      Cause == ResultCode::ConnectionLost || Cause == ResultCode::StreamBroken;
  auto Newest = Context.Services_.Documents_.snapshot();
  bool Active =
      Newest->activeServer(Context.document().Service_, Context.Pool_->Name_,
                           Server.Name_) != nullptr;
  if (!Lost || !Active)
    co_return;
  ServerTarget Target = targetOf(Context, Server);
  ServerCheck Found = co_await Servers.check(std::move(Target));
  if (Found == ServerCheck::PathLost)
    Sample.Faulty_ = false;
  if (Found != ServerCheck::Refused)
    co_return;
  Sample.Crashed_ = true;
  Sample.Fingerprint_ = Context.fingerprint();
  bool Began = Sample.FirstToken_.count() > 0;
  if (!Began)
    Sample.Parts_ = sharedParts(Context.Call_.Parts_);
}

void addAnsweredParts(const RequestContext &Context, ServedSample &Sample) {
  constexpr std::size_t SomeEvents = 2;
  bool EndKnown = Context.AnswerEnd_.KnownBy_ != BodyEnd::Close;
  if (EndKnown || Context.StreamTiming_.Events_ >= SomeEvents)
    Sample.Parts_ = sharedParts(Context.Call_.Parts_);
}

void addFingerprint(RequestContext &Context, ServedSample &Sample) {
  Sample.Fingerprint_ = Context.fingerprint();
}

} // namespace samphireshunt
