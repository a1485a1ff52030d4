/// \file
/// Ends daemons in each way that can be caused from outside, and finds the way
/// from their own lines, those of the others and those of their successors, as
/// docs/OPERATIONS.md describes.

#include "FailureTests/Cluster.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <fstream>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

/// Bounds of the table in docs/OPERATIONS.md.
constexpr int StalledMs = 1000;
constexpr int FullPercent = 90;

std::vector<Json> linesOf(const Cluster &Fleet, int Daemon,
                          const std::string &Event) {
  std::ifstream Log(fmt::format("{}/vm-{}.log", Fleet.folder(), Daemon));
  std::vector<Json> Found;
  for (std::string Line; std::getline(Log, Line);) {
    Json Parsed = Json::parse(Line, nullptr, false);
    if (Parsed.is_object() && Parsed.value("event", "") == Event)
      Found.push_back(std::move(Parsed));
  }
  return Found;
}

int number(const Json &Line, const std::string &Field) {
  return std::stoi(Line.value(Field, "-1"));
}

/// A daemon that is ended, and one that schedules its requests.
class EndedDaemon {
public:
  explicit EndedDaemon(ClusterOptions Options = {}) : Fleet_(Options) {
    Keeper_ = Fleet_.keeperOf("models");
    Target_ = Keeper_ == 1 ? 2 : 1;
  }

  Cluster &fleet() { return Fleet_; }
  ChildProcess &process() {
    return Fleet_.process(fmt::format("vm-{}", Target_));
  }
  /// Returns what the keeper says of the daemon.
  Json atKeeper() {
    Json Status = Fleet_.status(Keeper_);
    for (const Json &Known : Status["members"])
      if (Known["vm"] == fmt::format("vm-{}", Target_))
        return Known;
    return Json::object();
  }
  /// Ends the daemon's process with \p End while it is at work, and starts the
  /// next one.
  /// \returns the way of its end according to the lines.
  std::string wayOf(const std::function<void()> &End) {
    auto Signals = linesOf(Fleet_, Target_, "ended-by-signal").size();
    auto Incarnation = std::to_string(
        Fleet_.status(Target_)["incarnation"].get<std::uint64_t>());
    CHECK(Fleet_.run(Fleet_.chat(Target_)).Outcome_ == "answered");
    End();
    Fleet_.startDaemon(Target_);
    Fleet_.awaitReady();
    Json Summary;
    REQUIRE(eventually([&] {
      for (const Json &Line : linesOf(Fleet_, Target_, "previous-process"))
        if (Line.value("previous_incarnation", "") == Incarnation)
          Summary = Line;
      return Summary.is_object();
    }));
    CAPTURE(Summary.dump());
    bool Left = Summary["left"] == "yes";
    auto Lines = linesOf(Fleet_, Keeper_, "member-vanished");
    bool SeenByKeeper = std::ranges::any_of(Lines, [&](const Json &Line) {
      return Line["previous_incarnation"] == Incarnation;
    });
    CHECK(SeenByKeeper == !Left);
    return diagnose(Summary, Signals);
  }

private:
  std::string diagnose(const Json &Summary, std::size_t EarlierSignals) {
    auto Signals = linesOf(Fleet_, Target_, "ended-by-signal");
    if (Signals.size() > EarlierSignals)
      return "signal " + Signals.back()["signal"].get<std::string>();
    if (Summary["left"] == "yes")
      return "stopped";
    if (Summary["silence_until"] != "link-down")
      return "unknown";
    if (number(Summary, "silence_ms") >= StalledMs)
      return "stalled";
    return number(Summary, "memory_percent") >= FullPercent ? "memory"
                                                            : "killed";
  }

  Cluster Fleet_;
  int Keeper_ = 0;
  int Target_ = 0;
};

} // namespace

TEST_CASE("the way in which a process ended is found afterwards") {
  // Guards against a cut caller whose cause can't be found: a process that is
  // killed writes nothing, and its VM keeps nothing.
  EndedDaemon Daemon;
  auto Signal = [&](int Number) {
    return [&, Number] {
      Daemon.process().signal(Number);
      CHECK(Daemon.process().wait() == -1);
    };
  };
  CHECK(Daemon.wayOf([&] {
    Daemon.process().signal(SIGTERM);
    CHECK(Daemon.process().wait() == 0);
  }) == "stopped");
  CHECK(Daemon.wayOf(Signal(SIGSEGV)) == fmt::format("signal {}", SIGSEGV));
  CHECK(Daemon.wayOf(Signal(SIGABRT)) == fmt::format("signal {}", SIGABRT));
  CHECK(Daemon.wayOf([&] { Daemon.process().kill(); }) == "killed");
  CHECK(Daemon.wayOf([&] {
    Daemon.process().freeze();
    CHECK(eventually([&] { return Daemon.atKeeper()["status"] == "dead"; }));
    Daemon.process().kill();
  }) == "stalled");
}

TEST_CASE("a process that is killed at its memory's limit is told apart") {
  // Guards against an end for memory that looks like any other kill.
  EndedDaemon Unlimited;
  constexpr double BytesPerMb = 1e6;
  ClusterOptions Options;
  Options.DaemonFlags_ = {fmt::format(
      "--process_memory_mb={:.0f}",
      static_cast<double>(Unlimited.process().mostMemory()) / BytesPerMb / 2)};
  EndedDaemon Daemon(Options);
  REQUIRE(eventually([&] {
    return Daemon.atKeeper().value("memoryPercent", 0) >= FullPercent;
  }));
  CHECK(Daemon.wayOf([&] { Daemon.process().kill(); }) == "memory");
}
