#include "Process/Streams/VersionTimeline.h"
#include "Process/Configuration/FreshnessLease.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::seconds;

namespace {

constexpr BootTime Start{seconds(1000)};
const PoolName ThePool("p");

ServersByPool servers(const std::vector<std::string> &Versions) {
  std::vector<BackendServer> Servers;
  for (const std::string &Version : Versions) {
    BackendServer Server;
    Server.Version_ = SoftwareVersion(Version);
    Servers.push_back(std::move(Server));
  }
  return {{ThePool, std::move(Servers)}};
}

} // namespace

TEST_CASE("a pool had only one version if nothing else was there since") {
  VersionTimeline Timeline;
  Timeline.note(servers({"v1", "v1"}), Start);
  CHECK(Timeline.onlyVersion(ThePool, Start, Start) == SoftwareVersion("v1"));
  CHECK_FALSE(Timeline.onlyVersion(PoolName("other"), Start, Start));
}

TEST_CASE("what was there before a daemon knew the pool is unknown") {
  // Guards against a daemon that started after all servers of a version had
  // ended, and takes the other version for the only one.
  VersionTimeline Timeline;
  Timeline.note(servers({"v1"}), Start);
  auto Before = Start - seconds(1);
  CHECK_FALSE(Timeline.onlyVersion(ThePool, Before, Before));
}

TEST_CASE("a version whose servers have all ended still counts for a while") {
  // Guards against a stream of a version that is gone, which goes on at the
  // version that is left.
  VersionTimeline Timeline;
  Timeline.note(servers({"v1", "v2"}), Start);
  Timeline.note(servers({"v1"}), Start + seconds(10));
  CHECK_FALSE(Timeline.onlyVersion(ThePool, Start + seconds(10), Start));
  CHECK(Timeline.onlyVersion(ThePool, Start + seconds(11), Start) ==
        SoftwareVersion("v1"));
  Timeline.note({}, Start + seconds(20));
  CHECK(Timeline.onlyVersion(ThePool, Start + seconds(15), Start) ==
        SoftwareVersion("v1"));
  Timeline.note(servers({"v2"}), Start + seconds(21));
  CHECK_FALSE(Timeline.onlyVersion(ThePool, Start + seconds(15), Start));
}

TEST_CASE("a version may have come and gone while the store was unreachable") {
  // Guards against a stream of a version that this daemon never saw, which goes
  // on at the version before it.
  VersionTimeline Timeline;
  FreshnessLease Lease(seconds(0), seconds(0), seconds(4));
  Timeline.note(servers({"v1"}), Start);
  Lease.renew(Start);
  Lease.renew(Start + seconds(4));
  CHECK(Timeline.onlyVersion(ThePool, Start, Lease.unbrokenSince()) ==
        SoftwareVersion("v1"));
  auto Regained = Start + seconds(9);
  Timeline.note(servers({"v1"}), Regained);
  Lease.renew(Regained);
  CHECK_FALSE(
      Timeline.onlyVersion(ThePool, Start + seconds(8), Lease.unbrokenSince()));
  CHECK(Timeline.onlyVersion(ThePool, Regained, Lease.unbrokenSince()) ==
        SoftwareVersion("v1"));
}
