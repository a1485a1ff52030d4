#include "FailureTests/platform/SoakFleet.h"

#include "FailureTests/TestHooks.h"
#include "FailureTests/platform/LinkFaults.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <thread>

namespace samphireshunt::tests {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

SoakFleet::SoakFleet(std::uint64_t Seed, SoakEnvironment &Environment,
                     SoakFleetOptions Wanted)
    : Environment_(Environment), Random_(Seed), RestoreRandom_(Seed, 1),
      Options_(Wanted), CrashRandom_(Seed, 2), PartRandom_(Seed, 7),
      LimitRandom_(Seed, 3), NoticeRandom_(Seed, 4), LinkRandom_(Seed, 5),
      SilenceRandom_(Seed, 8), BytesRandom_(Seed, 9),
      DaemonsPerReader_(Seed % 2 == 0 ? 2 : Daemons) {
  for (std::size_t Index = 0; Index < Daemons; ++Index)
    start(Index);
}

void SoakFleet::start(std::size_t Index) {
  std::vector<std::string> Command = {
      Options_.FaultyLinks_ ? FAULTY_LINKS_DAEMON : PLATFORM_DAEMON,
      fmt::format("--vm_id=vm-{}", Index),
      "--data_center=z",
      "--callers_address=127.0.0.1:0",
      "--peers_address=127.0.0.1:0",
      "--operators_address=127.0.0.1:0",
      "--platform_address=" + formatEndpoint(Environment_.storeAddress()),
      "--platform_timeout_ms=500",
      "--threads=" + std::to_string(Random_(2)),
      "--admission=objectives",
      "--revocation_bound_ms=5000",
      "--apply_bound_ms=3000",
      fmt::format("--daemons_per_reader={}", DaemonsPerReader_),
      "--drain_delay_ms=600",
      "--drain_quiet_ms=100",
      "--drain_admit_ms=1000",
      fmt::format("--drain_timeout_ms={}", Options_.DrainTimeout_.count()),
      "--log_output=stderr"};
  if (Options_.MemoryMb_ > 0)
    Command.push_back(
        fmt::format("--process_memory_mb={}", Options_.MemoryMb_));
  if (Options_.FlagFiles_) {
    writeFlagFile(Index, "info");
    Command.push_back("--flagfile=" + flagFile(Index));
  }
  Processes_[Index] = std::make_unique<ChildProcess>(Command, logPath(Index));
  auto Reported = Processes_[Index]->readLine();
  Addresses_[Index].clear();
  for (const char *Name : {"callers", "peers", "operators"})
    Addresses_[Index].push_back(
        *parseEndpoint(Reported[Name].get<std::string>()));
  Environment_.setDaemon(Index, callersAddress(Index));
}

std::string SoakFleet::logPath(std::size_t Index) const {
  return fmt::format("{}/vm-{}.log", Folder_.path(), Index);
}

std::string SoakFleet::flagFile(std::size_t Index) const {
  return fmt::format("{}/vm-{}.flags", Folder_.path(), Index);
}

void SoakFleet::writeFlagFile(std::size_t Index,
                              const std::string &LogLevel) const {
  std::ofstream(flagFile(Index)) << "--log_level=" << LogLevel << '\n';
}

void SoakFleet::reload(std::size_t Index) {
  writeFlagFile(Index, ++Reloads_ % 2 == 0 ? "info" : "debug");
  signal(Index, SIGHUP);
}

bool SoakFleet::hasLogged(std::size_t Index, const std::string &Text) const {
  std::ifstream Lines(logPath(Index));
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.find(Text) != std::string::npos)
      return true;
  return false;
}

void SoakFleet::signal(std::size_t Index, int Number) {
  Processes_[Index]->signal(Number);
}

int SoakFleet::wait(std::size_t Index) { return Processes_[Index]->wait(); }

/// The sanitizer's own memory is not the daemon's.
void SoakFleet::checkMemory(std::size_t Index) const {
#ifndef __SANITIZE_ADDRESS__
  constexpr std::size_t BytesPerMb = 1000 * 1000;
  std::size_t Most = Processes_[Index]->mostMemory();
  if (Options_.MemoryMb_ > 0 && Most > Options_.MemoryMb_ * BytesPerMb)
    testHooks().Fail_(fmt::format("vm-{} had {} MB of {}", Index,
                                  Most / BytesPerMb, Options_.MemoryMb_));
#endif
}

void SoakFleet::kill(std::size_t Index) {
  Environment_.setDaemon(Index, std::nullopt);
  checkMemory(Index);
  Processes_[Index]->kill();
}

void SoakFleet::setLinks(std::size_t Index, int Signal) {
  signal(Index, Signal);
}

int SoakFleet::stopAndStart(std::size_t Index) {
  // Callers still connect for a while, as a load balancer keeps sending them.
  signal(Index, SIGTERM);
  std::this_thread::sleep_for(milliseconds(200));
  Environment_.setDaemon(Index, std::nullopt);
  checkMemory(Index);
  int Status = Processes_[Index]->wait();
  start(Index);
  return Status;
}

void SoakFleet::checkStop(std::size_t Index) {
  if (int Status = stopAndStart(Index); Status != 0)
    testHooks().Fail_(fmt::format("vm-{} ended a planned stop with status {}",
                                  Index, Status));
}

void SoakFleet::pause(std::size_t Index) {
  Environment_.recordPause(Index);
  Processes_[Index]->freeze();
  std::this_thread::sleep_for(milliseconds(100 + Random_(1500)));
  Environment_.recordResume(Index);
  Processes_[Index]->resume();
}

void SoakFleet::disruptStore() {
  bool Silent = Random_(2) == 0;
  if (Silent)
    Environment_.silenceStore(true);
  else
    Environment_.failStore(Random_(2) == 0 ? 503 : 429);
  std::this_thread::sleep_for(milliseconds(200 + Random_(2500)));
  Environment_.silenceStore(false);
  Environment_.failStore(0);
}

/// Taking and restoring the copy are independent draws, so that the copy is
/// several faults old when the store is restored from it.
void SoakFleet::copyOrRestoreStore() {
  if (!Options_.RestoreCopies_)
    return;
  switch (RestoreRandom_(8)) {
  case 0:
    return Environment_.takeStoreCopy();
  case 1:
    return Environment_.restoreFromCopy(
        milliseconds(50 + RestoreRandom_(1200)));
  default:
    return;
  }
}

/// A draw of its own, so that seeds select the same other faults as before.
void SoakFleet::sendCrashingRequest() {
  constexpr std::uint32_t OneIn = 12;
  if (CrashRandom_(OneIn) == 0)
    Environment_.sendCrashingRequest();
}

void SoakFleet::sendCrashingPart() {
  constexpr std::uint32_t OneIn = 20;
  if (PartRandom_(OneIn) == 0)
    Environment_.sendCrashingPart();
}

void SoakFleet::limitEngine() {
  constexpr std::uint32_t OneIn = 8;
  if (LimitRandom_(OneIn) == 0)
    Environment_.limitEngine();
}

void SoakFleet::disturbEngines() {
  switch (NoticeRandom_(24)) {
  case 0:
    return Environment_.leaveUnannounced();
  case 1:
  case 2:
    return Environment_.restEngine();
  case 3:
    return Environment_.makeBrittle();
  default:
    return;
  }
}

/// Cuts a daemon off from all engines for a while, in one of three ways. Others
/// may be cut off at the same time, but not all.
void SoakFleet::cutLinks() {
  auto Now = steady_clock::now();
  for (std::size_t Index = 0; Index < Daemons; ++Index)
    if (LinksBack_[Index] != steady_clock::time_point() &&
        LinksBack_[Index] <= Now) {
      LinksBack_[Index] = {};
      setLinks(Index, PassSignal);
    }
  constexpr std::uint32_t OneIn = 10;
  std::size_t Index = LinkRandom_(Daemons);
  constexpr std::array Signals = {HangSignal, ResetSignal, RefuseNewSignal};
  int Signal = Signals[LinkRandom_(Signals.size())];
  milliseconds Time(300 + LinkRandom_(4000));
  auto Cut = std::ranges::count_if(
      LinksBack_, [](auto Back) { return Back != steady_clock::time_point(); });
  if (LinkRandom_(OneIn) != 0 || Cut + 1 >= static_cast<long>(Daemons) ||
      !Options_.FaultyLinks_)
    return;
  LinksBack_[Index] = Now + Time;
  setLinks(Index, Signal);
}

/// Several engines may be silent at a time, but hardly all.
void SoakFleet::silenceEngine() {
  constexpr std::uint32_t OneIn = 6;
  if (!Options_.SilentEngines_ || SilenceRandom_(OneIn) != 0)
    return;
  std::size_t Place = SilenceRandom_(16);
  Environment_.silenceEngine(Place, milliseconds(800 + SilenceRandom_(500)));
}

void SoakFleet::sendWithoutEnd() {
  constexpr std::uint32_t OneIn = 8;
  std::size_t Index = BytesRandom_(Daemons);
  if (!Options_.UnendingBytes_ || BytesRandom_(OneIn) != 0)
    return;
  Environment_.closeSenders();
  for (const Endpoint &To : Addresses_[Index])
    Environment_.sendWithoutEnd(To);
}

void SoakFleet::injectFault() {
  silenceEngine();
  sendWithoutEnd();
  copyOrRestoreStore();
  disturbEngines();
  cutLinks();
  sendCrashingRequest();
  sendCrashingPart();
  limitEngine();
  std::size_t Index = Random_(Daemons);
  switch (Random_(11)) {
  case 0:
    kill(Index);
    return start(Index);
  case 1:
    return checkStop(Index);
  case 2:
    return pause(Index);
  case 3:
    return Processes_[Index]->signal(SIGHUP);
  case 4:
    return disruptStore();
  case 5:
    return Environment_.dropHistory();
  case 6:
    return Environment_.replaceEngine();
  case 7:
    Environment_.revokeKey();
    return;
  case 8:
    return Environment_.changeConfiguration();
  case 9:
    return Environment_.loseWriteAnswers(1);
  default:
    EngineFaultsActive_ = !EngineFaultsActive_;
    return Environment_.setEngineFaults(EngineFaultsActive_);
  }
}

void SoakFleet::clearFaults() {
  Environment_.failStore(0);
  Environment_.silenceStore(false);
  Environment_.setEngineFaults(false);
  Environment_.closeSenders();
  for (std::size_t Index = 0; Index < Daemons; ++Index) {
    Processes_[Index]->resume();
    if (Options_.FaultyLinks_)
      Processes_[Index]->signal(PassSignal);
    checkMemory(Index);
  }
}

std::vector<std::string> probeUntilHealthy(SoakEnvironment &Environment) {
  constexpr std::chrono::seconds Limit{10};
  auto End = steady_clock::now() + Limit;
  auto Failed = Environment.probeAll();
  while (!Failed.empty() && steady_clock::now() < End)
    Failed = Environment.probeAll();
  return Failed;
}

} // namespace samphireshunt::tests
