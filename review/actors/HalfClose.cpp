/// \file
/// A requester that closes the sending direction of its channel while an engine
/// works on its request, and reads the answer.
///
/// With requests of an unsafe route it always does so; with trouble, one of two
/// engines loses the answers of two in five of those that it runs. With
/// requests of a streaming route that may not be resumed it does so with
/// trouble only, once, as a requester that leaves.
///
/// Usage: half_close RECORD TROUBLE. Prints the store's address, and reads the
/// daemon's addresses for requesters and for readiness from standard input.
/// Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.

#include "Actors.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <vector>

using namespace review;

namespace {

constexpr int UnsafeRequests = 10;
constexpr int Streams = 5;
/// The number of the stream that its requester leaves.
constexpr int Leaver = 2;
/// An engine works on the request by then, and has not answered yet.
constexpr int CloseAfterMs = 150;
constexpr int AnswerTimeMs = 6000;

void sleepMs(int Milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
}

Json route(const std::string &Name, const std::string &Kind, int TimeoutMs) {
  return {{"name", Name},
          {"hostname", "h.example"},
          {"prefix", "/" + Name + "/"},
          {"kind", Kind},
          {"timeout-ms", TimeoutMs},
          {"goal-ms", 800},
          {"priority", 0},
          {"service", "pool"},
          {"attempts", 1},
          {"anonymous", false},
          {"resumable", false},
          {"gap-target-ms", 400}};
}

std::string configuration() {
  Json Service = {{"name", "pool"},
                  {"health-path", "/healthz"},
                  {"max-conns", 490},
                  {"protocol", "h1"},
                  {"tls", false}};
  Json Tenant = {{"name", "tenant-1"}, {"api-keys", {"key-1"}},
                 {"unit", "tokens"},   {"plain-tokens", 200},
                 {"rate-per-s", 0},    {"burst", 0}};
  Json Limits = {{"max-header-bytes", 16384},
                 {"max-body-bytes", 4194304},
                 {"header-timeout-ms", 3000},
                 {"idle-timeout-ms", 15000}};
  Json Root = {{"version", 7},
               {"routes", Json::array({route("order", "unsafe", 1500),
                                       route("stream", "streaming", 6000)})},
               {"services", Json::array({Service})},
               {"limits", Limits},
               {"tenants", Json::array({Tenant})}};
  return Root.dump();
}

bool awaitReady(const std::string &Address) {
  constexpr int Tries = 200;
  constexpr int PauseMs = 50;
  for (int Try = 0; Try < Tries; ++Try) {
    int Socket = connectTo(Address);
    if (Socket >= 0) {
      Connection Daemon(Socket);
      Daemon.limitReads(AnswerTimeMs);
      Daemon.send(
          "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      auto Answer = Daemon.readHead();
      if (Answer && Answer->status() == 200)
        return true;
    }
    sleepMs(PauseMs);
  }
  return false;
}

/// \returns the status of the answer; 0 if there is none.
int request(const std::string &Front, const std::string &Route,
            const std::string &Id, bool Closes, Record &Log) {
  int Socket = connectTo(Front);
  if (Socket < 0)
    return 0;
  Connection Daemon(Socket);
  Daemon.limitReads(AnswerTimeMs);
  Log.line("requester sends " + Id);
  Daemon.send("POST /" + Route +
              "/2f HTTP/1.1\r\nHost: h.example\r\n"
              "X-Samphireshunt-Request-Id: " +
              Id +
              "\r\nX-Samphireshunt-Token-Count: 100,20\r\n"
              "X-Samphireshunt-Deadline-Ms: " +
              (Route == "order" ? "1500" : "6000") +
              "\r\nAuthorization: Bearer key-1\r\nContent-Length: 2\r\n\r\n{}");
  if (Closes) {
    sleepMs(CloseAfterMs);
    Log.line("requester closes its sending direction, " + Id);
    Daemon.endSending();
  }
  auto Answer = Daemon.readHead();
  Log.line("requester gets " + (Answer ? Answer->Line_ : "no answer") + ", " +
           Id);
  if (!Answer)
    return 0;
  for (const char *Name : {"x-outcome", "retry-after"})
    if (!Answer->field(Name).empty())
      Log.line(std::string("  ") + Name + ": " + Answer->field(Name));
  return Answer->status();
}

/// \returns whether the status promises that the request has not run.
bool promisesNotRun(int Status) {
  return Status == 429 || Status == 503 || Status == 408 || Status == 421;
}

} // namespace

int main(int Count, char **Arguments) {
  constexpr int CouldNotRun = 2;
  if (Count != 3)
    return CouldNotRun;
  bool Trouble = std::string(Arguments[2]) != "0";
  Record Log(Arguments[1]);
  Store Platform;
  Platform.put("op/config", configuration());
  Engine First("i-1", "pool", Platform, Log);
  Engine Second("i-2", "pool", Platform, Log);
  if (Trouble)
    First.loseAnswers();
  First.start();
  Second.start();
  std::cout << Platform.start() << std::endl;
  std::string Front;
  std::string Ready;
  if (!(std::cin >> Front >> Ready) || !awaitReady(Ready))
    std::_Exit(CouldNotRun);
  sleepMs(500);
  std::atomic<int> Broken = 0;
  std::atomic<int> Answered = 0;
  auto Check = [&](const std::string &Route, int Number, bool Closes) {
    std::string Id = Route + "-" + std::to_string(Number);
    int Status = request(Front, Route, Id, Closes, Log);
    bool Ran = First.hasRun(Id) || Second.hasRun(Id);
    Answered += Status > 0 ? 1 : 0;
    if (!Ran || !promisesNotRun(Status))
      return;
    ++Broken;
    Log.line("  " + Id + " has run: the rule REFUSED is broken");
  };
  // Together, since one engine alone has too few places for all.
  std::vector<std::thread> Orders;
  for (int Number = 1; Number <= UnsafeRequests; ++Number)
    Orders.emplace_back(
        [&Check, Number] { Check("order", Number, /*Closes=*/true); });
  for (std::thread &Each : Orders)
    Each.join();
  for (int Number = 1; Number <= Streams; ++Number)
    Check("stream", Number, /*Closes=*/Trouble && Number == Leaver);
  constexpr int All = UnsafeRequests + Streams;
  Log.line(std::to_string(Broken) + " of " + std::to_string(All) +
           " requests ran and were answered as not run; " +
           std::to_string(Answered) + " got an answer");
  if (!Trouble && Answered < All)
    std::_Exit(CouldNotRun);
  std::_Exit(Broken > 0 ? 1 : 0);
}
