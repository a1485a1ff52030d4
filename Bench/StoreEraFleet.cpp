/// \file
/// Measures how soon a fleet receives what is written after an outage of the
/// platform's store, or after its restore from an older copy, and how many
/// calls to the store that costs. Prints a table of docs/CAPACITY.md. All
/// daemons run on one thread, in real time.
///   store_era_fleet [COUNT...]

#include "Bench/Counts.h"

#include "UnitTests/platform/StoreDaemon.h"
#include "UnitTests/platform/StoreEntries.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <vector>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t DaemonsPerReader = 12;
/// One VM in this many has a strong link.
constexpr std::size_t StrongOneIn = 20;
constexpr std::uint32_t StrongMbps = 200;
constexpr std::uint32_t WeakMbps = 10;
/// A small number, since all daemons share one thread and each applies each
/// entry.
constexpr int Servers = 30;
constexpr int FirstPort = 8000;
constexpr seconds Lease{5};
constexpr milliseconds RegisterAgain{2400};
constexpr milliseconds CallTimeout{700};
constexpr milliseconds OutageTime{1500};
constexpr milliseconds StartGap{5};
constexpr seconds Settle{8};
constexpr seconds Limit{30};
/// How long calls are counted, from the start of the outage.
constexpr seconds CountTime{10};

/// \returns the times of a daemon with its default settings.
StoreDaemon::Settings defaultSettings() {
  StoreDaemon::Settings Built;
  Built.Lease_ = Lease;
  Built.Times_ = {RegisterAgain};
  Built.CallTimeout_ = CallTimeout;
  return Built;
}

class BenchFleet {
public:
  explicit BenchFleet(std::size_t Count) {
    Store_.put("op/config", configuration(1));
    writeServers();
    for (std::size_t Number = 0; Number < Count; ++Number)
      Members_.push_back(memberOf(Number));
    for (const Member &Self : Members_) {
      add(Self);
      runFor(StartGap);
    }
    runFor(Settle);
  }
  void writeServers() {
    for (int Number = 0; Number < Servers; ++Number)
      Store_.put(fmt::format("servers/i-{}", Number),
                 serverEntry("ready", FirstPort + Number));
  }
  void runFor(steady_clock::duration Time) {
    Context_.restart();
    Context_.run_for(Time);
  }
  std::size_t calls() const {
    return Store_.calls("/-/kv-range") + Store_.calls("/-/kv-watch") +
           Store_.calls("/-/kv-txn");
  }
  std::size_t following() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Daemons_, [](const auto &Daemon) {
          return Daemon->Service_->paused();
        }));
  }
  /// \returns how many daemons in 1000 have \p Version active.
  std::size_t permilleWith(int Version) const {
    DocumentVersion Wanted(static_cast<std::uint64_t>(Version));
    auto Have = std::ranges::count_if(Daemons_, [&](const auto &Daemon) {
      return Daemon->View_.version() == Wanted;
    });
    return static_cast<std::size_t>(Have) * 1000 / Daemons_.size();
  }
  milliseconds untilPermille(std::size_t Wanted, int Version,
                             steady_clock::time_point Begin) {
    while (permilleWith(Version) < Wanted &&
           steady_clock::now() < Begin + Limit)
      runFor(milliseconds(5));
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                    Begin);
  }

  boost::asio::io_context Context_;
  FakeStore Store_{Context_};

private:
  static Member memberOf(std::size_t Number) {
    Member Self;
    Self.Id_ = VmId(fmt::format("vm-{}", Number));
    Self.LinkMbps_ = Number % StrongOneIn == 0 ? StrongMbps : WeakMbps;
    return Self;
  }
  void add(const Member &Self) {
    PeerFollower::Hooks Hooks;
    auto Forward = [this, From = Self.Id_](const VmId &To,
                                           std::string Message) {
      boost::asio::post(
          Context_, [this, From, To, Message] { deliver(From, To, Message); });
    };
    Hooks.Send_ = Forward;
    Hooks.Reply_ = Forward;
    Hooks.ChooseReaders_ =
        [Chosen = chooseReaders(Self, Members_, DaemonsPerReader)] {
          return Chosen;
        };
    Index_[Self.Id_] = Daemons_.size();
    Daemons_.push_back(
        std::make_unique<StoreDaemon>(Context_, Store_, defaultSettings()));
    Daemons_.back()->start(Self.Id_, std::move(Hooks));
  }
  void deliver(const VmId &From, const VmId &To, const std::string &Message) {
    auto Decoded = decodeMessage(Message).value();
    auto Found = Index_.find(To);
    if (Found == Index_.end())
      return;
    PeerFollower &Peers = *Daemons_[Found->second]->Peers_;
    if (const auto *Follow = Decoded.body.AsFollow())
      Peers.onFollow(From, *Follow);
    else if (const auto *Text = Decoded.body.AsTextAsk())
      Peers.onTextRequest(From, *Text);
    else if (const auto *Part = Decoded.body.AsTextPart())
      Peers.onTextChunk(From, *Part);
    else if (const auto *State = Decoded.body.AsState())
      Peers.onState(From, *State);
  }

  std::vector<Member> Members_;
  std::vector<std::unique_ptr<StoreDaemon>> Daemons_;
  std::map<VmId, std::size_t> Index_;
};

void measure(std::size_t Count, bool FromOlderCopy) {
  BenchFleet Fleet(Count);
  Fleet.Store_.takeBackup();
  Fleet.Store_.put("op/config", configuration(2));
  Fleet.runFor(seconds(3));
  std::size_t Following = Fleet.following();
  auto Begin = steady_clock::now();
  std::size_t Before = Fleet.calls();
  Fleet.Store_.FailWith_ = 503;
  Fleet.runFor(OutageTime);
  Fleet.Store_.FailWith_ = 0;
  if (FromOlderCopy)
    Fleet.Store_.restoreBackup();
  Fleet.writeServers();
  Fleet.Store_.put("op/config", configuration(3));
  auto RestoredAt = steady_clock::now();
  auto Until99Percent = Fleet.untilPermille(990, 3, RestoredAt);
  auto UntilAll = Fleet.untilPermille(1000, 3, RestoredAt);
  auto Remaining = Begin + CountTime - steady_clock::now();
  Fleet.runFor(std::max(steady_clock::duration(0), Remaining));
  fmt::print("| {} | {} | {} | {} | {} | {} |\n", Count, Following,
             FromOlderCopy ? "older copy" : "outage", Until99Percent.count(),
             UntilAll.count(), Fleet.calls() - Before);
  std::fflush(stdout);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  spdlog::set_level(spdlog::level::off);
  fmt::print(
      "| daemons | of these following | failure | 99 in 100, ms | all, ms "
      "| calls in 10 s |\n"
      "|---|---|---|---|---|---|\n");
  for (std::size_t Count : countsFrom(ArgumentCount, Arguments, {30, 100, 300}))
    for (bool FromOlderCopy : {false, true})
      measure(Count, FromOlderCopy);
}
