/// \file
/// Observability: traces, status and crash logs for operators, and that
/// providing them never disturbs requests.

#include "Connection/MemoryBudget.h"
#include "FailureTests/Cluster.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <pcg_random.hpp>

#include <csignal>
#include <fstream>
#include <set>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;

namespace {

/// Receives traces as OTLP/HTTP JSON and records the names of their spans.
class Collector {
public:
  Collector() : Guard_(boost::asio::make_work_guard(Context_)) {
    HttpServerOptions Options;
    Options.Address_ = parseEndpoint("127.0.0.1:0").value();
    Options.Handler_ = [this](HttpExchange &Exchange) {
      return receive(Exchange);
    };
    Server_ = std::move(HttpServer::create(Context_, {&Context_},
                                           MemoryBudget::unlimited(),
                                           std::move(Options))
                            .value());
    Thread_ = std::thread([this] { Context_.run(); });
  }
  ~Collector() {
    Context_.stop();
    Thread_.join();
  }
  std::string address() const { return formatEndpoint(Server_->address()); }
  std::set<std::string> spanNames() {
    std::scoped_lock Lock(Mutex_);
    return SpanNames_;
  }

private:
  Awaitable<void> receive(HttpExchange &Exchange) {
    Json Body = Json::parse(Exchange.request().Body_);
    {
      std::scoped_lock Lock(Mutex_);
      for (const Json &Resource : Body["resourceSpans"])
        for (const Json &Scope : Resource["scopeSpans"])
          for (const Json &Span : Scope["spans"])
            SpanNames_.insert(Span["name"].get<std::string>());
    }
    co_await Exchange.respond(jsonResponse(200, "{}"));
  }

  boost::asio::io_context Context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard_;
  std::unique_ptr<HttpServer> Server_;
  std::thread Thread_;
  std::mutex Mutex_;
  std::set<std::string> SpanNames_;
};

} // namespace

TEST_CASE("traces have a span for each hop") {
  Collector Traces;
  ClusterOptions Options;
  Options.DaemonFlags_ = {"--trace_collector=" + Traces.address()};
  Cluster Fleet(Options);
  CHECK(Fleet.run(Fleet.stream(1)).Correct_);
  CHECK(eventually([&] {
    std::set<std::string> Names = Traces.spanNames();
    for (const char *Name :
         {"request", "wait-for-grant", "dispatch", "first-token", "stream"})
      if (!Names.contains(Name))
        return false;
    return true;
  }));
}

TEST_CASE("a dead trace collector costs traces, never requests") {
  // The collector accepts no connections. If requests waited for their traces
  // to be exported, they would slow down while the tracing system is down.
  ClusterOptions Options;
  Options.DaemonFlags_ = {"--trace_collector=127.0.0.1:1"};
  Cluster Fleet(Options);
  for (int Index = 0; Index < 10; ++Index)
    CHECK(Fleet.run(Fleet.reading(1)).Correct_);
  CHECK(eventually(
      [&] { return Fleet.status(1).value("tracesDropped", 0) >= 10; }));
}

TEST_CASE("bytes that are not valid messages harm no daemon") {
  // Random bytes arrive at the peers' address by TCP and UDP. If a daemon
  // treated any input from the network as a message, a port scan could end it.
  namespace asio = boost::asio;
  Cluster Fleet;
  Json Line = Fleet.status(1);
  auto Peers = parseEndpoint(Fleet.peersAddress(1)).value();
  pcg32 Random(7);
  asio::io_context Context;
  asio::ip::udp::socket Datagrams(Context, asio::ip::udp::v4());
  for (int Round = 0; Round < 200; ++Round) {
    std::string Bytes(Random(300), '\0');
    for (char &Byte : Bytes)
      Byte = static_cast<char>(Random(256));
    Datagrams.send_to(asio::buffer(Bytes),
                      asio::ip::udp::endpoint(Peers.address(), Peers.port()));
    asio::ip::tcp::socket Socket(Context);
    Socket.connect(Peers);
    boost::system::error_code Ignored;
    asio::write(Socket, asio::buffer(Bytes), Ignored);
  }
  for (int Daemon = 1; Daemon <= 3; ++Daemon)
    CHECK(Fleet.run(Fleet.chat(Daemon)).Correct_);
  CHECK(Fleet.status(1)["incarnation"] == Line["incarnation"]);
}

TEST_CASE("a process ended by a signal logs the signal and its stack") {
  // Without the signal and the stack in its log, a daemon that ends with a
  // segmentation fault gives no hint at the cause: the log just stops, without
  // anything unusual before.
  Cluster Fleet;
  ChildProcess &Daemon = Fleet.process("vm-1");
  Daemon.signal(SIGSEGV);
  CHECK(Daemon.wait() == -1);
  std::ifstream Log(Fleet.folder() + "/vm-1.log");
  Json CrashEvent;
  for (std::string Line; std::getline(Log, Line);)
    if (Line.find("ended-by-signal") != std::string::npos)
      CrashEvent = Json::parse(Line);
  REQUIRE(CrashEvent.is_object());
  CHECK(CrashEvent["signal"] == std::to_string(SIGSEGV));
  CHECK(CrashEvent["vm"] == "vm-1");
  auto InDaemon = [](const Json &Frame) {
    return Frame.get<std::string>().find("Daemon3run") != std::string::npos;
  };
  CHECK(std::ranges::any_of(CrashEvent["stack"], InDaemon));
}

TEST_CASE("the tool shows the versions that each daemon has in force") {
  // Guards against a status that fails as soon as a daemon has a service.
  Cluster Fleet;
  auto [Status, Text] = Fleet.tool({"status"});
  CHECK(Status == 0);
  CHECK(Text.find("test=1") != std::string::npos);
  auto [JsonStatus, Output] = Fleet.tool({"status", "--output=json"});
  CHECK(JsonStatus == 0);
  Json Rows = Json::parse(Output, nullptr, false);
  REQUIRE(Rows.size() == 3);
  for (const Json &Row : Rows)
    CHECK(Row["services"]["test"]["version"] == 1);
}

TEST_CASE("the tool shows a daemon that is down beside the others") {
  // Guards against a status that fails when an operator needs it.
  Cluster Fleet;
  constexpr int DaemonsNotReachable = 4;
  Fleet.process("vm-3").kill();
  auto [Status, Output] = Fleet.tool({"status", "--output=json"});
  CHECK(Status == DaemonsNotReachable);
  Json Rows = Json::parse(Output, nullptr, false);
  REQUIRE(Rows.size() == 3);
  for (const Json &Row : Rows) {
    bool Down = Row["vm"] == "vm-3";
    CHECK(Row["reached"] == !Down);
    CHECK(Row.contains("services") == !Down);
  }
  auto [TextStatus, Text] = Fleet.tool({"status"});
  CHECK(TextStatus == DaemonsNotReachable);
  CHECK(Text.find("unreachable") != std::string::npos);
}
