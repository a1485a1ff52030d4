#pragma once
/// \file
/// The daemons of a test that uses the platform's protocol. They run as real
/// processes with faults injected from outside.

#include "FailureTests/ChildProcess.h"
#include "FailureTests/TestFolder.h"
#include "FailureTests/platform/SoakEnvironment.h"

#include <pcg_random.hpp>

#include <array>
#include <memory>

namespace samphireshunt::tests {

struct SoakFleetOptions {
  /// The store is sometimes restored from an older copy.
  bool RestoreCopies_ = false;
  /// The links of daemons to engines can have faults.
  bool FaultyLinks_ = false;
  /// Engines sometimes fall silent for a second or so.
  bool SilentEngines_ = false;
  /// Connections to all addresses of a daemon sometimes send without end.
  bool UnendingBytes_ = false;
  /// The memory of a daemon's VM, which it may not exceed; 0 for no bound.
  std::size_t MemoryMb_ = 0;
  /// Daemons read settings from a file that can change.
  bool FlagFiles_ = false;
  /// How long requests may run after SIGTERM.
  std::chrono::milliseconds DrainTimeout_{4000};
};

/// Three daemons. With an even seed one daemon reads the store and the others
/// follow it. With an odd seed every daemon reads the store, and follows
/// another one if it cannot reach it.
class SoakFleet {
public:
  static constexpr std::size_t Daemons = 3;

  SoakFleet(std::uint64_t Seed, SoakEnvironment &Environment,
            SoakFleetOptions Wanted = {});

  void start(std::size_t Index);
  void kill(std::size_t Index);
  /// Sets the state of the daemon's links to engines, by a signal of
  /// LinkFaults.h. Requires FaultyLinks_.
  void setLinks(std::size_t Index, int Signal);
  /// Stops a daemon with SIGTERM while callers still connect for a while, and
  /// starts it again. \returns the exit status of the stopped process.
  [[nodiscard]] int stopAndStart(std::size_t Index);
  /// Changes a daemon's settings and sends it SIGHUP. Requires FlagFiles_.
  void reload(std::size_t Index);
  /// \returns whether the log of a daemon has \p Text.
  bool hasLogged(std::size_t Index, const std::string &Text) const;
  /// \returns a daemon's address for callers.
  const Endpoint &callersAddress(std::size_t Index) const {
    return Addresses_[Index].front();
  }
  void signal(std::size_t Index, int Number);
  /// Waits for the end of a daemon. \returns its exit status.
  [[nodiscard]] int wait(std::size_t Index);
  /// Injects one random fault, derived from the seed. Some faults also end in
  /// this call; others may outlast it.
  void injectFault();
  /// Clears all faults.
  void clearFaults();

private:
  void checkStop(std::size_t Index);
  void pause(std::size_t Index);
  void disruptStore();
  void copyOrRestoreStore();
  void sendCrashingRequest();
  void sendCrashingPart();
  void limitEngine();
  void disturbEngines();
  void cutLinks();
  void silenceEngine();
  void sendWithoutEnd();
  void checkMemory(std::size_t Index) const;
  std::string logPath(std::size_t Index) const;
  std::string flagFile(std::size_t Index) const;
  void writeFlagFile(std::size_t Index, const std::string &LogLevel) const;

  SoakEnvironment &Environment_;
  pcg32 Random_;
  /// A separate generator, so that RestoreCopies_ does not change the other
  /// faults of a seed.
  pcg32 RestoreRandom_;
  SoakFleetOptions Options_;
  pcg32 CrashRandom_;
  pcg32 PartRandom_;
  pcg32 LimitRandom_;
  pcg32 NoticeRandom_;
  pcg32 LinkRandom_;
  pcg32 SilenceRandom_;
  pcg32 BytesRandom_;
  /// When the links of each daemon work again.
  std::array<std::chrono::steady_clock::time_point, Daemons> LinksBack_{};
  std::size_t DaemonsPerReader_;
  TestFolder Folder_; ///< The daemons' logs.
  std::array<std::unique_ptr<ChildProcess>, Daemons> Processes_;
  /// Of each daemon: for callers, other daemons and operators.
  std::array<std::vector<Endpoint>, Daemons> Addresses_;
  std::size_t Reloads_ = 0;
  bool EngineFaultsActive_ = false;
};

/// Waits up to 10 s until every daemon serves every kind of request.
/// \returns the probes that still fail.
std::vector<std::string> probeUntilHealthy(SoakEnvironment &Environment);

} // namespace samphireshunt::tests
