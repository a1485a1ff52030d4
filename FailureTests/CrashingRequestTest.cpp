/// \file
/// Guarantee: a request that crashes the engines that run it reaches only a few
/// of them, whichever daemons it is sent to.

#include "FailureTests/Cluster.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

constexpr int Engines = 8;
/// The third crash, and three retries after it.
constexpr std::ptrdiff_t MaxReached = 6;

ClusterOptions manyEngines() {
  ClusterOptions Options;
  Options.Models_ = Engines;
  Options.Applications_ = Engines;
  return Options;
}

std::ptrdiff_t runsOf(const Cluster &Fleet, const std::string &Nonce) {
  return std::ranges::count_if(
      Fleet.ledger(), [&](const standins::LedgerLine &Line) {
        return Line.Event_ == "ran" && Line.Nonce_ == Nonce;
      });
}

} // namespace

TEST_CASE("a request that crashes engines is refused by all daemons") {
  // Guards against a request that ends one engine after the other, because each
  // daemon sees a few of the crashes and the ids differ.
  Cluster Fleet(manyEngines());
  for (int Number = 1; Number <= Engines; ++Number)
    for (const char *Kind : {"model", "app"})
      Fleet.process(fmt::format("{}-{}", Kind, Number)).expectSignal(SIGKILL);
  auto Send = [&](int Attempt, const std::string &Nonce) {
    int Daemon = 1 + Attempt % 3;
    CallRequest Request =
        Nonce == "crash-model" ? Fleet.chat(Daemon) : Fleet.reading(Daemon);
    Request.Nonce_ = Nonce;
    Request.Prompt_ = "the same in each attempt";
    return Fleet.run(std::move(Request));
  };
  for (const std::string Nonce : {"crash-model", "crash-application"}) {
    CallRecord Last;
    for (int Attempt = 0; Attempt < 2 * Engines; ++Attempt)
      Last = Send(Attempt, Nonce);
    CHECK(runsOf(Fleet, Nonce) <= MaxReached);
    CHECK(Last.Code_ == static_cast<int>(ResultCode::CrashesServers));
    CHECK(Last.Outcome_ == "not-run");
  }
  CHECK(Fleet.run(Fleet.chat(1)).Correct_);
  CHECK(Fleet.run(Fleet.reading(2)).Correct_);
}
