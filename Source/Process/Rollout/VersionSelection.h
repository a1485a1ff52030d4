#pragma once
/// \file
/// Which servers of a pool may get requests, by their versions. Pure: the time
/// is an argument.
///
/// Servers of a new version register before or after the order to roll it out
/// arrives at a daemon. Until the version is proven, they may get no requests
/// but those of the trial. Without any order, a new version is held back for as
/// long as an order may take to arrive, and then admitted: some operators
/// replace servers without orders. Daemons admit it at different times, those
/// that have just started at once, so a stream that began at one of them may be
/// taken up at another one that still holds the version back.

#include "Common/BootClock.h"
#include "Process/Rollout/RolloutRecord.h"
#include "Version/Document.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace samphireshunt {

class VersionSelection {
public:
  /// The time for which a version that no order names is held back.
  static constexpr std::chrono::milliseconds HoldTime{3000};

  /// What is known of one registered server.
  struct KnownServer {
    SoftwareVersion Version_;
    DataCenterName DataCenter_;
    BootTime FirstSeen_;
    std::chrono::milliseconds WarmUp_{0};
    bool Leaving_ = false;

    bool ready(BootTime Now) const {
      return !Leaving_ && Now >= FirstSeen_ + WarmUp_;
    }
  };

  /// Sets the order in force, and where it was written.
  void setOrder(std::optional<RolloutOrder> Order, StorePosition Written);
  /// Applies a state unless the known one is as new.
  /// \returns true if it was applied.
  bool apply(const RolloutRecord &Newer);

  const std::optional<RolloutOrder> &order() const { return Order_; }
  const StorePosition &orderPosition() const { return OrderPosition_; }
  const std::optional<RolloutRecord> &record() const { return Record_; }
  /// True if the known state is that of the order in force.
  bool recordAnswersOrder() const;
  /// True while an order is in force that has not been carried out.
  bool inProgress() const;
  /// The versions that may get requests without a trial.
  const std::set<SoftwareVersion> &admitted() const { return Admitted_; }
  const std::map<ServerName, KnownServer> &servers() const { return Servers_; }

  /// \returns the servers that may get requests, those that only finish theirs,
  /// which are marked as leaving, and those of versions that are held back,
  /// which are marked so. Notes all of \p Registered.
  std::vector<BackendServer> select(std::vector<BackendServer> Registered,
                                    BootTime Now);
  /// When the result of select() will change because a version is admitted.
  std::optional<BootTime> nextAdmission() const { return NextAdmission_; }
  /// \returns the number of servers, leaving ones excluded, that \p Matches
  /// accepts by their version.
  template <class Predicate> std::size_t count(Predicate Matches) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Servers_, [&](const auto &Item) {
          return !Item.second.Leaving_ && Matches(Item.second.Version_);
        }));
  }

private:
  enum class Use { Full, Canary, Held, FinishOnly, None };

  void note(const std::vector<BackendServer> &Registered, BootTime Now);
  void admit(BootTime Now);
  bool onTrial(const SoftwareVersion &Version) const;
  bool isRetired(const SoftwareVersion &Version) const;
  /// True while no order is known that decides on the version.
  bool isHeldBack(const SoftwareVersion &Version) const;
  Use useOf(const BackendServer &Server) const;

  std::optional<RolloutOrder> Order_;
  StorePosition OrderPosition_;
  std::optional<RolloutRecord> Record_;
  std::set<SoftwareVersion> Admitted_;
  std::map<ServerName, KnownServer> Servers_;
  std::optional<BootTime> NextAdmission_;
};

} // namespace samphireshunt
