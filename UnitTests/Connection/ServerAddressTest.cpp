#include "Connection/ServerAddress.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace samphireshunt;
namespace ip = boost::asio::ip;

TEST_CASE("an address that no server can have is refused") {
  for (const char *Wrong :
       {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:1e3",
        "10.0.0.1:", "10.0.0.1", "0.0.0.0:80", "224.0.0.1:80",
        "239.255.255.255:80", "255.255.255.255:80", "[::]:80", "[ff02::1]:80",
        "[::ffff:0.0.0.0]:80", "[::ffff:224.0.0.1]:80",
        "[::ffff:255.255.255.255]:80", "example.org:80", ""}) {
    CAPTURE(Wrong);
    CHECK_FALSE(parseServerAddress(Wrong).has_value());
  }
  for (const char *Valid : {"127.0.0.1:80", "10.0.0.1:65535", "10.0.0.255:1",
                            "[::1]:80", "[fd00::7]:80"}) {
    CAPTURE(Valid);
    auto Read = parseServerAddress(Valid);
    REQUIRE(Read.has_value());
    CHECK(formatEndpoint(*Read) == Valid);
  }
}

TEST_CASE("a process knows its own addresses, and no other") {
  auto At = [](const char *Text) { return parseEndpoint(Text).value(); };
  OwnAddresses Own(
      {At("10.0.0.5:80"), At("0.0.0.0:81")},
      {ip::make_address("10.0.0.5"), ip::make_address("10.1.0.5")});
  for (const char *Mine : {"10.0.0.5:80", "[::ffff:10.0.0.5]:80", "10.0.0.5:81",
                           "10.1.0.5:81", "127.0.0.1:81", "127.0.0.9:81"}) {
    CAPTURE(Mine);
    CHECK(Own.contains(At(Mine)));
  }
  for (const char *Other : {"10.1.0.5:80", "127.0.0.1:80", "10.0.0.6:80",
                            "10.0.0.6:81", "10.0.0.5:82"}) {
    CAPTURE(Other);
    CHECK_FALSE(Own.contains(At(Other)));
  }
  CHECK_FALSE(OwnAddresses().contains(At("127.0.0.1:80")));
  auto Machine = machineAddresses();
  CHECK(Machine.contains(ip::make_address("127.0.0.1")));
}
