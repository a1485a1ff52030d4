/// \file
/// Tests allotments in a pool with many cells, of which each keeper schedules
/// few.

#include "Process/Keeping/KeeperChoice.h"
#include "Process/Keeping/KeeperService.h"

#include "UnitTests/Process/Keeping/EnginePool.h"
#include "UnitTests/Process/MemberFleet.h"

#include <doctest/doctest.h>

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
/// Enough requests, with the pause between them, for a token bucket to fill.
constexpr int MaxRequests = 100;
constexpr std::chrono::milliseconds Pause{20};

void adopt(DocumentStore &Documents) {
  Document Built;
  Built.Service_ = Service;
  Built.Tiers_ = {"0"};
  Built.Pools_.push_back(tests::enginePool(ThePool, Servers, 1));
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

/// One daemon of the fleet, with the cells that it schedules.
class KeeperDaemon {
public:
  KeeperDaemon(boost::asio::io_context &Control, DocumentStore &Documents,
               KeeperChoice &Choice, VmId Self)
      : Keeper_(Control, Documents, options(), hooks(Choice, std::move(Self))) {
    Keeper_.refresh();
  }

  bool granted() const { return Granted_; }
  std::vector<CellId> cells() const { return Keeper_.cells(); }
  void sendRequest(std::uint64_t Number) {
    GrantRequest Request;
    Request.Id_ = {1, Number};
    Request.Customer_ = Calm;
    Request.Prompt_ = Tokens(PromptTokens);
    Request.Answer_ = Tokens(AnswerTokens);
    Request.Deadline_ = steady_clock::now() + std::chrono::hours(1);
    Request.Ingress_ = VmId("entry");
    Keeper_.requestGrant(cells().front(), std::move(Request));
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
    Hooks.Decided_ = [this](const CellId &, const Decision &Made) {
      Granted_ |= std::holds_alternative<GrantDecision>(Made);
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

// In a large fleet, each keeper's share of an allotment may be smaller than one
// request; callers within their allotment would then be refused forever.
TEST_CASE("a request within its customer's allotment is granted by the keeper "
          "of any of many cells") {
  boost::asio::io_context Control;
  DocumentStore Documents;
  adopt(Documents);
  std::vector<Member> Members = fleetWithStrongLinks();
  KeeperChoice Choice([&] { return Members; });
  std::vector<std::unique_ptr<KeeperDaemon>> Keepers;
  std::size_t Cells = 0;
  for (const Member &Candidate : Members) {
    auto Keeper = std::make_unique<KeeperDaemon>(Control, Documents, Choice,
                                                 Candidate.Id_);
    Cells += Keeper->cells().size();
    if (!Keeper->cells().empty())
      Keepers.push_back(std::move(Keeper));
  }
  CHECK(Cells == cellCount(tests::enginePool(ThePool, Servers, 1)));
  for (std::uint64_t Number = 1; Number <= MaxRequests; ++Number) {
    for (auto &Keeper : Keepers)
      if (!Keeper->granted())
        Keeper->sendRequest(Number);
    Control.restart();
    Control.run_for(Pause);
  }
  CHECK(std::ranges::all_of(Keepers, &KeeperDaemon::granted));
}
