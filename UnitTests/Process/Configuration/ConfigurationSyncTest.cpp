#include "Process/Configuration/ConfigurationSync.h"

#include "UnitTests/OddNumbers.h"

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

// If no peer delivers a newer version, the replaced one would be served
// forever.
TEST_CASE("a version that was heard of and does not come makes the active one "
          "overdue") {
  boost::asio::io_context Context;
  DocumentStore Documents;
  FreshnessLease Freshness(seconds(0), seconds(2));
  int Asked = 0;
  ConfigurationSync::Hooks Hooks;
  Hooks.RequestDocument_ = [&](const VmId &, const ServiceName &) { ++Asked; };
  ConfigurationSync Sync(Context, PlatformHooks(), Documents, Freshness,
                         ConfigurationSync::Options(), std::move(Hooks));
  Sync.documentReceived(Service, encoded(1));
  Sync.versionAnnounced(Peer, Service, DocumentVersion(1));
  CHECK_FALSE(Freshness.overdue(BootClock::now() + seconds(3)));
  Sync.versionAnnounced(Peer, Service, DocumentVersion(2));
  CHECK(Asked == 1);
  CHECK_FALSE(Freshness.overdue(BootClock::now()));
  CHECK(Freshness.overdue(BootClock::now() + seconds(3)));
  Sync.documentReceived(Service, encoded(2));
  CHECK_FALSE(Freshness.overdue(BootClock::now() + seconds(3)));
}

// After a restore from an older backup, a watch that waits for the old revision
// would miss documents written below it.
TEST_CASE("a service restored in a new era is read anew, and no active "
          "document goes back") {
  boost::asio::io_context Context;
  DocumentStore Documents;
  FreshnessLease Freshness(seconds(0), seconds(2));
  ConfigurationSync::Hooks Hooks;
  Hooks.VmsListed_ = [](const std::vector<ListedVm> &) {};
  auto Entry = [](std::uint64_t Version, StorePosition Written) {
    return KeyValue{documentKey(Service), encoded(Version), Written};
  };
  constexpr StorePosition BeforeCopy{StoreEra(0), Revision(90)};
  constexpr StorePosition AfterCopy{StoreEra(1), Revision(40)};
  const std::vector<KeyValueList> Answers{
      {{Entry(3, BeforeCopy)}, BeforeCopy},
      {{}, AfterCopy},
      {{Entry(2, {StoreEra(1), Revision(30)})}, AfterCopy},
      {{Entry(4, {StoreEra(1), Revision(41)})}, {StoreEra(1), Revision(41)}}};
  std::vector<StorePosition> Asked;
  std::vector<DocumentVersion> InForce;
  ConfigurationSync *Running = nullptr;
  PlatformHooks Platform;
  Platform.Watch_ =
      [&](const std::string &, StorePosition After,
          std::chrono::milliseconds) -> Awaitable<Result<KeyValueList>> {
    if (!Asked.empty())
      InForce.push_back(Documents.snapshot()->service(Service)->Version_);
    Asked.push_back(After);
    if (Asked.size() == Answers.size())
      Running->stop();
    co_return Answers[Asked.size() - 1];
  };
  Platform.Vms_ = []() -> Awaitable<Result<std::vector<ListedVm>>> {
    co_return std::vector<ListedVm>();
  };
  ConfigurationSync::Options Options;
  Options.ListInterval_ = std::chrono::milliseconds(1);
  ConfigurationSync Sync(Context, std::move(Platform), Documents, Freshness,
                         Options, std::move(Hooks));
  Running = &Sync;
  Sync.start();
  Context.run();
  const std::vector<StorePosition> Expected{
      {}, BeforeCopy, {StoreEra(1), Revision()}, AfterCopy};
  CHECK(Asked == Expected);
  CHECK(InForce == std::vector(3, DocumentVersion(3)));
  CHECK(Documents.snapshot()->service(Service)->Version_ == DocumentVersion(4));
}

// Daemons took a document of version 2^64-1 and followed no other from then on;
// a version that another daemon only announces must not be waited for either.
TEST_CASE(
    "a version out of range leaves the document active, and the next good "
    "one is followed") {
  boost::asio::io_context Context;
  DocumentStore Documents;
  FreshnessLease Freshness(seconds(0), seconds(2));
  int Asked = 0;
  ConfigurationSync::Hooks Hooks;
  Hooks.RequestDocument_ = [&](const VmId &, const ServiceName &) { ++Asked; };
  ConfigurationSync Sync(Context, PlatformHooks(), Documents, Freshness,
                         ConfigurationSync::Options(), std::move(Hooks));
  std::uint64_t Version = 1;
  Sync.documentReceived(Service, encoded(Version));
  for (const std::string &Number : tests::OddNumbers) {
    CAPTURE(Number);
    std::string Odd = encoded(Version);
    auto Member = fmt::format(R"("version":{})", Version);
    Odd.replace(Odd.find(Member), Member.size(), "\"version\":" + Number);
    auto Active = [&] {
      return Documents.snapshot()->service(Service)->Version_.count();
    };
    Sync.documentReceived(Service, Odd);
    CHECK(Active() == Version);
    Sync.versionAnnounced(Peer, Service,
                          DocumentVersion(std::uint64_t(-1) - Version));
    CHECK_FALSE(Freshness.overdue(BootClock::now() + seconds(3)));
    Sync.documentReceived(Service, encoded(++Version));
    CHECK(Active() == Version);
  }
  CHECK(Asked == 0);
}

// What the document says is unknown: it may revoke keys.
TEST_CASE("a document that is too large makes the active one overdue, until "
          "one is held") {
  boost::asio::io_context Context;
  DocumentStore Documents;
  FreshnessLease Freshness(seconds(0), seconds(2));
  ConfigurationSync::Hooks Hooks;
  Hooks.VmsListed_ = [](const std::vector<ListedVm> &) {};
  RefusedItem Large;
  Large.Code_ = ResultCode::ValueTooLarge;
  KeyValue First{documentKey(Service), encoded(1), {StoreEra(), Revision(1)}};
  KeyValue Third{documentKey(Service), encoded(3), {StoreEra(), Revision(3)}};
  const std::vector<KeyValueList> Answers{
      {{First}, First.Position_},
      {{}, {StoreEra(), Revision(2)}, {{documentKey(Service), Large}}},
      {{Third}, Third.Position_}};
  std::vector<bool> Overdue;
  ConfigurationSync *Running = nullptr;
  PlatformHooks Platform;
  Platform.Watch_ =
      [&](const std::string &, const StorePosition &,
          std::chrono::milliseconds) -> Awaitable<Result<KeyValueList>> {
    Overdue.push_back(Freshness.overdue(BootClock::now() + seconds(3)));
    if (Overdue.size() == Answers.size())
      Running->stop();
    co_return Answers[Overdue.size() - 1];
  };
  Platform.Vms_ = []() -> Awaitable<Result<std::vector<ListedVm>>> {
    co_return std::vector<ListedVm>();
  };
  ConfigurationSync::Options Options;
  Options.ListInterval_ = std::chrono::milliseconds(1);
  ConfigurationSync Sync(Context, std::move(Platform), Documents, Freshness,
                         Options, std::move(Hooks));
  Running = &Sync;
  Sync.start();
  Context.run();
  CHECK(Overdue == std::vector<bool>{false, false, true});
  CHECK_FALSE(Freshness.overdue(BootClock::now() + seconds(3)));
  CHECK(Documents.snapshot()->service(Service)->Version_ == DocumentVersion(3));
}
