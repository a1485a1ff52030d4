/// \file
/// Stand-in for a model engine with continuous batching. It processes requests
/// in steps, in order of arrival and without regard to tiers, caches prompt
/// prefixes up to a limit, resumes and cancels streams, and reports its load
/// with a delay, and the blocks evicted from its cache. POST /faults sets the
/// faults that it injects.

#include "AnswerText.h"
#include "Ledger.h"
#include "Process/Scheduling/PrefixIndex.h"
#include "StandinMain.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <deque>
#include <list>
#include <map>
#include <set>
#include <unordered_map>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "IP:port to listen on.");
ABSL_FLAG(std::string, name, "model", "The engine's name.");
ABSL_FLAG(std::string, ledger, "", "File to append the ledger to.");
ABSL_FLAG(double, step_ms, 5, "Duration of a step without prefill, in ms.");
ABSL_FLAG(int, max_batch, 8, "Maximum number of requests in one step.");
ABSL_FLAG(int, prefill_per_step, 512,
          "Maximum number of prompt tokens processed in one step.");
ABSL_FLAG(double, prefill_us_per_token, 20,
          "Time that a prompt token adds to a step, in microseconds.");
ABSL_FLAG(int, cache_blocks, 256, "Capacity of the prefix cache, in blocks.");
ABSL_FLAG(int, report_lag_ms, 300, "Age of the reported load, in ms.");

namespace samphireshunt::standins {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Faults to inject. A count is the number of following requests affected;
/// streams fail after two events.
struct Faults {
  double Slow_ = 1.0; ///< Factor by which steps take longer.
  int Silent_ = 0;    ///< The connection stays open but sends nothing more.
  int Cut_ = 0;       ///< The connection closes.
  int Unframed_ = 0;  ///< The stream has no chunks; a cut ends it normally.
  int Crossed_ = 0;   ///< An event of another request is inserted.
  int Refuse_ = 0;    ///< Refused before running.
  int Swallow_ = 0;   ///< The request is dropped: no ledger line, no answer.
  bool NoResume_ = false; ///< Requests to resume a stream get 404.
  bool Leaving_ = false;
  std::string Limit_; ///< The rate of requests that answers name.
};

/// One request that the engine admitted, with the events of its answer.
struct Run {
  std::string Id_;
  std::string Nonce_;
  std::string Prompt_;
  std::string Model_;
  std::size_t AnswerTokens_ = 0;
  std::int64_t PromptTokens_ = 0;
  std::int64_t PrefillLeft_ = 0;
  std::int64_t PrefillDone_ = 0;
  std::vector<std::uint64_t> Prefix_;
  std::vector<std::string> Events_;
  bool Started_ = false;
  bool Ended_ = false;
  bool Cancelled_ = false;
  int Readers_ = 0;
  std::set<asio::steady_timer *> WaitingReaders_;

  void wakeReaders() const {
    for (asio::steady_timer *Timer : WaitingReaders_)
      Timer->cancel();
  }
};

using RunPointer = std::shared_ptr<Run>;

/// The cached prompt blocks, evicted in least recently used order.
class BlockCache {
public:
  explicit BlockCache(std::size_t MaxBlocks) : MaxBlocks_(MaxBlocks) {}

  /// \returns the number of leading blocks of \p Prefix that are cached.
  std::size_t cached(const std::vector<std::uint64_t> &Prefix) const {
    auto Missing = std::ranges::find_if(Prefix, [this](std::uint64_t Block) {
      return !Index_.contains(Block);
    });
    return static_cast<std::size_t>(Missing - Prefix.begin());
  }
  /// Adds the blocks of \p Prefix or marks them as used.
  /// \returns the blocks evicted.
  std::vector<std::uint64_t> insert(const std::vector<std::uint64_t> &Prefix) {
    for (auto Block = Prefix.rbegin(); Block != Prefix.rend(); ++Block) {
      if (auto Known = Index_.find(*Block); Known != Index_.end()) {
        LeastRecentFirst_.splice(LeastRecentFirst_.end(), LeastRecentFirst_,
                                 Known->second);
        continue;
      }
      LeastRecentFirst_.push_back(*Block);
      Index_[*Block] = std::prev(LeastRecentFirst_.end());
    }
    std::vector<std::uint64_t> Evicted;
    while (LeastRecentFirst_.size() > MaxBlocks_) {
      Evicted.push_back(LeastRecentFirst_.front());
      Index_.erase(LeastRecentFirst_.front());
      LeastRecentFirst_.pop_front();
    }
    return Evicted;
  }

private:
  std::size_t MaxBlocks_;
  std::list<std::uint64_t> LeastRecentFirst_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> Index_;
};

class ModelEngine {
public:
  explicit ModelEngine(asio::io_context &Context)
      : Context_(Context), Name_(absl::GetFlag(FLAGS_name)),
        Ledger_(absl::GetFlag(FLAGS_ledger), Name_),
        Cache_(static_cast<std::size_t>(absl::GetFlag(FLAGS_cache_blocks))) {}

  Awaitable<void> handle(HttpExchange &Exchange) {
    const HttpRequest &Request = Exchange.request();
    std::string_view Path = Request.path();
    if (Path == "/faults")
      co_await setFaults(Exchange);
    else if (Path == "/v1/chat/completions")
      co_await complete(Exchange);
    else if (Path.starts_with(RequestPath) && Request.Method_ == "DELETE")
      co_await cancel(Exchange);
    else if (Path.starts_with(RequestPath))
      co_await resume(Exchange);
    else if (Path == "/v1/load")
      co_await reportLoad(Exchange);
    else if (Path == "/v1/cache-events")
      co_await reportEvents(Exchange);
    else
      co_await Exchange.respond(jsonAnswer(404, Json::object()));
  }

private:
  static constexpr std::string_view RequestPath = "/v1/requests/";

  static bool consumeFault(int &Count) { return Count > 0 && Count-- > 0; }

  Awaitable<void> complete(HttpExchange &Exchange) {
    std::string Id = Exchange.request().field("x-request-id");
    Json Body = jsonBody(Exchange.request());
    if (consumeFault(Faults_.Swallow_)) {
      co_await sleepFor(std::chrono::hours(1));
      co_return;
    }
    std::string Nonce =
        Body.value("metadata", Json::object()).value("nonce", "");
    Ledger_.write("received", Id, Nonce);
    bool Refuse = consumeFault(Faults_.Refuse_) || Refused_.contains(Id);
    if (Refuse) {
      Ledger_.write("refused", Id, Nonce);
      co_await Exchange.respond(jsonAnswer(503, Json::object()));
      co_return;
    }
    if (Nonce.starts_with(CrashingNonce)) {
      Ledger_.write("ran", Id, Nonce);
      std::raise(SIGKILL);
    }
    RunPointer Added = admit(Id, Nonce, Body);
    co_await stream(Exchange, Added, 0);
  }

  RunPointer admit(const std::string &Id, const std::string &Nonce,
                   const Json &Body) {
    auto Added = std::make_shared<Run>();
    Added->Id_ = Id;
    Added->Nonce_ = Nonce;
    Added->Model_ = Body.value("model", "");
    for (const Json &Message : Body.value("messages", Json::array()))
      Added->Prompt_ += Message.value("content", "");
    Added->AnswerTokens_ = Body.value("max_tokens", std::size_t(16));
    Added->PromptTokens_ = estimateTokens(Added->Prompt_).count();
    Added->Prefix_ = prefixHashes(Added->Prompt_);
    Runs_[Id] = Added;
    Admitted_.push_back(Id);
    dropOldRuns();
    Queue_.push_back(Added);
    if (!Stepping_) {
      Stepping_ = true;
      auto Step = [this]() { return stepLoop(); };
      asio::co_spawn(Context_, std::move(Step), asio::detached);
    }
    return Added;
  }

  /// Removes the oldest ended runs, so that those that can be resumed don't
  /// grow without bound.
  void dropOldRuns() {
    constexpr std::size_t MaxRuns = 4000;
    while (Admitted_.size() > MaxRuns) {
      auto Oldest = Runs_.find(Admitted_.front());
      if (Oldest != Runs_.end() && !Oldest->second->Ended_)
        break;
      if (Oldest != Runs_.end())
        Runs_.erase(Oldest);
      Admitted_.pop_front();
    }
  }

  /// Runs steps while requests are queued or in the batch.
  Awaitable<void> stepLoop() {
    asio::steady_timer Timer(Context_);
    auto Next = steady_clock::now();
    while (!Queue_.empty() || !Batch_.empty()) {
      fillBatch();
      std::int64_t PrefilledTokens = prefill();
      double Millis = absl::GetFlag(FLAGS_step_ms) +
                      static_cast<double>(PrefilledTokens) *
                          absl::GetFlag(FLAGS_prefill_us_per_token) / 1000.0;
      auto Length =
          std::chrono::duration<double, std::milli>(Millis * Faults_.Slow_);
      Next = std::max(Next, steady_clock::now() - milliseconds(5)) +
             std::chrono::duration_cast<steady_clock::duration>(Length);
      Timer.expires_at(Next);
      co_await Timer.async_wait(asio::use_awaitable);
      decode();
    }
    Stepping_ = false;
  }

  void fillBatch() {
    auto MaxBatch = static_cast<std::size_t>(absl::GetFlag(FLAGS_max_batch));
    while (Batch_.size() < MaxBatch && !Queue_.empty()) {
      RunPointer Next = Queue_.front();
      Queue_.pop_front();
      if (Next->Ended_)
        continue;
      auto Cached = static_cast<std::int64_t>(Cache_.cached(Next->Prefix_));
      Next->PrefillLeft_ =
          std::max<std::int64_t>(1, Next->PromptTokens_ - Cached * BlockTokens);
      Next->Started_ = true;
      Json Extra = {{"promptTokens", Next->PromptTokens_},
                    {"cachedTokens", Next->PromptTokens_ - Next->PrefillLeft_}};
      Ledger_.write("ran", Next->Id_, Next->Nonce_, Extra);
      Batch_.push_back(std::move(Next));
    }
  }

  std::int64_t prefill() {
    std::int64_t Budget = absl::GetFlag(FLAGS_prefill_per_step);
    std::int64_t PrefilledTokens = 0;
    for (const RunPointer &Active : Batch_) {
      std::int64_t Tokens =
          std::min(Active->PrefillLeft_, Budget - PrefilledTokens);
      Active->PrefillLeft_ -= Tokens;
      Active->PrefillDone_ += Tokens;
      PrefilledTokens += Tokens;
    }
    return PrefilledTokens;
  }

  void decode() {
    for (const RunPointer &Active : Batch_) {
      if (Active->Ended_ || Active->PrefillLeft_ > 0)
        continue;
      if (Active->Events_.empty())
        cacheBlocks(*Active);
      produce(*Active);
    }
    std::erase_if(Batch_, [](const RunPointer &Run) { return Run->Ended_; });
  }

  void cacheBlocks(const Run &Active) {
    for (std::uint64_t Block : Cache_.insert(Active.Prefix_))
      CacheEvents_.push_back(Block);
    constexpr std::size_t MaxCacheEvents = 1000;
    while (CacheEvents_.size() > MaxCacheEvents) {
      CacheEvents_.pop_front();
      ++FirstEvent_;
    }
  }

  void produce(Run &Active) {
    std::size_t Number = Active.Events_.size();
    Json Delta = {{"content", answerToken(Active.Prompt_, Number)}};
    Json Choice = {{"index", 0}, {"delta", Delta}};
    bool Last = Number + 1 == Active.AnswerTokens_;
    if (Last)
      Choice["finish_reason"] = "stop";
    Json Chunk = {{"id", Active.Id_},
                  {"object", "chat.completion.chunk"},
                  {"model", Active.Model_},
                  {"choices", Json::array({Choice})}};
    Active.Events_.push_back(Chunk.dump());
    if (Last) {
      Active.Events_.push_back("[DONE]");
      Active.Ended_ = true;
      Ledger_.write("finished", Active.Id_, Active.Nonce_,
                    {{"prefill", Active.PrefillDone_}});
    }
    Active.wakeReaders();
  }

  /// Sends the events of \p Source from index \p From on as they are produced.
  Awaitable<void> stream(HttpExchange &Exchange, RunPointer Source,
                         std::size_t From) {
    HttpResponse Head;
    Head.Fields_["content-type"] = "text/event-stream";
    Head.Fields_["x-request-id"] = Source->Id_;
    if (!Faults_.Limit_.empty())
      Head.Fields_["x-server-limit"] = Faults_.Limit_;
    ++Source->Readers_;
    auto Timer = std::make_shared<asio::steady_timer>(Context_);
    Source->WaitingReaders_.insert(Timer.get());
    bool Unframed = consumeFault(Faults_.Unframed_);
    bool CallerLeft = Unframed
                          ? !co_await Exchange.beginUnframed(std::move(Head))
                          : !co_await Exchange.beginStream(std::move(Head));
    Exchange.onCallerLeft([Timer, &CallerLeft] {
      CallerLeft = true;
      Timer->cancel();
    });
    std::size_t Next = From;
    bool Complete = false;
    while (!CallerLeft && !Complete && !Source->Cancelled_) {
      if (Next < Source->Events_.size()) {
        if (Next == From + 2 && co_await injectFault(Exchange, *Source))
          break;
        std::string Text = fmt::format("id: {}:{}\ndata: {}\n\n", Source->Id_,
                                       Next, Source->Events_[Next]);
        Complete = Source->Events_[Next] == "[DONE]";
        ++Next;
        CallerLeft = !co_await Exchange.writeChunk(std::move(Text));
        continue;
      }
      Timer->expires_after(std::chrono::hours(1));
      co_await Timer->async_wait(asio::as_tuple(asio::use_awaitable));
    }
    Exchange.onCallerLeft(nullptr);
    Source->WaitingReaders_.erase(Timer.get());
    --Source->Readers_;
    if ((Complete || Unframed) && !CallerLeft)
      co_await Exchange.endStream();
    else
      Exchange.abort();
  }

  /// Injects a due fault into a stream.
  /// \returns true when the stream's connection must be closed.
  Awaitable<bool> injectFault(HttpExchange &Exchange, const Run &Source) {
    if (consumeFault(Faults_.Silent_)) {
      co_await sleepFor(std::chrono::minutes(1));
      co_return true;
    }
    if (consumeFault(Faults_.Crossed_)) {
      std::string Other = "id: other:2\ndata: {}\n\n";
      co_await Exchange.writeChunk(std::move(Other));
    }
    (void)Source;
    co_return consumeFault(Faults_.Cut_);
  }

  static std::string idOf(const HttpRequest &Request) {
    return std::string(Request.path().substr(RequestPath.size()));
  }

  Awaitable<void> resume(HttpExchange &Exchange) {
    const HttpRequest &Request = Exchange.request();
    auto Found = Runs_.find(idOf(Request));
    if (Found == Runs_.end() || Faults_.NoResume_) {
      co_await Exchange.respond(jsonAnswer(404, Json::object()));
      co_return;
    }
    if (Found->second->Cancelled_) {
      co_await Exchange.respond(jsonAnswer(410, Json::object()));
      co_return;
    }
    std::string Text = Request.queryParameter("from");
    std::size_t From = 0;
    std::from_chars(Text.data(), Text.data() + Text.size(), From);
    RunPointer Source = Found->second;
    co_await stream(Exchange, Source, From);
  }

  /// Cancels a run. An id that was never received is refused from now on.
  Awaitable<void> cancel(HttpExchange &Exchange) {
    std::string Id = idOf(Exchange.request());
    bool OnlyDetached =
        Exchange.request().queryParameter("onlyDetached") == "true";
    auto Found = Runs_.find(Id);
    std::string State = "never-seen";
    if (Found == Runs_.end()) {
      Refused_.insert(Id);
    } else if (Found->second->Ended_) {
      State = "ended";
    } else if (OnlyDetached && Found->second->Readers_ > 0) {
      co_await Exchange.respond(jsonAnswer(409, Json::object()));
      co_return;
    } else {
      State = "cancelled";
      Run &Target = *Found->second;
      Target.Cancelled_ = true;
      Target.Ended_ = true;
      Ledger_.write("cancelled", Id, Target.Nonce_,
                    {{"prefill", Target.PrefillDone_}});
      std::erase(Batch_, Found->second);
      Target.wakeReaders();
    }
    Json Body = {{"state", State}};
    co_await Exchange.respond(jsonAnswer(200, Body));
  }

  Awaitable<void> reportLoad(HttpExchange &Exchange) {
    auto Now = steady_clock::now();
    auto Lag = milliseconds(absl::GetFlag(FLAGS_report_lag_ms));
    Reports_.emplace_back(
        Now, Json{{"running", Batch_.size()}, {"waiting", Queue_.size()}});
    while (Reports_.size() > 1 && Reports_[1].first + Lag <= Now)
      Reports_.pop_front();
    Json Body = Reports_.front().second;
    Body["leaving"] = Faults_.Leaving_;
    Body["nextEvent"] = FirstEvent_ + CacheEvents_.size();
    co_await Exchange.respond(jsonAnswer(200, Body));
  }

  Awaitable<void> reportEvents(HttpExchange &Exchange) {
    std::string Text = Exchange.request().queryParameter("after");
    std::uint64_t After = 0;
    std::from_chars(Text.data(), Text.data() + Text.size(), After);
    Json Events = Json::array();
    std::uint64_t Number = FirstEvent_;
    for (std::uint64_t Block : CacheEvents_)
      if (Number++ >= After)
        Events.push_back({{"kind", "evicted"}, {"block", Block}});
    Json Body = {{"events", std::move(Events)},
                 {"gap", After < FirstEvent_},
                 {"next", FirstEvent_ + CacheEvents_.size()}};
    co_await Exchange.respond(jsonAnswer(200, Body));
  }

  Awaitable<void> setFaults(HttpExchange &Exchange) {
    Json Body = jsonBody(Exchange.request());
    Faults_.Slow_ = Body.value("slow", 1.0);
    Faults_.Silent_ = Body.value("silent", 0);
    Faults_.Cut_ = Body.value("cut", 0);
    Faults_.Unframed_ = Body.value("unframed", 0);
    Faults_.Crossed_ = Body.value("crossed", 0);
    Faults_.Refuse_ = Body.value("refuse", 0);
    Faults_.Swallow_ = Body.value("swallow", 0);
    Faults_.NoResume_ = Body.value("noResume", false);
    Faults_.Leaving_ = Body.value("leaving", false);
    Faults_.Limit_ = Body.value("limit", "");
    co_await Exchange.respond(jsonAnswer(200, Json::object()));
  }

  asio::io_context &Context_;
  std::string Name_;
  Ledger Ledger_;
  BlockCache Cache_;
  Faults Faults_;
  std::unordered_map<std::string, RunPointer> Runs_;
  std::deque<std::string> Admitted_;
  std::set<std::string> Refused_;
  std::deque<RunPointer> Queue_;
  std::vector<RunPointer> Batch_;
  std::deque<std::uint64_t> CacheEvents_;
  std::uint64_t FirstEvent_ = 0;
  std::deque<std::pair<steady_clock::time_point, Json>> Reports_;
  bool Stepping_ = false;
};

} // namespace

} // namespace samphireshunt::standins

int main(int ArgumentCount, char **Arguments) {
  using namespace samphireshunt;
  absl::ParseCommandLine(ArgumentCount, Arguments);
  boost::asio::io_context Context(1);
  standins::ModelEngine Engine(Context);
  return standins::serve(
      Context, absl::GetFlag(FLAGS_address),
      [&Engine](HttpExchange &Exchange) { return Engine.handle(Exchange); });
}
