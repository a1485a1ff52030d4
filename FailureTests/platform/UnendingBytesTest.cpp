/// \file
/// Servers and callers that send without end, at a daemon with little memory.

#include "Connection/PeerMessage.h"

#include "FailureTests/ChildProcess.h"
#include "FailureTests/Cluster.h"
#include "FailureTests/ContextThread.h"
#include "FailureTests/TestFolder.h"
#include "FailureTests/UnendingSenders.h"
#include "FailureTests/platform/OneEngine.h"
#include "UnitTests/platform/FakeStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <vector>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::size_t MemoryMb = 88;
constexpr std::size_t BytesPerMb = 1000 * 1000;
constexpr std::size_t BlockBytes = 65536;
/// What a peer sends at most before it falls silent: twice the VM's memory.
constexpr std::size_t SentBytes = 2 * MemoryMb * BytesPerMb;
constexpr int CallsAtOnce = 4;
constexpr milliseconds CallLimit{20000};
#ifdef __SANITIZE_ADDRESS__
/// The sanitizer's own memory is not the daemon's.
constexpr bool MemoryIsOwn = false;
#else
constexpr bool MemoryIsOwn = true;
#endif

Json route(const char *Name, const char *Kind) {
  return {{"name", Name},
          {"hostname", "endless.example"},
          {"prefix", fmt::format("/{}/", Name)},
          {"kind", Kind},
          {"timeout-ms", 5000},
          {"goal-ms", 1000},
          {"priority", 0},
          {"attempts", 1},
          {"resumable", false},
          {"service", "engines"}};
}

/// Sends \p Start and then one letter for as long as it is read.
Awaitable<void> sendEndless(Tcp::socket &Peer, std::string Start) {
  std::string Block = std::move(Start);
  boost::system::error_code Error;
  for (std::size_t Sent = 0; Sent < SentBytes && !Error; Sent += BlockBytes) {
    co_await asio::async_write(
        Peer, asio::buffer(Block),
        asio::redirect_error(asio::use_awaitable, Error));
    Block.assign(BlockBytes, 'a');
  }
  std::array<char, 4096> Ignored;
  while (!Error)
    co_await Peer.async_read_some(
        asio::buffer(Ignored),
        asio::redirect_error(asio::use_awaitable, Error));
}

/// A store, an engine, and one daemon as a real process.
class SmallVm {
public:
  explicit SmallVm(const std::string &MemoryFlag,
                   milliseconds ReadTimeout = std::chrono::seconds(30))
      : Store_(Thread_.context()),
        Engine_(Thread_.context(), {asio::ip::make_address("127.0.0.1"), 0}) {
    asio::co_spawn(
        Thread_.context(),
        [this] {
          return acceptEach(Engine_, [this](std::shared_ptr<Tcp::socket> Peer) {
            return serve(std::move(Peer));
          });
        },
        asio::detached);
    asio::co_spawn(
        Thread_.context(),
        [this]() -> Awaitable<void> {
          publish();
          co_return;
        },
        asio::use_future)
        .get();
    Daemon_.emplace(
        daemonCommand(PLATFORM_DAEMON, Store_,
                      {MemoryFlag, fmt::format("--read_timeout_ms={}",
                                               ReadTimeout.count())}),
        Folder_.path() + "/vm-1.log");
    Json Addresses = Daemon_->readLine();
    Callers_ = *parseEndpoint(Addresses["callers"].get<std::string>());
    Peers_ = *parseEndpoint(Addresses["peers"].get<std::string>());
  }

  std::future<Result<HttpResponse>> begin(const std::string &Target,
                                          std::size_t BodyBytes = 0) {
    HttpRequest Request;
    Request.Target_ = Target;
    Request.Method_ = BodyBytes > 0 ? "POST" : "GET";
    Request.Body_.assign(BodyBytes, 'b');
    Request.Fields_ = {
        {"host", "endless.example"},
        {"x-samphireshunt-request-id", fmt::format("call-{}", ++Calls_)}};
    auto Call = [To = Callers_, Request]() {
      return httpCall(To, Request, CallLimit);
    };
    return asio::co_spawn(Thread_.context(), std::move(Call), asio::use_future);
  }
  /// \returns the status of a call; 0 without a whole answer.
  int call(const std::string &Target) {
    auto Answer = begin(Target).get();
    return Answer ? Answer->Status_ : 0;
  }
  /// \returns how many of several calls at once got \p Status.
  int countStatus(const std::string &Target, int Status) {
    std::vector<std::future<Result<HttpResponse>>> Calls;
    while (Calls.size() < CallsAtOnce)
      Calls.push_back(begin(Target));
    return static_cast<int>(std::ranges::count_if(Calls, [&](auto &Call) {
      auto Answer = Call.get();
      return Answer && Answer->Status_ == Status;
    }));
  }

  /// Sends a request that has no end, and waits until the daemon ends it.
  void sendEndlessRequest(std::string Start) {
    auto Work = [To = Callers_, Start = std::move(Start)]() -> Awaitable<void> {
      Tcp::socket Peer(co_await asio::this_coro::executor);
      co_await Peer.async_connect(To, asio::use_awaitable);
      std::string Sent = Start;
      co_await sendEndless(Peer, std::move(Sent));
    };
    asio::co_spawn(Thread_.context(), std::move(Work), asio::use_future).get();
  }

  /// Opens \p Count connections to \p To, sends \p Start on each of them and
  /// then one letter for as long as it is read, up to \p Most bytes.
  void sendOnMany(const Endpoint &To, std::size_t Count,
                  const std::string &Start, std::size_t Most) {
    std::vector<std::future<void>> Senders;
    while (Senders.size() < Count)
      Senders.push_back(asio::co_spawn(
          Thread_.context(),
          [this, To, Start, Most] { return Senders_.send(To, Start, Most); },
          asio::use_future));
    for (auto &Sender : Senders)
      Sender.get();
  }
  Endpoint callers() const { return Callers_; }
  /// \returns how many connections of sendOnMany() the daemon ends in time.
  std::size_t countEnded() {
    return asio::co_spawn(
               Thread_.context(),
               [this] { return Senders_.countEnded(CallLimit); },
               asio::use_future)
        .get();
  }
  /// Closes the connections of sendOnMany().
  void closeSenders() {
    asio::co_spawn(
        Thread_.context(),
        [this]() -> Awaitable<void> {
          Senders_.closeAll();
          co_return;
        },
        asio::use_future)
        .get();
  }

  /// Opens \p Count connections as daemons of different names do, and sends
  /// \p Start on each.
  void announceAsDaemons(std::size_t Count, const std::string &Start) {
    for (std::size_t Number = 0; Number < Count; ++Number) {
      wire::HelloT Hello;
      Hello.vm = fmt::format("announcing-{}", ++Calls_);
      std::string Message = encodeMessage(std::move(Hello));
      std::uint32_t Size = boost::endian::native_to_little(
          static_cast<std::uint32_t>(Message.size()));
      std::string Frame(reinterpret_cast<const char *>(&Size), sizeof(Size));
      sendOnMany(Peers_, 1, Frame + Message + Start, 1);
    }
  }

  /// \returns the addresses at which the daemon listens, as the kernel tells.
  std::vector<Endpoint> listeners() const {
    std::set<std::string> Own;
    std::string Process = fmt::format("/proc/{}/", Daemon_->pid());
    for (const auto &Entry :
         std::filesystem::directory_iterator(Process + "fd")) {
      std::error_code Ignored;
      Own.insert(std::filesystem::read_symlink(Entry, Ignored).string());
    }
    std::vector<Endpoint> Found;
    std::ifstream Lines(Process + "net/tcp");
    std::string Line;
    std::getline(Lines, Line);
    while (std::getline(Lines, Line)) {
      std::istringstream Fields(Line);
      std::string Slot, Local, Remote, State, Skipped, Inode;
      Fields >> Slot >> Local >> Remote >> State;
      for (int Field = 0; Field < 5; ++Field)
        Fields >> Skipped;
      Fields >> Inode;
      constexpr std::string_view Listening = "0A";
      if (State != Listening || !Own.contains("socket:[" + Inode + "]"))
        continue;
      constexpr int Hexadecimal = 16;
      auto Port =
          std::stoul(Local.substr(Local.find(':') + 1), nullptr, Hexadecimal);
      Found.emplace_back(asio::ip::make_address("127.0.0.1"),
                         static_cast<std::uint16_t>(Port));
    }
    return Found;
  }

  bool memoryHeld(std::size_t Megabytes = MemoryMb) const {
    std::size_t Most = Daemon_->mostMemory();
    MESSAGE((Most / BytesPerMb) << " MB at most");
    return Most > 0 && (!MemoryIsOwn || Most < Megabytes * BytesPerMb);
  }

private:
  void publish() {
    publishEngine(Store_,
                  {route("plain", "safe"), route("stream", "streaming")},
                  Engine_.local_endpoint(), 4 * CallsAtOnce);
  }

  Awaitable<void> serve(std::shared_ptr<Tcp::socket> Peer) {
    std::string Request;
    std::array<char, 4096> Space;
    boost::system::error_code Error;
    while (!Error && Request.find("\r\n\r\n") == std::string::npos) {
      std::size_t Count = co_await Peer->async_read_some(
          asio::buffer(Space),
          asio::redirect_error(asio::use_awaitable, Error));
      Request.append(Space.data(), Count);
    }
    std::size_t Rest = unreadOf(Request);
    while (!Error && Rest > 0)
      Rest -=
          std::min(Rest, co_await Peer->async_read_some(
                             asio::buffer(Space),
                             asio::redirect_error(asio::use_awaitable, Error)));
    if (Error)
      co_return;
    std::string Start = answerTo(Request);
    bool Ends = Start.ends_with("ok");
    if (Ends)
      co_await asio::async_write(
          *Peer, asio::buffer(Start),
          asio::redirect_error(asio::use_awaitable, Error));
    else
      co_await sendEndless(*Peer, std::move(Start));
  }

  /// \returns how much of the body of a request is still to be read.
  static std::size_t unreadOf(const std::string &Read) {
    constexpr std::string_view Field = "\r\ncontent-length: ";
    std::size_t HeadBytes = Read.find("\r\n\r\n") + 4;
    std::size_t At = lowerCase(Read.substr(0, HeadBytes)).find(Field);
    if (At == std::string::npos)
      return 0;
    std::size_t Body = std::stoul(Read.substr(At + Field.size()));
    return Body - std::min(Body, Read.size() - HeadBytes);
  }

  /// \returns the beginning of an answer to the path's last part.
  static std::string answerTo(const std::string &Request) {
    std::string Path = Request.substr(0, Request.find(" HTTP"));
    std::string Part = Path.substr(Path.rfind('/') + 1);
    constexpr std::string_view IdField = "x-samphireshunt-request-id: ";
    std::size_t Id = lowerCase(Request).find(IdField) + IdField.size();
    std::string Head = fmt::format(
        "HTTP/1.1 200 OK\r\n{}{}\r\nx-samphireshunt-server-stamp: e\r\n",
        IdField, Request.substr(Id, Request.find('\r', Id) - Id));
    bool IsStream = Path.find("/stream/") != std::string::npos;
    if (IsStream)
      Head += "content-type: text/event-stream\r\n";
    if (Part == "short")
      return Head + "connection: close\r\ncontent-length: 2\r\n\r\nok";
    if (Part == "head")
      return Head + "x-more: ";
    if (Part == "unframed")
      return Head + "\r\n";
    if (Part == "length")
      return Head + "content-length: 60000000\r\n\r\n";
    Head += "transfer-encoding: chunked\r\n\r\n";
    if (Part == "chunk-line")
      return Head + "1;a=";
    if (Part == "last-fields")
      return Head + "0\r\nx: ";
    return Head + "ffffffff\r\n";
  }

  ContextThread Thread_;
  FakeStore Store_;
  Tcp::acceptor Engine_;
  TestFolder Folder_;
  std::optional<ChildProcess> Daemon_;
  UnendingSenders Senders_{Thread_.context()};
  Endpoint Callers_;
  Endpoint Peers_;
  int Calls_ = 0;
  ContextThread::StopFirst StopFirst_{Thread_};
};

constexpr int BadGateway = 502;

void checkAnswersWithoutEnd(SmallVm &Vm) {
  REQUIRE(eventually([&] { return Vm.call("/plain/short") == 200; }));
  for (const char *Kind : {"plain", "stream"})
    for (const char *Part :
         {"head", "unframed", "length", "chunk", "chunk-line", "last-fields"}) {
      std::string Target = fmt::format("/{}/{}", Kind, Part);
      CAPTURE(Target);
      CHECK(Vm.countStatus(Target, BadGateway) == CallsAtOnce);
      CHECK(eventually([&] { return Vm.call("/plain/short") == 200; }));
    }
  CHECK(Vm.memoryHeld());
}

} // namespace

TEST_CASE("servers that send without end don't take a daemon's memory") {
  // Guards against a daemon that is killed for its memory by a faulty server.
  SmallVm Vm("--whole_messages_mb=11");
  checkAnswersWithoutEnd(Vm);
}

TEST_CASE("nor with a bound of the daemon's memory") {
  // Guards against an endless answer that takes what the budget leaves.
  SmallVm Vm("--memory_mb=88");
  checkAnswersWithoutEnd(Vm);
}

TEST_CASE("callers that send without end don't take a daemon's memory") {
  // Guards against a daemon that is killed for its memory by one caller.
  SmallVm Vm("--whole_messages_mb=11");
  REQUIRE(eventually([&] { return Vm.call("/plain/short") == 200; }));
  const std::string Head =
      "POST /plain/x HTTP/1.1\r\nhost: endless.example\r\n";
  const std::string Chunked = Head + "transfer-encoding: chunked\r\n\r\n";
  for (const std::string &Start :
       {std::string("GET /"), Head + "x: ", Chunked + "1;a=",
        Chunked + "0\r\nx: ", Chunked + "ffffffff\r\n"}) {
    CAPTURE(Start);
    Vm.sendEndlessRequest(Start);
    CHECK(Vm.call("/plain/short") == 200);
  }
  CHECK(Vm.memoryHeld());
}

TEST_CASE("no listener lets connections take a daemon's memory") {
  // Guards against a listener that is outside of the budget: one that is added
  // later is found here too.
  constexpr std::size_t Connections = 100;
  constexpr std::size_t Each = 4 * 1024 * 1024;
  SmallVm Vm("--process_memory_mb=88");
  REQUIRE(eventually([&] { return Vm.call("/plain/short") == 200; }));
  const std::string Head =
      "POST /plain/x HTTP/1.1\r\nhost: endless.example\r\n";
  // A frame of four megabytes is announced in four bytes.
  const std::string Frame("\0\0\x3f\0", 4);
  auto Listeners = Vm.listeners();
  // For callers, other daemons, relays and operators.
  CHECK(Listeners.size() >= 4);
  for (const Endpoint &To : Listeners) {
    CAPTURE(To.port());
    for (const std::string &Start :
         {Frame, Head + "content-length: 3900000\r\n\r\n",
          Head + "transfer-encoding: chunked\r\n\r\n3fffff\r\n"})
      Vm.sendOnMany(To, Connections, Start, Each);
    CHECK(Vm.call("/plain/short") == 200);
    CHECK(Vm.memoryHeld());
    Vm.closeSenders();
  }
}

TEST_CASE("large bodies that come at once don't take a daemon's memory") {
  // Guards against memory that is reserved for bodies that wait for room.
  constexpr std::size_t Callers = 40;
  constexpr std::size_t Bytes = 3900000;
  constexpr int ServiceUnavailable = 503;
  /// As many as have room at once.
  constexpr std::size_t AtOnce = MemoryMb * BytesPerMb / 8 / Bytes;
  SmallVm Vm("--process_memory_mb=88");
  REQUIRE(eventually([&] { return Vm.call("/plain/short") == 200; }));
  std::vector<std::future<Result<HttpResponse>>> Calls;
  while (Calls.size() < Callers)
    Calls.push_back(Vm.begin("/plain/short", Bytes));
  std::map<int, std::size_t> Counts;
  for (auto &Call : Calls) {
    auto Answer = Call.get();
    ++Counts[Answer ? Answer->Status_ : 0];
  }
  MESSAGE(Counts[200] << " of " << Callers << " answered");
  CHECK(Counts[200] + Counts[ServiceUnavailable] == Callers);
  CHECK(Counts[200] > AtOnce);
  CHECK(Vm.memoryHeld());
}

TEST_CASE("connections on which a message is announced and doesn't come end") {
  // Guards against connections that stay open without end at any listener, and
  // hold its descriptors.
  constexpr std::size_t Connections = 100;
  SmallVm Vm("--process_memory_mb=88", std::chrono::seconds(3));
  REQUIRE(eventually([&] { return Vm.call("/plain/short") == 200; }));
  const std::string Frame("\0\0\x3f\0", 4);
  const std::string Head = "POST /plain/x HTTP/1.1\r\nhost: endless.example\r\n"
                           "content-length: 3900000\r\n\r\n";
  for (const Endpoint &To : Vm.listeners())
    for (const std::string &Start : {Frame, Frame.substr(0, 2), Head}) {
      CAPTURE(To.port());
      CAPTURE(Start);
      Vm.sendOnMany(To, Connections, Start, 1);
      CHECK(Vm.countEnded() == Connections);
      Vm.closeSenders();
    }
  // A connection that has said a daemon's name may send long frames.
  for (std::size_t Bytes = 1; Bytes <= Frame.size(); ++Bytes)
    Vm.announceAsDaemons(Connections, Frame.substr(0, Bytes));
  CHECK(Vm.countEnded() == 4 * Connections);
}

TEST_CASE("connections that stay open don't take a daemon's memory") {
  // Guards against hundreds of callers whose heads are never whole.
  constexpr std::size_t SmallMb = 60;
  constexpr std::size_t Connections = 700;
  constexpr std::size_t HeadBytes = 16000;
  SmallVm Vm(fmt::format("--process_memory_mb={}", SmallMb));
  REQUIRE(eventually([&] { return Vm.call("/plain/short") == 200; }));
  Vm.sendOnMany(
      Vm.callers(), Connections,
      "GET /plain/short HTTP/1.1\r\nx: " + std::string(HeadBytes, 'a'), 1);
  CHECK(Vm.memoryHeld(SmallMb));
  Vm.closeSenders();
  CHECK(eventually([&] { return Vm.call("/plain/short") == 200; }));
}
