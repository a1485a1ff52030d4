/// \file
/// Tests the monitor of engines with an engine whose cache events are too long,
/// invalid or late.

#include "Process/Keeping/EngineMonitor.h"

#include "Connection/MemoryBudget.h"
#include "UnitTests/Process/Keeping/LoneKeeper.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds Period{10};

/// A monitor and one engine that always has new cache events and answers them
/// with the same text.
class TalkativeEngine {
public:
  /// \param LoadsMeanwhile polls of the load that come before the events are
  /// answered.
  explicit TalkativeEngine(std::string Events, int LoadsMeanwhile = 0)
      : Events_(std::move(Events)), LoadsMeanwhile_(LoadsMeanwhile) {
    HttpServerOptions Options;
    Options.Address_ = {boost::asio::ip::make_address("127.0.0.1"), 0};
    Options.Handler_ = [this](HttpExchange &Exchange) {
      return answer(Exchange);
    };
    Server_ = std::move(*HttpServer::create(
        Control_, {&Control_}, MemoryBudget::unlimited(), std::move(Options)));
    adopt();
    Keeper_ = std::make_unique<KeeperService>(Control_, Documents_,
                                              KeeperService::Options(),
                                              tests::loneKeeperHooks());
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
  int EventReadsEnded_ = 0;
  int MostEventReadsAtOnce_ = 0;

private:
  Awaitable<void> answer(HttpExchange &Exchange) {
    if (Exchange.request().path() != "/v1/load")
      co_return co_await answerEvents(Exchange);
    ++Loads_;
    LoadRead_.cancel();
    HttpResponse Response =
        jsonResponse(200, R"({"running":0,"waiting":0,"nextEvent":7})");
    co_await Exchange.respond(std::move(Response));
  }

  Awaitable<void> answerEvents(HttpExchange &Exchange) {
    ++EventReads_;
    MostEventReadsAtOnce_ =
        std::max(MostEventReadsAtOnce_, EventReads_ - EventReadsEnded_);
    int Before = Loads_;
    while (Loads_ < Before + LoadsMeanwhile_) {
      boost::system::error_code Cancelled;
      co_await LoadRead_.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, Cancelled));
    }
    HttpResponse Response = jsonResponse(200, std::string(Events_));
    co_await Exchange.respond(std::move(Response));
    ++EventReadsEnded_;
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

  std::string Events_;
  int LoadsMeanwhile_;
  boost::asio::io_context Control_{1};
  /// Never expires; cancelled at each poll of the load.
  boost::asio::steady_timer LoadRead_{Control_,
                                      steady_clock::time_point::max()};
  std::unique_ptr<HttpServer> Server_;
  DocumentStore Documents_;
  std::unique_ptr<KeeperService> Keeper_;
  std::unique_ptr<EngineMonitor> Monitor_;
};

} // namespace

TEST_CASE("a list of cache events that is too long is passed over") {
  // Guards against an engine whose events are never read again, and of which a
  // megabyte is read at each poll.
  TalkativeEngine Test(std::string(2 * MaxControlAnswerBytes, ' '));
  REQUIRE(Test.pollUntil([&] { return Test.EventReadsEnded_ > 0; }));
  int Before = Test.Loads_;
  REQUIRE(Test.pollUntil([&] { return Test.Loads_ > Before + 10; }));
  CHECK(Test.EventReads_ == 1);
}

TEST_CASE("a list of cache events that is invalid is passed over") {
  // Guards against an engine whose prefixes are trusted though its list of
  // evicted ones can't be read, at any poll.
  TalkativeEngine Test(R"({"events":[7],"next":7})");
  REQUIRE(Test.pollUntil([&] { return Test.EventReadsEnded_ > 0; }));
  int Before = Test.Loads_;
  REQUIRE(Test.pollUntil([&] { return Test.Loads_ > Before + 10; }));
  CHECK(Test.EventReads_ == 1);
}

TEST_CASE("cache events that take longer than a period are read once") {
  // Guards against one more read of the same events at each poll of the load,
  // each of which holds the whole list.
  TalkativeEngine Test(R"({"events":[],"next":7})", /*LoadsMeanwhile=*/5);
  REQUIRE(Test.pollUntil([&] { return Test.EventReadsEnded_ > 0; }));
  int Before = Test.Loads_;
  REQUIRE(Test.pollUntil([&] { return Test.Loads_ > Before + 10; }));
  CHECK(Test.MostEventReadsAtOnce_ == 1);
  CHECK(Test.EventReads_ == 1);
}
