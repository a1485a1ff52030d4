#include "Process/Membership/PeerPort.h"

#include <doctest/doctest.h>

#include <vector>

using namespace samphireshunt;

namespace {

Endpoint at(std::uint16_t Port) {
  return {boost::asio::ip::make_address("127.0.0.1"), Port};
}

/// The ports of a system, of which the lower ones are in use for UDP.
class FakePorts {
public:
  explicit FakePorts(std::uint16_t FirstFree) : FirstFree_(FirstFree) {}

  Result<void> open(std::uint16_t Wanted) {
    auto OpenTcp = [this, Wanted]() -> Result<Endpoint> {
      ++Tries_;
      return at(Wanted == 0 ? Next_++ : Wanted);
    };
    auto OpenUdp = [this](Endpoint Address) -> Result<void> {
      if (Address.port() < FirstFree_)
        return Failure{ResultCode::BadSetting, "in use"};
      Opened_.push_back(Address.port());
      return {};
    };
    return openOnSamePort(at(Wanted), OpenTcp, OpenUdp);
  }

  std::vector<std::uint16_t> Opened_;
  int Tries_ = 0;

private:
  std::uint16_t FirstFree_;
  std::uint16_t Next_ = 1;
};

} // namespace

TEST_CASE("another port is tried if the UDP port is in use") {
  // A daemon with an automatically chosen port would sometimes not start,
  // because the port that was free for TCP was in use for UDP.
  FakePorts Ports(3);
  CHECK(Ports.open(0).has_value());
  CHECK(Ports.Opened_ == std::vector<std::uint16_t>{3});
}

TEST_CASE("a configured port is not replaced by another") {
  FakePorts Ports(9);
  auto Opened = Ports.open(8);
  REQUIRE(!Opened.has_value());
  CHECK(Opened.error().Detail_ == "in use");
  CHECK(Ports.Tries_ == 1);
}

TEST_CASE("the number of ports tried is limited") {
  FakePorts Ports(60000);
  CHECK(!Ports.open(0).has_value());
  CHECK(Ports.Tries_ == MaxPortAttempts);
}
