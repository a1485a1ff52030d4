#include "Process/Keeping/EngineMonitor.h"

#include "Common/BoundedNumber.h"
#include "Common/JsonReader.h"
#include "Common/Log.h"
#include "Connection/Spawn.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <limits>

namespace samphireshunt {

namespace asio = boost::asio;
using Json = nlohmann::json;

EngineMonitor::EngineMonitor(asio::io_context &Control,
                             DocumentStore &Documents, KeeperService &Keeper,
                             Options Settings)
    : Control_(Control), Documents_(Documents), Keeper_(Keeper),
      Options_(Settings) {}

void EngineMonitor::start() {
  auto Run = [this]() { return run(); };
  spawnRepeated(Control_, "monitor-engines", std::move(Run));
}

Awaitable<void> EngineMonitor::run() {
  asio::steady_timer Timer(Control_);
  while (!Stopped_) {
    auto Snapshot = Documents_.snapshot();
    for (const CellId &Cell : Keeper_.cells()) {
      const ServiceConfiguration *Service = Snapshot->service(Cell.Service_);
      const Pool *Whole = Service ? Service->pool(Cell.Pool_) : nullptr;
      if (!Whole)
        continue;
      for (const BackendServer *Server : cellServers(*Whole, Cell.Index_)) {
        ServerKey Key(Cell, Server->Name_);
        if (std::exchange(PolledEngines_[Key].Busy_, true))
          continue;
        auto Poll = [this, Key, Address = Server->Address_]() {
          return poll(Key, Address);
        };
        spawnLogged(Control_, "poll-engine", std::move(Poll));
      }
    }
    Timer.expires_after(Options_.Period_);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

namespace {

struct EngineReport {
  LoadReport Load_;
  std::uint64_t NextEvent_ = 0;
};

void logBadReport(const ServerName &Server, const std::string &Detail) {
  logEvent(LogCategory::Keeper, spdlog::level::warn,
           "engine-report-not-understood",
           {{"server", Server.str()}, {"detail", Detail}});
}

/// Parses a load report; an invalid one is logged and counts as an empty
/// report.
EngineReport readReport(const ServerName &Server, const std::string &Text) {
  try {
    const Json Body = readJson(Text).value().Root_;
    EngineReport Read;
    std::string Problem;
    NumberFields Numbers(Body, Problem);
    constexpr NumberRange Requests{0,
                                   std::numeric_limits<std::uint32_t>::max()};
    Read.Load_.Running_ =
        static_cast<std::uint32_t>(Numbers.whole("running", 0, Requests));
    Read.Load_.Waiting_ =
        static_cast<std::uint32_t>(Numbers.whole("waiting", 0, Requests));
    Read.Load_.Leaving_ = Body.value("leaving", false);
    Read.NextEvent_ = static_cast<std::uint64_t>(Numbers.whole("nextEvent", 0));
    if (Problem.empty())
      return Read;
    logBadReport(Server, Problem);
  } catch (const std::exception &Error) {
    logBadReport(Server, Error.what());
  }
  return {};
}

struct CacheEvents {
  std::vector<std::uint64_t> Evicted_;
  std::uint64_t Next_ = 0;
  bool Gap_ = false;
};

/// \returns nothing for an invalid list.
std::optional<CacheEvents> readCacheEvents(const std::string &Text) {
  try {
    const Json Body = readJson(Text).value().Root_;
    CacheEvents Read;
    Read.Gap_ = Body.value("gap", false);
    std::string Problem;
    Read.Next_ = static_cast<std::uint64_t>(
        NumberFields(Body, Problem).whole("next", 0));
    if (!Problem.empty())
      return std::nullopt;
    for (const Json &Event : Body.at("events"))
      if (Event.value("kind", "") == "evicted")
        Read.Evicted_.push_back(Event.value("block", std::uint64_t(0)));
    return Read;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace

Awaitable<void> EngineMonitor::poll(ServerKey Key, Endpoint Address) {
  HttpRequest Request;
  Request.Target_ = "/v1/load";
  auto Response = co_await httpCall(Address, std::move(Request),
                                    Options_.Timeout_, MaxControlAnswerBytes);
  PolledEngine &State = PolledEngines_[Key];
  State.Busy_ = false;
  // An engine that answers with an error, or with an invalid report, is
  // reachable but reports no load. Only an engine that can't be reached is
  // considered unhealthy.
  bool Reached = Response.has_value();
  State.Failures_ = Reached ? 0 : State.Failures_ + 1;
  bool Healthy = State.Failures_ < Options_.FailuresToUnhealthy_;
  EngineReport Report;
  if (Reached && Response->Status_ == 200)
    Report = readReport(Key.second, Response->Body_);
  bool HasEvents = Report.NextEvent_ > State.NextEvent_;
  if (Reached || !Healthy)
    Keeper_.engineReport(Key.first, Key.second, Healthy, Report.Load_);
  if (HasEvents && !State.ReadsEvents_)
    co_await readEvents(Key, Address, Report.NextEvent_);
  else if (Reached && !HasEvents)
    Keeper_.cacheEvicted(Key.first, Key.second, {}, false);
}

/// Fetches the cache events since the last poll. They arrive late and may have
/// gaps. After a gap it is unknown which blocks were evicted, so the whole
/// prefix index of the engine is cleared: dispatches fill it again, while a
/// stale entry would route prompts to an engine that has to recompute them.
Awaitable<void> EngineMonitor::readEvents(ServerKey Key, Endpoint Address,
                                          std::uint64_t Newest) {
  PolledEngine &State = PolledEngines_[Key];
  HttpRequest Request;
  Request.Target_ = fmt::format("/v1/cache-events?after={}", State.NextEvent_);
  State.ReadsEvents_ = true;
  auto Response = co_await httpCall(Address, std::move(Request),
                                    Options_.Timeout_, MaxControlAnswerBytes);
  State.ReadsEvents_ = false;
  if (!Response && Response.error().Code_ != ResultCode::AnswerTooLarge)
    co_return;
  if (Response && Response->Status_ != 200)
    co_return;
  std::optional<CacheEvents> Read;
  if (Response)
    Read = readCacheEvents(Response->Body_);
  if (!Read) {
    // A list that is never understood would be asked for at each poll.
    logEvent(LogCategory::Keeper, spdlog::level::warn,
             "cache-events-passed-over", {{"server", Key.second.str()}});
    Read = CacheEvents{{}, Newest, /*Gap_=*/true};
  }
  State.NextEvent_ = Read->Next_;
  Keeper_.cacheEvicted(Key.first, Key.second, Read->Evicted_, Read->Gap_);
}

void EngineMonitor::handleOrphan(const OrphanedRequest &Orphan) {
  const RunningRequest &Request = Orphan.Request_;
  auto Snapshot = Documents_.snapshot();
  const ServiceConfiguration *Service =
      Snapshot->service(Orphan.Cell_.Service_);
  const Pool *Whole = Service ? Service->pool(Orphan.Cell_.Pool_) : nullptr;
  const BackendServer *Server = Whole ? Whole->find(Request.Server_) : nullptr;
  // A non-idempotent request is left to finish: if it were aborted midway,
  // nobody could tell which of its effects took place.
  if (!Server || Request.NonIdempotent_ || Whole->Kind_ != PoolKind::Model)
    return;
  logEvent(LogCategory::Keeper, spdlog::level::info, "orphan",
           {{"request", Request.Id_.str()}, {"server", Request.Server_.str()}});
  auto Cancel = [this, Address = Server->Address_, Id = Request.Id_]() {
    return cancelOrphan(Address, Id);
  };
  spawnLogged(Control_, "cancel-orphan", std::move(Cancel));
}

/// Cancels the request at its engine once nobody reads its stream. The ingress
/// daemon may only be partitioned from this one and still be streaming to its
/// caller; the engine knows whether the stream has a reader, and refuses to
/// cancel it while it has.
Awaitable<void> EngineMonitor::cancelOrphan(Endpoint Address, RequestId Id) {
  asio::steady_timer Timer(Control_);
  for (int Try = 0; Try < Options_.MaxOrphanAttempts_ && !Stopped_; ++Try) {
    HttpRequest Request;
    Request.Method_ = "DELETE";
    Request.Target_ =
        fmt::format("/v1/requests/{}?onlyDetached=true", Id.str());
    auto Response = co_await httpCall(Address, std::move(Request),
                                      Options_.Timeout_, MaxControlAnswerBytes);
    constexpr int StillAttached = 409;
    if (Response && Response->Status_ != StillAttached)
      co_return;
    Timer.expires_after(Options_.OrphanRetry_);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

} // namespace samphireshunt
