#pragma once
/// \file
/// The daemons of a test on the platform's protocol: real processes, and the
/// faults that strike them from outside.

#include "FailureTests/ChildProcess.h"
#include "FailureTests/TestFolder.h"
#include "FailureTests/platform/SoakWorld.h"

#include <pcg_random.hpp>

#include <array>
#include <memory>

namespace samphireshunt::tests {

/// Three daemons. With an even seed one reads the store and the others follow
/// it; with an odd one each reads it, and follows another without it.
class SoakFleet {
public:
  static constexpr std::size_t Daemons = 3;

  /// With \p Copies the store now and then comes back from an older copy.
  SoakFleet(std::uint64_t Seed, SoakWorld &Around, bool Copies = false);

  void start(std::size_t Index);
  void kill(std::size_t Index);
  /// A planned stop: callers still come for a while. \returns the exit status.
  [[nodiscard]] int stopAndStart(std::size_t Index);
  /// One fault drawn by the seed, and for some of them its end.
  void strike();
  /// Ends all faults.
  void heal();

private:
  void checkStop(std::size_t Index);
  void pause(std::size_t Index);
  void storeTrouble();
  void storeCopy();

  SoakWorld &Around_;
  pcg32 Random_;
  /// Of its own, so that the other faults of a seed stay the same.
  pcg32 CopyRandom_;
  bool Copies_;
  std::size_t DaemonsPerReader_;
  TestFolder Folder_; ///< The daemons' logs.
  std::array<std::unique_ptr<ChildProcess>, Daemons> Processes_;
  bool Misbehaving_ = false;
};

/// Waits some seconds until every daemon serves every kind of request.
/// \returns what is still not served.
std::vector<std::string> probeUntilWell(SoakWorld &Around);

} // namespace samphireshunt::tests
