/// \file
/// Allotments where a pool has many cells, and each keeper few of them.

#include "Process/Keeping/KeeperChoice.h"
#include "Process/Keeping/KeeperService.h"

#include "UnitTests/Process/MemberFleet.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::steady_clock;

namespace {

const ServiceName Service("s");
const PoolName ThePool("p");
const CustomerName Calm("calm");
constexpr int Vms = 300;
constexpr int StrongLinks = 18;
constexpr std::uint32_t StrongMbps = 200;
constexpr std::uint32_t WeakMbps = 10;
constexpr int Servers = 3000;
constexpr std::int64_t TokensPerSecond = 18000;
constexpr std::int64_t PromptTokens = 2890;
constexpr std::int64_t AnswerTokens = 600;
/// Long enough for a bucket to fill, with the pause between asks.
constexpr int MostAsks = 100;
constexpr std::chrono::milliseconds Pause{20};

Pool poolOfAll() {
  Pool Target;
  Target.Name_ = ThePool;
  for (int Number = 0; Number < Servers; ++Number) {
    BackendServer Engine;
    Engine.Name_ = ServerName(fmt::format("engine-{}", Number));
    Engine.MaxInFlight_ = 1;
    Target.Servers_.push_back(std::move(Engine));
  }
  return Target;
}

void adopt(DocumentStore &Documents) {
  Document Built;
  Built.Service_ = Service;
  Built.Tiers_ = {"0"};
  Built.Pools_.push_back(poolOfAll());
  Customer Limited;
  Limited.Name_ = Calm;
  Limited.Allotment_ = {static_cast<double>(TokensPerSecond),
                        static_cast<double>(TokensPerSecond), true, Tokens(0)};
  Built.Customers_.push_back(std::move(Limited));
  Built.buildIndex();
  Documents.adopt(Service, DocumentVersion(1),
                  std::make_shared<const Document>(std::move(Built)));
}

std::vector<Member> fleetWithStrongLinks() {
  std::vector<Member> Members = fleet(Vms);
  for (int Index = 0; Index < Vms; ++Index)
    Members[Index].LinkMbps_ =
        Index % (Vms / StrongLinks) == 0 ? StrongMbps : WeakMbps;
  return Members;
}

/// One daemon of the fleet, with the cells that it keeps.
class KeepingVm {
public:
  KeepingVm(boost::asio::io_context &Control, DocumentStore &Documents,
            KeeperChoice &Choice, VmId Self)
      : Keeper_(Control, Documents, options(), hooks(Choice, std::move(Self))) {
    Keeper_.refresh();
  }

  bool granted() const { return Granted_; }
  std::vector<CellId> cells() const { return Keeper_.cells(); }
  void ask(std::uint64_t Number) {
    AskedRequest Asked;
    Asked.Id_ = {1, Number};
    Asked.Customer_ = Calm;
    Asked.Prompt_ = Tokens(PromptTokens);
    Asked.Answer_ = Tokens(AnswerTokens);
    Asked.Deadline_ = steady_clock::now() + std::chrono::hours(1);
    Asked.Entry_ = VmId("entry");
    Keeper_.ask(cells().front(), std::move(Asked));
  }

private:
  static KeeperService::Options options() {
    KeeperService::Options Options;
    Options.Allotments_.Overrun_ = 0.1;
    Options.Allotments_.Credit_ = 4.0 * TokensPerSecond;
    return Options;
  }

  KeeperService::Hooks hooks(KeeperChoice &Choice, VmId Self) {
    KeeperService::Hooks Hooks;
    Hooks.Decided_ = [this](const CellId &, const Decision &Taken) {
      Granted_ |= std::holds_alternative<GrantDecision>(Taken);
    };
    Hooks.Orphaned_ = [](const OrphanedRequest &) {};
    Hooks.AloneInFleet_ = [] { return false; };
    Hooks.IsKeeper_ = [&Choice, Self = std::move(Self)](const CellId &Cell) {
      return Choice.keeperOf(Cell, {}) == Self;
    };
    Hooks.LiveShare_ = [] { return 1.0; };
    Hooks.FloorRaised_ = [] {};
    return Hooks;
  }

  bool Granted_ = false;
  KeeperService Keeper_;
};

} // namespace

// In large fleets callers within their allotment are refused for ever.
TEST_CASE("a request within the allotment of a calm customer is granted, "
          "whichever of many cells it asks") {
  boost::asio::io_context Control;
  DocumentStore Documents;
  adopt(Documents);
  std::vector<Member> Members = fleetWithStrongLinks();
  KeeperChoice Choice([&] { return Members; });
  std::vector<std::unique_ptr<KeepingVm>> Keepers;
  std::size_t Cells = 0;
  for (const Member &One : Members) {
    auto Keeper =
        std::make_unique<KeepingVm>(Control, Documents, Choice, One.Id_);
    Cells += Keeper->cells().size();
    if (!Keeper->cells().empty())
      Keepers.push_back(std::move(Keeper));
  }
  CHECK(Cells == cellCount(poolOfAll()));
  for (std::uint64_t Number = 1; Number <= MostAsks; ++Number) {
    for (auto &Keeper : Keepers)
      if (!Keeper->granted())
        Keeper->ask(Number);
    Control.restart();
    Control.run_for(Pause);
  }
  CHECK(std::ranges::all_of(Keepers, &KeepingVm::granted));
}
