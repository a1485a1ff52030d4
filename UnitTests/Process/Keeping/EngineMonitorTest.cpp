/// \file
/// Tests the monitor of engines with an engine that says too much.

#include "Process/Keeping/EngineMonitor.h"

#include "Connection/MemoryBudget.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds Period{10};

/// A monitor and one engine with more cache events than one answer may have.
class TalkativeEngine {
public:
  TalkativeEngine() {
    HttpServerOptions Options;
    Options.Address_ = {boost::asio::ip::make_address("127.0.0.1"), 0};
    Options.Handler_ = [this](HttpExchange &Exchange) {
      return answer(Exchange);
    };
    Server_ = std::move(*HttpServer::create(
        Control_, {&Control_}, MemoryBudget::unlimited(), std::move(Options)));
    adopt();
    KeeperService::Hooks Hooks;
    Hooks.Decided_ = [](const CellId &, const Decision &) {};
    Hooks.Orphaned_ = [](const OrphanedRequest &) {};
    Hooks.AloneInFleet_ = [] { return true; };
    Hooks.IsKeeper_ = [](const CellId &) { return true; };
    Hooks.LiveShare_ = [] { return 1.0; };
    Hooks.FloorRaised_ = [] {};
    Keeper_ = std::make_unique<KeeperService>(
        Control_, Documents_, KeeperService::Options(), std::move(Hooks));
    Keeper_->refresh();
    EngineMonitor::Options Polling;
    Polling.Period_ = Period;
    Monitor_ = std::make_unique<EngineMonitor>(Control_, Documents_, *Keeper_,
                                               Polling);
    Monitor_->start();
  }

  bool pollUntil(const std::function<bool()> &Done) {
    auto End = steady_clock::now() + std::chrono::seconds(5);
    while (!Done() && steady_clock::now() < End)
      Control_.run_one_for(milliseconds(10));
    return Done();
  }

  int Loads_ = 0;
  int EventReads_ = 0;

private:
  Awaitable<void> answer(HttpExchange &Exchange) {
    bool IsLoad = Exchange.request().path() == "/v1/load";
    ++(IsLoad ? Loads_ : EventReads_);
    std::string Body = IsLoad ? R"({"running":0,"waiting":0,"nextEvent":7})"
                              : std::string(2 * MaxControlAnswerBytes, ' ');
    HttpResponse Response = jsonResponse(200, std::move(Body));
    co_await Exchange.respond(std::move(Response));
  }

  void adopt() {
    const ServiceName Service("s");
    Document Built;
    Built.Service_ = Service;
    Built.Tiers_ = {"0"};
    Pool Target;
    Target.Name_ = PoolName("p");
    BackendServer Engine;
    Engine.Name_ = ServerName("engine");
    Engine.MaxInFlight_ = 1;
    Engine.Address_ = Server_->address();
    Target.Servers_.push_back(Engine);
    Built.Pools_.push_back(std::move(Target));
    Built.buildIndex();
    Documents_.adopt(Service, DocumentVersion(1),
                     std::make_shared<const Document>(std::move(Built)));
  }

  boost::asio::io_context Control_{1};
  std::unique_ptr<HttpServer> Server_;
  DocumentStore Documents_;
  std::unique_ptr<KeeperService> Keeper_;
  std::unique_ptr<EngineMonitor> Monitor_;
};

} // namespace

TEST_CASE("a list of cache events that is too long is passed over") {
  // Guards against an engine whose events are never read again, and of which a
  // megabyte is read at each poll.
  TalkativeEngine Test;
  REQUIRE(Test.pollUntil([&] { return Test.EventReads_ > 0; }));
  int Before = Test.Loads_;
  REQUIRE(Test.pollUntil([&] { return Test.Loads_ > Before + 10; }));
  CHECK(Test.EventReads_ == 1);
}
