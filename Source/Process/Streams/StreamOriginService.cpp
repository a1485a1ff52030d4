#include "Process/Streams/StreamOriginService.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphireshunt {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

wire::StreamKey toWire(const StreamKey &Key) { return {Key.High_, Key.Low_}; }

StreamKey fromWire(const std::unique_ptr<wire::StreamKey> &Key) {
  return Key ? StreamKey{Key->high(), Key->low()} : StreamKey();
}

FoundOrigin originOf(const OriginQuery &Query, const StreamVersion &Known,
                     bool AllAnswered) {
  if (Known.Proof_ != StreamVersion::Proof::Shown) {
    bool Lost = AllAnswered && Known.Proof_ == StreamVersion::Proof::Several;
    return {std::nullopt, OriginSource::Unknown, Lost};
  }
  return {StreamOrigin{*Query.Pool_, Known.Version_},
          OriginSource::OnlyVersion};
}

} // namespace

std::string_view originSourceName(OriginSource Source) {
  switch (Source) {
  case OriginSource::Unknown:
    return "unknown";
  case OriginSource::Self:
    return "self";
  case OriginSource::Peer:
    return "peer";
  case OriginSource::OnlyVersion:
    return "only-version";
  }
  return "unknown";
}

StreamOriginService::StreamOriginService(asio::io_context &Control,
                                         Options Settings, Hooks Callbacks)
    : Control_(Control), Options_(Settings), Hooks_(std::move(Callbacks)),
      Reach_({.AnswerTime_ = Settings.UsualAnswerTime_}) {}

void StreamOriginService::record(StreamKey Key, StreamOrigin Origin,
                                 milliseconds Needed) {
  asio::dispatch(Control_, [this, Key, Origin = std::move(Origin), Needed] {
    auto Now = steady_clock::now();
    Origins_.add(Key, Origin, Now + Needed, Now);
    tell(Key, Origin, Needed);
  });
}

void StreamOriginService::tell(const StreamKey &Key, const StreamOrigin &Origin,
                               milliseconds Needed) {
  wire::StreamOriginT Record;
  Record.key = std::make_unique<wire::StreamKey>(toWire(Key));
  Record.pool = Origin.Pool_.str();
  Record.software = Origin.Version_.str();
  Record.needed_ms = static_cast<std::uint32_t>(Needed.count());
  std::string Message = encodeMessage(std::move(Record));
  for (const VmId &To : recordKeepers(Key, others(), Options_.Copies_))
    Hooks_.Send_(To, Message);
}

const std::vector<VmId> &StreamOriginService::others() {
  if (!Others_) {
    Others_ = Hooks_.Others_();
    Reach_.retain(*Others_);
  }
  return *Others_;
}

void StreamOriginService::onRecord(const wire::StreamOriginT &Received) {
  auto Now = steady_clock::now();
  StreamOrigin Origin{PoolName(Received.pool),
                      SoftwareVersion(Received.software)};
  Origins_.add(fromWire(Received.key), Origin,
               Now + milliseconds(Received.needed_ms), Now);
}

void StreamOriginService::find(OriginQuery Query, Answered OnAnswer) {
  asio::dispatch(Control_, [this, Query = std::move(Query),
                            OnAnswer = std::move(OnAnswer)]() mutable {
    findNow(std::move(Query), std::move(OnAnswer));
  });
}

void StreamOriginService::findNow(OriginQuery Query, Answered OnAnswer) {
  auto Now = steady_clock::now();
  Question Asked{std::move(Query), std::move(OnAnswer), Now};
  if (!Asked.Query_.Key_)
    return withoutRecord(std::move(Asked));
  if (auto Known = Origins_.find(*Asked.Query_.Key_, Now))
    return Asked.OnAnswer_({std::move(Known), OriginSource::Self});
  ask(std::move(Asked));
}

void StreamOriginService::ask(Question Asked) {
  const StreamKey &Key = *Asked.Query_.Key_;
  std::vector<VmId> Keepers = recordKeepers(Key, others(), Options_.Asked_);
  if (Keepers.empty())
    return withoutRecord(std::move(Asked));
  std::uint64_t Sequence = NextSequence_++;
  wire::OriginAskT Ask;
  Ask.sequence = Sequence;
  Ask.key = std::make_unique<wire::StreamKey>(toWire(Key));
  std::string Message = encodeMessage(std::move(Ask));
  TimePoint Now = Asked.Began_;
  bool OutOfReach = outOfReach(Asked.Query_, Now);
  std::vector<VmId> Awaited = Keepers;
  // All are asked in either case: an answer shows that they are in reach again.
  if (OutOfReach)
    std::erase_if(Awaited,
                  [&](const VmId &Id) { return Reach_.isSilent(Id, Now); });
  for (const VmId &To : Keepers)
    Reach_.asked(To, Now);
  Asked.AllAnswered_ = !OutOfReach;
  bool NobodyNear = Awaited.empty();
  auto Timer = timeLimit(OutOfReach ? Options_.NearAnswerTime_
                                    : Options_.UsualAnswerTime_,
                         [this, Sequence] { answersLate(Sequence); });
  Lookups_.emplace(
      Sequence, Lookup{std::move(Asked), std::move(Awaited), std::move(Timer)});
  for (const VmId &To : Keepers)
    Hooks_.Send_(To, Message);
  if (NobodyNear)
    finish(Sequence, std::nullopt);
}

void StreamOriginService::heardOther(const VmId &Other) {
  Reach_.heard(Other, steady_clock::now());
}

bool StreamOriginService::outOfReach(const OriginQuery &Query,
                                     TimePoint Now) const {
  auto Proof = versionOf(Query).Proof_;
  if (Proof == StreamVersion::Proof::Shown)
    return false;
  bool ListOverdue =
      ListAsked_ && BootClock::now() - *ListAsked_ >= Options_.ListTime_;
  return (Proof != StreamVersion::Proof::Unconfirmed || ListOverdue) &&
         Reach_.isLost(Now);
}

void StreamOriginService::refuseOutOfReach() {
  auto Now = steady_clock::now();
  std::vector<std::uint64_t> Ended;
  for (const auto &[Sequence, Waiting] : Lookups_)
    if (Now - Waiting.Question_.Began_ >= Options_.UsualAnswerTime_ &&
        outOfReach(Waiting.Question_.Query_, Now))
      Ended.push_back(Sequence);
  for (const auto &[Sequence, Waiting] : Unrecorded_)
    if (outOfReach(Waiting.Question_.Query_, Now))
      Ended.push_back(Sequence);
  for (std::uint64_t Sequence : Ended) {
    finish(Sequence, std::nullopt);
    if (auto Node = Unrecorded_.extract(Sequence))
      Node.mapped().Question_.OnAnswer_({.OutOfReach_ = true});
  }
}

void StreamOriginService::confirmList() {
  if (!ListAsked_) {
    ListAsked_ = BootClock::now();
    ListTimer_ = timeLimit(Options_.ListTime_, [this] { refuseOutOfReach(); });
  }
  Hooks_.ConfirmList_();
}

void StreamOriginService::answersLate(std::uint64_t Sequence) {
  auto Found = Lookups_.find(Sequence);
  if (Found == Lookups_.end())
    return;
  Lookup &Late = Found->second;
  if (outOfReach(Late.Question_.Query_, steady_clock::now()))
    return finish(Sequence, std::nullopt);
  Late.Timer_ = timeLimit(Options_.AnswerTime_ - Options_.UsualAnswerTime_,
                          [this, Sequence] { finish(Sequence, std::nullopt); });
  if (versionOf(Late.Question_.Query_).Proof_ ==
      StreamVersion::Proof::Unconfirmed)
    confirmList();
}

std::unique_ptr<asio::steady_timer>
StreamOriginService::timeLimit(milliseconds Time, std::function<void()> OnEnd) {
  auto Timer = std::make_unique<asio::steady_timer>(Control_, Time);
  Timer->async_wait(
      [OnEnd = std::move(OnEnd)](const boost::system::error_code &Error) {
        if (!Error)
          OnEnd();
      });
  return Timer;
}

void StreamOriginService::onAsk(const VmId &From, const wire::OriginAskT &Ask) {
  wire::OriginAnswerT Answer;
  Answer.sequence = Ask.sequence;
  if (auto Known = Origins_.find(fromWire(Ask.key), steady_clock::now())) {
    Answer.known = true;
    Answer.pool = Known->Pool_.str();
    Answer.software = Known->Version_.str();
  }
  Hooks_.Reply_(From, encodeMessage(std::move(Answer)));
}

void StreamOriginService::onAnswer(const VmId &From,
                                   const wire::OriginAnswerT &Answer) {
  auto Found = Lookups_.find(Answer.sequence);
  if (Found == Lookups_.end())
    return;
  if (Answer.known)
    finish(Answer.sequence, StreamOrigin{PoolName(Answer.pool),
                                         SoftwareVersion(Answer.software)});
  else
    unknownAt(From, Answer.sequence, /*Answered=*/true);
}

void StreamOriginService::onLinkDown(const VmId &Peer) {
  std::vector<std::uint64_t> Sequences;
  std::ranges::transform(Lookups_, std::back_inserter(Sequences),
                         [](const auto &Item) { return Item.first; });
  for (std::uint64_t Sequence : Sequences)
    unknownAt(Peer, Sequence, /*Answered=*/false);
}

void StreamOriginService::unknownAt(const VmId &Peer, std::uint64_t Sequence,
                                    bool Answered) {
  auto Found = Lookups_.find(Sequence);
  if (Found == Lookups_.end())
    return;
  std::vector<VmId> &Awaited = Found->second.Asked_;
  if (std::erase(Awaited, Peer) == 0)
    return;
  bool &AllAnswered = Found->second.Question_.AllAnswered_;
  AllAnswered = AllAnswered && Answered;
  if (Awaited.empty())
    finish(Sequence, std::nullopt);
}

void StreamOriginService::finish(std::uint64_t Sequence,
                                 std::optional<StreamOrigin> Origin) {
  auto Node = Lookups_.extract(Sequence);
  if (!Node)
    return;
  Question &Asked = Node.mapped().Question_;
  Asked.AllAnswered_ = Asked.AllAnswered_ && Node.mapped().Asked_.empty();
  if (Origin)
    return Asked.OnAnswer_({std::move(Origin), OriginSource::Peer});
  withoutRecord(std::move(Asked));
}

StreamVersion StreamOriginService::versionOf(const OriginQuery &Query) const {
  if (!Query.Pool_)
    return {};
  return Hooks_.VersionOf_({*Query.Pool_, Query.Arrived_, Query.MaxAge_});
}

void StreamOriginService::withoutRecord(Question Asked) {
  const OriginQuery &Query = Asked.Query_;
  StreamVersion Known = versionOf(Query);
  bool OutOfReach = outOfReach(Query, steady_clock::now());
  if (OutOfReach && Known.Proof_ == StreamVersion::Proof::Unconfirmed)
    confirmList();
  if (OutOfReach)
    return Asked.OnAnswer_({.OutOfReach_ = true});
  if (Known.Proof_ != StreamVersion::Proof::Unconfirmed)
    return Asked.OnAnswer_(originOf(Query, Known, Asked.AllAnswered_));
  std::uint64_t Sequence = NextSequence_++;
  auto Elapsed =
      std::chrono::floor<milliseconds>(steady_clock::now() - Asked.Began_);
  auto Timer = timeLimit(Options_.ConfirmTime_ - Elapsed,
                         [this, Sequence] { refuseUnrecorded(Sequence); });
  Unrecorded_.emplace(Sequence, Unrecorded{std::move(Asked), std::move(Timer)});
  confirmList();
}

void StreamOriginService::refuseUnrecorded(std::uint64_t Sequence) {
  if (auto Node = Unrecorded_.extract(Sequence))
    Node.mapped().Question_.OnAnswer_({});
}

void StreamOriginService::listConfirmed(BootTime AskedAt) {
  if (ListAsked_ && AskedAt >= *ListAsked_)
    ListAsked_.reset();
  std::vector<std::pair<Answered, FoundOrigin>> Ended;
  for (auto Next = Unrecorded_.begin(); Next != Unrecorded_.end();) {
    Unrecorded &Waiting = Next->second;
    StreamVersion Known = versionOf(Waiting.Question_.Query_);
    if (Known.Proof_ == StreamVersion::Proof::Unconfirmed) {
      ++Next;
      continue;
    }
    Ended.emplace_back(std::move(Waiting.Question_.OnAnswer_),
                       originOf(Waiting.Question_.Query_, Known,
                                Waiting.Question_.AllAnswered_));
    Next = Unrecorded_.erase(Next);
  }
  if (!Unrecorded_.empty())
    confirmList();
  for (auto &[OnAnswer, Found] : Ended)
    OnAnswer(std::move(Found));
}

bool StreamOriginService::awaiting(const VmId &Peer) const {
  return std::ranges::any_of(Lookups_, [&](const auto &Item) {
    return std::ranges::count(Item.second.Asked_, Peer) > 0;
  });
}

} // namespace samphireshunt
