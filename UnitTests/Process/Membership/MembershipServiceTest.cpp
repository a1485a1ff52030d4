#include "Process/Membership/MembershipService.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <string>
#include <vector>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

using Udp = boost::asio::ip::udp;

Endpoint anyPort() { return {boost::asio::ip::make_address("127.0.0.1"), 0}; }

/// Returns an address that nobody else uses while the test runs.
Endpoint freeAddress(boost::asio::io_context &Control) {
  Udp::socket Probe(Control, Udp::endpoint(anyPort().address(), 0));
  return {anyPort().address(), Probe.local_endpoint().port()};
}

/// The members of one daemon and its failure detection.
class Daemon {
public:
  Daemon(boost::asio::io_context &Control, const std::string &Name,
         milliseconds Period)
      : Address_(freeAddress(Control)), Members_(self(Name), tableOptions()) {
    Members_.onChanged([this](const Member &Changed) {
      Statuses_.push_back(Changed.Status_);
    });
    MembershipService::Options Options;
    Options.Period_ = Period;
    Options.AckTimeout_ = milliseconds(10);
    MembershipService::Hooks Hooks;
    Hooks.Versions_ = [this] {
      if (OnMessage_)
        OnMessage_();
      return std::vector<wire::ServiceVersionT>();
    };
    Hooks.VersionSeen_ = [](const VmId &, const wire::ServiceVersionT &) {};
    Hooks.Floors_ = [] { return std::vector<PoolFloor>(); };
    Hooks.FloorSeen_ = [](const PoolFloor &) {};
    auto Bound = MembershipService::bind(Control, Address_);
    REQUIRE(Bound.has_value());
    Service_ = MembershipService::create(Control, std::move(*Bound), Members_,
                                         Options, std::move(Hooks));
  }

  Endpoint Address_;
  MemberTable Members_;
  /// The statuses of the other daemon, in order.
  std::vector<MemberStatus> Statuses_;
  /// Called while a message of this daemon is built.
  std::function<void()> OnMessage_;
  std::unique_ptr<MembershipService> Service_;

private:
  Member self(const std::string &Name) const {
    Member Self;
    Self.Id_ = VmId(Name);
    Self.Incarnation_ = Incarnation(1);
    Self.Address_ = formatEndpoint(Address_);
    return Self;
  }
  static MemberTable::Options tableOptions() {
    MemberTable::Options Options;
    Options.SuspectTime_ = milliseconds(50);
    return Options;
  }
};

void runUntil(boost::asio::io_context &Control,
              const std::function<bool()> &Done) {
  auto End = steady_clock::now() + std::chrono::seconds(10);
  while (!Done() && steady_clock::now() < End)
    Control.run_one_for(milliseconds(10));
}

} // namespace

TEST_CASE("a pause of this process is not taken for the death of others") {
  // Guards against a paused daemon that declares healthy daemons suspect and
  // dead, so that keepers change and requests move. A daemon can go without
  // processor time for a while, which was seen with a large configuration. When
  // it resumes, its timers are due before it has read the acks that arrived
  // meanwhile.
  boost::asio::io_context Control{1};
  Daemon Paused(Control, "paused", milliseconds(20));
  Daemon Other(Control, "other", std::chrono::hours(1));
  Udp::socket Noise(Control, Udp::endpoint(anyPort().address(), 0));
  Paused.Service_->start();
  // It only answers, so each of its messages is an ack.
  Other.Service_->start();
  Other.Service_->join(Paused.Address_);
  runUntil(Control, [&] { return !Paused.Statuses_.empty(); });
  REQUIRE(Paused.Statuses_ == std::vector<MemberStatus>{MemberStatus::Alive});
  bool Done = false;
  // While the other daemon answers a probe, the process is busy, and its ack
  // stays unread behind other datagrams.
  Other.OnMessage_ = [&] {
    if (std::exchange(Done, true))
      return;
    Udp::endpoint To(Paused.Address_.address(), Paused.Address_.port());
    for (int Index = 0; Index < 8; ++Index)
      Noise.send_to(boost::asio::buffer("unread", 6), To);
    auto End = steady_clock::now() + milliseconds(300);
    while (steady_clock::now() < End) {
    }
  };
  runUntil(Control, [&] { return Done; });
  REQUIRE(Done);
  auto SettleEnd = steady_clock::now() + milliseconds(100);
  runUntil(Control, [&] { return steady_clock::now() > SettleEnd; });
  CHECK(Paused.Statuses_ == std::vector<MemberStatus>{MemberStatus::Alive});
  Paused.Service_->stop();
  Other.Service_->stop();
}
