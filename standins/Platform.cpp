/// \file
/// Stand-in for the platform: a key-value store with compare-and-swap, expiry
/// and watches, and a list of VMs. POST /faults sets the faults that it
/// injects.

#include "StandinMain.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <charconv>
#include <map>
#include <set>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "IP:port to listen on.");

namespace samphireshunt::standins {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

struct Entry {
  std::string Value_;
  std::uint64_t Revision_ = 0;
  steady_clock::time_point Expires_ = steady_clock::time_point::max();
};

struct Faults {
  /// Connections are closed without an answer.
  bool Outage_ = false;
  /// Calls are accepted but not answered.
  bool Silent_ = false;
  /// Delay of every call.
  int SlowMs_ = 0;
  /// The number of following writes that take effect but are not
  /// answered.
  int LoseWriteAnswers_ = 0;
  /// Watches stay open beyond their time limit and are not answered, even when
  /// there are changes.
  bool StallWatches_ = false;
  /// Reads return each key's value before its last write.
  bool StaleReads_ = false;
  /// The list of VMs stays as it was when the fault began.
  bool FrozenVmList_ = false;
};

class Platform {
public:
  Awaitable<void> handle(HttpExchange &Exchange) {
    const HttpRequest &Request = Exchange.request();
    std::string_view Path = Request.path();
    if (Path == "/faults")
      co_return co_await setFaults(Exchange);
    if (Path == "/control/vms")
      co_return co_await setVms(Exchange);
    if (Path == "/control/counts")
      co_return co_await counts(Exchange);
    ++Calls_;
    if (Faults_.Silent_)
      co_await sleepFor(std::chrono::hours(1));
    if (Faults_.SlowMs_ > 0)
      co_await sleepFor(milliseconds(Faults_.SlowMs_));
    if (Faults_.Outage_)
      co_return Exchange.abort();
    dropExpired();
    if (Path.starts_with(KeyPath) && Request.Method_ == "GET")
      co_await get(Exchange);
    else if (Path.starts_with(KeyPath))
      co_await write(Exchange);
    else if (Path == "/v1/list")
      co_await list(Exchange);
    else if (Path == "/v1/watch")
      co_await watch(Exchange);
    else if (Path == "/v1/vms")
      co_await Exchange.respond(jsonAnswer(200, visibleVms()));
    else
      co_await Exchange.respond(jsonAnswer(404, Json::object()));
  }

private:
  static constexpr std::string_view KeyPath = "/v1/kv/";

  static std::uint64_t numberParameter(const HttpRequest &Request,
                                       std::string_view Name) {
    std::string Text = Request.queryParameter(Name);
    std::uint64_t Value = 0;
    std::from_chars(Text.data(), Text.data() + Text.size(), Value);
    return Value;
  }

  static Json entryJson(const std::string &Key, const Entry &Value) {
    return {
        {"key", Key}, {"value", Value.Value_}, {"revision", Value.Revision_}};
  }

  const std::map<std::string, Entry> &readable() const {
    return Faults_.StaleReads_ ? Previous_ : Entries_;
  }

  std::uint64_t readableRevision() const {
    return Faults_.StaleReads_ && Revision_ > 0 ? Revision_ - 1 : Revision_;
  }

  Json entriesAfter(const std::string &Prefix, std::uint64_t After) const {
    Json List = Json::array();
    for (const auto &[Key, Value] : readable())
      if (Key.starts_with(Prefix) && Value.Revision_ > After)
        List.push_back(entryJson(Key, Value));
    return List;
  }

  void dropExpired() {
    auto Now = steady_clock::now();
    std::erase_if(Entries_, [Now](const auto &Item) {
      return Item.second.Expires_ <= Now;
    });
  }

  Awaitable<void> get(HttpExchange &Exchange) {
    ++Reads_;
    std::string Key(Exchange.request().path().substr(KeyPath.size()));
    auto Found = readable().find(Key);
    bool Known = Found != readable().end();
    HttpResponse Response = Known
                                ? jsonAnswer(200, entryJson(Key, Found->second))
                                : jsonAnswer(404, Json::object());
    co_await Exchange.respond(std::move(Response));
  }

  Awaitable<void> write(HttpExchange &Exchange) {
    ++Writes_;
    const HttpRequest &Request = Exchange.request();
    std::string Key(Request.path().substr(KeyPath.size()));
    auto Found = Entries_.find(Key);
    std::uint64_t CurrentRevision =
        Found == Entries_.end() ? 0 : Found->second.Revision_;
    if (numberParameter(Request, "expect") != CurrentRevision) {
      Json Conflict = {{"revision", CurrentRevision}};
      co_await Exchange.respond(jsonAnswer(409, Conflict));
      co_return;
    }
    ++Revision_;
    if (Found != Entries_.end())
      Previous_[Key] = Found->second;
    if (Request.Method_ == "DELETE") {
      Entries_.erase(Key);
    } else {
      Entry Written{Request.Body_, Revision_, steady_clock::time_point::max()};
      if (auto Ttl = numberParameter(Request, "ttlMs"); Ttl > 0)
        Written.Expires_ = steady_clock::now() + milliseconds(Ttl);
      Entries_[Key] = std::move(Written);
    }
    wakeWatches();
    if (Faults_.LoseWriteAnswers_ > 0) {
      --Faults_.LoseWriteAnswers_;
      co_return Exchange.abort();
    }
    Json Done = {{"revision", Revision_}};
    co_await Exchange.respond(jsonAnswer(200, Done));
  }

  Awaitable<void> list(HttpExchange &Exchange) {
    ++Reads_;
    std::string Prefix = Exchange.request().queryParameter("prefix");
    Json Body = {{"entries", entriesAfter(Prefix, 0)},
                 {"revision", readableRevision()}};
    co_await Exchange.respond(jsonAnswer(200, Body));
  }

  Awaitable<void> watch(HttpExchange &Exchange) {
    ++Reads_;
    const HttpRequest &Request = Exchange.request();
    std::string Prefix = Request.queryParameter("prefix");
    std::uint64_t After = numberParameter(Request, "after");
    auto Until =
        steady_clock::now() + milliseconds(numberParameter(Request, "waitMs"));
    asio::steady_timer Timer(co_await asio::this_coro::executor);
    Json Changes = entriesAfter(Prefix, After);
    Watches_.insert(&Timer);
    while (steady_clock::now() < Until &&
           (Changes.empty() || Faults_.StallWatches_)) {
      Timer.expires_at(Faults_.StallWatches_
                           ? steady_clock::now() + std::chrono::hours(1)
                           : Until);
      co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
      Changes = entriesAfter(Prefix, After);
    }
    Watches_.erase(&Timer);
    if (Faults_.Outage_)
      co_return Exchange.abort();
    Json Body = {{"entries", std::move(Changes)},
                 {"revision", readableRevision()}};
    co_await Exchange.respond(jsonAnswer(200, Body));
  }

  void wakeWatches() {
    for (asio::steady_timer *Timer : Watches_)
      Timer->cancel();
  }

  Json visibleVms() const { return Faults_.FrozenVmList_ ? FrozenVms_ : Vms_; }

  Awaitable<void> setVms(HttpExchange &Exchange) {
    Vms_ = jsonBody(Exchange.request());
    co_await Exchange.respond(jsonAnswer(200, Json::object()));
  }

  Awaitable<void> setFaults(HttpExchange &Exchange) {
    Json Body = jsonBody(Exchange.request());
    Faults Next;
    Next.Outage_ = Body.value("outage", false);
    Next.Silent_ = Body.value("silent", false);
    Next.SlowMs_ = Body.value("slowMs", 0);
    Next.LoseWriteAnswers_ = Body.value("loseWriteAnswers", 0);
    Next.StallWatches_ = Body.value("stallWatches", false);
    Next.StaleReads_ = Body.value("staleReads", false);
    Next.FrozenVmList_ = Body.value("frozenVmList", false);
    if (Next.FrozenVmList_ && !Faults_.FrozenVmList_)
      FrozenVms_ = Vms_;
    Faults_ = Next;
    wakeWatches();
    co_await Exchange.respond(jsonAnswer(200, Json::object()));
  }

  Awaitable<void> counts(HttpExchange &Exchange) {
    Json Body = {{"calls", Calls_}, {"reads", Reads_}, {"writes", Writes_}};
    co_await Exchange.respond(jsonAnswer(200, Body));
  }

  std::map<std::string, Entry> Entries_;
  /// Each key's value before its last write.
  std::map<std::string, Entry> Previous_;
  std::uint64_t Revision_ = 0;
  Json Vms_ = {{"vms", Json::array()}};
  Json FrozenVms_;
  Faults Faults_;
  std::set<asio::steady_timer *> Watches_;
  std::uint64_t Calls_ = 0;
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
};

} // namespace

} // namespace samphireshunt::standins

int main(int ArgumentCount, char **Arguments) {
  using namespace samphireshunt;
  absl::ParseCommandLine(ArgumentCount, Arguments);
  boost::asio::io_context Context(1);
  standins::Platform Service;
  return standins::serve(
      Context, absl::GetFlag(FLAGS_address),
      [&Service](HttpExchange &Exchange) { return Service.handle(Exchange); });
}
