/// \file
/// Hundreds of callers that read nothing, at a daemon with little memory.

#include "Connection/MemoryBudget.h"
#include "FailureTests/ChildProcess.h"
#include "FailureTests/Cluster.h"
#include "FailureTests/ContextThread.h"
#include "FailureTests/TestFolder.h"
#include "FailureTests/platform/OneEngine.h"
#include "UnitTests/platform/FakeStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <optional>
#include <sstream>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;
namespace asio = boost::asio;

namespace {

constexpr int SlowCallers = 300;
constexpr int QuickCalls = 40;
constexpr std::size_t MemoryMb = 88;
constexpr std::size_t BytesPerMb = 1000 * 1000;
/// All answers together are far more than the daemon's memory.
constexpr std::size_t EventBytes = 16000;
constexpr int Events = 250;
/// Fits into no buffer of the kernel for a caller that reads nothing.
constexpr int ReceiveBuffer = 4096;
constexpr milliseconds CallLimit{10000};
#ifdef __SANITIZE_ADDRESS__
/// The sanitizer's own memory is not the daemon's.
constexpr bool MemoryIsOwn = false;
#else
constexpr bool MemoryIsOwn = true;
#endif

Json route(const char *Name, const char *Kind) {
  return {{"name", Name},
          {"hostname", "slow.example"},
          {"prefix", fmt::format("/{}/", Name)},
          {"kind", Kind},
          {"timeout-ms", 60000},
          {"goal-ms", 30000},
          {"priority", 0},
          {"attempts", 1},
          {"resumable", false},
          {"service", "engines"}};
}

/// A store, an engine with long answers, and one daemon as a real process.
class SmallVm {
public:
  SmallVm() : Store_(Thread_.context()) {
    HttpServerOptions Options;
    Options.Address_ = {asio::ip::make_address("127.0.0.1"), 0};
    Options.Handler_ = [this](HttpExchange &Exchange) {
      return serve(Exchange);
    };
    Engine_ = std::move(
        *HttpServer::create(Thread_.context(), {&Thread_.context()},
                            MemoryBudget::unlimited(), std::move(Options)));
    run([this]() -> Awaitable<void> {
      publish();
      co_return;
    });
    Daemon_.emplace(daemonCommand(PLATFORM_DAEMON, Store_,
                                  {fmt::format("--memory_mb={}", MemoryMb)}),
                    Folder_.path() + "/vm-1.log");
    Json Addresses = Daemon_->readLine();
    Callers_ = *parseEndpoint(Addresses["callers"].get<std::string>());
    Operators_ = *parseEndpoint(Addresses["operators"].get<std::string>());
  }

  /// Sends a request and reads nothing of its answer.
  asio::ip::tcp::socket beginUnread(int Number) {
    asio::ip::tcp::socket Socket(CallerContext_);
    Socket.open(asio::ip::tcp::v4());
    Socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBuffer));
    Socket.connect(Callers_);
    const char *Path = Number % 2 == 0 ? "plain" : "stream";
    asio::write(Socket, asio::buffer(fmt::format(
                            "POST /{}/long HTTP/1.1\r\nhost: slow.example\r\n"
                            "x-samphireshunt-request-id: slow-{}\r\n"
                            "content-length: 1\r\n\r\nx",
                            Path, Number)));
    return Socket;
  }

  /// Calls for a short answer. \returns its status; 0 without a whole answer.
  int callQuickly(int Number) {
    HttpRequest Request;
    Request.Method_ = "GET";
    Request.Target_ = "/plain/short";
    Request.Fields_ = {
        {"host", "slow.example"},
        {"x-samphireshunt-request-id", fmt::format("quick-{}", Number)}};
    auto Answer = call(Callers_, std::move(Request));
    return Answer && Answer->Body_ == "short" ? Answer->Status_ : 0;
  }

  Json status() {
    HttpRequest Request;
    Request.Method_ = "GET";
    Request.Target_ = "/status";
    auto Answer = call(Operators_, std::move(Request));
    Json Read = Answer ? Json::parse(Answer->Body_, nullptr, false) : Json();
    return Read.is_object() ? Read : Json::object();
  }

  std::size_t peakMemory() const { return Daemon_->mostMemory(); }

  int runs() const { return Runs_; }

private:
  template <class Work> void run(Work Function) {
    asio::co_spawn(Thread_.context(), std::move(Function), asio::use_future)
        .get();
  }

  Result<HttpResponse> call(Endpoint To, HttpRequest Request) {
    auto Call = [=]() { return httpCall(To, Request, CallLimit); };
    return asio::co_spawn(Thread_.context(), std::move(Call), asio::use_future)
        .get();
  }

  void publish() {
    publishEngine(Store_,
                  {route("plain", "safe"), route("stream", "streaming")},
                  Engine_->address(), SlowCallers + QuickCalls);
  }

  Awaitable<void> serve(HttpExchange &Exchange) {
    HttpRequest Request = Exchange.request();
    HttpResponse Answer;
    Answer.Fields_["x-samphireshunt-request-id"] =
        Request.field("x-samphireshunt-request-id");
    Answer.Fields_["x-samphireshunt-server-stamp"] = "engine";
    bool Long = Request.path().ends_with("/long");
    Runs_ += Long ? 1 : 0;
    if (Request.path().starts_with("/plain")) {
      Answer.Body_ = Long ? std::string(EventBytes * Events, 'b') : "short";
      co_await Exchange.respond(std::move(Answer));
      co_return;
    }
    Answer.Fields_["content-type"] = "text/event-stream";
    bool Open = co_await Exchange.beginStream(std::move(Answer));
    for (int Number = 1; Open && Number <= Events; ++Number)
      Open = co_await Exchange.writeChunk(fmt::format(
          "id: {}\ndata: {}\n\n", Number, std::string(EventBytes, 'e')));
    if (Open)
      co_await Exchange.endStream();
  }

  ContextThread Thread_;
  asio::io_context CallerContext_;
  FakeStore Store_;
  std::unique_ptr<HttpServer> Engine_;
  std::atomic<int> Runs_ = 0;
  TestFolder Folder_;
  std::optional<ChildProcess> Daemon_;
  Endpoint Callers_;
  Endpoint Operators_;
  ContextThread::StopFirst StopFirst_{Thread_};
};

} // namespace

TEST_CASE("callers that read nothing don't take a daemon's memory") {
  // Guards against a daemon that is killed for its memory by slow callers.
  SmallVm Vm;
  REQUIRE(eventually([&] { return Vm.callQuickly(0) == 200; }));
  std::vector<asio::ip::tcp::socket> Slow;
  for (int Number = 0; Number < SlowCallers; ++Number)
    Slow.push_back(Vm.beginUnread(Number));
  CHECK(eventually([&] { return Vm.runs() == SlowCallers; }));
  bool WasShort = eventually(
      [&] { return Vm.status().value("memoryLevel", "free") != "free"; });
  CHECK(WasShort);
  int Answered = 0;
  for (int Number = 1; Number <= QuickCalls; ++Number)
    Answered += Vm.callQuickly(Number) == 200 ? 1 : 0;
  CHECK(Answered == QuickCalls);
  CHECK(Vm.peakMemory() > 0);
  MESSAGE((Vm.peakMemory() / BytesPerMb) << " MB at most");
  CHECK((!MemoryIsOwn || Vm.peakMemory() < MemoryMb * BytesPerMb));
  Slow.clear();
  CHECK(eventually(
      [&] { return Vm.status().value("memoryLevel", "") == "free"; }));
}
