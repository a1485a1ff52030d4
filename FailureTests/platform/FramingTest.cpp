/// \file
/// Requests and answers whose end can be read in several ways, at a real
/// daemon, as raw bytes.

#include "FailureTests/ChildProcess.h"
#include "FailureTests/Cluster.h"
#include "FailureTests/ContextThread.h"
#include "FailureTests/TestFolder.h"
#include "FailureTests/platform/OneEngine.h"
#include "UnitTests/Connection/FramingRows.h"
#include "UnitTests/platform/FakeStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

using namespace samphireshunt;
using namespace samphireshunt::tests;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::string_view IdField = "x-samphireshunt-request-id: ";

std::string requestOf(const std::string &Id, const FramingRow &Row) {
  return fmt::format("POST /notes/{} HTTP/1.{}\r\nHost: framing.example\r\n"
                     "{}{}\r\n{}\r\n{}",
                     Id, Row.MinorVersion_, IdField, Id, Row.Fields_,
                     Row.Body_);
}

/// A daemon as a real process, and an engine that keeps what it receives.
class FramedDaemon {
public:
  FramedDaemon()
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
    Daemon_.emplace(daemonCommand(PLATFORM_DAEMON, Store_, {}),
                    Folder_.path() + "/vm-1.log");
    Json Addresses = Daemon_->readLine();
    for (const char *Name : {"callers", "operators"})
      Listeners_.push_back(*parseEndpoint(Addresses[Name].get<std::string>()));
    REQUIRE(eventually([&] {
      FramingRow Plain = framingRows().front();
      return exchange(Listeners_.front(), requestOf("warm-up", Plain),
                      /*Whole=*/true)
          .starts_with("HTTP/1.1 200");
    }));
    received();
  }

  /// For callers, and for operators.
  const std::vector<Endpoint> &listeners() const { return Listeners_; }

  /// Sends these bytes on a connection of their own. \returns what comes back
  /// until the daemon closes it, or with \p Whole until an answer is whole.
  static std::string exchange(const Endpoint &To, const std::string &Bytes,
                              bool Whole) {
    asio::io_context Context;
    Tcp::socket Socket(Context);
    Socket.connect(To);
    boost::system::error_code Error;
    asio::write(Socket, asio::buffer(Bytes), Error);
    std::string Answer;
    std::array<char, 4096> Space;
    auto Read = [&]() -> Awaitable<void> {
      while (!Error && !(Whole && isWhole(Answer))) {
        std::size_t Count = co_await Socket.async_read_some(
            asio::buffer(Space),
            asio::redirect_error(asio::use_awaitable, Error));
        Answer.append(Space.data(), Count);
      }
    };
    asio::co_spawn(Context, std::move(Read), asio::detached);
    Context.run_for(std::chrono::seconds(8));
    return Context.stopped() ? Answer : "not closed: " + Answer;
  }

  /// \returns the requests of callers that the engine has received since the
  /// last call, as raw bytes.
  std::vector<std::string> received() {
    std::scoped_lock Lock(Mutex_);
    return std::exchange(Received_, {});
  }
  /// The engine answers with this from now on, after the request's id.
  void answerWith(std::string Rest) {
    std::scoped_lock Lock(Mutex_);
    Answer_ = std::move(Rest);
  }

private:
  static std::size_t lengthOf(const std::string &Message) {
    constexpr std::string_view Field = "\r\ncontent-length: ";
    std::size_t At = lowerCase(Message).find(Field);
    return At == std::string::npos
               ? 0
               : std::stoul(Message.substr(At + Field.size()));
  }
  static bool isWhole(const std::string &Message) {
    std::size_t End = Message.find("\r\n\r\n");
    return End != std::string::npos &&
           Message.size() >= End + 4 + lengthOf(Message);
  }

  void publish() {
    Json Route = {{"name", "notes"},     {"hostname", "framing.example"},
                  {"prefix", "/notes/"}, {"kind", "unsafe"},
                  {"timeout-ms", 3000},  {"goal-ms", 1000},
                  {"priority", 0},       {"attempts", 1},
                  {"resumable", false},  {"service", "engines"}};
    publishEngine(Store_, {Route}, Engine_.local_endpoint(), 16);
  }

  /// Answers what is there, which is one request if its framing is right.
  Awaitable<void> serve(std::shared_ptr<Tcp::socket> Peer) {
    std::array<char, 4096> Space;
    boost::system::error_code Error;
    std::string Request;
    while (!Error) {
      Request.append(Space.data(),
                     co_await Peer->async_read_some(
                         asio::buffer(Space),
                         asio::redirect_error(asio::use_awaitable, Error)));
      if (Error || !isWhole(Request))
        continue;
      std::string Answer = answerTo(std::exchange(Request, {}));
      co_await asio::async_write(
          *Peer, asio::buffer(Answer),
          asio::redirect_error(asio::use_awaitable, Error));
    }
  }

  std::string answerTo(const std::string &Request) {
    std::scoped_lock Lock(Mutex_);
    if (Request.find(" /notes/") == std::string::npos)
      return "HTTP/1.1 404 None\r\ncontent-length: 0\r\n\r\n";
    Received_.push_back(Request);
    std::size_t Id = lowerCase(Request).find(IdField) + IdField.size();
    std::string Start = Answer_.substr(0, Answer_.find('\n') + 1);
    return fmt::format("{}{}{}\r\nx-samphireshunt-server-stamp: e\r\n{}", Start,
                       IdField, Request.substr(Id, Request.find('\r', Id) - Id),
                       Answer_.substr(Start.size()));
  }

  std::mutex Mutex_;
  std::vector<std::string> Received_;
  std::string Answer_ = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
  ContextThread Thread_;
  FakeStore Store_;
  Tcp::acceptor Engine_;
  TestFolder Folder_;
  std::optional<ChildProcess> Daemon_;
  std::vector<Endpoint> Listeners_;
  ContextThread::StopFirst StopFirst_{Thread_};
};

/// \returns the number of status lines in what a caller received.
std::size_t countAnswers(const std::string &Bytes) {
  constexpr std::string_view Version = "HTTP/1.1 ";
  std::size_t Count = 0;
  for (std::size_t At = 0; (At = Bytes.find(Version, At)) != Bytes.npos;) {
    At += Version.size();
    Count += At < Bytes.size() && Bytes[At] >= '0' && Bytes[At] <= '9' ? 1 : 0;
  }
  return Count;
}

} // namespace

TEST_CASE("no request is run that is hidden in another one") {
  // Guards against a body that is run as a request, as the daemon and its
  // callers disagree on where the request before it ends.
  FramedDaemon Daemon;
  const FramingRow Plain = framingRows().front();
  int Number = 0;
  for (const FramingRow &Row : framingRows()) {
    std::string Id = fmt::format("outer-{}", ++Number);
    // The hidden one follows at once, so that each shorter reading finds it.
    std::string Sent =
        requestOf(Id, Row) + (Row.Content_ ? "" : requestOf("inner", Plain));
    CAPTURE(Sent);
    std::string Answer = FramedDaemon::exchange(Daemon.listeners().front(),
                                                Sent, Row.Content_.has_value());
    auto Received = Daemon.received();
    if (!Row.Content_) {
      CHECK_MESSAGE(Answer.starts_with("HTTP/1."), Answer);
      CHECK_MESSAGE(Answer.find(" 400 ") == 8, Answer);
      CHECK(countAnswers(Answer) == 1);
      CHECK(Received.empty());
      continue;
    }
    CHECK_MESSAGE(Answer.find(" 200 ") == 8, Answer);
    REQUIRE(Received.size() == 1);
    std::size_t Head = Received[0].find("\r\n\r\n");
    CHECK(Received[0].starts_with("POST /notes/" + Id + " HTTP/1.1\r\n"));
    CHECK(Received[0].substr(Head + 4) == *Row.Content_);
    std::string Fields = lowerCase(Received[0].substr(0, Head + 2));
    CHECK(Fields.find("transfer-encoding") == std::string::npos);
    CHECK(Fields.find(fmt::format("\r\ncontent-length: {}\r\n",
                                  Row.Content_->size())) != std::string::npos);
    CHECK(Fields.find("x-sum") == std::string::npos);
  }
}

TEST_CASE("all addresses refuse a request whose end is unclear") {
  // Guards against a listener with a reading of its own.
  FramedDaemon Daemon;
  for (const Endpoint &To : Daemon.listeners())
    for (const FramingRow &Row : framingRows()) {
      if (Row.Content_)
        continue;
      std::string Sent = requestOf("x", Row);
      CAPTURE(Sent);
      std::string Answer = FramedDaemon::exchange(To, Sent, /*Whole=*/false);
      CHECK_MESSAGE(Answer.find(" 400 ") == 8, Answer);
    }
}

TEST_CASE("an answer whose end is unclear reaches no caller as whole") {
  // Guards against an answer that is cut, or mixed with the next one.
  FramedDaemon Daemon;
  const FramingRow Plain = framingRows().front();
  int Number = 0;
  for (const FramingRow &Row : framingRows()) {
    std::string Answer = fmt::format("HTTP/1.{} 200 OK\r\n{}\r\n{}",
                                     Row.MinorVersion_, Row.Fields_, Row.Body_);
    CAPTURE(Answer);
    Daemon.answerWith(Answer);
    std::string Reply = FramedDaemon::exchange(
        Daemon.listeners().front(),
        requestOf(fmt::format("outer-{}", ++Number), Plain), /*Whole=*/true);
    CHECK_MESSAGE(Reply.find(Row.Content_ ? " 200 " : " 502 ") == 8, Reply);
    if (Row.Content_)
      CHECK(Reply.ends_with("\r\n\r\n" + *Row.Content_));
    else
      CHECK_MESSAGE(Reply.find("312") != std::string::npos, Reply);
    CHECK(Daemon.received().size() == 1);
  }
}
