#pragma once
/// \file
/// This daemon's view of the requests that crash servers: collects the crashes
/// that its ingress and keeper roles see and those that other daemons report,
/// logs what follows, and publishes it to the threads that serve requests.
/// Used on the control thread unless noted.

#include "Connection/PeerMessage.h"
#include "Process/Scheduling/CrashHistory.h"
#include "Process/Scheduling/ServerModel.h"
#include "Version/RcuCell.h"

#include <functional>
#include <memory>
#include <vector>

namespace samphireshunt {

/// \returns the member that collects the crashes of a part, by hash. \p Members
/// must not be empty.
VmId crashCollector(const wire::Fingerprint &Part,
                    const std::vector<VmId> &Members);

class CrashTracker {
public:
  struct Hooks {
    /// Called when a request is refused from now on.
    std::function<void(const RequestFingerprint &)> Refused_ =
        [](const RequestFingerprint &) {};
    /// Called when other daemons should learn of a refusal at once.
    std::function<void()> Spread_ = [] {};
  };

  using Clock = std::function<TimePoint()>;

  explicit CrashTracker(Clock Now = std::chrono::steady_clock::now);
  void setHooks(Hooks Callbacks) { Hooks_ = std::move(Callbacks); }

  /// Records what the end of a request on a server shows.
  void requestEnded(const ServerName &Server, const ServedSample &Sample);
  RequestStanding standing(const RequestFingerprint &Request) const;
  const CrashHistory &history() const { return History_; }

  std::uint64_t digest() const { return History_.digest(); }
  /// \returns the records to be sent with a message to another daemon, more of
  /// them if \p Differs.
  std::vector<wire::CrashRecordT> recordsToSend(bool Differs);
  /// \returns a record of the crash for each part of the prompt that may have
  /// caused it. The daemon that collects the crashes of that part gets it.
  std::vector<wire::CrashRecordT> partRecords(const ServerName &Server,
                                              const ServedSample &Sample) const;
  /// Adds what another daemon knows.
  void recordReceived(const wire::CrashRecordT &Received);

  /// \returns the current records. Called on any thread.
  std::shared_ptr<const CrashSnapshot> snapshot() const {
    return Published_.read();
  }

private:
  /// \returns whether the history changed.
  bool apply(const RequestFingerprint &Key, const ServerName &Server,
             const ServedSample &Sample, TimePoint Now);
  void publish();
  void reportChange(const RequestFingerprint &Changed, RequestStanding Before,
                    const ServerName &Server);

  Clock Now_;
  CrashHistory History_;
  RcuCell<CrashSnapshot> Published_;
  TimePoint LastCleanUp_;
  TimePoint LastSpread_;
  Hooks Hooks_;
};

} // namespace samphireshunt
