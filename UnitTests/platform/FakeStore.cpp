#include "UnitTests/platform/FakeStore.h"

#include "Connection/MemoryBudget.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <charconv>
#include <span>
#include <utility>

namespace samphireshunt::tests {

namespace asio = boost::asio;
using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

std::string encodeBase64(const std::string &Bytes) {
  std::string Text(Bytes.size() * 4 / 3 + 8, '\0');
  int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

std::string decodeBase64(const std::string &Text) {
  std::string Bytes(Text.size(), '\0');
  int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  auto Padding = std::ranges::count(Text, '=');
  Bytes.resize(static_cast<std::size_t>(Length - Padding));
  return Bytes;
}

std::uint64_t number(const HttpRequest &Request, std::string_view Name) {
  std::string Text = Request.queryParameter(Name);
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

} // namespace

FakeStore::FakeStore(asio::io_context &Context) : Context_(Context) {
  HttpServerOptions Options;
  Options.Address_ = {asio::ip::make_address("127.0.0.1"), 0};
  Options.Handler_ = [this](HttpExchange &Exchange) {
    return handle(Exchange);
  };
  Server_ = std::move(*HttpServer::create(
      Context, {&Context}, MemoryBudget::unlimited(), std::move(Options)));
}

void FakeStore::put(const std::string &Key, const std::string &Value) {
  Items_[Key] = {Value, ++Revision_};
  Changes_.push_back({Key, Revision_, false});
}

void FakeStore::remove(const std::string &Key) {
  Items_.erase(Key);
  Changes_.push_back({Key, ++Revision_, true});
}

void FakeStore::restoreBackup() {
  Items_ = Backup_.Items_;
  Changes_ = Backup_.Changes_;
  Revision_ = Backup_.Revision_;
  HistoryFrom_ = std::min(HistoryFrom_, Revision_);
  ++Restores_;
  Era_ = std::to_string(Era_.empty() ? 1 : std::stoull(Era_) + 1);
}

std::string FakeStore::get(const std::string &Key) const {
  auto Found = Items_.find(Key);
  return Found == Items_.end() ? std::string() : Found->second.Value_;
}

std::size_t FakeStore::calls(const std::string &Path) const {
  auto Found = Calls_.find(Path);
  return Found == Calls_.end() ? 0 : Found->second;
}

Json FakeStore::itemOf(const std::string &Key, const Item &Stored) const {
  Json Item = {{"key", Key},
               {"value", encodeBase64(Stored.Value_)},
               {"revision", Stored.Revision_},
               {"created", Stored.Revision_},
               {"lease", 0}};
  auto Odd = OddItems_.find(Key);
  if (Odd != OddItems_.end() && Odd->second.empty())
    Item.erase("key");
  else if (Odd != OddItems_.end())
    Item["value"] = Odd->second;
  return Item;
}

Awaitable<void> FakeStore::handle(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  std::string Path(Request.path());
  ++Calls_[Path];
  auto Restores = Restores_;
  co_await sleepWhileSilent();
  HttpResponse Answer = jsonResponse(404, "{}");
  if (FailWith_ > 0)
    Answer = jsonResponse(FailWith_, "{}");
  else if (!AnswerWith_.empty())
    Answer = jsonResponse(200, AnswerWith_);
  else if (Path == "/-/kv-range") {
    BeforePage_(Request.queryParameter("after").empty() ? 0 : 1);
    Answer = range(Request);
  } else if (Path == "/-/kv-key")
    Answer = key(Request);
  else if (Path == "/-/kv-watch")
    Answer = co_await watch(Request);
  else if (Path == "/-/kv-txn")
    Answer = transaction(Request);
  if (Restores != Restores_) {
    Exchange.abort();
    co_return;
  }
  if (!Era_.empty())
    Answer.Fields_["store-era"] = Era_;
  if (Path == "/-/kv-txn" && LoseWriteAnswers_ > 0) {
    --LoseWriteAnswers_;
    Exchange.abort();
    co_return;
  }
  co_await send(Exchange, std::move(Answer));
}

Awaitable<void> FakeStore::send(HttpExchange &Exchange, HttpResponse Answer) {
  constexpr std::size_t PacketBytes = 1400;
  if (BytesPerSecond_ == 0) {
    BytesSent_ += Answer.Body_.size();
    co_await Exchange.respond(std::move(Answer));
    co_return;
  }
  std::string Body = std::exchange(Answer.Body_, std::string());
  bool Open = co_await Exchange.beginStream(std::move(Answer));
  for (std::size_t At = 0; Open && At < Body.size(); At += PacketBytes) {
    std::string Packet = Body.substr(At, PacketBytes);
    co_await sleepWhileSilent();
    co_await transmit(Packet.size());
    BytesSent_ += Packet.size();
    Open = co_await Exchange.writeChunk(std::move(Packet));
  }
  if (Open)
    co_await Exchange.endStream();
}

Awaitable<void> FakeStore::transmit(std::size_t Bytes) {
  std::chrono::duration<double> Needed(static_cast<double>(Bytes) /
                                       static_cast<double>(BytesPerSecond_));
  LinkFreeAt_ = std::max(LinkFreeAt_, steady_clock::now()) +
                std::chrono::duration_cast<steady_clock::duration>(Needed);
  co_await sleep(LinkFreeAt_ - steady_clock::now());
}

Awaitable<void> FakeStore::sleep(steady_clock::duration Time) {
  asio::steady_timer Timer(Context_, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

Awaitable<void> FakeStore::sleepWhileSilent() {
  while (Silent_)
    co_await sleep(milliseconds(5));
}

HttpResponse FakeStore::range(const HttpRequest &Request) const {
  std::string Prefix = Request.queryParameter("prefix");
  std::string After = Request.queryParameter("after");
  Json Body = {{"entries", Json::array()},
               {"has-more", false},
               {"current-rev", Revision_}};
  for (const auto &[Key, Stored] : Items_) {
    if (!Key.starts_with(Prefix) || (!After.empty() && Key <= After))
      continue;
    if (Body["entries"].size() == PageSize_) {
      Body["has-more"] = true;
      break;
    }
    Body["entries"].push_back(itemOf(Key, Stored));
  }
  return jsonResponse(200, Body.dump());
}

HttpResponse FakeStore::key(const HttpRequest &Request) const {
  auto Found = Items_.find(Request.queryParameter("key"));
  if (Found == Items_.end())
    return jsonResponse(404, "{}");
  return jsonResponse(200, itemOf(Found->first, Found->second).dump());
}

Awaitable<HttpResponse> FakeStore::watch(const HttpRequest &Request) {
  std::string Prefix = Request.queryParameter("prefix");
  std::uint64_t After = number(Request, "after");
  auto End = steady_clock::now() + milliseconds(number(Request, "wait-ms"));
  auto Restores = Restores_;
  bool DropEvents = false;
  while (Restores == Restores_) {
    if (FailWith_ > 0)
      co_return jsonResponse(FailWith_, "{}");
    if (After < HistoryFrom_ || After > Revision_)
      co_return jsonResponse(410, "{}");
    Json Events = Json::array();
    auto Newer =
        std::ranges::upper_bound(Changes_, After, {}, &Change::Revision_);
    for (const Change &Seen : std::span(Newer, Changes_.end())) {
      if (!Seen.Key_.starts_with(Prefix))
        continue;
      auto Stored = Items_.find(Seen.Key_);
      if (Seen.Removed_)
        Events.push_back({{"key", Seen.Key_},
                          {"revision", Seen.Revision_},
                          {"tombstone", true}});
      else if (Stored != Items_.end())
        Events.push_back(itemOf(Seen.Key_, Stored->second));
    }
    DropEvents = DropEvents || DropWatchEvents_;
    if ((!Events.empty() && !DropEvents) || steady_clock::now() >= End) {
      if (DropEvents)
        Events.clear();
      Json Body = {{"events", Events}, {"current-rev", Revision_}};
      co_return jsonResponse(200, Body.dump());
    }
    co_await sleep(milliseconds(2));
  }
  co_return jsonResponse(503, "{}");
}

HttpResponse FakeStore::transaction(const HttpRequest &Request) {
  Json Body = Json::parse(Request.Body_);
  for (const Json &Row : Body["precondition"]) {
    auto Found = Items_.find(Row["key"].get<std::string>());
    std::uint64_t Present = Found == Items_.end() ? 0 : Found->second.Revision_;
    if (Present != Row["revision"].get<std::uint64_t>())
      return jsonResponse(412, "{\"entries\":[]}");
  }
  for (const Json &Row : Body["puts"])
    put(Row["key"].get<std::string>(),
        decodeBase64(Row["value"].get<std::string>()));
  for (const Json &Key : Body["remove"])
    remove(Key.get<std::string>());
  return jsonResponse(200, Json{{"revision", Revision_}}.dump());
}

bool runUntil(asio::io_context &Context, const std::function<bool()> &Done) {
  constexpr std::chrono::seconds MaxTime{10};
  auto End = steady_clock::now() + MaxTime;
  Context.restart();
  while (!Done() && steady_clock::now() < End)
    Context.run_one_for(milliseconds(20));
  return Done();
}

void runFor(asio::io_context &Context, milliseconds Time) {
  auto End = steady_clock::now() + Time;
  runUntil(Context, [End] { return steady_clock::now() >= End; });
}

} // namespace samphireshunt::tests
