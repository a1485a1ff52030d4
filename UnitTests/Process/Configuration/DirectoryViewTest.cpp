#include "Process/Configuration/DirectoryView.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

constexpr BootTime Start{std::chrono::seconds(1000)};
constexpr milliseconds RegisterAgainTime{2400};

RegisteredServer server(const std::string &Name, bool Leaving = false) {
  RegisteredServer Built;
  Built.Pool_ = PoolName("pool");
  Built.Server_.Name_ = ServerName(Name);
  Built.Server_.Leaving_ = Leaving;
  return Built;
}

} // namespace

TEST_CASE("a server that goes missing while the service is available is "
          "removed at once") {
  DirectoryView View(RegisterAgainTime);
  CHECK(View.addOrUpdate(server("a")));
  CHECK_FALSE(View.addOrUpdate(server("a")));
  CHECK(View.addOrUpdate(server("a", true)));
  CHECK(View.markMissing(ServerName("a"), Start));
  CHECK(View.servers().empty());
}

TEST_CASE("entries that expire in an outage are retained until live servers "
          "are back") {
  // If the platform's service is unavailable for longer than the lifetime of an
  // entry, the entries of all servers are missing when it returns, and come
  // back within two seconds. Treating missing entries as removed would leave no
  // server to send requests to.
  DirectoryView View(RegisterAgainTime);
  View.addOrUpdate(server("lives"));
  View.addOrUpdate(server("died"));
  View.outageBegan();
  CHECK_FALSE(View.markMissing(ServerName("lives"), Start));
  View.outageEnded(Start);
  CHECK_FALSE(View.listed({}, Start));
  CHECK(View.size() == 2);
  CHECK(View.nextDrop() == Start + RegisterAgainTime);
  CHECK_FALSE(View.addOrUpdate(server("lives")));
  CHECK_FALSE(View.dropMissing(Start + RegisterAgainTime - milliseconds(1)));
  CHECK(View.dropMissing(Start + RegisterAgainTime));
  CHECK(View.size() == 1);
  CHECK_FALSE(View.nextDrop().has_value());
}

TEST_CASE("what is missing after an outage of this daemon alone is gone") {
  // Guards against requests to a server that left while the daemon was cut off.
  DirectoryView View(RegisterAgainTime);
  View.addOrUpdate(server("left"));
  View.addOrUpdate(server("stays"));
  View.outageBegan();
  CHECK_FALSE(View.markMissing(ServerName("left"), Start));
  View.outageEnded(Start, OutageCause::Own);
  CHECK(View.dropMissing(Start));
  CHECK(View.markMissing(ServerName("stays"), Start));
  CHECK(View.size() == 0);
}

TEST_CASE("a list that lacks most servers after an outage of this daemon's own "
          "removes none") {
  // Guards against the loss of all servers that were cut off from the service
  // together with all daemons, so that each daemon heard no other.
  DirectoryView View(RegisterAgainTime);
  for (const char *Name : {"a", "b", "c"})
    View.addOrUpdate(server(Name));
  View.outageBegan();
  View.outageEnded(Start, OutageCause::Own);
  View.listed({ServerName("a")}, Start);
  CHECK(View.size() == 3);
  View.listed({ServerName("a")}, Start + RegisterAgainTime);
  CHECK(View.size() == 1);
}

TEST_CASE("an entry that is removed long after the outage is dropped at once") {
  DirectoryView View(RegisterAgainTime);
  View.addOrUpdate(server("a"));
  View.outageBegan();
  View.outageEnded(Start);
  CHECK(View.markMissing(ServerName("a"), Start + RegisterAgainTime));
}

TEST_CASE("an outage without end drops nothing") {
  DirectoryView View(RegisterAgainTime);
  View.addOrUpdate(server("a"));
  View.outageBegan();
  View.markMissing(ServerName("a"), Start);
  CHECK_FALSE(View.dropMissing(Start + std::chrono::hours(1)));
  CHECK_FALSE(View.nextDrop().has_value());
}

TEST_CASE("a complete list after the history was lost shows which servers "
          "left in the gap") {
  DirectoryView View(RegisterAgainTime);
  View.addOrUpdate(server("stays"));
  View.addOrUpdate(server("left"));
  CHECK(View.listed({ServerName("stays")}, Start));
  CHECK(View.size() == 1);
}

TEST_CASE("a late entry of an earlier process of a server is not applied") {
  // An engine that was leaving when it crashed restarts under its name, and a
  // daemon that is behind then reports the leaving state. If the entry that
  // arrived last were accepted, the engine would get no work.
  DirectoryView View(RegisterAgainTime);
  RegisteredServer Earlier = server("a", true);
  Earlier.Server_.Incarnation_ = Incarnation(1000);
  RegisteredServer Later = server("a");
  Later.Server_.Incarnation_ = Incarnation(2000);
  View.addOrUpdate(Earlier);
  CHECK(View.addOrUpdate(Later));
  CHECK_FALSE(View.addOrUpdate(Earlier));
  CHECK_FALSE(View.servers()[PoolName("pool")].front().Leaving_);
}
