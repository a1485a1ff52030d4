#include "Process/Membership/PeerPort.h"

#include <doctest/doctest.h>

#include <vector>

using namespace samphireshunt;

namespace {

Endpoint at(std::uint16_t Port) {
  return {boost::asio::ip::make_address("127.0.0.1"), Port};
}

/// Ports of a system, of which the lower ones are taken for datagrams.
class FakePorts {
public:
  explicit FakePorts(std::uint16_t FirstFree) : FirstFree_(FirstFree) {}

  Result<void> open(std::uint16_t Wanted) {
    auto OpenStreams = [this, Wanted]() -> Result<Endpoint> {
      ++Tries_;
      return at(Wanted == 0 ? Next_++ : Wanted);
    };
    auto OpenDatagrams = [this](Endpoint Address) -> Result<void> {
      if (Address.port() < FirstFree_)
        return Failure{ResultCode::BadSetting, "in use"};
      Opened_.push_back(Address.port());
      return {};
    };
    return openAtOnePort(at(Wanted), OpenStreams, OpenDatagrams);
  }

  std::vector<std::uint16_t> Opened_;
  int Tries_ = 0;

private:
  std::uint16_t FirstFree_;
  std::uint16_t Next_ = 1;
};

} // namespace

TEST_CASE("a port that is taken for datagrams is not the last that is tried") {
  // A daemon that was to choose its port did not start now and then: the port
  // that was free for TCP was in use for UDP. Of 3,000 ports that were chosen
  // beside 30 UDP sockets 4 were.
  FakePorts Ports(3);
  CHECK(Ports.open(0).has_value());
  CHECK(Ports.Opened_ == std::vector<std::uint16_t>{3});
}

TEST_CASE("a port that was asked for is not replaced by another") {
  FakePorts Ports(9);
  auto Opened = Ports.open(8);
  REQUIRE(!Opened.has_value());
  CHECK(Opened.error().Detail_ == "in use");
  CHECK(Ports.Tries_ == 1);
}

TEST_CASE("the search for a port ends") {
  FakePorts Ports(60000);
  CHECK(!Ports.open(0).has_value());
  CHECK(Ports.Tries_ == ChosenPortTries);
}
