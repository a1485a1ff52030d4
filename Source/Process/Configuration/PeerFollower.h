#pragma once
/// \file
/// Follows a daemon that reads the platform's service, instead of the service.
/// Runs on the control thread.
///
/// What goes wrong: the daemon that is followed dies, freezes, is cut off or
/// loses the service itself, and this one would go on with what it knows, send
/// work to servers that left and honour keys that were taken away. So it asks
/// twice a second, goes to the next reader when the answer is late or old, and
/// after two of them to the service itself. The freshness lease is renewed from
/// the moment at which the question was sent, less the age that the answer
/// states: a datagram or a frame that lay unread for long renews nothing.
///
/// The configuration's text does not come with the changes: an answer names its
/// version, and who lacks it asks for it in parts (DocumentTransfer.h). The
/// lease is renewed only by a reader that has the version in force here. A
/// daemon of an earlier release neither asks so nor names one: it is told the
/// text, and tells it, among the changes. A version that gossip names and that
/// does not come from the reader or the service is asked of who named it.

#include "Connection/PeerMessage.h"
#include "Process/Configuration/DocumentTransfer.h"
#include "Process/Configuration/FreshnessLease.h"
#include "Process/Configuration/HeardVersions.h"
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
    /// How often the reader is asked. With the answer's time this bounds how
    /// long a change may stay unheard when readers freeze.
    std::chrono::milliseconds AskTime_{500};
    std::chrono::milliseconds AnswerTime_{400};
    /// A reader whose own knowledge is older than this has lost the service:
    /// readers confirm theirs each 600 ms.
    std::chrono::milliseconds OldestAge_{1200};
    /// The same in a small fleet, where each confirms its own each 3.2 s.
    std::chrono::milliseconds OldestAgeOfAlone_{4000};
    /// Silent readers that are tried before the service is asked. One that
    /// answers that it has lost the service costs no time: another may have it.
    std::size_t MostTries_ = 2;
    /// While no reader has the service, they are asked on for this long since
    /// the last good answer: a reader that lost its watch is back within it,
    /// and an outage is one for all. Hundreds of followers that look for
    /// themselves would be the largest load that the service ever gets, just
    /// when it is back. Bounds how long a leaving server may stay unheard of
    /// where the service turns only the readers away.
    std::chrono::milliseconds PatientTime_{1000};
    /// After this time a reader that said so itself is asked again.
    std::chrono::milliseconds AskAgainTime_{250};
    /// After this time a reader that failed is tried again.
    std::chrono::milliseconds TryAgainTime_{1000};
    /// A daemon that starts reads the service first, for this long: until those
    /// that started with it have registered there and answered it.
    std::chrono::milliseconds SettleTime_{1000};
    /// A reader that answers is followed for this long before a better one is
    /// looked for: each change of readers costs the whole of what they tell.
    std::chrono::milliseconds StayTime_{15000};
    /// Followers that did not ask for this long are told no changes.
    std::chrono::milliseconds ForgetTime_{2000};
    HeardVersions::Options Heard_;
  };
  struct Hooks {
    /// This daemon's part, and the readers that it may follow.
    std::function<ReaderChoice()> Choose_;
    /// Sends to a reader, and to a follower on the link that it opened.
    std::function<void(const VmId &, std::string)> Send_;
    std::function<void(const VmId &, std::string)> Reply_;
  };

  PeerFollower(boost::asio::io_context &Control, Incarnation Self,
               StoreFollower &Service, StoreView &View,
               FreshnessLease &Freshness, Options Settings, Hooks Reactions);
  void start();
  void stop() { Timer_.cancel(); }

  // As a follower.
  void onState(const VmId &From, const wire::StateT &Told);
  void onTextPart(const VmId &From, const wire::TextPartT &Part);
  void onLinkDown(const VmId &Reader);
  /// Gossip: this daemon has that version in force.
  void onVersionHeard(const VmId &From, DocumentVersion Version);
  /// A newer version than the one in force is named, and looked for.
  bool lacksHeardVersion();
  /// True while an answer of this daemon is awaited.
  bool awaiting(const VmId &Reader) const;
  /// False once no reader answers, or none has had the service for a while.
  bool inTouch() const;
  /// The daemon that is followed, if any.
  const std::optional<VmId> &reader() const { return Reader_; }

  // As a reader.
  void onFollow(const VmId &From, const wire::FollowT &Asked);
  void onTextAsk(const VmId &From, const wire::TextAskT &Asked);
  /// Tells followers what has changed.
  void onChanged();
  std::size_t followers() const { return Followers_.size(); }

private:
  struct Follower {
    TimePoint LastAsked_;
    std::uint64_t Number_ = 0;
    /// It asks for the configuration's text apart.
    bool Apart_ = false;
  };

  void schedule(std::chrono::milliseconds Delay);
  void onTimer();
  void ask();
  /// Why a reader is left.
  enum class Fault { Silent, Useless };
  void passOver(const VmId &Reader, Fault Kind, std::string_view Why);
  void choose();
  /// The reader to follow now, of those that may be.
  std::optional<VmId> pickReader(const std::vector<VmId> &Readers) const;
  /// Whether another daemon is to be followed at all.
  bool needsReader() const;
  /// The service is left alone for now, though no reader has it.
  bool patient(TimePoint Now) const;
  void readService(bool AfterOutage);
  void onAnswer(const VmId &From, const wire::StateT &Told);
  /// Whether the reader has a configuration that is not in force here.
  bool lacksTextOf(const wire::StateT &Told) const;
  /// Notes since when the reader has a configuration that is not here.
  void noteLag(const wire::StateT &Told);
  void askForText(const wire::StateT &Told);
  void askForHeardVersion();
  /// A part of a text that gossip has named.
  void onHeardPart(const wire::TextPartT &Part);
  /// What follows from a part of a text.
  void takeStep(const VmId &From, const wire::TextPartT &Part,
                DocumentTransfer::Step Next);
  void keepText();
  /// Where this daemon stands, without what has changed.
  wire::StateT standing() const;
  void addChanges(std::uint64_t After, bool Apart, wire::StateT &Told);
  void nameText(wire::StateT &Told) const;
  void forgetFollowers();
  void tell(const VmId &To, std::uint32_t Sequence, std::uint64_t After,
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
  /// What of the reader's changes is known here.
  std::uint64_t ReaderProcess_ = 0;
  std::uint64_t ReaderNumber_ = 0;
  std::uint32_t Sequence_ = 0;
  bool Awaiting_ = false;
  /// The time of the answer was up once, and what lies unread is looked at.
  bool Overdue_ = false;
  BootTime AskedAt_;
  /// Readers whose last question is not answered. As long as it is awaited the
  /// link's heartbeats show whether it went silent, and replace it.
  std::set<VmId> Unanswered_;
  /// A reader that failed, and when that is forgotten.
  struct Passed {
    Fault Kind_;
    TimePoint Until_;
  };
  std::map<VmId, Passed> PassedOver_;
  bool SawOldState_ = false;
  std::map<VmId, Follower> Followers_;
  StateEntries Entries_;
  DocumentTexts Texts_;
  DocumentTransfer Transfer_;
  HeardVersions Heard_;
  /// Of the version that gossip has named, and the daemon that sends it.
  DocumentTransfer HeardTransfer_;
  std::optional<VmId> HeardFrom_;
  /// Of a text that is too long to be taken, as it was logged.
  DocumentVersion TooLong_;
  /// Of a text that is overdue, as it was logged.
  DocumentVersion OverdueText_;
};

} // namespace samphireshunt
