#include "Version/DocumentStore.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <atomic>
#include <thread>

using namespace samphireshunt;

namespace {

VersionedDocument versioned(std::uint64_t Version) {
  VersionedDocument Built;
  Built.Version_ = DocumentVersion(Version);
  Built.CanonicalJson_ = fmt::format(
      R"({{"format":1,"service":"s","tiers":["t{}"],"customers":[{{"name":"c",)"
      R"("keyDigests":["sha256:{}"],"defaultTier":"t{}"}}],"pools":[{{"name":)"
      R"("p","kind":"application","servers":[]}}],"routes":[{{"path":"/",)"
      R"("pool":"p"}}]}})",
      Version, std::string(64, 'a'), Version);
  return Built;
}

const ServiceName Service("s");

} // namespace

TEST_CASE("whatever order versions come in, the highest stays in force") {
  bool Holds = rc::check([](const std::vector<std::uint8_t> &Numbers) {
    DocumentStore Store;
    std::uint64_t Highest = 0;
    for (std::uint8_t Number : Numbers) {
      std::uint64_t Version = Number + 1U; // Versions start at 1.
      bool News = Version > Highest;
      RC_ASSERT(Store.adopt(Service, versioned(Version)) == News);
      Highest = std::max<std::uint64_t>(Highest, Version);
      if (Highest > 0)
        RC_ASSERT(Store.snapshot()->service(Service)->Version_.count() ==
                  Highest);
    }
  });
  CHECK(Holds);
}

TEST_CASE("a snapshot does not change under a request that holds it") {
  DocumentStore Store;
  Store.adopt(Service, versioned(1));
  auto Held = Store.snapshot();
  Store.adopt(Service, versioned(2));
  CHECK(Held->service(Service)->Version_.count() == 1);
  CHECK(Held->service(Service)->Document_->Tiers_.front() == "t1");
  CHECK(Store.snapshot()->service(Service)->Version_.count() == 2);
}

namespace {

const PoolName ThePool("p");

ServersByPool oneServer(const std::string &Name) {
  BackendServer Server;
  Server.Name_ = ServerName(Name);
  return {{ThePool, {Server}}};
}

std::shared_ptr<const Document> withDirectoryPool() {
  auto Built = std::make_shared<Document>();
  Built->Service_ = Service;
  Pool Target;
  Target.Name_ = ThePool;
  Target.FromDirectory_ = true;
  Built->Pools_.push_back(Target);
  Built->Routes_.push_back(std::make_shared<const Route>());
  Built->buildIndex();
  return Built;
}

} // namespace

TEST_CASE("a change of servers copies nothing that the operator wrote") {
  // While engines are replaced the directory changes twice a second. Each time
  // all routes were copied, and those of earlier snapshots freed when their
  // last request ended: with 14,000 routes 14,483 allocations of 4 MB in all,
  // on the thread that serves requests.
  DocumentStore Store;
  auto Written = withDirectoryPool();
  Store.setServers(Service, oneServer("first"));
  REQUIRE(Store.adopt(Service, DocumentVersion(1), Written));
  auto Held = Store.snapshot();
  Store.setServers(Service, oneServer("second"));
  auto Newest = Store.snapshot();
  CHECK(Held->service(Service)->Document_ == Written);
  CHECK(Newest->service(Service)->Document_ == Written);
  CHECK(Held->activeServer(Service, ThePool, ServerName("first")));
  CHECK_FALSE(Held->activeServer(Service, ThePool, ServerName("second")));
  CHECK_FALSE(Newest->activeServer(Service, ThePool, ServerName("first")));
  CHECK(Newest->activeServer(Service, ThePool, ServerName("second")));
}

TEST_CASE("a version that is adopted has the servers that are known already") {
  DocumentStore Store;
  Store.setServers(Service, oneServer("first"));
  REQUIRE(Store.adopt(Service, DocumentVersion(1), withDirectoryPool()));
  REQUIRE(Store.adopt(Service, DocumentVersion(2), withDirectoryPool()));
  CHECK(Store.snapshot()->activeServer(Service, ThePool, ServerName("first")));
  Store.setServers(Service, {});
  CHECK(Store.snapshot()->service(Service)->pool(ThePool)->Servers_.empty());
}

TEST_CASE("readers on many threads see whole snapshots, in rising order") {
  DocumentStore Store;
  Store.adopt(Service, versioned(1));
  std::atomic<bool> Stop = false;
  std::atomic<int> Faults = 0;
  auto Read = [&] {
    std::uint64_t Last = 0;
    while (!Stop) {
      auto Snapshot = Store.snapshot();
      const ServiceConfiguration *InForce = Snapshot->service(Service);
      std::uint64_t Version = InForce->Version_.count();
      bool Whole =
          InForce->Document_->Tiers_.front() == fmt::format("t{}", Version);
      Faults += !Whole || Version < Last;
      Last = Version;
    }
  };
  std::vector<std::thread> Readers;
  for (int Index = 0; Index < 4; ++Index)
    Readers.emplace_back(Read);
  for (std::uint64_t Version = 2; Version <= 200; ++Version)
    Store.adopt(Service, versioned(Version));
  Stop = true;
  for (std::thread &Reader : Readers)
    Reader.join();
  CHECK(Faults == 0);
}
