#include "Process/Configuration/DirectoryView.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

constexpr BootTime Start{std::chrono::seconds(1000)};
constexpr milliseconds Again{2400};

RegisteredServer server(const std::string &Name, bool Leaving = false) {
  RegisteredServer Built;
  Built.Pool_ = PoolName("pool");
  Built.Server_.Name_ = ServerName(Name);
  Built.Server_.Leaving_ = Leaving;
  return Built;
}

} // namespace

TEST_CASE("a server that is gone while the service is well is gone at once") {
  DirectoryView View(Again);
  CHECK(View.seen(server("a")));
  CHECK_FALSE(View.seen(server("a")));
  CHECK(View.seen(server("a", true)));
  CHECK(View.missing(ServerName("a"), Start));
  CHECK(View.servers().empty());
}

TEST_CASE("entries that lapse in an outage are kept until living servers are "
          "back") {
  // If the platform's service is unavailable for longer than the lifetime of an
  // entry, the entries of all servers are missing when it returns, and come
  // back within two seconds. Treating missing entries as removed would leave no
  // server to send requests to.
  DirectoryView View(Again);
  View.seen(server("lives"));
  View.seen(server("died"));
  View.outageBegan();
  CHECK_FALSE(View.missing(ServerName("lives"), Start));
  View.outageEnded(Start);
  CHECK_FALSE(View.listed({}, Start));
  CHECK(View.size() == 2);
  CHECK(View.nextDrop() == Start + Again);
  CHECK_FALSE(View.seen(server("lives")));
  CHECK_FALSE(View.dropUnseen(Start + Again - milliseconds(1)));
  CHECK(View.dropUnseen(Start + Again));
  CHECK(View.size() == 1);
  CHECK_FALSE(View.nextDrop().has_value());
}

TEST_CASE("an entry that is removed long after the outage is gone at once") {
  DirectoryView View(Again);
  View.seen(server("a"));
  View.outageBegan();
  View.outageEnded(Start);
  CHECK(View.missing(ServerName("a"), Start + Again));
}

TEST_CASE("an outage without end drops nothing") {
  DirectoryView View(Again);
  View.seen(server("a"));
  View.outageBegan();
  View.missing(ServerName("a"), Start);
  CHECK_FALSE(View.dropUnseen(Start + std::chrono::hours(1)));
  CHECK_FALSE(View.nextDrop().has_value());
}

TEST_CASE("a complete list after the history was lost tells who left in the "
          "gap") {
  DirectoryView View(Again);
  View.seen(server("stays"));
  View.seen(server("left"));
  CHECK(View.listed({ServerName("stays")}, Start));
  CHECK(View.size() == 1);
}

TEST_CASE("what an earlier process of a server wrote is not taken in late") {
  // An engine that was leaving when it crashed restarts under its name, and a
  // daemon that is behind then reports the leaving state. If the entry that
  // arrived last were accepted, the engine would get no work.
  DirectoryView View(Again);
  RegisteredServer Earlier = server("a", true);
  Earlier.Server_.Incarnation_ = Incarnation(1000);
  RegisteredServer Later = server("a");
  Later.Server_.Incarnation_ = Incarnation(2000);
  View.seen(Earlier);
  CHECK(View.seen(Later));
  CHECK_FALSE(View.seen(Earlier));
  CHECK_FALSE(View.servers()[PoolName("pool")].front().Leaving_);
}
