/// \file
/// Allotments where a pool has many cells, and each keeper few of them.

#include "Process/Keeping/KeeperService.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt;
using std::chrono::steady_clock;

namespace {

const ServiceName Service("s");
const PoolName ThePool("p");
const CustomerName Calm("calm");
/// As many as one keeper has in a fleet of 300 VMs with 18 strong links.
constexpr std::uint32_t KeptCells = 4;
constexpr int Servers = 3000;
constexpr std::int64_t TokensPerSecond = 18000;
constexpr std::int64_t PromptTokens = 2890;
constexpr std::int64_t AnswerTokens = 600;
/// Long enough for a bucket to fill.
constexpr std::chrono::seconds Patience{2};

void adopt(DocumentStore &Documents) {
  Document Built;
  Built.Service_ = Service;
  Built.Tiers_ = {"0"};
  Pool Target;
  Target.Name_ = ThePool;
  for (int Number = 0; Number < Servers; ++Number) {
    BackendServer Engine;
    Engine.Name_ = ServerName(fmt::format("engine-{}", Number));
    Engine.MaxInFlight_ = 1;
    Target.Servers_.push_back(std::move(Engine));
  }
  Built.Pools_.push_back(std::move(Target));
  Customer Limited;
  Limited.Name_ = Calm;
  Limited.Allotment_ = {static_cast<double>(TokensPerSecond),
                        static_cast<double>(TokensPerSecond), true, Tokens(0)};
  Built.Customers_.push_back(std::move(Limited));
  Built.buildIndex();
  Documents.adopt(Service, DocumentVersion(1),
                  std::make_shared<const Document>(std::move(Built)));
}

} // namespace

// In large fleets callers within their allotment are refused for ever.
TEST_CASE("a request within the allotment of a calm customer is granted, "
          "however many cells there are") {
  boost::asio::io_context Control;
  DocumentStore Documents;
  adopt(Documents);
  bool Granted = false;
  KeeperService::Hooks Hooks;
  Hooks.Decided_ = [&](const CellId &, const Decision &Taken) {
    Granted |= std::holds_alternative<GrantDecision>(Taken);
  };
  Hooks.Orphaned_ = [](const OrphanedRequest &) {};
  Hooks.AloneInFleet_ = [] { return true; };
  Hooks.IsKeeper_ = [](const CellId &Cell) { return Cell.Index_ < KeptCells; };
  Hooks.LiveShare_ = [] { return 1.0; };
  Hooks.FloorRaised_ = [] {};
  KeeperService::Options Options;
  Options.Allotments_.Overrun_ = 0.1;
  Options.Allotments_.Credit_ = 4.0 * TokensPerSecond;
  KeeperService Keeper(Control, Documents, Options, std::move(Hooks));
  Keeper.refresh();
  auto End = steady_clock::now() + Patience;
  for (std::uint64_t Number = 1; !Granted && steady_clock::now() < End;
       ++Number) {
    AskedRequest Asked;
    Asked.Id_ = {1, Number};
    Asked.Customer_ = Calm;
    Asked.Prompt_ = Tokens(PromptTokens);
    Asked.Answer_ = Tokens(AnswerTokens);
    Asked.Deadline_ = steady_clock::now() + std::chrono::hours(1);
    Asked.Entry_ = VmId("entry");
    Keeper.ask({Service, ThePool, 0}, std::move(Asked));
    Control.restart();
    Control.run_for(std::chrono::milliseconds(20));
  }
  CHECK(Granted);
}
