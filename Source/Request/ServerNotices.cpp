#include "Request/ServerNotices.h"

#include "Common/Log.h"

namespace samphireshunt {

namespace {

void logBad(const char *Event, const ServerName &Server, const Failure &Cause) {
  constexpr std::uint32_t LinesPerSecond = 1;
  thread_local LogSampler Sampler(LinesPerSecond);
  auto Dropped = Sampler.admit(static_cast<int>(Cause.Code_),
                               std::chrono::steady_clock::now());
  if (!Dropped)
    return;
  logEvent(LogCategory::Request, spdlog::level::warn, Event,
           {{"server", Server.str()},
            {"code", std::to_string(static_cast<int>(Cause.Code_))},
            {"detail", Cause.Detail_},
            {"dropped", std::to_string(*Dropped)}});
}

} // namespace

void reportServerNotices(RequestContext &Context, const ReadyServer &From,
                         const HttpResponse &Head) {
  const ForwardingDialect &Dialect = Context.Services_.Dialect_;
  GrantClient &Grants = Context.Services_.Grants_;
  // Most answers name nothing and come from servers that never did.
  auto Rate = Dialect.ReadServerLimit_(Head.Fields_);
  if (!Rate)
    logBad("bad-server-limit", From.Server_.Name_, Rate.error());
  else if (*Rate || From.Limited_)
    Grants.limitRead(Context.Id_, *Rate);
  AnsweredServer Server{From.Server_.Name_, From.Server_.Incarnation_,
                        From.Relay_};
  auto Survived = Dialect.ReadBrittle_(Head.Fields_);
  if (!Survived)
    logBad("bad-server-notice", From.Server_.Name_, Survived.error());
  else if (*Survived || From.Limited_)
    Grants.noticeRead(Context.Id_, Server, BrittleNotice{*Survived});
  auto Leaving = Dialect.ReadLeaving_(Head.Fields_);
  if (!Leaving)
    logBad("bad-server-notice", From.Server_.Name_, Leaving.error());
  else if (*Leaving)
    Grants.noticeRead(Context.Id_, Server, LeavingNotice());
  auto Rest = Dialect.ReadRest_(Head);
  if (!Rest)
    logBad("bad-server-notice", From.Server_.Name_, Rest.error());
  else if (Rest->count() > 0)
    Grants.noticeRead(Context.Id_, Server, RestNotice{*Rest});
}

} // namespace samphireshunt
