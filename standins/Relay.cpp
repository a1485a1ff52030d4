/// \file
/// Simulates a network between two processes that can fail: relays TCP
/// connections and UDP datagrams to a target. POST /faults sets the mode:
/// "pass" relays, "silent" drops all data but leaves connections open, and
/// "refuse" closes connections.

#include "Process/Membership/MembershipService.h"
#include "Process/Membership/PeerPort.h"
#include "StandinMain.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <array>
#include <cstdio>
#include <map>
#include <set>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "IP:port to serve /faults on.");
ABSL_FLAG(std::string, listen, "127.0.0.1:0",
          "IP:port to relay from, TCP and UDP.");
ABSL_FLAG(std::string, target, "", "IP:port to relay to.");

namespace samphireshunt::standins {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;
using boost::system::error_code;

enum class Mode { Pass, Silent, Refuse };

class Relay {
public:
  explicit Relay(asio::io_context &Context)
      : Context_(Context), Acceptor_(Context), Datagrams_(Context) {}

  bool start() {
    auto Listen = parseEndpoint(absl::GetFlag(FLAGS_listen));
    if (!Listen)
      return false;
    if (auto Target = parseEndpoint(absl::GetFlag(FLAGS_target)))
      Target_ = *Target;
    if (auto Opened = openPorts(*Listen); !Opened) {
      fmt::print(stderr, "relay: {}\n", Opened.error().Detail_);
      return false;
    }
    Json Line = {{"event", "relaying"},
                 {"address", formatEndpoint(Acceptor_.local_endpoint())}};
    fmt::print("{}\n", Line.dump());
    auto Accept = [this]() { return accept(); };
    auto Receive = [this]() { return receiveDatagrams(); };
    asio::co_spawn(Context_, std::move(Accept), asio::detached);
    asio::co_spawn(Context_, std::move(Receive), asio::detached);
    return true;
  }

  Awaitable<void> handle(HttpExchange &Exchange) {
    Json Body = jsonBody(Exchange.request());
    std::string Name = Body.value("mode", "pass");
    Mode_ = Name == "silent"   ? Mode::Silent
            : Name == "refuse" ? Mode::Refuse
                               : Mode::Pass;
    if (Body.contains("target"))
      Target_ = parseEndpoint(Body["target"].get<std::string>()).value();
    if (Mode_ == Mode::Refuse)
      closeAll();
    co_await Exchange.respond(jsonAnswer(200, Json::object()));
  }

private:
  using SocketPointer = std::shared_ptr<Tcp::socket>;

  Result<void> openPorts(const Endpoint &Listen) {
    auto OpenStreams = [&]() -> Result<Endpoint> {
      Acceptor_ = Tcp::acceptor(Context_, Listen);
      return Acceptor_.local_endpoint();
    };
    auto OpenDatagrams = [this](const Endpoint &Address) -> Result<void> {
      auto Bound = MembershipService::bind(Context_, Address);
      if (!Bound)
        return Bound.error();
      Datagrams_ = std::move(*Bound);
      return {};
    };
    return openOnSamePort(Listen, OpenStreams, OpenDatagrams);
  }

  void closeAll() {
    for (const SocketPointer &Open : Sockets_) {
      error_code Ignored;
      Open->close(Ignored);
    }
    Sockets_.clear();
  }

  Awaitable<void> accept() {
    while (true) {
      auto [Error, Socket] =
          co_await Acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
      if (Error)
        break;
      auto Caller = std::make_shared<Tcp::socket>(std::move(Socket));
      auto Serve = [this, Caller]() { return serveConnection(Caller); };
      asio::co_spawn(Context_, std::move(Serve), asio::detached);
    }
  }

  Awaitable<void> serveConnection(SocketPointer Caller) {
    if (Mode_ == Mode::Refuse)
      co_return;
    Sockets_.insert(Caller);
    // A connection accepted in silent mode stays open but is never relayed.
    if (Mode_ == Mode::Silent)
      co_return;
    auto Server = std::make_shared<Tcp::socket>(Context_);
    auto [Error] = co_await Server->async_connect(
        Target_, asio::as_tuple(asio::use_awaitable));
    if (Error) {
      Sockets_.erase(Caller);
      co_return;
    }
    Sockets_.insert(Server);
    auto Backward = [this, Server, Caller]() {
      return forward(Server, Caller);
    };
    asio::co_spawn(Context_, std::move(Backward), asio::detached);
    co_await forward(Caller, Server);
  }

  /// Copies data in one direction until a connection closes; drops the data
  /// while the mode is not "pass".
  Awaitable<void> forward(SocketPointer From, SocketPointer To) {
    std::array<char, 16384> Buffer;
    while (true) {
      auto [Error, Count] = co_await From->async_read_some(
          asio::buffer(Buffer), asio::as_tuple(asio::use_awaitable));
      if (Error)
        break;
      if (Mode_ != Mode::Pass)
        continue;
      auto [WriteError, Written] =
          co_await asio::async_write(*To, asio::buffer(Buffer.data(), Count),
                                     asio::as_tuple(asio::use_awaitable));
      if (WriteError)
        break;
    }
    if (Mode_ == Mode::Silent)
      co_return;
    error_code Ignored;
    From->close(Ignored);
    To->close(Ignored);
    Sockets_.erase(From);
    Sockets_.erase(To);
  }

  /// Relays datagrams to the target. Each sender gets a socket of its own, so
  /// that the target's replies can be returned to it.
  Awaitable<void> receiveDatagrams() {
    std::array<char, 65536> Buffer;
    while (true) {
      Udp::endpoint Sender;
      auto [Error, Count] = co_await Datagrams_.async_receive_from(
          asio::buffer(Buffer), Sender, asio::as_tuple(asio::use_awaitable));
      if (Error)
        break;
      if (Mode_ != Mode::Pass)
        continue;
      auto &Out = BySender_[Sender];
      if (!Out) {
        Out = std::make_shared<Udp::socket>(Context_, Udp::v4());
        auto Answer = [this, Out, Sender]() {
          return returnReplies(Out, Sender);
        };
        asio::co_spawn(Context_, std::move(Answer), asio::detached);
      }
      error_code Ignored;
      Out->send_to(asio::buffer(Buffer.data(), Count),
                   Udp::endpoint(Target_.address(), Target_.port()), 0,
                   Ignored);
    }
  }

  /// Returns the target's replies on \p Out to \p Sender.
  Awaitable<void> returnReplies(std::shared_ptr<Udp::socket> Out,
                                Udp::endpoint Sender) {
    std::array<char, 65536> Buffer;
    while (true) {
      auto [Error, Count] = co_await Out->async_receive(
          asio::buffer(Buffer), asio::as_tuple(asio::use_awaitable));
      if (Error)
        continue;
      if (Mode_ != Mode::Pass)
        continue;
      error_code Ignored;
      Datagrams_.send_to(asio::buffer(Buffer.data(), Count), Sender, 0,
                         Ignored);
    }
  }

  asio::io_context &Context_;
  Tcp::acceptor Acceptor_;
  Udp::socket Datagrams_;
  Endpoint Target_;
  Mode Mode_ = Mode::Pass;
  std::set<SocketPointer> Sockets_;
  std::map<Udp::endpoint, std::shared_ptr<Udp::socket>> BySender_;
};

} // namespace

} // namespace samphireshunt::standins

int main(int ArgumentCount, char **Arguments) {
  using namespace samphireshunt;
  absl::ParseCommandLine(ArgumentCount, Arguments);
  boost::asio::io_context Context(1);
  standins::Relay Network(Context);
  if (!Network.start())
    return 2;
  return standins::serve(
      Context, absl::GetFlag(FLAGS_address),
      [&Network](HttpExchange &Exchange) { return Network.handle(Exchange); });
}
