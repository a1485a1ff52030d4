/// \file
/// Load generator: sends requests to daemons in a closed loop or at a fixed
/// rate, and logs a line for each call.

#include "Caller.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <cstdio>
#include <map>

ABSL_FLAG(std::string, targets, "", "Addresses of the daemons, IP:port,...");
ABSL_FLAG(std::string, host, "", "Host header field; selects the service.");
ABSL_FLAG(std::string, key, "", "The customer's key.");
ABSL_FLAG(std::string, mode, "chat", "chat, stream or application.");
ABSL_FLAG(std::string, model, "", "Model that chat and stream requests name.");
ABSL_FLAG(std::string, path, "/v1/chat/completions", "Path of the requests.");
ABSL_FLAG(std::string, method, "POST", "Method of the requests.");
ABSL_FLAG(std::string, tier, "", "Tier of the requests.");
ABSL_FLAG(std::string, nonce_prefix, "call", "Prefix of each nonce.");
ABSL_FLAG(bool, idempotency_keys, false,
          "Give each call its own idempotency key.");
ABSL_FLAG(int, count, 1, "Total number of calls.");
ABSL_FLAG(int, concurrency, 1, "Maximum number of concurrent calls.");
ABSL_FLAG(double, rate, 0, "Calls started per second; 0: closed loop.");
ABSL_FLAG(int, prompt_tokens, 32, "Length of a prompt, in tokens.");
ABSL_FLAG(int, shared_prefixes, 0,
          "Number of shared texts that prompts start with; 0: none.");
ABSL_FLAG(int, max_tokens, 16, "Length of an answer, in tokens.");
ABSL_FLAG(int, timeout_ms, 30000, "Deadline of a call, in ms.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the random choices.");
ABSL_FLAG(std::string, log, "", "File to write a line for each call to.");
ABSL_FLAG(bool, print, false, "Print each answer.");

namespace samphireshunt::standins {

namespace {

namespace asio = boost::asio;
using std::chrono::steady_clock;

std::string promptText(const std::string &Nonce, pcg32 &Random) {
  constexpr std::size_t BytesPerToken = 4;
  auto Size = static_cast<std::size_t>(absl::GetFlag(FLAGS_prompt_tokens)) *
              BytesPerToken;
  int Shared = absl::GetFlag(FLAGS_shared_prefixes);
  std::string Suffix = " " + Nonce;
  std::string Prefix = Nonce + " ";
  if (Shared > 0)
    Prefix = fmt::format("file {} ", Random(static_cast<unsigned>(Shared)));
  std::string Text;
  while (Text.size() + Suffix.size() < Size)
    Text += Prefix;
  return Text + Suffix;
}

class LoadRun {
public:
  LoadRun() : Random_(absl::GetFlag(FLAGS_seed)) {
    std::vector<std::string> Targets =
        absl::StrSplit(absl::GetFlag(FLAGS_targets), ',');
    for (const std::string &Target : Targets)
      Targets_.push_back(parseEndpoint(Target).value());
    std::string Path = absl::GetFlag(FLAGS_log);
    if (!Path.empty())
      Log_ = std::fopen(Path.c_str(), "w");
  }

  int run() {
    Started_ = steady_clock::now();
    int Concurrency = absl::GetFlag(FLAGS_concurrency);
    if (absl::GetFlag(FLAGS_rate) > 0) {
      auto Open = [this]() { return openLoop(); };
      asio::co_spawn(Context_, std::move(Open), asio::detached);
    } else {
      for (int Index = 0; Index < Concurrency; ++Index) {
        auto Closed = [this]() { return closedLoop(); };
        asio::co_spawn(Context_, std::move(Closed), asio::detached);
      }
    }
    Context_.run();
    if (Log_)
      std::fclose(Log_);
    summarize();
    return 0;
  }

private:
  CallRequest nextRequest() {
    int Number = Next_++;
    CallRequest Request;
    Request.Target_ =
        Targets_[static_cast<std::size_t>(Number) % Targets_.size()];
    Request.Host_ = absl::GetFlag(FLAGS_host);
    Request.CustomerKey_ = absl::GetFlag(FLAGS_key);
    std::string Mode = absl::GetFlag(FLAGS_mode);
    Request.Mode_ = Mode == "stream"        ? CallMode::Stream
                    : Mode == "application" ? CallMode::Application
                                            : CallMode::Chat;
    Request.Nonce_ =
        fmt::format("{}-{}", absl::GetFlag(FLAGS_nonce_prefix), Number);
    Request.Model_ = absl::GetFlag(FLAGS_model);
    Request.Path_ = absl::GetFlag(FLAGS_path);
    Request.Method_ = absl::GetFlag(FLAGS_method);
    Request.Tier_ = absl::GetFlag(FLAGS_tier);
    Request.MaxTokens_ =
        static_cast<std::size_t>(absl::GetFlag(FLAGS_max_tokens));
    Request.Timeout_ =
        std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    if (Request.Mode_ != CallMode::Application)
      Request.Prompt_ = promptText(Request.Nonce_, Random_);
    if (absl::GetFlag(FLAGS_idempotency_keys))
      Request.IdempotencyKey_ = "key-" + Request.Nonce_;
    return Request;
  }

  Awaitable<void> closedLoop() {
    // Connections are reused per daemon, as behind a load balancer, which pins
    // a caller's connection to one daemon.
    std::map<Endpoint, std::unique_ptr<HttpConnection>> Connections;
    while (Next_ < absl::GetFlag(FLAGS_count)) {
      CallRequest Request = nextRequest();
      auto *Reused = &Connections[Request.Target_];
      CallRecord Record = co_await call(std::move(Request), Reused);
      record(Record);
    }
  }

  Awaitable<void> openLoop() {
    asio::steady_timer Timer(Context_);
    auto Gap = std::chrono::duration_cast<steady_clock::duration>(
        std::chrono::duration<double>(1.0 / absl::GetFlag(FLAGS_rate)));
    auto Due = steady_clock::now();
    while (Next_ < absl::GetFlag(FLAGS_count)) {
      auto One = [this, Request = nextRequest()]() {
        return openCall(Request);
      };
      asio::co_spawn(Context_, std::move(One), asio::detached);
      Due += Gap;
      Timer.expires_at(Due);
      co_await Timer.async_wait(asio::use_awaitable);
    }
  }

  Awaitable<void> openCall(CallRequest Request) {
    CallRecord Record = co_await call(std::move(Request));
    record(Record);
  }

  void record(const CallRecord &Record) {
    if (Log_)
      fmt::print(Log_, "{}\n", Record.toJson().dump());
    if (absl::GetFlag(FLAGS_print))
      fmt::print("{:<12} {:<9} code {:<4} by {} on {}: {}\n", Record.Nonce_,
                 Record.Outcome_, Record.Code_, Record.ServedBy_,
                 Record.BackendServer_, Record.Text_);
    ++ByOutcome_[Record.Outcome_];
    Totals_.push_back(Record.Total_.count());
  }

  void summarize() {
    std::ranges::sort(Totals_);
    auto Percentile = [this](double Fraction) {
      if (Totals_.empty())
        return 0.0;
      auto Last = static_cast<double>(Totals_.size() - 1);
      return static_cast<double>(
                 Totals_[static_cast<std::size_t>(Fraction * Last)]) /
             1000.0;
    };
    std::chrono::duration<double> Elapsed = steady_clock::now() - Started_;
    Json Summary = {
        {"calls", Totals_.size()},
        {"seconds", Elapsed.count()},
        {"perSecond", static_cast<double>(Totals_.size()) / Elapsed.count()},
        {"p50Ms", Percentile(0.5)},
        {"p99Ms", Percentile(0.99)},
        {"outcomes", ByOutcome_}};
    fmt::print("{}\n", Summary.dump());
  }

  using Json = nlohmann::json;
  asio::io_context Context_{1};
  std::vector<Endpoint> Targets_;
  pcg32 Random_;
  int Next_ = 0;
  std::FILE *Log_ = nullptr;
  steady_clock::time_point Started_;
  std::map<std::string, int> ByOutcome_;
  std::vector<std::int64_t> Totals_;
};

} // namespace

} // namespace samphireshunt::standins

int main(int ArgumentCount, char **Arguments) {
  absl::ParseCommandLine(ArgumentCount, Arguments);
  return samphireshunt::standins::LoadRun().run();
}
