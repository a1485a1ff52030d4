#include "Request/ServerLimit.h"

#include "Common/Log.h"

namespace samphireshunt {

namespace {

void logBadLimit(const ServerName &Server, const Failure &Cause) {
  constexpr std::uint32_t LinesPerSecond = 1;
  thread_local LogSampler Sampler(LinesPerSecond);
  auto Dropped = Sampler.admit(static_cast<int>(Cause.Code_),
                               std::chrono::steady_clock::now());
  if (!Dropped)
    return;
  logEvent(LogCategory::Request, spdlog::level::warn, "bad-server-limit",
           {{"server", Server.str()},
            {"code", std::to_string(static_cast<int>(Cause.Code_))},
            {"detail", Cause.Detail_},
            {"dropped", std::to_string(*Dropped)}});
}

} // namespace

void reportServerLimit(RequestContext &Context, const ReadyServer &From,
                       const HttpResponse &Head) {
  auto Read = Context.Services_.Dialect_.ReadServerLimit_(Head.Fields_);
  if (!Read)
    return logBadLimit(From.Server_.Name_, Read.error());
  // Most answers name no rate and come from servers that never did.
  if (*Read || From.Limited_)
    Context.Services_.Grants_.limitRead(Context.Id_, *Read);
}

} // namespace samphireshunt
