/// \file
/// Sends requests whose body can't be delimited, or can, to a daemon, and
/// checks what the server behind it runs. The bodies look like requests.
///
///     smuggled_request RECORD DISRUPT
///
/// Prints the address of the store, and reads the daemon's address for callers.

#include "Standins.h"

#include <chrono>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace {

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;
constexpr int AnswerTimeoutMs = 2000;

constexpr const char *Configuration =
    R"({"version":1,"routes":[{"name":"note","hostname":"desk.example",)"
    R"("prefix":"/notes/","kind":"unsafe","timeout-ms":1500,"goal-ms":300,)"
    R"("priority":0,"service":"desk","attempts":1,"anonymous":true}],)"
    R"("services":[{"name":"desk","health-path":"/healthz","max-conns":100,)"
    R"("protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,)"
    R"("max-body-bytes":4194304,"header-timeout-ms":3000,)"
    R"("idle-timeout-ms":15000},"tenants":[]})";

std::string entryOf(const Server &Engine) {
  return R"({"service":"desk","address":")" + Engine.address() +
         R"(","zone":"latacunga","version":"v1","batch-size":6,)"
         R"("state":"ready","warmup-left-ms":0,"sequence":1})";
}

std::string requestText(const std::string &Id, const std::string &Framing,
                        const std::string &Body) {
  return "POST /notes/" + Id + " HTTP/1.1\r\nHost: desk.example\r\n" +
         "X-Samphireshunt-Request-Id: " + Id + "\r\n" +
         "X-Samphireshunt-Deadline-Ms: 1500\r\n" + Framing + "\r\n\r\n" + Body;
}

std::string lengthOf(const std::string &Body) {
  return "Content-Length: " + std::to_string(Body.size());
}

/// Runs every request that it gets.
class Desk {
public:
  explicit Desk(Record &Log)
      : Log_(Log),
        Server_([this](const Message &Request) { return run(Request); }) {}

  const Server &server() const { return Server_; }
  std::size_t runsWithBody(const std::string &Id, const std::string &Body) {
    std::scoped_lock Lock(Mutex_);
    return Runs_.count({Id, Body});
  }
  std::size_t runs(const std::string &Id) {
    std::scoped_lock Lock(Mutex_);
    std::size_t Count = 0;
    for (const auto &[Known, Body] : Runs_)
      Count += Known == Id ? 1 : 0;
    return Count;
  }

private:
  std::string run(const Message &Request) {
    std::string Id = Request.field("x-samphireshunt-request-id");
    Log_.add("run " + Id + ": " + Request.StartLine_ + ", body of " +
             std::to_string(Request.Body_.size()) + " bytes");
    {
      std::scoped_lock Lock(Mutex_);
      Runs_.emplace(Id, Request.Body_);
    }
    return answer(200,
                  "X-Samphireshunt-Request-Id: " + Id +
                      "\r\nX-Samphireshunt-Server-Stamp: stamp-" + Id + "\r\n",
                  "done");
  }

  Record &Log_;
  std::mutex Mutex_;
  std::multiset<std::pair<std::string, std::string>> Runs_;
  Server Server_;
};

/// \returns the status of the first answer; 0 without one. All that comes on
/// the connection is recorded.
int call(const std::string &Daemon, const std::string &Bytes, int TimeoutMs,
         Record &Log) {
  Socket Connection = connectTo(Daemon);
  Connection.send(Bytes);
  Reader Answers(Connection);
  int First = 0;
  while (auto Answer = Answers.next(TimeoutMs)) {
    Log.add("answered " + Answer->StartLine_ + " to " +
            Answer->field("x-samphireshunt-request-id"));
    if (First == 0)
      First = std::stoi(Answer->StartLine_.substr(9));
    TimeoutMs = 300;
  }
  return First;
}

bool isReady(const std::string &Daemon, Record &Log) {
  constexpr int Tries = 100;
  for (int Try = 0; Try < Tries; ++Try) {
    std::string Id = "warm-up-" + std::to_string(Try);
    if (call(Daemon, requestText(Id, lengthOf("note"), "note"), AnswerTimeoutMs,
             Log) == 200)
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  return false;
}

int check(const std::string &RecordPath, bool Disrupt) {
  // Static, since the threads that use them never end.
  static Record Log(RecordPath);
  static Store Platform;
  static Desk Notes(Log);
  Platform.put("op/config", Configuration);
  Platform.put("servers/i-1", entryOf(Notes.server()));
  std::cout << Platform.address() << std::endl;
  std::string Daemon;
  if (!std::getline(std::cin, Daemon) || !isReady(Daemon, Log))
    return NotRun;
  // In none of them is "chunked" the last coding: such a body has no end.
  const std::vector<std::string> Codings = {"identity", "chunked, identity",
                                            "xchunked"};
  bool Whole = true;
  bool Smuggled = false;
  for (std::size_t Index = 0; Index < Codings.size(); ++Index) {
    std::string Number = std::to_string(Index);
    std::string Inner =
        requestText("inner-" + Number, lengthOf("note"), "note");
    std::string Framing =
        Disrupt ? "Transfer-Encoding: " + Codings[Index] : lengthOf(Inner);
    std::string Outer = "outer-" + Number;
    Log.add("sent " + Outer + " with " + Framing + ", its body names inner-" +
            Number);
    int Status =
        call(Daemon, requestText(Outer, Framing, Inner), AnswerTimeoutMs, Log);
    Whole &= Status != 200 || Notes.runsWithBody(Outer, Inner) == 1;
    Whole &= Notes.runs(Outer) == Notes.runsWithBody(Outer, Inner);
    Whole &= Disrupt || Status == 200;
    Smuggled |= Notes.runs("inner-" + Number) > 0;
  }
  Log.add(std::string("a request inside another was run: ") +
          (Smuggled ? "yes" : "no"));
  Log.add(std::string("a request was run with another body: ") +
          (Whole ? "no" : "yes"));
  return Smuggled || !Whole ? Broken : Held;
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
