#include "Process/Membership/PeerNetwork.h"

#include "UnitTests/LogCapture.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace samphireshunt;
using samphireshunt::tests::LogCapture;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using Tcp = boost::asio::ip::tcp;

namespace {

const milliseconds Timeout{50};
const milliseconds HelloCheck{20};
constexpr std::size_t MemoryLimit = 1000000;
const VmId Refusing("refusing");
constexpr std::size_t DaemonsPerKind = 8;

/// Returns the names of daemons that accept connections: "early-0" and so on.
std::vector<VmId> namesOf(const std::string &Name) {
  std::vector<VmId> Ids;
  for (std::size_t Index = 0; Index < DaemonsPerKind; ++Index)
    Ids.emplace_back(Name + "-" + std::to_string(Index));
  return Ids;
}

std::size_t countIn(const std::multiset<VmId> &Seen,
                    const std::vector<VmId> &Ids) {
  std::size_t Sum = 0;
  for (const VmId &Id : Ids)
    Sum += Seen.count(Id);
  return Sum;
}

Endpoint anyPort() { return {boost::asio::ip::make_address("127.0.0.1"), 0}; }

/// Returns a local address at which nobody listens.
Endpoint unusedAddress(boost::asio::io_context &Control) {
  boost::asio::ip::tcp::acceptor Probe(Control, anyPort());
  return Probe.local_endpoint();
}

/// Daemons in one thread, one of which opens links to all others.
class Fleet {
public:
  Fleet() {
    for (const std::string Kind : {"early", "late"})
      for (const VmId &Id : namesOf(Kind)) {
        Servers_.push_back(make(Id, serverHooks()));
        Addresses_[Id] = Servers_.back()->address();
      }
    Addresses_[Refusing] = unusedAddress(Control_);
    Client_ = make(VmId("asking"), clientHooks());
  }

  /// Sends \p Message on the link to \p To.
  void send(const VmId &To, std::string Message) {
    Client_->send(To, std::move(Message));
  }
  void stopServer(std::size_t Index) { Servers_[Index]->stop(); }
  const PeerNetwork &server(std::size_t Index) const {
    return *Servers_[Index];
  }
  /// Sends a message to \p To that contains its name.
  void send(const VmId &To) {
    wire::DocumentRequestT Message;
    Message.service = To.str();
    Client_->send(To, encodeMessage(std::move(Message)));
  }

  /// Runs handlers until \p Done, or for as long as a working link could ever
  /// take.
  void pollUntil(const std::function<bool()> &Done) {
    auto End = steady_clock::now() + std::chrono::seconds(10);
    while (!Done() && steady_clock::now() < End) {
      Control_.restart();
      Control_.run_one_for(milliseconds(10));
    }
  }

  /// \returns whether the other end closes \p Socket.
  bool endsAtPeer(Tcp::socket &Socket) {
    bool Ended = false;
    std::array<char, 1> Space;
    Socket.async_read_some(boost::asio::buffer(Space),
                           [&](const boost::system::error_code &Error,
                               std::size_t) { Ended = Error.failed(); });
    pollUntil([&] { return Ended; });
    return Ended;
  }

  MemoryBudget Memory_{0, MemoryLimit};
  boost::asio::io_context Control_;
  std::map<VmId, Endpoint> Addresses_;
  /// Called with each daemon whose link broke or could not be opened.
  std::function<void(const VmId &)> OnDown_;
  std::multiset<VmId> Down_;
  std::multimap<VmId, LinkLoss> Losses_;
  std::multiset<VmId> Received_;

private:
  std::unique_ptr<PeerNetwork> make(VmId Self, PeerNetwork::Hooks Hooks) {
    PeerNetwork::Options Options;
    Options.ConnectTimeout_ = Timeout;
    Options.HelloCheck_ = HelloCheck;
    Options.Memory_ = &Memory_;
    auto Made = PeerNetwork::create(Control_, anyPort(), std::move(Self),
                                    Options, std::move(Hooks));
    REQUIRE(Made.has_value());
    return std::move(*Made);
  }
  PeerNetwork::Hooks serverHooks() {
    PeerNetwork::Hooks Hooks;
    Hooks.RequestReceived_ = [this](const VmId &, wire::EnvelopeT Message) {
      if (const auto *Request = Message.body.AsDocumentRequest())
        Received_.insert(VmId(Request->service));
    };
    Hooks.PeerConnected_ = [](const VmId &) {};
    Hooks.PeerDisconnected_ = [](const VmId &) {};
    Hooks.AddressOf_ = [](const VmId &) { return std::nullopt; };
    return Hooks;
  }
  PeerNetwork::Hooks clientHooks() {
    PeerNetwork::Hooks Hooks;
    Hooks.LinkDown_ = [this](const VmId &To, LinkLoss Loss) {
      Losses_.emplace(To, Loss);
      Down_.insert(To);
      if (OnDown_)
        OnDown_(To);
    };
    Hooks.Awaiting_ = [](const VmId &) { return false; };
    Hooks.AddressOf_ = [this](const VmId &To) -> std::optional<std::string> {
      auto Known = Addresses_.find(To);
      if (Known == Addresses_.end())
        return std::nullopt;
      return formatEndpoint(Known->second);
    };
    return Hooks;
  }

  std::vector<std::unique_ptr<PeerNetwork>> Servers_;
  std::unique_ptr<PeerNetwork> Client_;
};

} // namespace

TEST_CASE("a connect timeout that is due together with the connection has no "
          "effect") {
  // Daemons would crash with signal 11 in the wait handler of the timer in
  // PeerNetwork::connect. A daemon that gets no processor time for a while
  // finds, in one event-loop iteration, a connection established and its
  // timeout due. The coroutine can't cancel a handler that is already queued,
  // and ends. If the handler held the socket by reference, it would close
  // whatever is in that memory by then: here the sockets of connections that
  // are opened in the same iteration.
  Fleet Daemons;
  Daemons.OnDown_ = [&](const VmId &To) {
    if (To == Refusing)
      std::ranges::for_each(namesOf("late"),
                            [&](const VmId &Id) { Daemons.send(Id); });
  };
  // Everything happens in one event-loop iteration, during which the process is
  // busy until the timeouts are due.
  boost::asio::post(Daemons.Control_, [&] {
    std::ranges::for_each(namesOf("early"),
                          [&](const VmId &Id) { Daemons.send(Id); });
    Daemons.send(Refusing);
    auto Due = steady_clock::now() + 2 * Timeout;
    while (steady_clock::now() < Due) {
    }
  });
  Daemons.pollUntil([&] {
    return Daemons.Received_.size() + Daemons.Down_.size() ==
           2 * DaemonsPerKind + 1;
  });
  // Connections that were opened meanwhile must not be affected.
  CHECK(countIn(Daemons.Down_, namesOf("late")) == 0);
  CHECK(countIn(Daemons.Received_, namesOf("late")) == DaemonsPerKind);
  // An established connection is used, however late this process handles it.
  CHECK(countIn(Daemons.Down_, namesOf("early")) == 0);
  CHECK(countIn(Daemons.Received_, namesOf("early")) == DaemonsPerKind);
  CHECK(Daemons.Down_.count(Refusing) == 1);
}

TEST_CASE("a sender is not notified of a broken link while it sends") {
  // The sender may be iterating over its tables, and the hook for a broken link
  // changes them.
  Fleet Daemons;
  const VmId Unknown("unknown");
  bool Sending = false;
  bool NotifiedWhileSending = false;
  Daemons.OnDown_ = [&](const VmId &) { NotifiedWhileSending |= Sending; };
  boost::asio::post(Daemons.Control_, [&] {
    Sending = true;
    Daemons.send(Unknown);
    Daemons.send(Refusing);
    Sending = false;
  });
  Daemons.pollUntil([&] { return Daemons.Down_.size() == 2; });
  CHECK(Daemons.Down_ == std::multiset{Unknown, Refusing});
  CHECK_FALSE(NotifiedWhileSending);
}

TEST_CASE("a connection that sends no name is closed") {
  // Guards against connections that cost a daemon memory for good: nothing is
  // awaited from them, so their silence ends nothing.
  Fleet Daemons;
  Tcp::socket Silent(Daemons.Control_);
  Silent.connect(Daemons.server(0).address());
  Daemons.pollUntil([&] { return Daemons.server(0).unidentified() == 1; });
  REQUIRE(Daemons.server(0).unidentified() == 1);
  CHECK(Daemons.endsAtPeer(Silent));
  CHECK(Daemons.server(0).unidentified() == 0);
}

TEST_CASE("before its name a connection may send no long message") {
  // Guards against strangers that take the memory for other daemons' messages.
  LogCapture Lines;
  Fleet Daemons;
  Tcp::socket Stranger(Daemons.Control_);
  Stranger.connect(Daemons.server(0).address());
  const std::array<unsigned char, 4> Announced = {0, 0, 16, 0};
  boost::asio::write(Stranger, boost::asio::buffer(Announced));
  CHECK(Daemons.endsAtPeer(Stranger));
  // Not for the name that it lacks, which takes longer.
  CHECK(Lines.count("link-refused") == 0);
  CHECK(Daemons.Memory_.used() == 0);
}

TEST_CASE("what waits for a link to open is bounded, and its loss is told") {
  // Guards against a daemon whose memory messages take that wait for a daemon
  // that doesn't accept, and against a sender that waits for a lost message.
  Fleet Daemons;
  const VmId To = namesOf("early").front();
  boost::asio::post(Daemons.Control_, [&] {
    for (int Sent = 0; Sent < 20; ++Sent)
      Daemons.send(To, std::string(MemoryLimit / 10, 'x'));
    CHECK(Daemons.Memory_.used() <= MemoryLimit);
  });
  Daemons.pollUntil([&] { return Daemons.Down_.count(To) > 0; });
  CHECK(Daemons.Down_.count(To) == 1);
  CHECK(Daemons.Memory_.used() == 0);
  Daemons.send(To);
  Daemons.pollUntil([&] { return Daemons.Received_.count(To) > 0; });
  CHECK(Daemons.Received_.count(To) == 1);
}

TEST_CASE(
    "a link that the other daemon ends is told from one that never opens") {
  // Guards against a daemon that avoids another one for seconds because its
  // link was reset, though that one goes on.
  Fleet Daemons;
  const VmId To = namesOf("early").front();
  Daemons.send(To);
  Daemons.pollUntil([&] { return Daemons.Received_.count(To) > 0; });
  Daemons.stopServer(0);
  Daemons.send(Refusing);
  Daemons.pollUntil([&] { return Daemons.Down_.size() == 2; });
  CHECK(Daemons.Losses_ ==
        std::multimap<VmId, LinkLoss>{{To, LinkLoss::Reset},
                                      {Refusing, LinkLoss::Unopened}});
}
