/// \file
/// Tests how daemons of a large fleet learn which requests crash servers, in
/// virtual time.

#include "UnitTests/Process/Membership/SimulatedFleet.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t FleetSize = 300;
/// Within this time each daemon that others reach must know.
constexpr milliseconds ContactTime{3000};

RequestFingerprint request(std::uint64_t Number) { return {1, Number}; }

constexpr std::size_t CrashesToRefuse = 3;
/// The same for a request that has completed before.
constexpr std::size_t CrashesToRefuseCompleted = 6;

/// Servers crash under the request one after the other, each seen by another
/// daemon.
void crashServers(SimulatedFleet &Fleet, const RequestFingerprint &Request,
                  std::size_t Count, std::size_t Round = 0) {
  for (std::size_t Index = 0; Index < Count; ++Index) {
    ServedSample Sample;
    Sample.Crashed_ = true;
    Sample.Fingerprint_ = Request;
    Sample.Duration_ = milliseconds(100);
    Fleet.crashes(Index).requestEnded(
        ServerName(fmt::format("server-{}-{}-{}", Request.Low_, Round, Index)),
        Sample);
    Fleet.runFor(milliseconds(500));
  }
}

/// A daemon sees a crash, and tells those that collect the crashes of the
/// parts.
void reportCrash(SimulatedFleet &Fleet, std::size_t Index,
                 const ServerName &Server, const ServedSample &Sample) {
  Fleet.crashes(Index).requestEnded(Server, Sample);
  std::vector<VmId> Names;
  for (std::size_t Other = 0; Other < Fleet.size(); ++Other)
    Names.push_back(SimulatedFleet::nameOf(Other));
  for (const auto &Record : Fleet.crashes(Index).partRecords(Server, Sample)) {
    VmId To = crashCollector(*Record.request, Names);
    auto At = std::ranges::find(Names, To) - Names.begin();
    Fleet.crashes(static_cast<std::size_t>(At)).recordReceived(Record);
  }
}

} // namespace

TEST_CASE("a request that crashed three servers is refused by all daemons in "
          "time") {
  // Guards against a verdict that stays with the daemons that saw the crashes.
  SimulatedFleet::Options Options;
  Options.LossPercent_ = 3;
  SimulatedFleet Fleet(FleetSize, Options);
  Fleet.runFor(seconds(2));
  crashServers(Fleet, request(1), CrashesToRefuse);
  auto Time = Fleet.runUntil(
      [&] { return Fleet.refusing(request(1)) == FleetSize; }, seconds(30));
  MESSAGE("refused by all " << Time.count() + 500
                            << " ms after the last crash");
  CHECK(Time + milliseconds(500) <= ContactTime);
}

TEST_CASE(
    "a part that crashes servers is refused by all daemons in time, among "
    "the parts of all that ran there") {
  // Guards against news of the one part that matters that wait behind those of
  // parts which only were there too.
  constexpr std::uint64_t OtherParts = 12;
  constexpr std::size_t Crashes = 5;
  for (std::size_t Size : {std::size_t{8}, FleetSize}) {
    SimulatedFleet Fleet(Size, {});
    Fleet.runFor(seconds(5));
    std::uint64_t Before = Fleet.bytesSent();
    for (std::size_t Index = 0; Index < Crashes; ++Index) {
      ServedSample Sample;
      Sample.Crashed_ = true;
      Sample.Duration_ = milliseconds(100);
      for (std::uint64_t Other = 0; Other < OtherParts; ++Other)
        Sample.Parts_.push_back(100 + Index * OtherParts + Other);
      Sample.Parts_.push_back(1);
      reportCrash(Fleet, Index, ServerName(fmt::format("server-{}", Index)),
                  Sample);
      Fleet.runFor(milliseconds(300));
    }
    auto Time = Fleet.runUntil(
        [&] { return Fleet.refusing(partKey(1)) == Size; }, seconds(30));
    double PerDaemon =
        static_cast<double>(Fleet.bytesSent() - Before) /
        static_cast<double>(Size) /
        std::chrono::duration<double>(Time + Crashes * milliseconds(300))
            .count();
    MESSAGE(Size << " daemons: refused by all " << Time.count() + 300
                 << " ms after the last crash, " << PerDaemon
                 << " bytes a second each");
    CHECK(Time + milliseconds(300) <= ContactTime);
  }
}

TEST_CASE("a daemon that starts later learns which requests are refused") {
  // Guards against a verdict that is only pushed when it is new.
  SimulatedFleet Fleet(FleetSize, {});
  constexpr std::uint64_t Refused = 12;
  for (std::uint64_t Number = 1; Number <= Refused; ++Number)
    crashServers(Fleet, request(Number), CrashesToRefuse);
  Fleet.runFor(seconds(10));
  Fleet.kill(200);
  Fleet.runFor(seconds(5));
  Fleet.restart(200);
  auto KnowsAll = [&] {
    std::size_t Known = 0;
    for (std::uint64_t Number = 1; Number <= Refused; ++Number)
      Known += Fleet.crashes(200).standing(request(Number)) ==
               RequestStanding::Refused;
    return Known == Refused;
  };
  auto Time = Fleet.runUntil(KnowsAll, seconds(30));
  MESSAGE("known " << Time.count() << " ms after the start");
  CHECK(Time <= ContactTime);
}

TEST_CASE("daemons that come back from a cut learn which requests are "
          "refused") {
  // Guards against a daemon that sends a refused request after a cut.
  SimulatedFleet Fleet(FleetSize, {});
  Fleet.runFor(seconds(2));
  constexpr std::size_t CutOff = 20;
  for (std::size_t Index = 100; Index < 100 + CutOff; ++Index)
    Fleet.setSide(Index, 1);
  crashServers(Fleet, request(1), CrashesToRefuse);
  Fleet.runFor(seconds(8));
  CHECK(Fleet.refusing(request(1)) == FleetSize - CutOff);
  for (std::size_t Index = 100; Index < 100 + CutOff; ++Index)
    Fleet.setSide(Index, 0);
  auto Time = Fleet.runUntil(
      [&] { return Fleet.refusing(request(1)) == FleetSize; }, seconds(30));
  MESSAGE("refused by all " << Time.count() << " ms after the cut");
  CHECK(Time <= ContactTime);
}

TEST_CASE("a calm fleet spends nothing on what all daemons know") {
  // Guards against records that are sent forever.
  SimulatedFleet Fleet(FleetSize, {});
  Fleet.runFor(seconds(10));
  auto BytesIn = [&](seconds Duration) {
    std::uint64_t Before = Fleet.bytesSent();
    Fleet.runFor(Duration);
    return Fleet.bytesSent() - Before;
  };
  std::uint64_t Calm = BytesIn(seconds(10));
  crashServers(Fleet, request(1), CrashesToRefuse);
  Fleet.runFor(seconds(10));
  CHECK(BytesIn(seconds(10)) < Calm + Calm / 20);
}

TEST_CASE("a request that was cleared is not news for ever") {
  // Guards against daemons that tell each other again and again that a popular
  // request is harmless, each time a little later, until no crash counts.
  SimulatedFleet Fleet(FleetSize / 10, {});
  Fleet.runFor(seconds(10));
  auto BytesIn = [&](seconds Duration) {
    std::uint64_t Before = Fleet.bytesSent();
    Fleet.runFor(Duration);
    return Fleet.bytesSent() - Before;
  };
  std::uint64_t Calm = BytesIn(seconds(10));
  for (std::size_t Round = 0; Round < 2; ++Round) {
    crashServers(Fleet, request(1),
                 Round == 0 ? CrashesToRefuse : CrashesToRefuseCompleted,
                 Round);
    Fleet.runFor(ContactTime);
    CHECK(Fleet.crashes(7).standing(request(1)) == RequestStanding::Refused);
    ServedSample Completed;
    Completed.Complete_ = true;
    Completed.Fingerprint_ = request(1);
    Fleet.crashes(Round).requestEnded(ServerName("server"), Completed);
    Fleet.runFor(seconds(10));
    CHECK(Fleet.refusing(request(1)) == 0);
    CHECK(BytesIn(seconds(10)) < Calm + Calm / 10);
  }
}

TEST_CASE("what is too old to matter is not told to a daemon that starts") {
  // Guards against records that a new daemon rejects and is sent for ever.
  SimulatedFleet Fleet(FleetSize / 30, {});
  crashServers(Fleet, request(1), 1);
  Fleet.runFor(std::chrono::hours(1));
  Fleet.kill(5);
  Fleet.restart(5);
  Fleet.runFor(seconds(20));
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    CHECK(Fleet.crashes(Index).digest() == 0);
}

TEST_CASE("many servers that crash at once are no storm of news") {
  // Guards against a fleet that spends its links and processors on telling each
  // other of requests of which each lost one server.
  constexpr std::size_t CrashedServers = 71;
  constexpr std::uint64_t RequestsEach = 12;
  constexpr double MaxBytesPerSecond = 7000;
  SimulatedFleet Fleet(FleetSize, {});
  Fleet.runFor(seconds(5));
  std::uint64_t Before = Fleet.bytesSent();
  auto Begin = std::chrono::steady_clock::now();
  for (std::size_t Server = 0; Server < CrashedServers; ++Server) {
    for (std::uint64_t Number = 0; Number < RequestsEach; ++Number) {
      ServedSample Sample;
      Sample.Crashed_ = true;
      Sample.Duration_ = milliseconds(100);
      Sample.Fingerprint_ = request(1000 * Server + Number);
      // The daemon of the caller and the keeper see it.
      ServerName Name(fmt::format("server-{}", Server));
      Fleet.crashes((Server * RequestsEach + Number) % FleetSize)
          .requestEnded(Name, Sample);
      Fleet.crashes(Server % 8).requestEnded(Name, Sample);
    }
    Fleet.runFor(milliseconds(50));
  }
  Fleet.runFor(seconds(3));
  double Seconds = 0.05 * CrashedServers + 3;
  double PerDaemon = static_cast<double>(Fleet.bytesSent() - Before) /
                     static_cast<double>(FleetSize) / Seconds;
  std::chrono::duration<double> Spent =
      std::chrono::steady_clock::now() - Begin;
  MESSAGE(PerDaemon << " bytes a second each, " << Spent.count()
                    << " s of processor time in all");
  CHECK(PerDaemon <= MaxBytesPerSecond);
}
