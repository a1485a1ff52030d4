/// \file
/// Values in the platform's store that a real daemon can't hold.

#include "FailureTests/platform/RawDaemon.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

/// Over any bound that follows from so little memory.
const std::string LittleMemory = "--process_memory_mb=64";
constexpr std::size_t LargeBytes = 6 * 1024 * 1024;

bool isServed(const RawDaemon &Daemon) {
  std::string Answer =
      RawDaemon::exchange(Daemon.listeners().front(),
                          "GET /notes/x HTTP/1.1\r\nHost: framing.example\r\n" +
                              std::string(RawDaemon::IdField) + "x\r\n\r\n",
                          /*Whole=*/true);
  return Answer.starts_with("HTTP/1.1 200");
}

std::string statusOf(const RawDaemon &Daemon) {
  return RawDaemon::exchange(Daemon.listeners().back(),
                             "GET /status HTTP/1.1\r\nHost: o\r\n\r\n",
                             /*Whole=*/true);
}

/// Sets the state of the only server.
void setServer(RawDaemon &Daemon, const std::string &State) {
  auto Entry = nlohmann::json::parse(Daemon.stored("servers/engine"));
  Entry["state"] = State;
  Daemon.put("servers/engine", Entry.dump());
}

} // namespace

TEST_CASE("calls go on and leaving servers are obeyed beside a configuration "
          "that can't be held") {
  // Guards against a bound that protects the process and ends the service: the
  // daemon took the answer with the configuration for an outage, saw no server
  // leave any more and confirmed nothing.
  RawDaemon Daemon({LittleMemory});
  auto Root = nlohmann::json::parse(Daemon.stored("op/config"));
  const std::string First = Root.dump();
  Root["version"] = 2;
  Daemon.put("op/config", Root.dump() + std::string(LargeBytes, ' '));
  REQUIRE(
      eventually([&] { return Daemon.hasLogged("configuration-too-large"); }));
  CHECK(isServed(Daemon));
  setServer(Daemon, "draining");
  CHECK(eventually([&] { return !isServed(Daemon); }));
  setServer(Daemon, "ready");
  CHECK(eventually([&] { return isServed(Daemon); }));
  std::string Status = statusOf(Daemon);
  CHECK(Status.find("\"configurationTooLarge\":true") != std::string::npos);
  CHECK(Status.find("\"platformReachable\":true") != std::string::npos);
  Root["version"] = 3;
  Daemon.put("op/config", Root.dump());
  CHECK(eventually([&] {
    return statusOf(Daemon).find("configurationTooLarge") == std::string::npos;
  }));
  CHECK(isServed(Daemon));
  CHECK_FALSE(Daemon.hasLogged("platform-lost"));
}

TEST_CASE("a configuration that is invalid and large is refused as invalid") {
  // Guards against any large garbage that makes a valid configuration overdue.
  RawDaemon Daemon({LittleMemory});
  Daemon.put("op/config",
             R"({"version":2,"routes":[{"name":7}],"services":[],"x":")" +
                 std::string(LargeBytes, 'x') + "\"}");
  REQUIRE(eventually(
      [&] { return Daemon.hasLogged("configuration-not-understood"); }));
  CHECK(isServed(Daemon));
  CHECK_FALSE(Daemon.hasLogged("configuration-too-large"));
}
