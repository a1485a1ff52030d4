/// \file
/// Sends requests to two daemons before model engines, some of which expect a
/// version of the weights. With the disruption, the engines have newer weights
/// after all daemons were killed, and those requests still expect the older.
///
///     pinned_version RECORD DISRUPT
///
/// Prints the address of the store and reads the daemons' addresses for
/// callers, separated by a space. Prints "restart" when the daemons are to be
/// killed, and reads their new addresses.

#include "Standins.h"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;

constexpr std::size_t EngineCount = 18;
constexpr int CallerCount = 10;
/// One request in so many expects a version.
constexpr std::uint64_t PinnedEvery = 20;
constexpr int DeadlineMs = 4000;
constexpr seconds PhaseTime{10};
/// recover-s of the site.
constexpr seconds RecoverTime{12};

constexpr const char *Configuration =
    R"({"version":1,"routes":[{"name":"letter","hostname":"desk.example",)"
    R"("prefix":"/letters/","kind":"streaming","timeout-ms":4000,)"
    R"("goal-ms":600,"priority":0,"service":"escriba","attempts":2,)"
    R"("anonymous":true,"sticky":true,"resumable":true,"gap-target-ms":400}],)"
    R"("services":[{"name":"escriba","health-path":"/healthz",)"
    R"("max-conns":490,"protocol":"h1","tls":false,"backend":{)"
    R"("batch-size":7,"kv-capacity":187300,"kv-bytes":131072,)"
    R"("link-mbps":260000.0,"moves":true,"backups":true,"stride":4,)"
    R"("most":12,"pin-ms":4000.0,"hold-ms":2000.0,"session-ttl-s":5.0,)"
    R"("models":[{"name":"m"}]}}],"limits":{"max-header-bytes":16384,)"
    R"("max-body-bytes":4194304,"header-timeout-ms":3000,)"
    R"("idle-timeout-ms":15000},"tenants":[]})";

/// The version of the weights of all engines.
std::atomic<int> Weights = 1;

/// A model engine that follows the pages: it answers 421, and does not run the
/// request, if another instance or another version is expected.
class Engine {
public:
  Engine(std::string Id, Record &Log)
      : Id_(std::move(Id)), Log_(Log),
        Server_([this](const Message &Request) { return run(Request); }) {}

  const std::string &id() const { return Id_; }
  std::string entry() const {
    return R"({"service":"escriba","address":")" + Server_.address() +
           R"(","zone":"latacunga","version":"v1","batch-size":7,)"
           R"("state":"ready","warmup-left-ms":0,"phase":"mixed",)"
           R"("models":[{"name":"m","version":)" +
           std::to_string(Weights) + R"(,"adapters":[]}],"sequence":)" +
           std::to_string(Weights) + "}";
  }

private:
  std::string run(const Message &Request) {
    std::string Call = Request.field("x-samphireshunt-request-id");
    std::string Instance = Request.field("x-samphireshunt-expect-instance");
    std::string Version = Request.field("x-samphireshunt-expect-version");
    std::string Echo = "X-Samphireshunt-Request-Id: " + Call + "\r\n";
    std::string Own = std::to_string(Weights);
    if ((!Instance.empty() && Instance != Id_) ||
        (!Version.empty() && Version != Own)) {
      Log_.add(Id_ + " answers 421 to " + Call + ", which expects version " +
               Version);
      return answer(421, Echo + "X-Samphireshunt-Instance-Id: " + Id_ + "\r\n",
                    "");
    }
    std::this_thread::sleep_for(milliseconds(20));
    return answer(200,
                  Echo + "X-Samphireshunt-Server-Stamp: stamp-" + Call +
                      "\r\nX-Samphireshunt-Weight-Versions: " + Own +
                      "\r\nContent-Type: text/event-stream\r\n",
                  "id: 1\ndata: dear customer\n\n");
  }

  std::string Id_;
  Record &Log_;
  Server Server_;
};

/// What became of the requests that expect no version.
struct Tally {
  std::atomic<int> Sent_ = 0;
  std::atomic<int> Served_ = 0;
};

/// Callers that send at a steady rate, and once more after a refusal.
class Callers {
public:
  Callers(std::vector<std::string> Daemons, int Expected, Record &Log)
      : Daemons_(std::move(Daemons)), Expected_(std::to_string(Expected)),
        Log_(Log) {}

  void sendFor(std::chrono::milliseconds Time, Tally &Counted) {
    auto End = steady_clock::now() + Time;
    std::vector<std::thread> Threads;
    for (int Index = 0; Index < CallerCount; ++Index)
      Threads.emplace_back([&, End] {
        while (steady_clock::now() < End) {
          send(NextCall++, Counted);
          std::this_thread::sleep_for(milliseconds(500));
        }
      });
    for (std::thread &Caller : Threads)
      Caller.join();
  }

private:
  void send(std::uint64_t Number, Tally &Counted) {
    bool Pinned = Number % PinnedEvery == 0;
    int Status = attempt(Number, 0, Pinned, DeadlineMs);
    if (Status != 200) {
      std::this_thread::sleep_for(milliseconds(200));
      Status = attempt(Number, 1, Pinned, DeadlineMs - 300);
    }
    if (Pinned)
      return;
    ++Counted.Sent_;
    Counted.Served_ += Status == 200 ? 1 : 0;
  }

  int attempt(std::uint64_t Number, int Try, bool Pinned, int LeftMs) {
    std::string Id =
        "call-" + std::to_string(Number) + "-" + std::to_string(Try);
    std::string Version =
        Pinned ? "X-Samphireshunt-Expect-Version: " + Expected_ + "\r\n"
               : std::string();
    Socket Connection = connectTo(
        Daemons_[(Number + static_cast<std::uint64_t>(Try)) % Daemons_.size()]);
    int Status = 0;
    if (Connection.isOpen()) {
      Connection.send("POST /letters/1 HTTP/1.1\r\nHost: desk.example\r\n"
                      "X-Samphireshunt-Request-Id: " +
                      Id +
                      "\r\nX-Samphireshunt-Model: m\r\n"
                      "X-Samphireshunt-Token-Count: 60,8\r\n"
                      "X-Samphireshunt-Deadline-Ms: " +
                      std::to_string(LeftMs) + "\r\n" + Version +
                      "Connection: close\r\nContent-Length: 4\r\n\r\nnote");
      std::string Head;
      while (Head.find("\r\n\r\n") == std::string::npos) {
        std::string Come = Connection.receive(LeftMs);
        if (Come.empty())
          break;
        Head += Come;
      }
      if (Head.starts_with("HTTP/1.1 "))
        Status = std::stoi(Head.substr(9, 3));
    }
    Log_.add(Id + (Pinned ? " expects version " + Expected_ : "") + ": " +
             std::to_string(Status));
    return Status;
  }

  static inline std::atomic<std::uint64_t> NextCall = 1;
  std::vector<std::string> Daemons_;
  std::string Expected_;
  Record &Log_;
};

std::vector<std::string> readAddresses() {
  std::string Line;
  std::getline(std::cin, Line);
  std::istringstream Words(Line);
  std::vector<std::string> Addresses;
  for (std::string Word; Words >> Word;)
    Addresses.push_back(Word);
  return Addresses;
}

void report(Record &Log, const std::string &Phase, const Tally &Counted) {
  Log.add(Phase + ": of " + std::to_string(Counted.Sent_) +
          " requests that expect no version, " +
          std::to_string(Counted.Served_) + " were served");
}

int check(const std::string &RecordPath, bool Disrupt) {
  // Static, since the threads that use them never end.
  static Record Log(RecordPath);
  static Store Platform;
  static std::vector<std::unique_ptr<Engine>> Engines;
  for (std::size_t Index = 0; Index < EngineCount; ++Index)
    Engines.push_back(
        std::make_unique<Engine>("i-" + std::to_string(Index), Log));
  auto Publish = [] {
    for (const auto &Known : Engines)
      Platform.put("servers/" + Known->id(), Known->entry());
  };
  Platform.put("op/config", Configuration);
  Publish();
  std::cout << Platform.address() << std::endl;
  auto Daemons = readAddresses();
  if (Daemons.empty())
    return NotRun;
  std::this_thread::sleep_for(seconds(4));
  Tally Before;
  Callers(Daemons, Weights, Log).sendFor(PhaseTime, Before);
  report(Log, "before the final fault", Before);
  if (4 * Before.Served_ < Before.Sent_)
    return NotRun;
  int Expected = Weights;
  ++Weights;
  Publish();
  if (!Disrupt)
    Expected = Weights;
  Log.add("all daemons are killed; engines have version " +
          std::to_string(Weights));
  std::cout << "restart" << std::endl;
  Daemons = readAddresses();
  if (Daemons.empty())
    return NotRun;
  Tally Meanwhile;
  Callers(Daemons, Expected, Log).sendFor(RecoverTime + seconds(2), Meanwhile);
  report(Log, "until recover-s is over", Meanwhile);
  Tally After;
  Callers(Daemons, Expected, Log).sendFor(PhaseTime, After);
  report(Log, "later than recover-s", After);
  return 4 * After.Served_ < After.Sent_ ? Broken : Held;
}

} // namespace

} // namespace review

int main(int ArgumentCount, char **Arguments) {
  int Result = 2;
  try {
    if (ArgumentCount == 3)
      Result = review::check(Arguments[1], std::string(Arguments[2]) != "0");
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n';
  }
  std::cout.flush();
  std::_Exit(Result);
}
