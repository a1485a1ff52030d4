#include "Process/Configuration/PeerFollower.h"

#include "Common/Log.h"
#include "Connection/Spawn.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace samphireshunt {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// After a pause, a process finds its timer due in the same event-loop
/// iteration in which it reads the length of the answer's frame; the frame's
/// bytes become available one iteration later. Without this second check it
/// would mistake its own pause for a silent reader, and after two of these read
/// the whole service, over a link that may be full.
constexpr milliseconds RecheckTime{1};

/// Rounded up, as in messages.
std::uint32_t millisSince(BootTime Moment) {
  auto Age = std::chrono::ceil<milliseconds>(BootClock::now() - Moment);
  constexpr std::int64_t Max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Age.count(), 0, Max));
}

} // namespace

PeerFollower::PeerFollower(boost::asio::io_context &Control, Incarnation Self,
                           StoreFollower &Service, StoreView &View,
                           FreshnessLease &Freshness, Options Settings,
                           Hooks Reactions)
    : Timer_(Control), Self_(Self), Service_(Service), View_(View),
      Freshness_(Freshness), Options_(Settings), Hooks_(std::move(Reactions)),
      Texts_(Settings.MaxTextBytes_),
      Transfer_(Settings.MaxTextBytes_, Settings.ChunkTimeout_),
      Announced_(Settings.Announced_),
      AnnouncedTransfer_(Settings.MaxTextBytes_, Settings.ChunkTimeout_) {}

void PeerFollower::start() {
  Started_ = steady_clock::now();
  schedule(Options_.RequestInterval_);
}

void PeerFollower::schedule(milliseconds Delay) {
  Timer_.expires_after(Delay);
  Timer_.async_wait([this](const boost::system::error_code &Error) {
    if (!Error && !runLogged("follow-reader", [this] { onTimer(); }))
      schedule(Options_.RequestInterval_);
  });
}

void PeerFollower::onTimer() {
  forgetFollowers();
  requestAnnouncedVersion();
  if (!Awaiting_ || !Reader_)
    return choose();
  if (!std::exchange(Overdue_, true))
    return schedule(RecheckTime);
  abandonReader(VmId(*Reader_), Fault::Silent, "no answer");
}

/// Asks the first reader that has not failed recently. After several failures
/// asks the service, until these expire.
void PeerFollower::choose() {
  auto Now = steady_clock::now();
  std::erase_if(FailedReaders_,
                [Now](const auto &Item) { return Item.second.Until_ <= Now; });
  ReaderChoice Choice = Hooks_.ChooseReaders_();
  Role_ = Choice.Role_;
  Service_.setRole(Role_);
  auto Usable = pickReader(Choice.Readers_);
  // A spare daemon can ask the service instead; a daemon that is alone already
  // does.
  auto Silent = std::ranges::count_if(FailedReaders_, [](const auto &Item) {
    return Item.second.Kind_ == Fault::Silent;
  });
  bool TriedEnough = Role_ == StoreRole::Spare &&
                     std::cmp_greater_equal(Silent, Options_.MaxSilentReaders_);
  if (needsReader() && !Usable && !TriedEnough && inGraceTime(Now))
    return schedule(Options_.UnusableRetryTime_);
  if (!needsReader() || !Usable || TriedEnough) {
    readService(SawOldState_);
    return schedule(Options_.RequestInterval_);
  }
  if (Reader_ != *Usable) {
    Transfer_.drop();
    Reader_ = *Usable;
    FollowedSince_ = Now;
    ReaderProcess_ = 0;
    ReaderNumber_ = 0;
    ReaderVersion_ = DocumentVersion();
    RefusedVersion_ = DocumentVersion();
  }
  sendRequest();
}

/// If the view of the members flaps, e.g. next to a burst of load, other
/// readers are chosen each time. So the current reader is retained as long as
/// it is one of them.
std::optional<VmId>
PeerFollower::pickReader(const std::vector<VmId> &Readers) const {
  bool Stays = Reader_ && std::ranges::count(Readers, *Reader_) > 0 &&
               !FailedReaders_.contains(*Reader_) &&
               steady_clock::now() - FollowedSince_ < Options_.MinFollowTime_;
  if (Stays)
    return Reader_;
  auto Usable = std::ranges::find_if(Readers, [this](const VmId &Reader) {
    return !FailedReaders_.contains(Reader);
  });
  return Usable == Readers.end() ? std::nullopt : std::optional(*Usable);
}

bool PeerFollower::needsReader() const {
  switch (Role_) {
  case StoreRole::Alone:
    return !Service_.platformReachable() || View_.retainsMissing();
  case StoreRole::Spare:
    return Service_.registered() &&
           steady_clock::now() - Started_ >= Options_.SettleTime_;
  default:
    return false;
  }
}

bool PeerFollower::inGraceTime(TimePoint Now) const {
  return Role_ == StoreRole::Spare && Service_.paused() &&
         Now - LastAnswer_ < Options_.OutageGraceTime_;
}

void PeerFollower::sendRequest() {
  wire::FollowT Request;
  Request.sequence = ++Sequence_;
  Request.incarnation = ReaderProcess_;
  Request.number = ReaderNumber_;
  Request.text_apart = true;
  Request.digest = View_.digest();
  Request.confirm = std::exchange(ConfirmWanted_, false);
  Awaiting_ = true;
  Overdue_ = false;
  Unanswered_.insert(*Reader_);
  RequestedAt_ = BootClock::now();
  schedule(Options_.AnswerTimeout_);
  // This comes last, since a link that can't be opened may be reported at once.
  Hooks_.Send_(VmId(*Reader_), encodeMessage(std::move(Request)));
}

/// The age in an answer counts from the request, so a second request is needed,
/// after the reader's call.
void PeerFollower::confirmSoon() {
  if (!Reader_)
    return Service_.confirmSoon();
  ConfirmWanted_ = true;
  if (!Awaiting_)
    schedule(untilNextRequest());
}

milliseconds PeerFollower::untilNextRequest() const {
  auto Earliest = RequestedAt_ + Options_.MinRequestInterval_;
  auto Left = std::chrono::ceil<milliseconds>(Earliest - BootClock::now());
  return std::max(Left, milliseconds(0));
}

void PeerFollower::abandonReader(const VmId &Reader, Fault Kind,
                                 std::string_view Why) {
  // In an outage of the service no daemon can be followed, and one log line is
  // enough.
  if (ReaderNumber_ > 0)
    logEvent(LogCategory::Process, spdlog::level::info, "reader-passed-over",
             {{"reader", Reader.str()}, {"detail", std::string(Why)}});
  milliseconds Time = Kind == Fault::Silent ? Options_.SilentRetryTime_
                                            : Options_.UnusableRetryTime_;
  FailedReaders_[Reader] = {Kind, steady_clock::now() + Time};
  Awaiting_ = false;
  Reader_.reset();
  Transfer_.drop();
  choose();
}

void PeerFollower::readService(bool AfterOutage) {
  Reader_.reset();
  Transfer_.drop();
  Awaiting_ = false;
  if (!Service_.paused())
    return;
  logEvent(LogCategory::Process, spdlog::level::info, "reading-service",
           {{"after_outage", AfterOutage ? "true" : "false"}});
  Service_.resume(AfterOutage);
}

void PeerFollower::onState(const VmId &From, const wire::StateT &State) {
  Unanswered_.erase(From);
  if (Reader_ != From)
    return;
  bool Answer = State.sequence == Sequence_ && Awaiting_;
  if (State.sequence != 0 && !Answer)
    return;
  milliseconds Age(State.age_ms);
  SawOldState_ = Age > (Role_ == StoreRole::Alone ? Options_.MaxStateAgeOfAlone_
                                                  : Options_.MaxStateAge_);
  if (SawOldState_)
    return abandonReader(From, Fault::Unusable, "it has lost the service");
  if (!State.reads_service)
    return abandonReader(From, Fault::Unusable, "it does not read the service");
  if (DocumentVersion(State.text_version) > MaxDocumentVersion)
    return abandonReader(From, Fault::Unusable,
                         "its configuration's version is out of range");
  bool Same = State.incarnation == ReaderProcess_;
  bool Continues = State.same_digest == 0
                       ? Same && State.after <= ReaderNumber_
                       : Answer && State.same_digest == View_.digest();
  if (!State.complete && !Continues) {
    // An earlier message of the reader was lost with a link. The next answer
    // has all changes since the requested number.
    if (!Answer)
      return;
    return abandonReader(From, Fault::Unusable, "its answer has a gap");
  }
  StorePosition Reached{StoreEra(State.era), Revision(State.revision)};
  noteStateTooLong(State);
  auto Changes = changesOf(State, Options_.MaxStateBytes_);
  if (!Changes)
    return abandonReader(From, Fault::Unusable, Changes.error().Detail_);
  if (!View_.follow(*Changes, Reached, Revision(State.era_first)))
    return abandonReader(From, Fault::Unusable, "it is behind");
  StateTooLong_ = false;
  Service_.scheduleDrops();
  ReaderProcess_ = State.incarnation;
  ReaderNumber_ = State.number;
  ReaderVersion_ = DocumentVersion(State.text_version);
  noteLag(State);
  if (Answer)
    onAnswer(From, State);
  requestText(State);
}

void PeerFollower::onAnswer(const VmId &From, const wire::StateT &State) {
  Awaiting_ = false;
  LastAnswer_ = steady_clock::now();
  View_.appliedAsOf(RequestedAt_ - milliseconds(State.age_ms));
  Service_.entryMissing(State.lacks_entry);
  // A reader that lacks the version active here can't confirm that it is the
  // newest.
  bool NamesNone = State.text_version == 0;
  if (NamesNone || DocumentVersion(State.text_version) == View_.version())
    Freshness_.renew(RequestedAt_ - milliseconds(State.age_ms) -
                     milliseconds(State.unconfirmed_ms));
  // This one retains the same servers, so another one is asked next.
  if (Role_ == StoreRole::Alone && Service_.platformReachable() &&
      View_.retainsMissing())
    FailedReaders_[From] = {Fault::Unusable,
                            LastAnswer_ + Options_.SameDoubtRetryTime_};
  bool Spare = Role_ == StoreRole::Spare;
  if (Spare && !Service_.paused()) {
    logEvent(
        LogCategory::Process, spdlog::level::info, "following",
        {{"reader", From.str()}, {"revision", std::to_string(State.revision)}});
    Service_.pause();
  }
  schedule(ConfirmWanted_ ? untilNextRequest() : Options_.RequestInterval_);
}

bool PeerFollower::lacksTextOf(const wire::StateT &State) const {
  DocumentVersion Newest = std::max(View_.version(), Texts_.newest());
  return Transfer_.lacks(DocumentVersion(State.text_version), Newest);
}

void PeerFollower::noteLag(const wire::StateT &State) {
  BootTime Now = BootClock::now();
  bool Held = View_.version() > DocumentVersion(State.text_version);
  if (State.newer_known_ms > 0 && !Held)
    return Freshness_.newerKnown(Now - milliseconds(State.newer_known_ms));
  if (!lacksTextOf(State)) {
    NewerSince_.clear();
    return Freshness_.newestActive();
  }
  DocumentVersion Announced(State.text_version);
  noteNewer(Announced, Now - milliseconds(State.text_age_ms));
  if (!Freshness_.overdue(Now) ||
      std::exchange(LoggedOverdue_, Announced) == Announced)
    return;
  auto Behind = duration_cast<milliseconds>(Freshness_.behind(Now));
  logEvent(LogCategory::Process, spdlog::level::warn, "configuration-overdue",
           {{"reader", Reader_->str()},
            {"version", std::to_string(Announced.count())},
            {"size", std::to_string(State.text_size)},
            {"received", std::to_string(Transfer_.received())},
            {"newer_known_ms", std::to_string(Behind.count())}});
}

void PeerFollower::noteNewer(DocumentVersion Version, BootTime Since) {
  if (Version <= View_.version())
    return;
  constexpr std::size_t MaxVersions = 64;
  if (NewerSince_.size() < MaxVersions)
    NewerSince_.try_emplace(Version, Since);
  Freshness_.newerKnown(Since);
}

/// An older text may have arrived while a newer one was announced, so that the
/// active one is still behind.
void PeerFollower::noteActive() {
  std::erase_if(NewerSince_, [this](const auto &Item) {
    return Item.first <= View_.version();
  });
  Freshness_.newestActive();
  for (const auto &[Version, Since] : NewerSince_)
    Freshness_.newerKnown(Since);
}

void PeerFollower::noteTooLong(DocumentVersion Version, std::size_t Size) {
  if (Version <= LoggedTooLong_)
    return;
  LoggedTooLong_ = Version;
  logEvent(LogCategory::Process, spdlog::level::err, "configuration-too-long",
           {{"version", std::to_string(Version.count())},
            {"size", std::to_string(Size)},
            {"bound", std::to_string(Options_.MaxTextBytes_)}});
}

/// The readers that are passed over one after the other send the same state.
void PeerFollower::noteStateTooLong(const wire::StateT &State) {
  std::uint32_t Size = State.packed_from;
  if (Size <= Options_.MaxStateBytes_ || std::exchange(StateTooLong_, true))
    return;
  logEvent(LogCategory::Process, spdlog::level::err, "state-too-long",
           {{"reader", Reader_->str()},
            {"size", std::to_string(Size)},
            {"bound", std::to_string(Options_.MaxStateBytes_)}});
}

void PeerFollower::requestText(const wire::StateT &State) {
  if (!lacksTextOf(State))
    return;
  DocumentVersion Announced(State.text_version);
  if (State.text_size > Options_.MaxTextBytes_)
    noteTooLong(Announced, State.text_size);
  auto Request = Transfer_.onAnnounced(Announced, State.text_size,
                                       Texts_.newest(), steady_clock::now());
  if (Request)
    Hooks_.Send_(VmId(*Reader_), encodeMessage(std::move(*Request)));
}

void PeerFollower::onTextChunk(const VmId &From, const wire::TextPartT &Chunk) {
  DocumentVersion Version(Chunk.version);
  if (Reader_ == From && Transfer_.wanted() == Version) {
    applyStep(From, Chunk,
              Transfer_.received(Chunk, Texts_, steady_clock::now()));
    if (Chunk.size > 0)
      RefusedVersion_ = DocumentVersion();
    else if (Transfer_.wanted() != Version)
      onTextRefused(From, Version);
    return;
  }
  if (AnnouncedFrom_ == From && AnnouncedTransfer_.wanted() == Version)
    onAnnouncedChunk(Chunk);
}

/// The reader ends the transfer in favour of a newer text, or doesn't have the
/// text: it is over the reader's own bound, or the reader is of an earlier
/// release. The first refusal may have crossed the announcement of a newer one.
void PeerFollower::onTextRefused(const VmId &From, DocumentVersion Version) {
  bool Announced = ReaderVersion_ == Version;
  if (Announced && RefusedVersion_ == Version)
    return abandonReader(VmId(From), Fault::Unusable,
                         "it does not have the configuration that it names");
  if (Announced)
    RefusedVersion_ = Version;
  if (!Awaiting_)
    schedule(untilNextRequest());
}

void PeerFollower::onAnnouncedChunk(const wire::TextPartT &Chunk) {
  VmId From = *AnnouncedFrom_;
  if (Chunk.size == 0) {
    auto Newest = Announced_.missing(View_.version(), steady_clock::now());
    if (!Newest || Newest->Version_ <= DocumentVersion(Chunk.version))
      Announced_.notDelivered(From, steady_clock::now());
    AnnouncedTransfer_.drop();
    return;
  }
  // Only a text that arrives proves that the version exists.
  noteNewer(DocumentVersion(Chunk.version), BootClock::now());
  if (Chunk.size > Options_.MaxTextBytes_) {
    noteTooLong(DocumentVersion(Chunk.version), Chunk.size);
    Announced_.notDelivered(From, steady_clock::now());
    AnnouncedTransfer_.drop();
    return;
  }
  applyStep(From, Chunk,
            AnnouncedTransfer_.received(Chunk, Texts_, steady_clock::now()));
}

void PeerFollower::applyStep(const VmId &From, const wire::TextPartT &Chunk,
                             DocumentTransfer::Step Next) {
  if (Next.Invalid_)
    logEvent(LogCategory::Process, spdlog::level::warn, "configuration-broken",
             {{"from", From.str()},
              {"version", std::to_string(Chunk.version)},
              {"size", std::to_string(Chunk.size)}});
  if (Next.Request_)
    Hooks_.Send_(From, encodeMessage(std::move(*Next.Request_)));
  DocumentVersion Version(Chunk.version);
  if (!Next.Text_ || Version <= View_.version())
    return;
  if (!View_.applyText(Version, std::move(*Next.Text_)))
    return Announced_.notDelivered(From, steady_clock::now());
  noteActive();
  // The lease was not renewed during the transfer.
  if (Reader_ && !Awaiting_)
    sendRequest();
}

void PeerFollower::onVersionAnnounced(const VmId &From,
                                      DocumentVersion Version) {
  Announced_.noteAnnounced(From, Version, View_.version(), steady_clock::now());
}

bool PeerFollower::lacksAnnouncedVersion() {
  return Announced_.missing(View_.version(), steady_clock::now()).has_value();
}

void PeerFollower::requestAnnouncedVersion() {
  auto Now = steady_clock::now();
  // A second transfer beside that of the reader delays both.
  if (Transfer_.arriving(Now) &&
      Announced_.waitsFor(Transfer_.wanted(), Freshness_.applyBound() / 2, Now))
    return;
  auto Wanted = Announced_.due(View_.version(), Now);
  if (!Wanted || Reader_ == Wanted->Announcer_)
    return;
  // The text is as long at the other daemons.
  if (Wanted->Version_ == LoggedTooLong_)
    return;
  if (AnnouncedFrom_ != Wanted->Announcer_)
    AnnouncedTransfer_.drop();
  AnnouncedFrom_ = Wanted->Announcer_;
  auto Request = AnnouncedTransfer_.onAnnounced(Wanted->Version_, std::nullopt,
                                                Texts_.newest(), Now);
  if (!Request)
    return;
  logEvent(LogCategory::Process, spdlog::level::info, "asking-for-version",
           {{"from", Wanted->Announcer_.str()},
            {"version", std::to_string(Wanted->Version_.count())}});
  Hooks_.Send_(Wanted->Announcer_, encodeMessage(std::move(*Request)));
}

void PeerFollower::dropOldTransfers() {
  for (DocumentTransfer *Each : {&Transfer_, &AnnouncedTransfer_})
    if (Each->wanted() <= View_.version())
      Each->drop();
}

/// Stores the active text, which serves as compression prefix with whichever
/// daemon is followed later.
void PeerFollower::storeText() {
  const KeyValue *Known = View_.log().find(View_.layout().ConfigurationKey_);
  if (!Known)
    return;
  if (Known->Value_.size() > Options_.MaxTextBytes_)
    noteTooLong(View_.version(), Known->Value_.size());
  Texts_.store(View_.version(), Known->Value_);
}

void PeerFollower::onLinkDown(const VmId &Reader) {
  Unanswered_.erase(Reader);
  if (Reader_ == Reader)
    abandonReader(VmId(Reader), Fault::Silent, "its link broke");
}

bool PeerFollower::awaiting(const VmId &Reader) const {
  return Unanswered_.contains(Reader);
}

bool PeerFollower::hasSource() const {
  if (!Service_.paused())
    return Service_.platformReachable();
  return Reader_.has_value() || inGraceTime(steady_clock::now());
}

void PeerFollower::addTextVersion(wire::StateT &State) const {
  const KeyValue *Known = View_.log().find(View_.layout().ConfigurationKey_);
  if (!Known)
    return;
  State.text_version = View_.version().count();
  State.text_size = Known->Value_.size();
  State.text_age_ms = millisSince(View_.configurationReadAt());
}

wire::StateT PeerFollower::currentState() const {
  wire::StateT State;
  State.incarnation = Self_.count();
  State.number = View_.log().last();
  State.era = View_.position().Era_.count();
  State.revision = View_.position().Revision_.count();
  if (View_.eraStart())
    State.era_first = View_.eraStart()->First_.Revision_.count();
  State.age_ms = millisSince(Service_.reachedAt());
  std::uint32_t Confirmed = millisSince(Freshness_.confirmedAt());
  State.unconfirmed_ms = Confirmed - std::min(Confirmed, State.age_ms);
  if (View_.tooLargeSince())
    State.newer_known_ms = std::max(1U, millisSince(*View_.tooLargeSince()));
  State.reads_service = !Service_.paused() && Service_.platformReachable();
  return State;
}

/// A daemon of an earlier release supports neither separate texts nor
/// compressed entries.
void PeerFollower::addChanges(std::uint64_t After, bool SeparateText,
                              wire::StateT &State) {
  std::string TextKey = SeparateText ? View_.layout().ConfigurationKey_ : "";
  ChangeLog::Changes Changes = View_.told(After, TextKey);
  State.after = After;
  State.complete = Changes.Complete_;
  State.unsure = Changes.Unverified_;
  Entries_.put(Changes, SeparateText, After, State);
}

void PeerFollower::sendState(const VmId &To, std::uint32_t Sequence,
                             std::uint64_t After, bool SameServers) {
  Follower &Known = Followers_[To];
  wire::StateT State = currentState();
  if (Known.SeparateText_)
    addTextVersion(State);
  if (SameServers)
    State.same_digest = View_.digest();
  else
    addChanges(After, Known.SeparateText_, State);
  State.sequence = Sequence;
  State.lacks_entry = !View_.hasDaemon(To);
  Known.Number_ = State.number;
  Hooks_.Reply_(To, encodeMessage(std::move(State)));
}

/// A daemon that followed another reader before usually has the same servers
/// already, and then receives only their digest.
void PeerFollower::onFollow(const VmId &From, const wire::FollowT &Request) {
  Followers_[From].LastRequest_ = steady_clock::now();
  Followers_[From].SeparateText_ = Request.text_apart;
  if (Request.confirm && !Service_.paused())
    Service_.confirmSoon();
  bool Continues = Request.incarnation == Self_.count();
  bool SameServers = !Continues && Request.text_apart && Request.digest != 0 &&
                     Request.digest == View_.digest();
  sendState(From, Request.sequence, Continues ? Request.number : 0,
            SameServers);
}

void PeerFollower::onTextRequest(const VmId &From,
                                 const wire::TextAskT &Request) {
  Hooks_.Reply_(From, encodeMessage(Texts_.chunk(Request)));
}

void PeerFollower::onChanged() {
  dropOldTransfers();
  storeText();
  forgetFollowers();
  for (auto &[Name, Known] : Followers_)
    if (Known.Number_ != View_.log().last())
      sendState(Name, 0, Known.Number_, /*SameServers=*/false);
}

void PeerFollower::forgetFollowers() {
  auto Now = steady_clock::now();
  std::erase_if(Followers_, [&](const auto &Item) {
    return Now - Item.second.LastRequest_ > Options_.FollowerTimeout_;
  });
}

} // namespace samphireshunt
