#pragma once
/// \file
/// Which requests crashed the servers that ran them, and which of them are
/// therefore refused. The code is free of I/O; the current time is passed in.
///
/// Load pattern: a request that crashes each server that runs it is sent again
/// and again, under new ids, at any daemon. Or the requests all differ, and
/// share a part of their prompts that crashes each server that begins to answer
/// on it. Each crash also ends the other requests of that server, which are
/// sent again too; they must go on being served, and so must popular requests
/// and parts while servers crash for other reasons.
///
/// A request is suspected after its first crash and cleared as soon as one of
/// its runs completes. While it is suspected, the keeper runs one copy of it at
/// a time, on a server without other suspected requests. Copies that had been
/// dispatched before another one's server crashed count as one with it: servers
/// that crash together have a cause of their own. The third crash leads to
/// refusal for a while, each further one to a longer refusal, with a single run
/// in between.
///
/// A request that is known to have completed lately needs twice as many
/// crashes: a popular one runs everywhere, also beside others that crash
/// servers.
///
/// A part is treated in the same way, with these differences. Requests with it
/// are dispatched side by side, so crashes at different moments count, however
/// the runs overlapped. It is suspected from the second one on: most parts of a
/// server's requests have no share in its crash, and are cleared by the next
/// request that completes with them. A crash that a refused part explains does
/// not count for the parts that were there too. Single crashes of parts are not
/// sent to all daemons, but to one for each part, which sees when they add up.
///
/// Daemons exchange their histories. A history is the union of all crashes that
/// any daemon saw since the request was last cleared, so the order of messages
/// does not matter. Clearings are counted rather than timed: times differ by
/// the delay of messages, and a later one at each daemon would be news for
/// ever.

#include "Common/Ids.h"
#include "Common/RequestFingerprint.h"
#include "Common/ResultCode.h"
#include "Common/TimePoint.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace samphireshunt {

/// What is known about a request, or a part of prompts; in rising order.
enum class RequestStanding { Unsuspected, Suspected, Refused };

/// A standing and what it is about: a request or a part of its prompt.
struct Suspicion {
  RequestStanding Standing_ = RequestStanding::Unsuspected;
  RequestFingerprint Cause_;
};

/// \returns the code with which a request is refused because of \p Cause.
ResultCode refusalCode(const RequestFingerprint &Cause);

/// The crash of a server while it ran the request.
struct ServerCrash {
  std::uint64_t Server_ = 0; ///< Hash of the server's name.
  TimePoint Dispatched_;     ///< When the request was sent to it.
  TimePoint At_;
};

/// All that is known about one fingerprint.
struct CrashRecord {
  RequestFingerprint Request_;
  /// In order of time, one for each server.
  std::vector<ServerCrash> Crashes_;
  /// How often a run of the request completed while it was suspected. Crashes
  /// before the last time are gone.
  std::uint32_t Clearings_ = 0;
  /// When that was; unset if it never was.
  std::optional<TimePoint> Cleared_;

  /// \returns the number of crashes that don't belong to the one before. For a
  /// request, the run must have been dispatched after it.
  std::size_t distinctCrashes() const;
  /// \returns the end of the refusal; nothing when there were too few crashes.
  std::optional<TimePoint> refusedUntil() const;
  RequestStanding standing(TimePoint Now) const;
  /// \returns whether all daemons must know. A single crash of a part is no
  /// news: most parts of a server's requests have no share in it.
  bool isNews() const;
};

/// An immutable copy of a history for the threads that serve requests.
struct CrashSnapshot {
  std::map<RequestFingerprint, CrashRecord> Records_;

  bool empty() const { return Records_.empty(); }
  RequestStanding standing(const RequestFingerprint &Request,
                           TimePoint Now) const;

private:
  CrashRecord unexplained(const CrashRecord &Part, TimePoint Now) const;
};

class CrashHistory {
public:
  /// Maximum number of fingerprints; beyond it the one that crashed a server
  /// longest ago is forgotten, suspected ones first.
  static constexpr std::size_t MaxRecords = 512;

  /// Adds a crash of \p Server while it ran \p Request, which was sent to it at
  /// \p Dispatched. \returns false if it was known.
  bool recordCrash(const RequestFingerprint &Request, const ServerName &Server,
                   TimePoint Dispatched, TimePoint Now);
  /// Clears \p Request, a run of which completed, and remembers that for a
  /// while. \returns false if it was under no suspicion.
  bool recordCompleted(const RequestFingerprint &Request, TimePoint Now);
  /// Adds what another daemon knows. \returns false if all of it was known.
  bool merge(CrashRecord Known, TimePoint Now);

  RequestStanding standing(const RequestFingerprint &Request,
                           TimePoint Now) const;
  const CrashRecord *find(const RequestFingerprint &Request) const;
  bool empty() const { return Snapshot_.empty(); }
  std::size_t refused(TimePoint Now) const;
  const CrashSnapshot &snapshot() const { return Snapshot_; }

  /// \returns a digest that is equal at two daemons that know the same.
  std::uint64_t digest() const { return Digest_; }
  /// \returns up to \p Count records for another daemon: those that were sent
  /// least often, refused ones first.
  std::vector<CrashRecord> toSend(std::size_t Count, TimePoint Now);
  /// \returns up to \p Count records that changed within the last seconds.
  std::vector<CrashRecord> recentChanges(std::size_t Count, TimePoint Now);
  /// Removes what is too old to matter. Daemons that started later don't accept
  /// it, and would be told of it again and again.
  void forgetOld(TimePoint Now);

private:
  struct Spread {
    std::uint32_t Sent_ = 0;
    TimePoint Changed_;
  };
  std::vector<CrashRecord> leastSent(std::vector<RequestFingerprint> Candidates,
                                     std::size_t Count, TimePoint Now);
  bool crashedBefore(std::uint64_t Server, TimePoint Dispatched) const;
  void rememberCompleted(const RequestFingerprint &Request, TimePoint Now);
  void changed(const RequestFingerprint &Request, TimePoint Now);
  void makeRoom(TimePoint Now);
  void erase(const RequestFingerprint &Request);

  void updateDigest(const RequestFingerprint &Request);

  CrashSnapshot Snapshot_;
  std::uint64_t Digest_ = 0;
  /// What each record adds to the digest.
  std::map<RequestFingerprint, std::uint64_t> DigestOf_;
  std::map<RequestFingerprint, Spread> Spread_;
  /// Requests that completed lately, and when they last did.
  std::map<RequestFingerprint, TimePoint> Completed_;
  /// Each of them once, in the order in which it is looked at whether it may be
  /// forgotten: with an earlier time if it has completed again since.
  std::deque<std::pair<TimePoint, RequestFingerprint>> CompletedOrder_;
};

} // namespace samphireshunt
