#pragma once
/// \file
/// Decides which runs are backed up to another engine. The code is free of I/O.
///
/// Load pattern: a part of the engines crashes within seconds under full load,
/// or single engines crash again and again. Streams that may not be repeated
/// are lost there, and a backup of each run would use up the links between
/// engines.

#include "Common/Ids.h"
#include "Common/TimePoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace samphireshunt {

/// Where an engine stands, and what it runs: engines that have one of these in
/// common tend to crash together.
struct EngineNeighborhood {
  ServerName Name_;
  DataCenterName DataCenter_;
  SoftwareVersion Version_;
};

/// An engine that may take a backup.
struct BackupTarget {
  EngineNeighborhood Engine_;
  std::uint32_t InFlight_ = 0;
};

/// A run that is about to begin.
struct BackupNeed {
  EngineNeighborhood Engine_;
  std::chrono::nanoseconds Time_{0}; ///< Expected time at the engine.
  std::int64_t Bytes_ = 0;           ///< Expected memory at its end.
};

class BackupChoice {
public:
  struct Options {
    /// A run is backed up if it is expected to be lost more often than this.
    /// One lost answer in fifty is what callers notice beside other failures.
    double MinLoss_ = 0.02;
    /// Decay time of crashes that were seen: engines that crash in series do so
    /// within seconds.
    std::chrono::duration<double> Memory_{10.0};
    /// Fraction of an engine's link that backups may use.
    double MaxLinkShare_ = 0.1;
  };

  BackupChoice() = default;
  explicit BackupChoice(Options Settings) : Options_(Settings) {}

  /// Records that an engine crashed.
  void crashed(const EngineNeighborhood &Engine, TimePoint Now);
  /// \returns how often an engine is expected to crash in a second. \p Engines
  /// is the number of engines that are watched.
  double crashesPerSecond(const EngineNeighborhood &Engine, std::size_t Engines,
                          TimePoint Now) const;
  /// \returns the engine that takes the backup of a run, from \p Targets; an
  /// empty name if there is to be none. \p LinkMbps is the bandwidth between
  /// two engines; 0 if unknown. Counts the bytes of the run if there is to be
  /// one.
  ServerName choose(const BackupNeed &Run,
                    const std::vector<BackupTarget> &Targets, double LinkMbps,
                    TimePoint Now);
  /// \returns whether any crash is remembered.
  bool anyDanger(TimePoint Now) const;

private:
  /// Events that decay over time.
  struct DecayingCount {
    double Value_ = 0;
    TimePoint Updated_;

    double at(TimePoint Now, std::chrono::duration<double> Memory) const;
    void add(double Amount, TimePoint Now,
             std::chrono::duration<double> Memory);
  };
  bool linkAllows(const ServerName &Target, std::int64_t Bytes, double LinkMbps,
                  TimePoint Now) const;

  Options Options_;
  DecayingCount All_;
  std::map<ServerName, DecayingCount> ByServer_;
  std::map<DataCenterName, DecayingCount> ByDataCenter_;
  std::map<SoftwareVersion, DecayingCount> ByVersion_;
  /// Bytes that were sent to each target, decaying within LinkTime.
  std::map<ServerName, DecayingCount> BytesTo_;
};

} // namespace samphireshunt
