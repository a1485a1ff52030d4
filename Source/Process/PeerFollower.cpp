#include "Process/PeerFollower.h"

#include "Common/Log.h"

#include <algorithm>
#include <limits>

namespace samphireshunt {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

ChangeLog::Changes changesOf(const wire::StateT &Told) {
  ChangeLog::Changes Changes;
  Changes.Complete_ = Told.complete;
  for (const auto &Entry : Told.entries)
    Changes.Entries_.push_back(
        {Entry->key, Entry->value, Revision(Entry->revision), Entry->deleted});
  return Changes;
}

} // namespace

PeerFollower::PeerFollower(boost::asio::io_context &Control, Incarnation Self,
                           StoreFollower &Service, StoreView &View,
                           FreshnessLease &Freshness, Options Settings,
                           Hooks Reactions)
    : Timer_(Control), Self_(Self), Service_(Service), View_(View),
      Freshness_(Freshness), Options_(Settings), Hooks_(std::move(Reactions)) {}

void PeerFollower::start() {
  Started_ = steady_clock::now();
  schedule(Options_.AskTime_);
}

void PeerFollower::schedule(milliseconds Delay) {
  Timer_.expires_after(Delay);
  Timer_.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      onTimer();
  });
}

void PeerFollower::onTimer() {
  forgetFollowers();
  if (Awaiting_ && Reader_)
    return passOver(VmId(*Reader_), "no answer");
  choose();
}

/// Asks the first reader that has not failed lately; after some failures the
/// service, until these are forgotten.
void PeerFollower::choose() {
  auto Now = steady_clock::now();
  std::erase_if(PassedOver_,
                [Now](const auto &Item) { return Item.second <= Now; });
  ReaderChoice Choice = Hooks_.Choose_();
  Role_ = Choice.Role_;
  Service_.setRole(Role_);
  auto Usable =
      std::ranges::find_if(Choice.Readers_, [this](const VmId &Reader) {
        return !PassedOver_.contains(Reader);
      });
  // A spare daemon can ask the service instead; one that is alone does already.
  bool TriedEnough =
      Role_ == StoreRole::Spare && PassedOver_.size() >= Options_.MostTries_;
  if (!needsReader() || Usable == Choice.Readers_.end() || TriedEnough) {
    readService(SawOldState_);
    return schedule(Options_.AskTime_);
  }
  if (Reader_ != *Usable) {
    Reader_ = *Usable;
    ReaderNumber_ = 0;
  }
  ask();
}

bool PeerFollower::needsReader() const {
  switch (Role_) {
  case StoreRole::Alone:
    return !Service_.platformReachable();
  case StoreRole::Spare:
    return Service_.registered() &&
           steady_clock::now() - Started_ >= Options_.SettleTime_;
  default:
    return false;
  }
}

void PeerFollower::ask() {
  wire::FollowT Question;
  Question.sequence = ++Sequence_;
  Question.incarnation = ReaderProcess_;
  Question.number = ReaderNumber_;
  Awaiting_ = true;
  Unanswered_.insert(*Reader_);
  AskedAt_ = BootClock::now();
  schedule(Options_.AnswerTime_);
  // Last: a link that can't be opened may be told of at once.
  Hooks_.Send_(VmId(*Reader_), encodeMessage(std::move(Question)));
}

void PeerFollower::passOver(const VmId &Reader, std::string_view Why) {
  // In an outage of the service nobody can be followed: one line is enough.
  if (ReaderNumber_ > 0)
    logEvent(LogCategory::Process, spdlog::level::info, "reader-passed-over",
             {{"reader", Reader.str()}, {"detail", std::string(Why)}});
  PassedOver_[Reader] = steady_clock::now() + Options_.TryAgainTime_;
  Awaiting_ = false;
  Reader_.reset();
  choose();
}

void PeerFollower::readService(bool AfterOutage) {
  Reader_.reset();
  Awaiting_ = false;
  if (!Service_.paused())
    return;
  logEvent(LogCategory::Process, spdlog::level::info, "reading-service",
           {{"after_outage", AfterOutage ? "true" : "false"}});
  Service_.resume(AfterOutage);
}

void PeerFollower::onState(const VmId &From, const wire::StateT &Told) {
  Unanswered_.erase(From);
  if (Reader_ != From)
    return;
  bool Answer = Told.sequence == Sequence_ && Awaiting_;
  if (Told.sequence != 0 && !Answer)
    return;
  milliseconds Age(Told.age_ms);
  SawOldState_ = Age > (Role_ == StoreRole::Alone ? Options_.OldestAgeOfAlone_
                                                  : Options_.OldestAge_);
  if (SawOldState_)
    return passOver(From, "it has lost the service");
  if (!Told.reads_service)
    return passOver(From, "it does not read the service");
  bool Same = Told.incarnation == ReaderProcess_;
  if (!Told.complete && (!Same || Told.after > ReaderNumber_)) {
    // Something that it told before was lost with a link. The next answer has
    // all since the number that is asked for.
    if (!Answer)
      return;
    return passOver(From, "its answer has a gap");
  }
  if (!View_.follow(changesOf(Told), Revision(Told.revision)))
    return passOver(From, "it is behind");
  ReaderProcess_ = Told.incarnation;
  ReaderNumber_ = Told.number;
  if (!Answer)
    return;
  Awaiting_ = false;
  Freshness_.renew(AskedAt_ - Age);
  bool Spare = Role_ == StoreRole::Spare;
  if (Spare && !Service_.paused()) {
    logEvent(
        LogCategory::Process, spdlog::level::info, "following",
        {{"reader", From.str()}, {"revision", std::to_string(Told.revision)}});
    Service_.pause();
  }
  schedule(Options_.AskTime_);
}

void PeerFollower::onLinkDown(const VmId &Reader) {
  Unanswered_.erase(Reader);
  if (Reader_ == Reader)
    passOver(VmId(Reader), "its link broke");
}

bool PeerFollower::awaiting(const VmId &Reader) const {
  return Unanswered_.contains(Reader);
}

bool PeerFollower::inTouch() const {
  if (!Service_.paused())
    return Service_.platformReachable();
  return Reader_.has_value();
}

wire::StateT PeerFollower::stateAfter(std::uint64_t Number) const {
  wire::StateT Told;
  Told.incarnation = Self_.count();
  Told.number = View_.log().last();
  Told.after = Number;
  Told.revision = View_.revision().count();
  auto Age = std::chrono::ceil<milliseconds>(Freshness_.age(BootClock::now()));
  constexpr std::int64_t Most = std::numeric_limits<std::uint32_t>::max();
  Told.age_ms = static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Age.count(), 0, Most));
  Told.reads_service = !Service_.paused() && Service_.platformReachable();
  ChangeLog::Changes Changes = View_.log().since(Number);
  Told.complete = Changes.Complete_;
  for (const KeyValue &Entry : Changes.Entries_) {
    auto Added = std::make_unique<wire::StateEntryT>();
    Added->key = Entry.Key_;
    Added->value = Entry.Value_;
    Added->revision = Entry.Revision_.count();
    Added->deleted = Entry.Deleted_;
    Told.entries.push_back(std::move(Added));
  }
  return Told;
}

void PeerFollower::tell(const VmId &To, std::uint32_t Sequence,
                        std::uint64_t After) {
  wire::StateT Told = stateAfter(After);
  Told.sequence = Sequence;
  Followers_[To].Number_ = Told.number;
  Hooks_.Reply_(To, encodeMessage(std::move(Told)));
}

void PeerFollower::onFollow(const VmId &From, const wire::FollowT &Asked) {
  Followers_[From].LastAsked_ = steady_clock::now();
  bool Same = Asked.incarnation == Self_.count();
  tell(From, Asked.sequence, Same ? Asked.number : 0);
}

void PeerFollower::onChanged() {
  forgetFollowers();
  for (auto &[Name, Known] : Followers_)
    if (Known.Number_ != View_.log().last())
      tell(Name, 0, Known.Number_);
}

void PeerFollower::forgetFollowers() {
  auto Now = steady_clock::now();
  std::erase_if(Followers_, [&](const auto &Item) {
    return Now - Item.second.LastAsked_ > Options_.ForgetTime_;
  });
}

} // namespace samphireshunt
