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
