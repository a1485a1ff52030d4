#include "Process/Configuration/ConfigurationSync.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt;
using std::chrono::seconds;

namespace {

const ServiceName Service("s");
const VmId Peer("vm-2");

std::string encoded(std::uint64_t Version) {
  VersionedDocument Built;
  Built.Version_ = DocumentVersion(Version);
  Built.CanonicalJson_ = fmt::format(
      R"({{"format":1,"service":"s","tiers":["t"],"customers":[{{"name":"c",)"
      R"("keyDigests":["sha256:{}"],"defaultTier":"t"}}],"pools":[{{"name":)"
      R"("p","kind":"application","servers":[]}}],"routes":[{{"path":"/",)"
      R"("pool":"p"}}]}})",
      std::string(64, 'a'));
  return Built.encode();
}

} // namespace

// A version that no peer hands over leaves the replaced one serving for ever.
TEST_CASE("a version that was heard of and does not come makes the one in "
          "force overdue") {
  boost::asio::io_context Context;
  DocumentStore Documents;
  FreshnessLease Freshness(seconds(0), seconds(2));
  int Asked = 0;
  ConfigurationSync::Hooks Hooks;
  Hooks.AskPeer_ = [&](const VmId &, const ServiceName &) { ++Asked; };
  ConfigurationSync Sync(Context, PlatformHooks(), Documents, Freshness,
                         ConfigurationSync::Options(), std::move(Hooks));
  Sync.documentReceived(Service, encoded(1));
  Sync.versionSeen(Peer, Service, DocumentVersion(1));
  CHECK_FALSE(Freshness.overdue(BootClock::now() + seconds(3)));
  Sync.versionSeen(Peer, Service, DocumentVersion(2));
  CHECK(Asked == 1);
  CHECK_FALSE(Freshness.overdue(BootClock::now()));
  CHECK(Freshness.overdue(BootClock::now() + seconds(3)));
  Sync.documentReceived(Service, encoded(2));
  CHECK_FALSE(Freshness.overdue(BootClock::now() + seconds(3)));
}
