/// \file
/// Guarantees: a leaving backend server gets no new work after a few seconds,
/// and every planned stop is graceful.

#include "FailureTests/Cluster.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace samphireshunt::tests;
using std::chrono::milliseconds;

namespace {

Json withLeaving(Json Document, const std::string &Server) {
  for (Json &Pool : Document["pools"])
    for (Json &ServerEntry : Pool["servers"])
      if (ServerEntry["name"] == Server)
        ServerEntry["state"] = "leaving";
  return Document;
}

std::size_t receivedBy(const Cluster &Fleet, const std::string &Engine) {
  auto Ledger = Fleet.ledger();
  return static_cast<std::size_t>(
      std::ranges::count_if(Ledger, [&](const auto &Line) {
        return Line.Event_ == "received" && Line.Engine_ == Engine;
      }));
}

/// \returns whether any daemon reports the model engine as usable.
bool usableAnywhere(Cluster &Fleet, const std::string &Engine) {
  for (int Daemon = 1; Daemon <= 3; ++Daemon) {
    Json Status = Fleet.status(Daemon);
    for (const Json &Cell : Status["cells"])
      if (Cell["servers"].contains(Engine) &&
          Cell["servers"][Engine].value("usable", true))
        return true;
  }
  return false;
}

void checkAllAnswered(Cluster &Fleet, int Count) {
  std::vector<std::future<CallRecord>> Calls;
  for (int Index = 0; Index < Count; ++Index)
    Calls.push_back(Fleet.start(Fleet.chat(1 + Index % 3)));
  auto Records = finish(Calls);
  CHECK_MESSAGE(countOutcome(Records, "answered") ==
                    static_cast<std::size_t>(Count),
                unanswered(Records));
}

} // namespace

TEST_CASE("a server that the document lets leave gets no new work") {
  // The document marks a server as leaving while requests wait, some of them
  // with a grant for that server. If a grant or snapshot from before the change
  // were still used, a server that has long been drained could get a request.
  ClusterOptions Options;
  Options.MaxInFlight_ = 1;
  Cluster Fleet(Options);
  std::vector<std::future<CallRecord>> Calls;
  for (int Index = 0; Index < 30; ++Index)
    Calls.push_back(Fleet.start(Fleet.chat(1 + Index % 3)));
  REQUIRE(eventually([&] { return receivedBy(Fleet, "model-1") > 0; }));
  REQUIRE(Fleet.apply(withLeaving(Fleet.document(), "model-1"), {"--wait"}) ==
          0);
  std::size_t ReceivedBefore = receivedBy(Fleet, "model-1");
  auto Records = finish(Calls);
  CHECK_MESSAGE(countOutcome(Records, "answered") == 30, unanswered(Records));
  checkAllAnswered(Fleet, 12);
  CHECK(receivedBy(Fleet, "model-1") <= ReceivedBefore + 1);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("a change reaches daemons that are cut off from the platform") {
  // Two daemons lose the platform, the document marks a server as leaving, and
  // then the platform fails for all daemons. If daemons learned of changes only
  // from the platform, these two would keep sending to a server that left.
  ClusterOptions Options;
  Options.PlatformRelays_ = true;
  Cluster Fleet(Options);
  for (const char *Name : {"platform-relay-2", "platform-relay-3"})
    Fleet.faults(Name, {{"mode", "silent"}});
  REQUIRE(Fleet.apply(withLeaving(Fleet.document(), "model-1"), {"--wait"}) ==
          0);
  Fleet.faults("platform", {{"outage", true}});
  std::size_t ReceivedBefore = receivedBy(Fleet, "model-1");
  checkAllAnswered(Fleet, 12);
  CHECK(receivedBy(Fleet, "model-1") == ReceivedBefore);
}

TEST_CASE("a server that the platform's list lets leave gets no new work") {
  // Only the platform's list, which lags, shows the VM as leaving. If daemons
  // checked only the document, requests would go to a VM that the platform is
  // about to remove.
  Cluster Fleet;
  checkAllAnswered(Fleet, 12);
  Fleet.listLeaving({"model-1"});
  CHECK(eventually([&] { return !usableAnywhere(Fleet, "model-1"); },
                   milliseconds(5000)));
  std::size_t ReceivedBefore = receivedBy(Fleet, "model-1");
  checkAllAnswered(Fleet, 12);
  CHECK(receivedBy(Fleet, "model-1") == ReceivedBefore);
}

TEST_CASE(
    "a graceful stop of a daemon that is keeper and ingress cuts nothing") {
  // A daemon that schedules cells gets SIGTERM while requests wait, stream and
  // still arrive. If it exited or rejected requests before its work was done, a
  // planned restart would break the streams of callers.
  ClusterOptions Options;
  Options.MaxInFlight_ = 2;
  Cluster Fleet(Options);
  int Keeper = Fleet.keeperOf("models");
  std::vector<std::future<CallRecord>> Calls;
  for (int Index = 0; Index < 24; ++Index) {
    CallRequest Request = Fleet.stream(1 + Index % 3);
    Request.MaxTokens_ = 60;
    Calls.push_back(Fleet.start(std::move(Request)));
  }
  REQUIRE(eventually([&] { return Fleet.ledgerCount("ran") >= 4; }));
  std::string Name = fmt::format("vm-{}", Keeper);
  Fleet.process(Name).signal(SIGTERM);
  // The load balancer still sends requests for a while.
  REQUIRE(eventually(
      [&] { return Fleet.status(Keeper).value("draining", false); }));
  for (int Index = 0; Index < 3; ++Index)
    Calls.push_back(Fleet.start(Fleet.chat(Keeper)));
  auto Records = finish(Calls);
  CHECK_MESSAGE(countOutcome(Records, "answered") == 27, unanswered(Records));
  CHECK(Fleet.process(Name).wait() == 0);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("a stop that comes due while the daemon pauses cuts nothing") {
  // On a loaded machine a thread of a stopping daemon may not be scheduled for
  // some time (0.6 s in one failure), and the requests that callers have sent
  // to it stay unread. If the daemon then counts no request as running and
  // exits, it cuts them off: 2 of 12 streams in that failure.
  Cluster Fleet;
  ChildProcess &Stopping = Fleet.process("vm-1");
  Stopping.signal(SIGTERM);
  REQUIRE(eventually([&] { return Fleet.status(1).value("draining", false); }));
  Stopping.freeze();
  std::vector<std::future<CallRecord>> Calls;
  for (int Index = 0; Index < 12; ++Index)
    Calls.push_back(Fleet.start(Fleet.chat(1)));
  // The pause is long enough for the stop to become due during it.
  std::this_thread::sleep_for(milliseconds(1000));
  Stopping.resume();
  auto Records = finish(Calls);
  CHECK_MESSAGE(countOutcome(Records, "answered") == 12, unanswered(Records));
  CHECK(Stopping.wait() == 0);
}

TEST_CASE("a rolling restart of every daemon under load cuts nothing") {
  // Each daemon in turn is stopped gracefully and restarted while callers use
  // the ready ones. Cells move between daemons, and documents have to come from
  // peers; neither may lose an answer during an update of the fleet.
  Cluster Fleet;
  for (int Leaving = 1; Leaving <= 3; ++Leaving) {
    std::vector<std::future<CallRecord>> Calls;
    for (int Index = 0; Index < 12; ++Index) {
      CallRequest Request = Fleet.stream(1 + Index % 3);
      Request.MaxTokens_ = 40;
      Calls.push_back(Fleet.start(std::move(Request)));
    }
    std::string Name = fmt::format("vm-{}", Leaving);
    REQUIRE(eventually(
        [&] { return Fleet.status(Leaving).value("activeRequests", 0) > 0; }));
    Fleet.process(Name).signal(SIGTERM);
    for (int Index = 0; Index < 12; ++Index)
      Calls.push_back(Fleet.start(Fleet.chat(1 + (Leaving + Index % 2) % 3)));
    CHECK(Fleet.process(Name).wait() == 0);
    auto Records = finish(Calls);
    CHECK_MESSAGE(countOutcome(Records, "answered") == 24, unanswered(Records));
    Fleet.startDaemon(Leaving);
    Fleet.awaitReady();
  }
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("a stop whose timeout expires exits cleanly while requests wait") {
  // When the drain timeout expires, requests may still wait for a grant. Each
  // wait owns a timer of its worker's event loop. If the waits were destroyed
  // with the grants, after that worker, a daemon built with the address
  // sanitizer would report a heap-use-after-free in ~GrantWait (memory freed by
  // ~io_context) and exit with status 1 after its log line "stopped".
  ClusterOptions Options;
  Options.Models_ = 1;
  Options.MaxInFlight_ = 1;
  Options.StepMs_ = 100;
  Options.DaemonFlags_ = {"--threads=2", "--drain_timeout_ms=1000"};
  Cluster Fleet(Options);
  std::vector<std::future<CallRecord>> Calls;
  constexpr int Count = 12;
  for (int Index = 0; Index < Count; ++Index) {
    CallRequest Request = Fleet.stream(1);
    Request.MaxTokens_ = 400;
    Calls.push_back(Fleet.start(std::move(Request)));
  }
  REQUIRE(eventually(
      [&] { return Fleet.status(1).value("activeRequests", 0) == Count; }));
  REQUIRE(eventually([&] { return Fleet.ledgerCount("ran") >= 1; }));
  Fleet.process("vm-1").signal(SIGTERM);
  CHECK(Fleet.process("vm-1").wait() == 0);
  finish(Calls);
}

TEST_CASE("a stop whose timeout expires answers what waits and what runs") {
  // Guards against callers whose connections are closed in silence.
  constexpr milliseconds LongTimeout{60000};
  constexpr int Count = 12;
  ClusterOptions Options;
  Options.Models_ = 1;
  Options.MaxInFlight_ = 2;
  Options.StepMs_ = 100;
  Options.DaemonFlags_ = {"--threads=2", "--drain_timeout_ms=4000"};
  Cluster Fleet(Options);
  std::vector<std::future<CallRecord>> Calls;
  auto Start = [&](bool Streams) {
    CallRequest Request = Streams ? Fleet.stream(1) : Fleet.chat(1);
    Request.MaxTokens_ = 600;
    Request.Timeout_ = LongTimeout;
    Calls.push_back(Fleet.start(std::move(Request)));
  };
  for (int Index = 0; Index < Count; ++Index)
    Start(Index % 2 == 0);
  REQUIRE(eventually(
      [&] { return Fleet.status(1).value("activeRequests", 0) == Count; }));
  REQUIRE(eventually([&] { return Fleet.ledgerCount("ran") >= 2; }));
  Fleet.process("vm-1").signal(SIGTERM);
  REQUIRE(eventually([&] { return Fleet.status(1).value("draining", false); }));
  for (int Index = 0; Index < Count; ++Index)
    Start(Index % 2 == 0);
  CHECK(Fleet.process("vm-1").wait() == 0);
  auto Records = finish(Calls);
  // More than two if the keeper was this daemon.
  std::size_t Ran = Fleet.ledgerCount("ran");
  CHECK(Ran < Count);
  CHECK_MESSAGE(countOutcome(Records, "not-run") == 2 * Count - Ran,
                unanswered(Records));
  CHECK(std::ranges::all_of(Records, [](const CallRecord &Call) {
    bool Begun = Call.Outcome_ == "unknown" || Call.Outcome_ == "partial";
    bool Refused = Call.Status_ == 503 && Call.HasRetryAfter_;
    return Begun || (Call.Outcome_ == "not-run" && Refused);
  }));
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}
