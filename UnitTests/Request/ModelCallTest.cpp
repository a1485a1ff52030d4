/// \file
/// Model requests that the caller or the keeper ends at a critical moment, and
/// requests with deeply nested bodies.

#include "Common/Hash.h"
#include "UnitTests/Process/Keeping/LoneKeeper.h"
#include "UnitTests/Request/ForwardingHarness.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

const ServiceName Service("models");
const PoolName ThePool("pool");
const VmId Self("vm");
const RequestId Id{1, 1};
constexpr std::string_view FinalEvent = "[DONE]";

/// A caller's exchange that the test controls.
class FakeExchange : public HttpExchange {
public:
  const HttpRequest &request() const override { return Request_; }
  Awaitable<bool> respond(HttpResponse Response) override {
    Answer_ = std::move(Response);
    OnRespond_();
    co_return true;
  }
  Awaitable<bool> beginStream(HttpResponse) override { co_return true; }
  Awaitable<bool> beginUnframed(HttpResponse) override { co_return true; }
  Awaitable<bool> writeChunk(std::string Data) override {
    Written_ += Data;
    co_return AcceptChunk_(Data);
  }
  Awaitable<bool> endStream() override { co_return true; }
  bool begun() const override { return !Written_.empty(); }
  void abort() override { OnAbort_(); }
  bool hasCallerLeft() override { return false; }
  void onCallerLeft(std::function<void()> Hook) override {
    CallerLeft_ = std::move(Hook);
  }

  HttpRequest Request_;
  HttpResponse Answer_;
  std::string Written_;
  std::function<void()> CallerLeft_;
  std::function<bool(const std::string &)> AcceptChunk_ =
      [](const std::string &) { return true; };
  std::function<void()> OnAbort_ = [] {};
  std::function<void()> OnRespond_ = [] {};
};

/// A daemon that schedules a cell of its own with one model engine.
class ModelHarness {
public:
  explicit ModelHarness(std::vector<std::string> Events)
      : Events_(std::move(Events)),
        Engine_(Context_,
                [this](const std::string &, std::size_t) { return answer(); }) {
    adopt();
    GrantClient::Hooks ClientHooks;
    ClientHooks.KeeperOf_ = [](const CellId &, const std::vector<VmId> &) {
      return std::optional(Self);
    };
    ClientHooks.Check_ = [](const VmId &) {};
    Grants_ =
        std::make_unique<GrantClient>(Context_, Self, std::move(ClientHooks));
    KeeperService::Hooks Hooks = tests::loneKeeperHooks();
    Hooks.Decided_ = [this](const CellId &, const Decision &Taken) {
      Grants_->onDecision(Taken, Self);
    };
    Keeper_ = std::make_unique<KeeperService>(
        Context_, Documents_, KeeperService::Options(), std::move(Hooks));
    Grants_->setLocalKeeper(Keeper_.get());
    Callers_ = std::make_unique<CallerService>(
        services(), [] { return true; }, [] { return Id; });
  }

  /// Runs the request to its end, and the handlers that are posted meanwhile.
  void run(FakeExchange &Exchange, bool Streaming) {
    runBody(Exchange,
            fmt::format(
                R"({{"model":"m","stream":{},"messages":[{{"content":"x"}}]}})",
                Streaming));
  }
  void runBody(FakeExchange &Exchange, std::string Body) {
    Exchange.Request_.Method_ = "POST";
    Exchange.Request_.Target_ = "/v1/chat/completions";
    Exchange.Request_.Fields_["authorization"] = "Bearer key";
    Exchange.Request_.Body_ = std::move(Body);
    bool Ended = false;
    auto Handle = [this, &Exchange] { return Callers_->handle(Exchange); };
    boost::asio::co_spawn(
        Context_, std::move(Handle),
        [&Ended](const std::exception_ptr &) { Ended = true; });
    auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!Ended && std::chrono::steady_clock::now() < End)
      Context_.run_one_for(std::chrono::milliseconds(50));
    REQUIRE(Ended);
    Context_.poll();
  }
  /// Cancels the request as if the keeper revoked the engine for a higher tier.
  void cancel() {
    Grants_->onDecision(CancelDecision{Id, ServerName("engine"), Self}, Self);
  }

  /// Begins a stop without time for requests, after the daemon has looked
  /// \p Looks times whether there is one.
  void stopAfter(int Looks) { LooksBeforeStop_ = Looks; }
  std::size_t received() const { return Engine_.requests().size(); }

private:
  std::optional<CurrentStop> stop() {
    if (!LooksBeforeStop_ || ++StopLooks_ <= *LooksBeforeStop_)
      return std::nullopt;
    using std::chrono::milliseconds;
    return CurrentStop{{milliseconds(0), milliseconds(50), milliseconds(100)},
                       milliseconds(0)};
  }
  Script answer() const {
    std::string Bytes = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t Number = 0; Number < Events_.size(); ++Number)
      Bytes += chunk(fmt::format("id: {}:{}\ndata: {}\n\n", Id.str(), Number,
                                 Events_[Number]));
    return {Bytes + LastChunk, Script::Then::KeepOpen, 0};
  }
  void adopt() {
    Document Built;
    Built.Service_ = Service;
    Built.Tiers_ = {"0"};
    Pool Target;
    Target.Name_ = ThePool;
    Target.Models_ = {"m"};
    BackendServer Engine;
    Engine.Name_ = ServerName("engine");
    Engine.Address_ = Engine_.address();
    Target.Servers_.push_back(Engine);
    Built.Pools_.push_back(std::move(Target));
    Route Only;
    Only.PathPrefix_ = "/";
    Only.Pool_ = ThePool;
    Built.Routes_.push_back(std::make_shared<const Route>(std::move(Only)));
    Customer Caller;
    Caller.Name_ = CustomerName("customer");
    Caller.KeyDigests_ = {sha256Hex("key")};
    Built.Customers_.push_back(std::move(Caller));
    Built.buildIndex();
    Documents_.adopt(Service, DocumentVersion(1),
                     std::make_shared<const Document>(std::move(Built)));
  }
  RequestServices services() {
    return {Documents_,
            *Grants_,
            Claims_,
            Connector_,
            Crashes_,
            Self,
            Incarnation(1),
            [](const VmId &, Incarnation) { return true; },
            [](const RequestReport &) {},
            nullptr,
            Dialect_,
            Lease_,
            RetryBudget_,
            [this] { return stop(); },
            Origins_,
            Memory_};
  }

  std::vector<std::string> Events_;
  int StopLooks_ = 0;
  std::optional<int> LooksBeforeStop_;
  MemoryBudget Memory_{0};
  boost::asio::io_context Context_{1};
  ScriptedServer Engine_;
  FreshnessLease Lease_{std::chrono::milliseconds(0)};
  DocumentStore Documents_;
  PlatformHooks NoPlatform_;
  ClaimStore Claims_{NoPlatform_, ClaimStore::Options()};
  RetryBudget RetryBudget_{RetryBudget::Options()};
  ForwardingDialect Dialect_ = defaultDialect();
  ServerConnector Connector_{Context_, ServerConnector::Options(),
                             ServerConnector::Hooks()};
  StreamOriginService Origins_{Context_, StreamOriginService::Options(),
                               StreamOriginService::Hooks()};
  CrashTracker Crashes_;
  std::unique_ptr<KeeperService> Keeper_;
  std::unique_ptr<GrantClient> Grants_;
  std::unique_ptr<CallerService> Callers_;
};

const std::string Word = R"({"choices":[{"delta":{"content":"word"}}]})";

} // namespace

TEST_CASE("a caller that leaves before the last event ends only its request") {
  // Guards against a segmentation fault when a caller disconnects after the
  // engine has sent its last event, but before the daemon has forwarded it. The
  // engine's connection has then been released for other requests, and the call
  // must not try to close it.
  ModelHarness Daemon({Word, std::string(FinalEvent)});
  FakeExchange Caller;
  Caller.AcceptChunk_ = [](const std::string &Data) {
    return Data.find(FinalEvent) == std::string::npos;
  };
  Daemon.run(Caller, true);
  CHECK(Caller.Written_.find(FinalEvent) != std::string::npos);
}

TEST_CASE("a cancellation after a fault does not access the ended request") {
  // Guards against a segmentation fault when an engine's event can't be parsed
  // and the keeper revokes the engine for a higher tier in the same event-loop
  // iteration. The fault ends the request and destroys its connection. The
  // cancellation may already be posted then, and must not use the connection.
  ModelHarness Daemon({R"({"choices":[],"model":5})", std::string(FinalEvent)});
  FakeExchange Caller;
  bool Ended = false;
  auto End = [&] {
    Ended = true;
    Daemon.cancel();
    if (Caller.CallerLeft_)
      Caller.CallerLeft_();
  };
  Caller.OnAbort_ = End;
  Caller.OnRespond_ = End;
  Daemon.run(Caller, false);
  CHECK(Ended);
  CHECK(Caller.Answer_.Status_ == 500);
}

TEST_CASE("a stopping daemon sends no request of its own interface that can't "
          "end in time") {
  // Guards against requests that are taken, or sent after their grant, and cut.
  constexpr int Steps = 3;
  for (int Looks = 0; Looks <= Steps; ++Looks) {
    ModelHarness Daemon({Word, std::string(FinalEvent)});
    Daemon.stopAfter(Looks);
    FakeExchange Caller;
    Daemon.run(Caller, false);
    bool Refused = Looks < Steps;
    CHECK(Caller.Answer_.Status_ == (Refused ? 503 : 200));
    CHECK(Caller.Answer_.Fields_["x-outcome"] ==
          (Refused ? "not-run" : "answered"));
    CHECK(Daemon.received() == (Refused ? 0 : 1));
  }
}

TEST_CASE("a body that nests deeply is refused") {
  // Guards against a stack overflow that crashes the daemon with a segmentation
  // fault, and then the next daemon that the caller tries. The caller sends a
  // request with 400 KB of nested arrays, and the JSON library writes values by
  // recursion over their nesting levels.
  constexpr std::size_t Levels = 200000;
  ModelHarness Daemon({Word, std::string(FinalEvent)});
  FakeExchange Caller;
  Daemon.runBody(Caller,
                 R"({"model":"m","messages":[{"content":"x"}],"more":)" +
                     std::string(Levels, '[') + std::string(Levels, ']') + "}");
  CHECK(Caller.Answer_.Status_ == 400);
}

TEST_CASE("a body that is nested like the schemas of tools is served") {
  constexpr std::size_t Levels = 40;
  ModelHarness Daemon({Word, std::string(FinalEvent)});
  FakeExchange Caller;
  Daemon.runBody(Caller,
                 R"({"model":"m","messages":[{"content":"x"}],"more":)" +
                     std::string(Levels, '[') + std::string(Levels, ']') + "}");
  CHECK(Caller.Answer_.Status_ == 200);
}
