/// \file
/// Replays the load of BackupChoice.h: a part of the engines crashes within
/// seconds, or one engine crashes in series.

#include "Process/Scheduling/BackupChoice.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <ranges>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint Start{seconds(1000)};
constexpr std::size_t Engines = 47;
constexpr double LinkMbps = 1000;
/// A tenth of the link in a second.
constexpr std::int64_t LinkBudget = 12'500'000;

EngineNeighborhood engine(std::size_t Index) {
  return {ServerName(fmt::format("engine-{}", Index)),
          DataCenterName(fmt::format("dc-{}", Index % 3)),
          SoftwareVersion("v1")};
}

std::vector<BackupTarget> targets(std::size_t First = 0,
                                  std::size_t Last = Engines) {
  std::vector<BackupTarget> Built;
  for (std::size_t Index = First; Index < Last; ++Index)
    Built.push_back({engine(Index), 0});
  return Built;
}

BackupNeed run(std::size_t Index, std::int64_t Bytes = 1000) {
  return {engine(Index), seconds(10), Bytes};
}

} // namespace

TEST_CASE("no run is backed up while no engine has crashed") {
  // Guards against links that backups fill on a calm day.
  BackupChoice Choice;
  for (std::size_t Index = 0; Index < Engines; ++Index)
    CHECK(Choice.choose(run(Index), targets(), LinkMbps, Start).empty());
}

TEST_CASE("a quarter of the engines crashes within two seconds") {
  // Guards against runs that are lost with engines that crash after others.
  BackupChoice Choice;
  constexpr std::size_t Crashing = Engines / 4;
  for (std::size_t Index = 0; Index < Crashing; ++Index)
    Choice.crashed(engine(Index), Start + milliseconds(180 * Index));
  TimePoint Now = Start + seconds(2);
  for (std::size_t Index = Crashing; Index < Engines; ++Index) {
    auto Target = Choice.choose(run(Index), targets(), LinkMbps, Now);
    REQUIRE_FALSE(Target.empty());
    CHECK(Target != engine(Index).Name_);
    for (std::size_t Crashed = 0; Crashed < Crashing; ++Crashed)
      CHECK(Target != engine(Crashed).Name_);
  }
}

TEST_CASE("only the engine that crashes in series is backed up") {
  // Guards against backups of all runs because of one bad engine.
  BackupChoice::Options Strict;
  Strict.MinLoss_ = 0.2;
  BackupChoice Choice(Strict);
  for (int Number = 0; Number < 3; ++Number)
    Choice.crashed(engine(0), Start + milliseconds(500 * Number));
  TimePoint Now = Start + seconds(2);
  CHECK_FALSE(Choice.choose(run(0), targets(), LinkMbps, Now).empty());
  CHECK(Choice.choose(run(1), targets(), LinkMbps, Now).empty());
}

TEST_CASE("crashes are forgotten") {
  // Guards against backups that go on after the crashes have ended.
  BackupChoice Choice;
  Choice.crashed(engine(0), Start);
  CHECK(Choice.anyDanger(Start + seconds(10)));
  CHECK_FALSE(Choice.anyDanger(Start + seconds(60)));
  CHECK(
      Choice.choose(run(0), targets(), LinkMbps, Start + seconds(60)).empty());
}

TEST_CASE("the target is near, of the same version and in less danger") {
  // Guards against copies that nothing can go on with.
  BackupChoice Choice;
  Choice.crashed(engine(3), Start);
  auto Near = Choice.choose(run(3), targets(), LinkMbps, Start);
  CHECK(Near == engine(0).Name_);
  auto OnlyFar = Choice.choose(run(3), targets(4, 6), LinkMbps, Start);
  CHECK_FALSE(OnlyFar.empty());
  BackupTarget Newer{engine(6), 0};
  Newer.Engine_.Version_ = SoftwareVersion("v2");
  CHECK(Choice.choose(run(3), {Newer}, LinkMbps, Start).empty());
  CHECK(Choice.choose(run(0), targets(3, 4), LinkMbps, Start).empty());
}

TEST_CASE("backups use a tenth of the link to an engine") {
  // Guards against backups that delay the memory of moved runs.
  BackupChoice Choice;
  Choice.crashed(engine(3), Start);
  auto Only = targets(0, 1);
  auto Half = run(3, LinkBudget / 2);
  CHECK_FALSE(Choice.choose(Half, Only, LinkMbps, Start).empty());
  CHECK_FALSE(Choice.choose(Half, Only, LinkMbps, Start).empty());
  CHECK(Choice.choose(Half, Only, LinkMbps, Start).empty());
  CHECK_FALSE(Choice.choose(Half, Only, LinkMbps, Start + seconds(3)).empty());
}
