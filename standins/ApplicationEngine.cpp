/// \file
/// Stand-in for an application service. POST /faults sets the faults that it
/// injects.

#include "AnswerText.h"
#include "Ledger.h"
#include "StandinMain.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <csignal>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "IP:port to listen on.");
ABSL_FLAG(std::string, name, "application", "The engine's name.");
ABSL_FLAG(std::string, ledger, "", "File to append the ledger to.");
ABSL_FLAG(int, service_ms, 5, "Processing time of a request, in ms.");

namespace samphireshunt::standins {

namespace {

using std::chrono::milliseconds;

/// Faults to inject. A count is the number of following requests affected.
struct Faults {
  int Silent_ = 0;   ///< Run, but never answered.
  int Cut_ = 0;      ///< Run; the connection closes in mid-answer.
  int Unframed_ = 0; ///< The answer has neither length nor chunks.
  int Crossed_ = 0;  ///< The answer carries another request's id.
  int Refuse_ = 0;   ///< Refused before running.
  int DelayMs_ = 0;  ///< Delay of every answer.
  bool Leaving_ = false;
  std::string Limit_; ///< The rate of requests that answers name.
};

class ApplicationEngine {
public:
  ApplicationEngine()
      : Name_(absl::GetFlag(FLAGS_name)),
        Ledger_(absl::GetFlag(FLAGS_ledger), Name_),
        ServiceTime_(absl::GetFlag(FLAGS_service_ms)) {}

  Awaitable<void> handle(HttpExchange &Exchange) {
    std::string_view Path = Exchange.request().path();
    if (Path == "/faults")
      co_return co_await setFaults(Exchange);
    if (Path == "/v1/load") {
      Json Load = {
          {"running", Running_}, {"waiting", 0}, {"leaving", Faults_.Leaving_}};
      co_await Exchange.respond(jsonAnswer(200, Load));
      co_return;
    }
    ++Running_;
    co_await run(Exchange);
    --Running_;
  }

private:
  static bool consumeFault(int &Count) { return Count > 0 && Count-- > 0; }

  Awaitable<void> run(HttpExchange &Exchange) {
    HttpRequest Request = Exchange.request();
    std::string Id = Request.field("x-request-id");
    std::string Nonce = jsonBody(Request).value("nonce", "");
    if (Nonce.empty())
      Nonce = Request.queryParameter("nonce");
    Json Extra = {{"key", Request.field("idempotency-key")}};
    Ledger_.write("received", Id, Nonce, Extra);
    if (consumeFault(Faults_.Refuse_)) {
      Ledger_.write("refused", Id, Nonce, Extra);
      co_await Exchange.respond(jsonAnswer(503, Json::object()));
      co_return;
    }
    Ledger_.write("ran", Id, Nonce, Extra);
    if (Nonce.starts_with(CrashingNonce))
      std::raise(SIGKILL);
    co_await sleepFor(ServiceTime_ + milliseconds(Faults_.DelayMs_));
    Ledger_.write("finished", Id, Nonce, Extra);
    if (consumeFault(Faults_.Silent_))
      co_await sleepFor(std::chrono::hours(1));
    Json Body = {{"engine", Name_},
                 {"nonce", Nonce},
                 {"answer", applicationAnswer(Request.path(), Nonce)}};
    HttpResponse Response = jsonAnswer(200, Body);
    if (!Faults_.Limit_.empty())
      Response.Fields_["x-server-limit"] = Faults_.Limit_;
    Response.Fields_["x-request-id"] =
        consumeFault(Faults_.Crossed_) ? "other" : Id;
    if (consumeFault(Faults_.Cut_)) {
      std::string FirstHalf =
          Response.Body_.substr(0, Response.Body_.size() / 2);
      Response.Body_.clear();
      bool Unframed = consumeFault(Faults_.Unframed_);
      if (!Unframed) {
        co_await Exchange.beginStream(std::move(Response));
        co_await Exchange.writeChunk(std::move(FirstHalf));
        co_return Exchange.abort();
      }
      co_return co_await answerUnframed(Exchange, std::move(Response),
                                        std::move(FirstHalf));
    }
    if (consumeFault(Faults_.Unframed_)) {
      std::string Body = std::move(Response.Body_);
      Response.Body_.clear();
      co_return co_await answerUnframed(Exchange, std::move(Response),
                                        std::move(Body));
    }
    co_await Exchange.respond(std::move(Response));
  }

  /// The connection ends normally, whether \p Body is complete or not.
  Awaitable<void> answerUnframed(HttpExchange &Exchange, HttpResponse Head,
                                 std::string Body) {
    co_await Exchange.beginUnframed(std::move(Head));
    co_await Exchange.writeChunk(std::move(Body));
    co_await Exchange.endStream();
  }

  Awaitable<void> setFaults(HttpExchange &Exchange) {
    Json Body = jsonBody(Exchange.request());
    Faults_.Silent_ = Body.value("silent", 0);
    Faults_.Cut_ = Body.value("cut", 0);
    Faults_.Unframed_ = Body.value("unframed", 0);
    Faults_.Crossed_ = Body.value("crossed", 0);
    Faults_.Refuse_ = Body.value("refuse", 0);
    Faults_.DelayMs_ = Body.value("lateMs", 0);
    Faults_.Leaving_ = Body.value("leaving", false);
    Faults_.Limit_ = Body.value("limit", "");
    co_await Exchange.respond(jsonAnswer(200, Json::object()));
  }

  std::string Name_;
  Ledger Ledger_;
  milliseconds ServiceTime_;
  Faults Faults_;
  int Running_ = 0;
};

} // namespace

} // namespace samphireshunt::standins

int main(int ArgumentCount, char **Arguments) {
  using namespace samphireshunt;
  absl::ParseCommandLine(ArgumentCount, Arguments);
  boost::asio::io_context Context(1);
  standins::ApplicationEngine Engine;
  return standins::serve(
      Context, absl::GetFlag(FLAGS_address),
      [&Engine](HttpExchange &Exchange) { return Engine.handle(Exchange); });
}
