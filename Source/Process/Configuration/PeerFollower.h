#pragma once
/// \file
/// Follows a daemon that reads the platform's service, instead of the service
/// itself. Runs on the control thread.
///
/// The followed daemon may die, freeze, be cut off or lose the service itself.
/// With outdated state, this daemon would send work to servers that have left
/// and accept revoked keys. So it asks the reader twice a second, changes to
/// the next reader if the answer is late or old, and after two silent readers
/// asks the service itself. The freshness lease is renewed from the time at
/// which the request was sent, less the age that the answer states, so a
/// datagram or a frame that lay unread for long does not renew it.
///
/// The configuration's text is not sent with the changes: an answer names its
/// version, and a daemon that lacks it requests it in chunks
/// (DocumentTransfer.h). Only a reader that has the version active here renews
/// the lease. A daemon of an earlier release neither requests chunks nor names
/// a version: it receives and sends the text among the changes. A version that
/// is announced by gossip, and comes neither from the reader nor from the
/// service, is requested from the daemon that announced it.

#include "Connection/PeerMessage.h"
#include "Process/Configuration/AnnouncedVersions.h"
#include "Process/Configuration/DocumentTransfer.h"
#include "Process/Configuration/FreshnessLease.h"
#include "Process/Configuration/StateEntries.h"
#include "Process/Configuration/StoreFollower.h"
#include "Process/Configuration/StoreReaders.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace samphireshunt {

class PeerFollower {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Options {
    /// How often the reader is asked. Together with the answer time this bounds
    /// how long a change may go unnoticed when readers freeze.
    std::chrono::milliseconds RequestInterval_{500};
    std::chrono::milliseconds AnswerTimeout_{400};
    /// The shortest time between two requests, unless the reader changes.
    std::chrono::milliseconds MinRequestInterval_{200};
    /// A reader whose own state is older than this has lost the service:
    /// readers confirm theirs every 600 ms.
    std::chrono::milliseconds MaxStateAge_{1200};
    /// The same in a small fleet, where each daemon confirms its own state
    /// every 3.2 s.
    std::chrono::milliseconds MaxStateAgeOfAlone_{4000};
    /// How many silent readers are tried before the service is asked. A reader
    /// that answers that it has lost the service is not counted: it costs no
    /// time, and another one may have the service.
    std::size_t MaxSilentReaders_ = 2;
    /// While no reader has the service, the readers are asked for this long
    /// after the last good answer, instead of the service. A reader that lost
    /// its watch is back within this time, and an outage affects all daemons
    /// alike. Hundreds of followers that ask the service themselves would be
    /// the largest load that it ever gets, just when it is back. This also
    /// bounds how long a follower may not learn of a leaving server when the
    /// service refuses only the readers.
    std::chrono::milliseconds OutageGraceTime_{1000};
    /// How long until a reader is asked again whose answer showed that it can't
    /// be followed.
    std::chrono::milliseconds UnusableRetryTime_{250};
    /// The same for one that retains the servers that this daemon is in doubt
    /// about.
    std::chrono::milliseconds SameDoubtRetryTime_{3000};
    /// How long until a reader that did not answer, or whose link broke, is
    /// tried again.
    std::chrono::milliseconds SilentRetryTime_{1000};
    /// A daemon that starts reads the service itself for this long, until
    /// daemons that started together with it have registered there and have
    /// answered it.
    std::chrono::milliseconds SettleTime_{1000};
    /// A reader that answers is followed for at least this long before a better
    /// one is chosen, since each change of readers transfers the complete
    /// state.
    std::chrono::milliseconds MinFollowTime_{15000};
    /// Followers that have not asked for this long receive no changes.
    std::chrono::milliseconds FollowerTimeout_{2000};
    AnnouncedVersions::Options Announced_;
    /// The longest text of a configuration that is requested or passed on.
    std::size_t MaxTextBytes_ = MaxTextBytes;
    /// How long a chunk of a text may take.
    std::chrono::milliseconds ChunkTimeout_ = DocumentTransfer::ChunkTimeout;
    /// The largest uncompressed state of a reader that is taken in.
    std::size_t MaxStateBytes_ = MaxStateBytes;
  };
  struct Hooks {
    /// Returns this daemon's role, and the readers that it may follow.
    std::function<ReaderChoice()> ChooseReaders_;
    /// Send a message to a reader, and to a follower on the link that it
    /// opened.
    std::function<void(const VmId &, std::string)> Send_;
    std::function<void(const VmId &, std::string)> Reply_;
  };

  PeerFollower(boost::asio::io_context &Control, Incarnation Self,
               StoreFollower &Service, StoreView &View,
               FreshnessLease &Freshness, Options Settings, Hooks Reactions);
  void start();
  void stop() { Timer_.cancel(); }

  // For use as a follower.
  void onState(const VmId &From, const wire::StateT &State);
  void onTextChunk(const VmId &From, const wire::TextPartT &Chunk);
  void onLinkDown(const VmId &Reader);
  /// Gossip reports that \p From has \p Version active.
  void onVersionAnnounced(const VmId &From, DocumentVersion Version);
  /// True if a version newer than the active one was announced, and is not
  /// given up.
  bool lacksAnnouncedVersion();
  /// True while an answer from \p Reader is awaited.
  bool awaiting(const VmId &Reader) const;
  /// False if no reader answers, or if none has had the service for a while.
  bool hasSource() const;
  /// Asks the reader, or the service if this daemon reads it, to confirm the
  /// state by a call that is sent after this one. View::Hooks::Applied_
  /// follows, with an answer that may still be older.
  void confirmSoon();
  /// The daemon that is followed, if any.
  const std::optional<VmId> &reader() const { return Reader_; }

  // For use as a reader.
  void onFollow(const VmId &From, const wire::FollowT &Request);
  void onTextRequest(const VmId &From, const wire::TextAskT &Request);
  /// Sends changes to followers.
  void onChanged();
  std::size_t followers() const { return Followers_.size(); }

private:
  struct Follower {
    TimePoint LastRequest_;
    std::uint64_t Number_ = 0;
    /// The follower requests the configuration's text separately.
    bool SeparateText_ = false;
  };

  void schedule(std::chrono::milliseconds Delay);
  void onTimer();
  void sendRequest();
  std::chrono::milliseconds untilNextRequest() const;
  /// Why a reader is abandoned.
  enum class Fault { Silent, Unusable };
  void abandonReader(const VmId &Reader, Fault Kind, std::string_view Why);
  void choose();
  /// The reader to follow now, out of \p Readers.
  std::optional<VmId> pickReader(const std::vector<VmId> &Readers) const;
  /// True if another daemon should be followed at all.
  bool needsReader() const;
  /// True if the service should not be read for now, although no reader has it.
  bool inGraceTime(TimePoint Now) const;
  void readService(bool AfterOutage);
  void onAnswer(const VmId &From, const wire::StateT &State);
  /// True if the reader has a configuration newer than any that is here.
  bool lacksTextOf(const wire::StateT &State) const;
  /// Records since when the reader has had a configuration that is not here.
  void noteLag(const wire::StateT &State);
  /// Records since when \p Version, which is not active here, is known.
  void noteNewer(DocumentVersion Version, BootTime Since);
  /// Records that the active version has changed.
  void noteActive();
  /// Logs, once a version, that a text is over the bound.
  void noteTooLong(DocumentVersion Version, std::size_t Size);
  /// Logs, once until a state is accepted, that a state is over the bound.
  void noteStateTooLong(const wire::StateT &State);
  void requestText(const wire::StateT &State);
  /// Handles a chunk without bytes of the text that the reader was asked for.
  void onTextRefused(const VmId &From, DocumentVersion Version);
  void requestAnnouncedVersion();
  /// Handles a chunk of a text that gossip has announced.
  void onAnnouncedChunk(const wire::TextPartT &Chunk);
  /// Carries out what follows from a chunk of a text.
  void applyStep(const VmId &From, const wire::TextPartT &Chunk,
                 DocumentTransfer::Step Next);
  /// Ends transfers of texts that aren't newer than the active one.
  void dropOldTransfers();
  void storeText();
  /// This daemon's state, without changes.
  wire::StateT currentState() const;
  void addChanges(std::uint64_t After, bool SeparateText, wire::StateT &State);
  void addTextVersion(wire::StateT &State) const;
  void forgetFollowers();
  void sendState(const VmId &To, std::uint32_t Sequence, std::uint64_t After,
                 bool SameServers);

  boost::asio::steady_timer Timer_;
  Incarnation Self_;
  StoreFollower &Service_;
  StoreView &View_;
  FreshnessLease &Freshness_;
  Options Options_;
  Hooks Hooks_;
  StoreRole Role_ = StoreRole::Alone;
  TimePoint Started_;
  std::optional<VmId> Reader_;
  TimePoint FollowedSince_;
  TimePoint LastAnswer_;
  /// Up to which of the reader's changes this daemon is current.
  std::uint64_t ReaderProcess_ = 0;
  std::uint64_t ReaderNumber_ = 0;
  /// The version that the reader named last, and the one among these whose text
  /// it did not send when asked.
  DocumentVersion ReaderVersion_;
  DocumentVersion RefusedVersion_;
  std::uint32_t Sequence_ = 0;
  bool Awaiting_ = false;
  /// The answer's deadline has passed once, and data that lies unread is
  /// processed before the reader counts as silent.
  bool Overdue_ = false;
  BootTime RequestedAt_;
  /// Readers that have not answered the last request. While an answer is
  /// awaited, the link's heartbeats show whether the link went silent, and
  /// replace it.
  std::set<VmId> Unanswered_;
  /// A reader that failed, and until when that counts.
  struct FailedReader {
    Fault Kind_;
    TimePoint Until_;
  };
  std::map<VmId, FailedReader> FailedReaders_;
  bool SawOldState_ = false;
  /// The next request asks the reader to confirm its state.
  bool ConfirmWanted_ = false;
  std::map<VmId, Follower> Followers_;
  StateEntries Entries_;
  DocumentTexts Texts_;
  DocumentTransfer Transfer_;
  AnnouncedVersions Announced_;
  /// Transfer of the version that gossip has announced, and the daemon that
  /// sends it.
  DocumentTransfer AnnouncedTransfer_;
  std::optional<VmId> AnnouncedFrom_;
  /// Versions newer than the active one, and since when they have been known.
  std::map<DocumentVersion, BootTime> NewerSince_;
  /// The version last logged as too long to accept.
  DocumentVersion LoggedTooLong_;
  /// A state was logged as too long, and none has been accepted since.
  bool StateTooLong_ = false;
  /// The version last logged as overdue.
  DocumentVersion LoggedOverdue_;
};

} // namespace samphireshunt
