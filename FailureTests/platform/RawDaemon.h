#pragma once
/// \file
/// A daemon as a real process, between callers and an engine that exchange raw
/// bytes with it.

#include "FailureTests/ChildProcess.h"
#include "FailureTests/Cluster.h"
#include "FailureTests/ContextThread.h"
#include "FailureTests/TestFolder.h"
#include "FailureTests/platform/OneEngine.h"
#include "UnitTests/platform/FakeStore.h"

#include <absl/strings/str_replace.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphireshunt::tests {

/// A daemon as a real process, and an engine that keeps what it receives.
class RawDaemon {
public:
  static constexpr std::string_view IdField = "x-samphireshunt-request-id: ";

  /// \p Flags are added to the daemon's command line.
  explicit RawDaemon(std::vector<std::string> Flags = {})
      : Store_(Thread_.context()),
        Engine_(Thread_.context(),
                {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    answerWith("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    boost::asio::co_spawn(
        Thread_.context(),
        [this] {
          return acceptEach(
              Engine_,
              [this](std::shared_ptr<boost::asio::ip::tcp::socket> Peer) {
                return serve(std::move(Peer));
              });
        },
        boost::asio::detached);
    runInStore([this] { publish(); });
    Daemon_.emplace(daemonCommand(PLATFORM_DAEMON, Store_, std::move(Flags)),
                    Folder_.path() + "/vm-1.log");
    nlohmann::json Addresses = Daemon_->readLine();
    for (const char *Name : {"callers", "operators"})
      Listeners_.push_back(*parseEndpoint(Addresses[Name].get<std::string>()));
    REQUIRE(eventually([&] {
      return exchange(Listeners_.front(),
                      "GET /notes/warm-up HTTP/1.1\r\nHost: framing.example\r\n"
                      "x-samphireshunt-request-id: warm-up\r\n\r\n",
                      /*Whole=*/true)
          .starts_with("HTTP/1.1 200");
    }));
    received();
  }

  /// Writes to the store, as operators and servers do.
  void put(const std::string &Key, const std::string &Value) {
    runInStore([&] { Store_.put(Key, Value); });
  }
  /// \returns what is stored under \p Key.
  std::string stored(const std::string &Key) {
    std::string Value;
    runInStore([&] { Value = Store_.get(Key); });
    return Value;
  }
  /// \returns whether the daemon has logged a line with \p Text.
  bool hasLogged(const std::string &Text) const {
    std::ifstream Log(Folder_.path() + "/vm-1.log");
    std::string Line;
    while (std::getline(Log, Line))
      if (Line.find(Text) != std::string::npos)
        return true;
    return false;
  }

  /// \returns the most memory that the daemon has had, in bytes.
  std::size_t mostMemory() const { return Daemon_->mostMemory(); }

  /// For callers, and for operators.
  const std::vector<Endpoint> &listeners() const { return Listeners_; }

  /// Sends these bytes on a connection of their own. \returns what comes back
  /// until the daemon closes it, or with \p Whole until an answer is whole.
  static std::string exchange(const Endpoint &To, const std::string &Bytes,
                              bool Whole) {
    boost::asio::io_context Context;
    boost::asio::ip::tcp::socket Socket(Context);
    Socket.connect(To);
    boost::system::error_code Error;
    boost::asio::write(Socket, boost::asio::buffer(Bytes), Error);
    std::string Answer;
    std::array<char, 4096> Space;
    auto Read = [&]() -> Awaitable<void> {
      while (!Error && !(Whole && isWhole(Answer))) {
        std::size_t Count = co_await Socket.async_read_some(
            boost::asio::buffer(Space),
            boost::asio::redirect_error(boost::asio::use_awaitable, Error));
        Answer.append(Space.data(), Count);
      }
    };
    boost::asio::co_spawn(Context, std::move(Read), boost::asio::detached);
    Context.run_for(std::chrono::seconds(8));
    return Context.stopped() ? Answer : "not closed: " + Answer;
  }

  /// \returns the requests of callers that the engine has received since the
  /// last call, as raw bytes.
  std::vector<std::string> received() {
    std::scoped_lock Lock(Mutex_);
    return std::exchange(Received_, {});
  }
  /// The engine answers with this from now on, with the request's id and its
  /// stamp after the first line.
  void answerWith(const std::string &Rest) {
    std::size_t Start = Rest.find('\n') + 1;
    answerExactly(Rest.substr(0, Start) + std::string(IdField) + "$ID\r\n" +
                  "x-samphireshunt-server-stamp: e\r\n" + Rest.substr(Start));
  }
  /// The engine answers with these bytes from now on, in which "$ID" stands for
  /// the request's id.
  void answerExactly(std::string Bytes) {
    std::scoped_lock Lock(Mutex_);
    Answer_ = std::move(Bytes);
  }

private:
  void runInStore(const std::function<void()> &Work) {
    boost::asio::co_spawn(
        Thread_.context(),
        [&Work]() -> Awaitable<void> {
          Work();
          co_return;
        },
        boost::asio::use_future)
        .get();
  }

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
    nlohmann::json Route = {
        {"name", "notes"},     {"hostname", "framing.example"},
        {"prefix", "/notes/"}, {"kind", "unsafe"},
        {"timeout-ms", 3000},  {"goal-ms", 1000},
        {"priority", 0},       {"attempts", 1},
        {"resumable", false},  {"service", "engines"}};
    publishEngine(Store_, {Route}, Engine_.local_endpoint(), 16);
  }

  /// Answers what is there, which is one request if its framing is right.
  Awaitable<void> serve(std::shared_ptr<boost::asio::ip::tcp::socket> Peer) {
    std::array<char, 4096> Space;
    boost::system::error_code Error;
    std::string Request;
    while (!Error) {
      Request.append(Space.data(), co_await Peer->async_read_some(
                                       boost::asio::buffer(Space),
                                       boost::asio::redirect_error(
                                           boost::asio::use_awaitable, Error)));
      if (Error || !isWhole(Request))
        continue;
      std::string Answer = answerTo(std::exchange(Request, {}));
      co_await boost::asio::async_write(
          *Peer, boost::asio::buffer(Answer),
          boost::asio::redirect_error(boost::asio::use_awaitable, Error));
    }
  }

  std::string answerTo(const std::string &Request) {
    std::scoped_lock Lock(Mutex_);
    if (Request.find(" /notes/") == std::string::npos)
      return "HTTP/1.1 404 None\r\ncontent-length: 0\r\n\r\n";
    Received_.push_back(Request);
    std::size_t Field = lowerCase(Request).find(IdField);
    std::size_t Id =
        std::min(Field, Request.size() - IdField.size()) + IdField.size();
    return absl::StrReplaceAll(
        Answer_, {{"$ID", Request.substr(Id, Request.find('\r', Id) - Id)}});
  }

  std::mutex Mutex_;
  std::vector<std::string> Received_;
  std::string Answer_;
  ContextThread Thread_;
  FakeStore Store_;
  boost::asio::ip::tcp::acceptor Engine_;
  TestFolder Folder_;
  std::optional<ChildProcess> Daemon_;
  std::vector<Endpoint> Listeners_;
  ContextThread::StopFirst StopFirst_{Thread_};
};

} // namespace samphireshunt::tests
