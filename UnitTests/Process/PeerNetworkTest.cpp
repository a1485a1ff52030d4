#include "Process/PeerNetwork.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

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

/// Two daemons in one thread: one that opens links, and one that is asked.
class LinkedPair {
public:
  LinkedPair() {
    Asked_ = make(VmId("asked"), askedHooks());
    for (const VmId &Id : several("early"))
      Addresses_[Id] = Asked_->address();
    for (const VmId &Id : several("late"))
      Addresses_[Id] = Asked_->address();
    Addresses_[Refusing] = unusedAddress(Control_);
    Asking_ = make(VmId("asking"), askingHooks());
  }

  /// Sends \p To a message that names it.
  void send(const VmId &To) {
    wire::DocumentRequestT Message;
    Message.service = To.str();
    Asking_->send(To, encodeMessage(std::move(Message)));
  }

  /// Works off what is due, without waiting.
  void poll() {
    Control_.restart();
    Control_.poll();
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
      return formatEndpoint(Addresses_.at(To));
    };
    return Hooks;
  }

  std::unique_ptr<PeerNetwork> Asked_;
  std::unique_ptr<PeerNetwork> Asking_;
};

} // namespace

TEST_CASE(
    "a connection's timeout that is due with the connection ends nothing") {
  // Beside a large configuration daemons ended with a segmentation fault, up to
  // four of 74 in 72 s; the stack was the wait handler of a connection's
  // timeout closing a socket. A daemon that gets no processor for a while
  // finds, in one turn, a connection made and its timeout due. The coroutine
  // can't cancel a handler that is queued already, and ends; the handler held
  // the socket by reference, and closes whatever lies in that memory by then:
  // here the socket of a connection that was opened in the same turn.
  LinkedPair Pair;
  Pair.OnDown_ = [&](const VmId &To) {
    if (To == Refusing)
      std::ranges::for_each(several("late"),
                            [&](const VmId &Id) { Pair.send(Id); });
  };
  std::ranges::for_each(several("early"),
                        [&](const VmId &Id) { Pair.send(Id); });
  Pair.send(Refusing);
  Pair.poll();
  auto Due = steady_clock::now() + 2 * Timeout;
  while (steady_clock::now() < Due) {
    // The process is not let run.
  }
  Pair.pollUntil([&] {
    return Pair.Received_.size() + Pair.Down_.size() == 2 * EachKind + 1;
  });
  // Nothing is wrong with those that were opened meanwhile.
  CHECK(countIn(Pair.Down_, several("late")) == 0);
  CHECK(countIn(Pair.Received_, several("late")) == EachKind);
  // One that was made is used, however late this process looks at it.
  CHECK(countIn(Pair.Down_, several("early")) == 0);
  CHECK(countIn(Pair.Received_, several("early")) == EachKind);
  CHECK(Pair.Down_.count(Refusing) == 1);
}
