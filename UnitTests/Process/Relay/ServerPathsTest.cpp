#include "Process/Relay/ServerPaths.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Endpoint server(std::uint16_t Port) {
  return {boost::asio::ip::make_address("10.0.0.1"), Port};
}

ServerPaths pathsTo(std::uint16_t Count, TimePoint Now) {
  ServerPaths Paths{ServerPaths::Options()};
  for (std::uint16_t Port = 1; Port <= Count; ++Port)
    Paths.used(server(Port), Now);
  return Paths;
}

} // namespace

TEST_CASE("one lost path lets all others be probed at once") {
  // Guards against a daemon that finds out about each server by a request that
  // fails there.
  TimePoint Now{seconds(100)};
  ServerPaths Paths = pathsTo(20, Now);
  CHECK_FALSE(Paths.needsProbes());
  CHECK(Paths.cutOff(server(1), PortState::Silent, Now));
  CHECK(Paths.toProbe(Now).size() == 19);
  for (std::uint16_t Port = 2; Port <= 10; ++Port)
    Paths.probeFailed(server(Port), PortState::Silent);
  for (std::uint16_t Port = 11; Port <= 20; ++Port)
    CHECK_FALSE(Paths.reached(server(Port), Now));
  CHECK(Paths.cutOffCount() == 10);
  CHECK(Paths.isCutOff(server(10)));
  CHECK_FALSE(Paths.isCutOff(server(11)));
}

TEST_CASE("connections that may hang are not used again") {
  // Guards against a request that must not run twice and is sent on a
  // connection of which nothing arrives.
  TimePoint Now{seconds(100)};
  ServerPaths Paths = pathsTo(3, Now);
  Paths.cutOff(server(1), PortState::Silent, Now);
  CHECK_FALSE(Paths.trustsIdle(server(1)));
  CHECK_FALSE(Paths.trustsIdle(server(2)));
  Paths.reached(server(2), Now);
  CHECK(Paths.trustsIdle(server(2)));
}

TEST_CASE("connections are kept while only new ones are refused") {
  // Guards against a daemon that gives up the connections that still work.
  TimePoint Now{seconds(100)};
  ServerPaths Paths = pathsTo(3, Now);
  Paths.cutOff(server(1), PortState::Refused, Now);
  CHECK(Paths.trustsIdle(server(1)));
  CHECK(Paths.trustsIdle(server(2)));
}

TEST_CASE("a lost path is probed until it is back, and forgotten if unused") {
  // Guards against paths that stay lost, and against probes of servers that are
  // gone.
  TimePoint Now{seconds(100)};
  ServerPaths Paths = pathsTo(1, Now);
  Paths.cutOff(server(1), PortState::Refused, Now);
  CHECK(Paths.toProbe(Now).empty());
  CHECK(Paths.toProbe(Now + milliseconds(500)).size() == 1);
  CHECK(Paths.toProbe(Now + milliseconds(600)).empty());
  CHECK(Paths.reached(server(1), Now + milliseconds(700)));
  CHECK_FALSE(Paths.needsProbes());
  Paths.cutOff(server(1), PortState::Refused, Now + seconds(1));
  CHECK(Paths.toProbe(Now + seconds(31)).empty());
  CHECK_FALSE(Paths.needsProbes());
}

TEST_CASE("probes of a large fleet are started in parts") {
  // Guards against more than a thousand connections that begin together.
  TimePoint Now{seconds(100)};
  ServerPaths Paths = pathsTo(1500, Now);
  Paths.cutOff(server(1), PortState::Refused, Now);
  CHECK(Paths.toProbe(Now).size() == ServerPaths::Options().MaxProbes_);
  CHECK(Paths.toProbe(Now).size() == ServerPaths::Options().MaxProbes_);
}
