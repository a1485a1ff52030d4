#include "Process/Membership/PeerNetwork.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

const milliseconds Timeout{50};
const VmId Refusing("refusing");
constexpr std::size_t EachKind = 8;

/// Daemons that take connections: "early-0" and so on.
std::vector<VmId> several(const std::string &Name) {
  std::vector<VmId> Ids;
  for (std::size_t Index = 0; Index < EachKind; ++Index)
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

/// A port of this machine at which nobody listens.
Endpoint unusedAddress(boost::asio::io_context &Control) {
  boost::asio::ip::tcp::acceptor Probe(Control, anyPort());
  return Probe.local_endpoint();
}

/// Daemons in one thread: one that opens links to all others.
class Fleet {
public:
  Fleet() {
    for (const std::string Kind : {"early", "late"})
      for (const VmId &Id : several(Kind)) {
        Asked_.push_back(make(Id, askedHooks()));
        Addresses_[Id] = Asked_.back()->address();
      }
    Addresses_[Refusing] = unusedAddress(Control_);
    Asking_ = make(VmId("asking"), askingHooks());
  }

  /// Sends \p To a message that names it.
  void send(const VmId &To) {
    wire::DocumentRequestT Message;
    Message.service = To.str();
    Asking_->send(To, encodeMessage(std::move(Message)));
  }

  /// Works until \p Done or for as long as a healthy link could ever take.
  void pollUntil(const std::function<bool()> &Done) {
    auto End = steady_clock::now() + std::chrono::seconds(10);
    while (!Done() && steady_clock::now() < End) {
      Control_.restart();
      Control_.run_one_for(milliseconds(10));
    }
  }

  boost::asio::io_context Control_;
  std::map<VmId, Endpoint> Addresses_;
  /// Called with each link that broke or could not be opened.
  std::function<void(const VmId &)> OnDown_;
  std::multiset<VmId> Down_;
  std::multiset<VmId> Received_;

private:
  std::unique_ptr<PeerNetwork> make(VmId Self, PeerNetwork::Hooks Hooks) {
    PeerNetwork::Options Options;
    Options.ConnectTimeout_ = Timeout;
    auto Made = PeerNetwork::create(Control_, anyPort(), std::move(Self),
                                    Options, std::move(Hooks));
    REQUIRE(Made.has_value());
    return std::move(*Made);
  }
  PeerNetwork::Hooks askedHooks() {
    PeerNetwork::Hooks Hooks;
    Hooks.Asked_ = [this](const VmId &, wire::EnvelopeT Message) {
      if (const auto *Request = Message.body.AsDocumentRequest())
        Received_.insert(VmId(Request->service));
    };
    Hooks.AskerCame_ = [](const VmId &) {};
    Hooks.AskerGone_ = [](const VmId &) {};
    return Hooks;
  }
  PeerNetwork::Hooks askingHooks() {
    PeerNetwork::Hooks Hooks;
    Hooks.LinkDown_ = [this](const VmId &To) {
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

  std::vector<std::unique_ptr<PeerNetwork>> Asked_;
  std::unique_ptr<PeerNetwork> Asking_;
};

} // namespace

TEST_CASE(
    "a connection's timeout that is due with the connection ends nothing") {
  // Beside a large configuration daemons ended by themselves, five of 74 within
  // 0.26 s, each with "ended-by-signal","signal":"11" and a stack of
  // io_context::run and the wait handler of the timer in PeerNetwork::connect.
  // A daemon that gets no processor for a while finds, in one turn, a
  // connection made and its timeout due. The coroutine can't cancel a handler
  // that is queued already, and ends; the handler held the socket by reference,
  // and closes whatever lies in that memory by then: here sockets of
  // connections that are opened in the same turn.
  Fleet Daemons;
  Daemons.OnDown_ = [&](const VmId &To) {
    if (To == Refusing)
      std::ranges::for_each(several("late"),
                            [&](const VmId &Id) { Daemons.send(Id); });
  };
  // All within one turn: then the process is not let run for a while.
  boost::asio::post(Daemons.Control_, [&] {
    std::ranges::for_each(several("early"),
                          [&](const VmId &Id) { Daemons.send(Id); });
    Daemons.send(Refusing);
    auto Due = steady_clock::now() + 2 * Timeout;
    while (steady_clock::now() < Due) {
    }
  });
  Daemons.pollUntil([&] {
    return Daemons.Received_.size() + Daemons.Down_.size() == 2 * EachKind + 1;
  });
  // Nothing is wrong with those that were opened meanwhile.
  CHECK(countIn(Daemons.Down_, several("late")) == 0);
  CHECK(countIn(Daemons.Received_, several("late")) == EachKind);
  // One that was made is used, however late this process looks at it.
  CHECK(countIn(Daemons.Down_, several("early")) == 0);
  CHECK(countIn(Daemons.Received_, several("early")) == EachKind);
  CHECK(Daemons.Down_.count(Refusing) == 1);
}

TEST_CASE("a sender is not told of a broken link while it sends") {
  // Who sends may be walking through its tables, and whoever is told that a
  // link broke changes them.
  Fleet Daemons;
  const VmId Unknown("unknown");
  bool Sending = false;
  bool ToldWhileSending = false;
  Daemons.OnDown_ = [&](const VmId &) { ToldWhileSending |= Sending; };
  boost::asio::post(Daemons.Control_, [&] {
    Sending = true;
    Daemons.send(Unknown);
    Daemons.send(Refusing);
    Sending = false;
  });
  Daemons.pollUntil([&] { return Daemons.Down_.size() == 2; });
  CHECK(Daemons.Down_ == std::multiset{Unknown, Refusing});
  CHECK_FALSE(ToldWhileSending);
}
