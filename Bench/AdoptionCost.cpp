/// \file
/// Measures what a configuration costs the thread that applies it, by the
/// number of routes: processor time in microseconds and allocated bytes for
/// each step.

#include "Common/Hash.h"
#include "Process/Configuration/ChangeLog.h"
#include "Process/Configuration/DirectoryView.h"
#include "Process/Keeping/KeeperService.h"
#include "platform/Configuration.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <new>
#include <utility>

namespace {

std::size_t AllocatedBytes = 0;
std::size_t Allocations = 0;

} // namespace

void *operator new(std::size_t Size) {
  AllocatedBytes += Size;
  ++Allocations;
  if (void *Space = std::malloc(Size))
    return Space;
  throw std::bad_alloc();
}

void operator delete(void *Space) noexcept { std::free(Space); }
void operator delete(void *Space, std::size_t) noexcept { std::free(Space); }

using namespace samphireshunt;

namespace {

constexpr int CustomerCount = 16;
constexpr int KeysPerCustomer = 2;
/// Numbers of engines and application servers of a medium-sized deployment.
constexpr int EngineCount = 112;
constexpr int ApplicationCount = 6;
constexpr const char *Host = "front.example";

std::string routesText(std::int64_t Count) {
  std::string Text;
  for (std::int64_t Index = 0; Index < Count; ++Index)
    Text += fmt::format(
        R"({}{{"name":"route-{:05}","hostname":"{}","prefix":"/idle/{:05}/",)"
        R"("kind":"streaming","timeout-ms":12000,"goal-ms":600,"priority":{},)"
        R"("attempts":1,"anonymous":false,"sticky":false,"resumable":false,)"
        R"("gap-target-ms":300,"service":"engines"}})",
        Index > 0 ? "," : "", Index, Host, Index, Index % 3);
  return Text;
}

std::string customersText() {
  std::string Text;
  for (int Index = 0; Index < CustomerCount; ++Index) {
    std::string Keys;
    for (int Key = 0; Key < KeysPerCustomer; ++Key)
      Keys += fmt::format(R"({}"key-{}-{}")", Key > 0 ? "," : "", Index, Key);
    Text += fmt::format(R"({}{{"name":"customer-{}","api-keys":[{}],)"
                        R"("unit":"tokens","plain-tokens":200,)"
                        R"("rate-per-s":36000,"burst":1000}})",
                        Index > 0 ? "," : "", Index, Keys);
  }
  return Text;
}

/// \returns a configuration in the format that the platform stores.
std::string configurationText(std::int64_t Routes) {
  return fmt::format(
      R"({{"version":7,"routes":[{}],"services":[{{"name":"engines",)"
      R"("max-conns":570,"backend":{{"batch-size":7,"kv-capacity":497040}}}},)"
      R"({{"name":"plain","max-conns":520}}],"limits":{{"max-header-bytes":)"
      R"(16384,"max-body-bytes":4194304}},"tenants":[{}]}})",
      routesText(Routes), customersText());
}

BackendServer server(int Index) {
  BackendServer Built;
  Built.Name_ = ServerName(fmt::format("instance-of-a-zone-{:04}", Index));
  Built.Address_ = {boost::asio::ip::make_address("10.1.2.3"),
                    static_cast<std::uint16_t>(1000 + Index)};
  Built.DataCenter_ = DataCenterName("data-center");
  return Built;
}

ServersByPool servers(int Engines = EngineCount) {
  ServersByPool All;
  for (int Index = 0; Index < Engines; ++Index)
    All[PoolName("engines")].push_back(server(Index));
  for (int Index = 0; Index < ApplicationCount; ++Index)
    All[PoolName("plain")].push_back(server(Engines + Index));
  return All;
}

ReadConfiguration read(const std::string &Text) {
  auto Read = platform::readConfiguration(Text);
  if (!Read)
    throw std::runtime_error(Read.error().Detail_);
  return *Read;
}

/// Counts the allocations during the loop of one benchmark, and reports their
/// average for each iteration.
class AllocationCount {
public:
  explicit AllocationCount(benchmark::State &State) : State_(State) {}
  ~AllocationCount() {
    auto Rate = benchmark::Counter::kAvgIterations;
    auto Bytes = static_cast<double>(AllocatedBytes - BytesBefore_);
    auto Times = static_cast<double>(Allocations - TimesBefore_);
    State_.counters["bytes"] = benchmark::Counter(Bytes, Rate);
    State_.counters["allocations"] = benchmark::Counter(Times, Rate);
  }

private:
  benchmark::State &State_;
  std::size_t BytesBefore_ = AllocatedBytes;
  std::size_t TimesBefore_ = Allocations;
};

void parseTree(benchmark::State &State) {
  std::string Text = configurationText(State.range(0));
  AllocationCount Count(State);
  for (auto Step : State)
    benchmark::DoNotOptimize(nlohmann::json::parse(Text));
}

void readWhole(benchmark::State &State) {
  std::string Text = configurationText(State.range(0));
  AllocationCount Count(State);
  for (auto Step : State)
    benchmark::DoNotOptimize(read(Text));
}

/// Reads a version that differs from the previous one in one route.
void readChanged(benchmark::State &State) {
  std::string Texts[] = {configurationText(State.range(0)),
                         configurationText(State.range(0) - 1)};
  platform::ConfigurationReader Reader;
  std::size_t Number = 0;
  benchmark::DoNotOptimize(Reader.read(Texts[1]));
  AllocationCount Count(State);
  for (auto Step : State)
    benchmark::DoNotOptimize(Reader.read(Texts[Number++ % 2]));
}

/// Reads a version that adds routes to the previous one.
void readGrown(benchmark::State &State) {
  constexpr std::int64_t Added = 1400;
  std::string Before = configurationText(State.range(0) - Added);
  std::string After = configurationText(State.range(0));
  AllocationCount Count(State);
  for (auto Step : State) {
    State.PauseTiming();
    platform::ConfigurationReader Reader;
    benchmark::DoNotOptimize(Reader.read(Before));
    State.ResumeTiming();
    benchmark::DoNotOptimize(Reader.read(After));
  }
}

void digestKeys(benchmark::State &State) {
  AllocationCount Count(State);
  for (auto Step : State)
    for (int Key = 0; Key < CustomerCount * KeysPerCustomer; ++Key)
      benchmark::DoNotOptimize(sha256Hex("key-of-a-customer"));
}

void adopt(benchmark::State &State) {
  ReadConfiguration Read = read(configurationText(State.range(0)));
  DocumentStore Store;
  const ServiceName &Service = Read.Document_->Service_;
  Store.setServers(Service, servers());
  std::uint64_t Version = 0;
  AllocationCount Count(State);
  for (auto Step : State)
    Store.adopt(Service, DocumentVersion(++Version), Read.Document_);
}

void changeServer(benchmark::State &State) {
  ReadConfiguration Read = read(configurationText(State.range(0)));
  DocumentStore Store;
  const ServiceName &Service = Read.Document_->Service_;
  Store.adopt(Service, Read.Version_, Read.Document_);
  ServersByPool All = servers();
  AllocationCount Count(State);
  for (auto Step : State)
    Store.setServers(Service, All);
}

/// Updates the cells of a keeper that schedules all of them, by the number of
/// daemons and of engines. This is the last step of adopting a configuration
/// and of changing servers.
void refreshKeeper(benchmark::State &State) {
  constexpr std::int64_t Routes = 100;
  ReadConfiguration Read = read(configurationText(Routes));
  DocumentStore Store;
  const ServiceName &Service = Read.Document_->Service_;
  Store.setServers(Service, servers(static_cast<int>(State.range(1))));
  Store.adopt(Service, Read.Version_, Read.Document_);
  Member Self;
  Self.Id_ = VmId("vm-0");
  MemberTable Members(Self, MemberTable::Options());
  for (int Index = 1; Index < State.range(0); ++Index) {
    Member Other;
    Other.Id_ = VmId(fmt::format("vm-{}", Index));
    Members.merge(Other, TimePoint());
  }
  KeeperService::Hooks Hooks;
  Hooks.Decided_ = [](const CellId &, const Decision &) {};
  Hooks.AloneInFleet_ = [] { return false; };
  Hooks.FloorRaised_ = [] {};
  Hooks.LiveShare_ = [&] { return Members.liveShare(); };
  Hooks.IsKeeper_ = [&](const CellId &Cell) {
    std::vector<Member> Candidates = Members.keepers();
    const Member *Keeper = keeperOf(keeperCell(Cell), Candidates);
    return Keeper != nullptr;
  };
  boost::asio::io_context Control;
  KeeperService Keeper(Control, Store, KeeperService::Options(),
                       std::move(Hooks));
  Keeper.refresh();
  AllocationCount Count(State);
  for (auto Step : State)
    Keeper.refresh();
}

/// Finds the route of a request.
void findRoute(benchmark::State &State) {
  ReadConfiguration Read = read(configurationText(State.range(0)));
  std::string Path = fmt::format("/idle/{:05}/x", State.range(0) / 2);
  AllocationCount Count(State);
  for (auto Step : State)
    benchmark::DoNotOptimize(Read.Document_->route(Path, Host));
}

/// Stores a configuration in the change log from which followers are served.
void noteForFollowers(benchmark::State &State) {
  KeyValue Entry;
  Entry.Key_ = "configuration";
  Entry.Value_ = configurationText(State.range(0));
  ChangeLog Log;
  std::uint64_t Revisions = 0;
  AllocationCount Count(State);
  for (auto Step : State) {
    Entry.Position_.Revision_ = Revision(++Revisions);
    Log.set(Entry);
  }
}

/// Collects the changes for one follower, without encoding them.
void tellFollower(benchmark::State &State) {
  KeyValue Entry;
  Entry.Key_ = "configuration";
  Entry.Value_ = configurationText(State.range(0));
  ChangeLog Log;
  Log.set(Entry);
  AllocationCount Count(State);
  for (auto Step : State)
    benchmark::DoNotOptimize(Log.since(0));
}

void byRoutes(benchmark::internal::Benchmark *Target) {
  for (std::int64_t Routes : {100, 1400, 4200, 14000})
    Target->Arg(Routes);
  Target->Unit(benchmark::kMicrosecond);
}

BENCHMARK(parseTree)->Apply(byRoutes);
BENCHMARK(readWhole)->Apply(byRoutes);
BENCHMARK(readChanged)->Apply(byRoutes);
BENCHMARK(readGrown)->Arg(1400)->Arg(4200)->Arg(14000)->Unit(
    benchmark::kMicrosecond);
BENCHMARK(digestKeys)->Unit(benchmark::kMicrosecond);
BENCHMARK(adopt)->Apply(byRoutes);
BENCHMARK(changeServer)->Apply(byRoutes);
BENCHMARK(refreshKeeper)
    ->Args({76, EngineCount})
    ->Args({400, 1500})
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(findRoute)->Apply(byRoutes);
BENCHMARK(noteForFollowers)->Apply(byRoutes);
BENCHMARK(tellFollower)->Apply(byRoutes);

} // namespace

int main(int Count, char **Arguments) {
  spdlog::set_level(spdlog::level::off);
  benchmark::Initialize(&Count, Arguments);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
