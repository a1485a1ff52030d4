/// \file
/// A seeded hunt over messages: callers and an engine write what a grammar with
/// mutations makes up, at a real daemon, beside sound callers.
/// HUNT_SEEDS="1 2 3" selects seeds and HUNT_MESSAGES=20000 the requests of
/// each run; by default a few fixed seeds run for a short time.

#include "FailureTests/platform/MessageGrammar.h"
#include "FailureTests/platform/MessageReader.h"
#include "FailureTests/platform/RawDaemon.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <iterator>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

using namespace samphireshunt;
using namespace samphireshunt::tests;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::steady_clock;

namespace {

constexpr std::string_view IdName = "x-samphireshunt-request-id";
constexpr std::size_t MaxPrinted = 5;
constexpr int OddCallers = 6;
constexpr int SoundCallers = 3;
/// Far more than a sound answer takes, and less than the callers' own limit.
constexpr std::chrono::seconds InTime{3};
constexpr std::chrono::seconds ConnectionLimit{10};
/// What the daemon's memory may grow by after the first quarter of a run.
constexpr std::size_t MaxGrowth = std::size_t{16} << 20;

std::vector<std::uint64_t> seeds() {
  const char *Setting = std::getenv("HUNT_SEEDS");
  std::istringstream Text(Setting ? Setting : "1 2");
  std::vector<std::uint64_t> Seeds;
  for (std::uint64_t Seed = 0; Text >> Seed;)
    Seeds.push_back(Seed);
  return Seeds;
}

int messagesOfSeed() {
  constexpr int Default = 10000;
  const char *Setting = std::getenv("HUNT_MESSAGES");
  return Setting ? std::atoi(Setting) : Default;
}

/// All requests of a run, how often each was run, and what broke a promise.
class Ledger {
public:
  void add(const PlannedRequest &Request) {
    std::scoped_lock Lock(Mutex_);
    Requests_.emplace(Request.Id_, Request);
  }

  /// Compares what an engine got with what was sent. \returns the answer.
  PlannedAnswer run(const ReadMessage &Got) {
    std::scoped_lock Lock(Mutex_);
    auto Ids = Got.valuesOf(IdName);
    auto Found = Requests_.find(Ids.size() == 1 ? Ids.front() : "");
    if (Found == Requests_.end()) {
      report("an engine ran what nobody sent: " + Got.StartLine_ + Got.Fields_);
      return {.Bytes_ = "HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n"};
    }
    const PlannedRequest &Sent = Found->second;
    if (++Runs_[Sent.Id_] > 1)
      report(Sent, "was run twice");
    if (Sent.Verdict_ == Verdict::Bad)
      report(Sent, "was run");
    if (Got.StartLine_ !=
            fmt::format("{} {} HTTP/1.1", Sent.Method_, Sent.Path_) ||
        Got.Content_ != Sent.Content_)
      report(Sent, "was run as " + Got.StartLine_ + "\n" + Got.Content_);
    if (!Got.valuesOf("transfer-encoding").empty())
      report(Sent, "was run with a coding");
    return Sent.Answer_;
  }

  /// Compares an answer with the request that it has to belong to.
  void answer(const PlannedRequest &Sent, const ReadMessage &Got) {
    std::scoped_lock Lock(Mutex_);
    ++Answers_;
    int Status = Got.status();
    ++Statuses_[Status];
    auto Codes = Got.valuesOf("x-result-code");
    if (std::ranges::find(Codes, "900") != Codes.end())
      report(Sent, "was answered with 900");
    for (const std::string &Id : Got.valuesOf(IdName))
      if (Id != Sent.Id_)
        report(Sent, "got the answer of " + Id);
    if (Status == 200) {
      if (Sent.Verdict_ == Verdict::Bad ||
          Sent.Answer_.Verdict_ == Verdict::Bad)
        report(Sent, "got 200");
      if (Got.Content_ != Sent.Answer_.Content_)
        report(Sent, "got " + Got.Content_);
      if (Runs_[Sent.Id_] != 1)
        report(Sent, "got 200 though it was not run");
    } else if (Sent.Verdict_ == Verdict::Good && !Sent.Answer_.Failing_)
      report(Sent, fmt::format("got {}{}", Got.StartLine_, Got.Fields_));
    else if (Sent.Verdict_ == Verdict::Bad && Status / 100 != 4)
      report(Sent, "was not refused but got " + Got.StartLine_);
    else if (Status < 300 || Status > 599)
      report(Sent, "got no answer but " + Got.StartLine_);
  }

  /// \p Problem is what happened to \p Sent.
  void fail(const PlannedRequest &Sent, const std::string &Problem) {
    std::scoped_lock Lock(Mutex_);
    report(Sent, Problem);
  }

  std::vector<std::string> problems() {
    std::scoped_lock Lock(Mutex_);
    return Problems_;
  }
  /// \returns counts for the line about a run.
  std::string counts() {
    std::scoped_lock Lock(Mutex_);
    std::string Text =
        fmt::format("{} requests, {} run, {} answered:", Requests_.size(),
                    Runs_.size(), Answers_);
    for (auto [Status, Count] : Statuses_)
      Text += fmt::format(" {}x{}", Status, Count);
    return Text;
  }
  std::size_t size() {
    std::scoped_lock Lock(Mutex_);
    return Requests_.size();
  }

private:
  void report(const PlannedRequest &Sent, const std::string &Problem) {
    report(fmt::format("{} ({}) {}; sent:\n{}", Sent.Id_,
                       Sent.Mutation_.empty() ? "plain" : Sent.Mutation_,
                       Problem, Sent.Bytes_));
  }
  void report(const std::string &Problem) {
    Problems_.push_back(
        fmt::format("after {} messages: {}", Requests_.size(), Problem));
  }

  std::mutex Mutex_;
  std::map<std::string, PlannedRequest> Requests_;
  std::map<std::string, int> Runs_;
  std::map<int, int> Statuses_;
  int Answers_ = 0;
  std::vector<std::string> Problems_;
};

/// An engine that runs what it gets, as the ledger says.
class HuntEngine {
public:
  HuntEngine(asio::io_context &Context, Ledger &Entries)
      : Entries_(Entries),
        Acceptor_(Context, {asio::ip::make_address("127.0.0.1"), 0}) {
    asio::co_spawn(
        Context,
        [this] {
          return acceptEach(Acceptor_,
                            [this](std::shared_ptr<tcp::socket> Peer) {
                              return serve(std::move(Peer));
                            });
        },
        asio::detached);
  }
  Endpoint address() const { return Acceptor_.local_endpoint(); }

private:
  Awaitable<void> serve(std::shared_ptr<tcp::socket> Peer) {
    constexpr std::size_t SpaceBytes = 4096;
    std::array<char, SpaceBytes> Space;
    boost::system::error_code Error;
    auto Token = asio::redirect_error(asio::use_awaitable, Error);
    std::string Bytes;
    while (!Error) {
      std::size_t Count =
          co_await Peer->async_read_some(asio::buffer(Space), Token);
      Bytes.append(Space.data(), Count);
      while (auto Got = takeMessage(Bytes, /*HasContent=*/true, false)) {
        PlannedAnswer Answer;
        // The daemon's own calls.
        if (Got->StartLine_.find(" /-/") != std::string::npos)
          Answer.Bytes_ = "HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n";
        else
          Answer = Entries_.run(*Got);
        co_await asio::async_write(*Peer, asio::buffer(Answer.Bytes_), Token);
        if (Error || Answer.Closes_)
          co_return;
      }
    }
  }

  Ledger &Entries_;
  tcp::acceptor Acceptor_;
};

/// A caller's connection, which is closed at its limit.
class CallerConnection {
public:
  CallerConnection(asio::io_context &Context, const Endpoint &To)
      : Socket_(Context), Limit_(Context) {
    Socket_.connect(To);
    Socket_.set_option(tcp::no_delay(true));
  }

  Awaitable<void> write(std::vector<std::string> Pieces) {
    boost::system::error_code Error;
    for (const std::string &Piece : Pieces)
      if (!Error)
        co_await asio::async_write(
            Socket_, asio::buffer(Piece),
            asio::redirect_error(asio::use_awaitable, Error));
  }
  void endWriting() {
    boost::system::error_code Ignored;
    Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
  }

  /// \returns the next answer that is not an interim one; nothing if the
  /// connection ends, or the time is over.
  Awaitable<std::optional<ReadMessage>> read(bool HasContent,
                                             std::chrono::seconds InTime) {
    constexpr std::size_t SpaceBytes = 4096;
    Limit_.expires_after(InTime);
    Limit_.async_wait([this](boost::system::error_code Error) {
      if (!Error) {
        Late_ = true;
        Socket_.cancel();
      }
    });
    std::array<char, SpaceBytes> Space;
    boost::system::error_code Error;
    std::optional<ReadMessage> Got;
    for (;;) {
      Got = takeMessage(Bytes_, HasContent, static_cast<bool>(Error));
      if (Got && Got->status() / 100 == 1)
        continue;
      if (Got || Error)
        break;
      std::size_t Count = co_await Socket_.async_read_some(
          asio::buffer(Space),
          asio::redirect_error(asio::use_awaitable, Error));
      Bytes_.append(Space.data(), Count);
    }
    Limit_.cancel();
    co_return Got;
  }
  bool late() const { return Late_; }

private:
  tcp::socket Socket_;
  asio::steady_timer Limit_;
  std::string Bytes_;
  bool Late_ = false;
};

/// One run of a seed.
class Hunt {
public:
  explicit Hunt(std::uint64_t Seed)
      : Seed_(Seed), Sound_(Engines_.context(), Entries_),
        Odd_(Engines_.context(), Entries_) {
    publish();
  }

  void play(int Messages) {
    auto Start = steady_clock::now();
    Wanted_ = static_cast<std::size_t>(Messages);
    auto Spawn = [this](Awaitable<void> Work) {
      asio::co_spawn(Context_, std::move(Work),
                     [](const std::exception_ptr &Error) {
                       if (Error)
                         std::rethrow_exception(Error);
                     });
    };
    for (int Number = 0; Number < OddCallers; ++Number)
      Spawn(callOddly(Number));
    for (int Number = 0; Number < SoundCallers; ++Number)
      Spawn(callSoundly(OddCallers + Number));
    Context_.run();
    std::chrono::duration<double> Took = steady_clock::now() - Start;
    checkMemory();
    if (Daemon_.hasLogged("\"code\":\"900\""))
      Problems_.push_back("900 is in the log");
    std::ranges::copy(Entries_.problems(), std::back_inserter(Problems_));
    fmt::print("seed {}: {} ({:.0f} a second, {} MB)\n", Seed_,
               Entries_.counts(),
               static_cast<double>(Entries_.size()) / Took.count(),
               Daemon_.mostMemory() >> 20);
  }
  const std::vector<std::string> &problems() const { return Problems_; }

private:
  /// Adds a route and an engine for sound answers, and one for any.
  void publish() {
    std::vector<nlohmann::json> Routes;
    for (const char *Name : {"sound", "odd", "notes"})
      Routes.push_back({{"name", Name},
                        {"hostname", MessageGrammar::Host},
                        {"prefix", fmt::format("/{}/", Name)},
                        {"kind", "unsafe"},
                        {"timeout-ms", 5000},
                        {"goal-ms", 2000},
                        {"priority", 0},
                        {"attempts", 1},
                        {"resumable", false},
                        {"service", Name}});
    nlohmann::json Services;
    for (const char *Name : {"sound", "odd", "notes"})
      Services.push_back({{"name", Name}});
    for (auto [Name, Engine] :
         {std::pair{"sound", &Sound_}, std::pair{"odd", &Odd_}})
      Daemon_.put(fmt::format("servers/{}", Name),
                  nlohmann::json{{"service", Name},
                                 {"address", formatEndpoint(Engine->address())},
                                 {"zone", "z"},
                                 {"batch-size", 16},
                                 {"version", "v1"},
                                 {"warmup-left-ms", 0},
                                 {"sequence", 1},
                                 {"born", 1},
                                 {"state", "ready"}}
                      .dump());
    Daemon_.put("op/config",
                nlohmann::json{{"version", 2},
                               {"routes", std::move(Routes)},
                               {"services", std::move(Services)},
                               {"limits", {{"idle-timeout-ms", 15000}}},
                               {"tenants", nlohmann::json::array()}}
                    .dump());
    MessageGrammar Warm(Seed_, 0, "warm");
    REQUIRE(eventually([&] {
      PlannedRequest Request = Warm.plain();
      while (Request.Method_ == "HEAD")
        Request = Warm.plain();
      Entries_.add(Request);
      return RawDaemon::exchange(listener(), Request.Bytes_, /*Whole=*/true)
          .starts_with("HTTP/1.1 200");
    }));
  }

  const Endpoint &listener() const { return Daemon_.listeners().front(); }
  bool over() { return Entries_.size() >= Wanted_; }

  Awaitable<void> callOddly(int Number) {
    MessageGrammar Grammar(Seed_, static_cast<std::uint64_t>(Number),
                           fmt::format("c{}", Number));
    while (!over()) {
      if (FirstMemory_ == 0 && Entries_.size() * 4 >= Wanted_)
        FirstMemory_ = Daemon_.mostMemory();
      PlannedConnection Plan = Grammar.connection();
      co_await exchange(Grammar, std::move(Plan));
    }
  }

  Awaitable<void> exchange(MessageGrammar &Grammar, PlannedConnection Plan) {
    CallerConnection Connection(Context_, listener());
    const auto &Requests = Plan.Requests_;
    for (const PlannedRequest &Each : Requests)
      Entries_.add(Each);
    if (Plan.Pipelined_) {
      std::string All;
      for (const PlannedRequest &Each : Requests)
        All += Each.Bytes_;
      std::vector<std::string> Pieces = Grammar.pieces(All);
      co_await Connection.write(std::move(Pieces));
    }
    // Each request before was answered, and left the connection open.
    bool Answered = true;
    for (const PlannedRequest &Each : Requests) {
      if (!Plan.Pipelined_) {
        std::vector<std::string> Pieces = Grammar.pieces(Each.Bytes_);
        co_await Connection.write(std::move(Pieces));
      }
      // Not before: a caller that ends its side has left the answers before.
      if (Each.Cut_)
        Connection.endWriting();
      auto Got =
          co_await Connection.read(Each.Method_ != "HEAD", ConnectionLimit);
      if (Connection.late())
        Entries_.fail(Each, "got no answer in time");
      else if (Got)
        Entries_.answer(Each, *Got);
      else if (Answered && !Each.Cut_ &&
               (Each.Verdict_ == Verdict::Bad ||
                (Each.Verdict_ == Verdict::Good && !Each.Answer_.Failing_)))
        Entries_.fail(Each, "got no answer");
      Answered = Each.Verdict_ == Verdict::Good && !Each.Answer_.Failing_ &&
                 !Each.Ends_;
      if (!Got)
        co_return;
      if (Each.Verdict_ == Verdict::Bad) {
        co_await checkEnd(Connection, Each);
        co_return;
      }
    }
  }

  /// The connection has to end after a refusal, without another answer.
  Awaitable<void> checkEnd(CallerConnection &Connection,
                           const PlannedRequest &Refused) {
    auto More = co_await Connection.read(/*HasContent=*/true, ConnectionLimit);
    if (Connection.late())
      Entries_.fail(Refused, "was refused, and the connection goes on");
    else if (More && More->status() != 0)
      Entries_.fail(Refused, "got two answers");
  }

  Awaitable<void> callSoundly(int Number) {
    MessageGrammar Grammar(Seed_, static_cast<std::uint64_t>(Number),
                           fmt::format("s{}", Number));
    CallerConnection Connection(Context_, listener());
    while (!over()) {
      PlannedRequest Request = Grammar.plain();
      Entries_.add(Request);
      std::vector<std::string> Pieces = {Request.Bytes_};
      co_await Connection.write(std::move(Pieces));
      auto Got = co_await Connection.read(Request.Method_ != "HEAD", InTime);
      if (Got)
        Entries_.answer(Request, *Got);
      else
        Entries_.fail(Request, Connection.late()
                                   ? "of a sound caller got no answer in time"
                                   : "of a sound caller got no answer");
      if (!Got)
        co_return;
    }
  }

  void checkMemory() {
    std::size_t Now = Daemon_.mostMemory();
    if (FirstMemory_ == 0 || Now > FirstMemory_ + MaxGrowth)
      Problems_.push_back(
          fmt::format("memory grew from {} to {}", FirstMemory_, Now));
  }

  std::uint64_t Seed_;
  Ledger Entries_;
  ContextThread Engines_;
  HuntEngine Sound_;
  HuntEngine Odd_;
  RawDaemon Daemon_;
  asio::io_context Context_;
  std::size_t Wanted_ = 0;
  std::size_t FirstMemory_ = 0;
  std::vector<std::string> Problems_;
  ContextThread::StopFirst StopFirst_{Engines_};
};

} // namespace

TEST_CASE("whatever callers and an engine write, each request is run as it was "
          "sent, or not at all") {
  // Guards against requests that are hidden, changed, repeated or given
  // another's answer, and against sound callers that suffer for others.
  int Messages = messagesOfSeed();
  for (std::uint64_t Seed : seeds()) {
    Hunt Run(Seed);
    Run.play(Messages);
    const auto &Problems = Run.problems();
    for (std::size_t At = 0; At < std::min(Problems.size(), MaxPrinted); ++At)
      MESSAGE("seed " << Seed << ": " << Problems[At]);
    CHECK_MESSAGE(Problems.empty(),
                  "seed " << Seed << ": " << Problems.size() << " problems");
  }
}
