#pragma once
/// \file
/// Tells at any daemon where a stream began whose caller takes it up again. The
/// daemon that serves a stream tells a few others before the caller gets the
/// first event, and does not wait for them. Public functions may be called from
/// any thread unless noted; the state is confined to the control thread.

#include "Connection/PeerMessage.h"
#include "Process/Streams/PeerReach.h"
#include "Process/Streams/StreamOrigins.h"
#include "Process/Streams/VersionTimeline.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphireshunt {

/// How a daemon knows where a stream began.
enum class OriginSource {
  Unknown,
  Self,       ///< It served the stream, or was told of it.
  Peer,       ///< Another daemon told it.
  OnlyVersion ///< Its pool has had only one version since.
};

/// \returns the name for logs and metrics.
std::string_view originSourceName(OriginSource Source);

struct FoundOrigin {
  /// Unset if Source_ is Unknown.
  std::optional<StreamOrigin> Origin_;
  OriginSource Source_ = OriginSource::Unknown;
  /// Several versions may have begun it, and all daemons that were asked have
  /// answered that they don't know it.
  bool Lost_ = false;
  /// This daemon reaches neither most others nor the service. Another daemon
  /// may know the stream.
  bool OutOfReach_ = false;
};

/// A stream that its caller takes up again.
struct OriginQuery {
  /// Unset if the caller does not say which attempt began it.
  std::optional<StreamKey> Key_;
  /// The pool that such streams begin at; unset if there are several.
  std::optional<PoolName> Pool_;
  /// The longest time since the stream began.
  std::chrono::milliseconds MaxAge_{0};
  /// When this daemon read the attempt.
  BootTime Arrived_;
};

class StreamOriginService {
public:
  struct Options {
    /// Other daemons that are told of each stream. A stream is lost if all of
    /// them end together with the daemon that serves it.
    std::size_t Copies_ = 4;
    /// Other daemons that are asked. More than are told: some may be gone, and
    /// daemons differ in which they know.
    std::size_t Asked_ = 6;
    /// By then all answer that are in reach and not starved of processor time.
    /// A newer list of servers is asked for while the others are awaited.
    std::chrono::milliseconds UsualAnswerTime_{100};
    /// How long answers are awaited in all.
    std::chrono::milliseconds AnswerTime_{250};
    /// How long the answers and a newer list of servers are awaited in all.
    /// Callers give up an attempt after a second without an answer, and a
    /// daemon that is cut off delays them in vain.
    std::chrono::milliseconds ConfirmTime_{500};
    /// A newer list that takes longer is not to be had.
    std::chrono::milliseconds ListTime_{100};
    /// How long those are awaited that may answer, once others are out of
    /// reach.
    std::chrono::milliseconds NearAnswerTime_{30};
  };
  struct Hooks {
    std::function<void(const VmId &, std::string)> Send_;
    std::function<void(const VmId &, std::string)> Reply_;
    /// Returns the other daemons that may keep records.
    std::function<std::vector<VmId>()> Others_;
    /// Returns the version that an unrecorded stream may go on at.
    std::function<StreamVersion(const UnrecordedStream &)> VersionOf_;
    /// Asks for a newer list of servers, once for all calls that come soon
    /// after each other; listConfirmed() follows.
    std::function<void()> ConfirmList_;
  };
  using Answered = std::function<void(FoundOrigin)>;

  StreamOriginService(boost::asio::io_context &Control, Options Settings,
                      Hooks Callbacks);

  /// Records where a stream began; its caller may take it up for \p Needed.
  void record(StreamKey Key, StreamOrigin Origin,
              std::chrono::milliseconds Needed);
  /// Calls \p OnAnswer once, on the control thread.
  void find(OriginQuery Query, Answered OnAnswer);

  // On the control thread.
  void onRecord(const wire::StreamOriginT &Received);
  void onAsk(const VmId &From, const wire::OriginAskT &Ask);
  void onAnswer(const VmId &From, const wire::OriginAnswerT &Answer);
  /// Called when the service has confirmed the list of servers, as of \p
  /// AskedAt.
  void listConfirmed(BootTime AskedAt);
  /// Called when the list of other daemons changed.
  void membersChanged() { Others_.reset(); }
  /// Called with each message of \p Other on a link.
  void heardOther(const VmId &Other);
  /// Called when \p Other reset its link.
  void otherEnded(const VmId &Other) { Reach_.ended(Other); }
  /// Called when the link to \p Peer could not be opened, or broke: no answer
  /// of it will come.
  void onLinkDown(const VmId &Peer);
  /// \returns true while an answer of \p Peer is awaited.
  bool awaiting(const VmId &Peer) const;
  std::size_t recordCount() const { return Origins_.size(); }

private:
  /// A stream that was asked for, and who waits for the answer.
  struct Question {
    OriginQuery Query_;
    Answered OnAnswer_;
    TimePoint Began_;
    /// All who were asked have answered.
    bool AllAnswered_ = false;
  };

  struct Lookup {
    Question Question_;
    /// Daemons whose answers are awaited.
    std::vector<VmId> Asked_;
    std::unique_ptr<boost::asio::steady_timer> Timer_;
  };

  /// A stream without a record that waits for a newer list of servers.
  struct Unrecorded {
    Question Question_;
    std::unique_ptr<boost::asio::steady_timer> Timer_;
  };

  const std::vector<VmId> &others();
  void tell(const StreamKey &Key, const StreamOrigin &Origin,
            std::chrono::milliseconds Needed);
  void confirmList();
  /// \returns whether neither other daemons nor a newer list can tell where the
  /// stream began.
  bool outOfReach(const OriginQuery &Query, TimePoint Now) const;
  /// Refuses what waits in vain.
  void refuseOutOfReach();
  void findNow(OriginQuery Query, Answered OnAnswer);
  void ask(Question Asked);
  void answersLate(std::uint64_t Sequence);
  /// Notes that no record will come from \p Peer.
  void unknownAt(const VmId &Peer, std::uint64_t Sequence, bool Answered);
  void finish(std::uint64_t Sequence, std::optional<StreamOrigin> Origin);
  std::unique_ptr<boost::asio::steady_timer>
  timeLimit(std::chrono::milliseconds Time, std::function<void()> OnEnd);
  StreamVersion versionOf(const OriginQuery &Query) const;
  void withoutRecord(Question Asked);
  void refuseUnrecorded(std::uint64_t Sequence);

  boost::asio::io_context &Control_;
  Options Options_;
  Hooks Hooks_;
  StreamOrigins Origins_;
  std::optional<std::vector<VmId>> Others_;
  PeerReach Reach_;
  /// When a newer list was first asked for; unset if one came since.
  std::optional<BootTime> ListAsked_;
  std::unique_ptr<boost::asio::steady_timer> ListTimer_;
  std::map<std::uint64_t, Lookup> Lookups_;
  std::map<std::uint64_t, Unrecorded> Unrecorded_;
  std::uint64_t NextSequence_ = 1;
};

} // namespace samphireshunt
