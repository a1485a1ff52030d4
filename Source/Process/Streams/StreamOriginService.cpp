#include "Process/Streams/StreamOriginService.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
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

FoundOrigin originOf(const UnrecordedStream &Stream,
                     const StreamVersion &Known) {
  if (Known.Proof_ != StreamVersion::Proof::Shown)
    return {};
  return {StreamOrigin{Stream.Pool_, Known.Version_},
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
    : Control_(Control), Options_(Settings), Hooks_(std::move(Callbacks)) {}

void StreamOriginService::record(StreamKey Key, StreamOrigin Origin,
                                 milliseconds Needed) {
  asio::dispatch(Control_, [this, Key, Origin = std::move(Origin), Needed] {
    recordNow(Key, Origin, Needed);
  });
}

void StreamOriginService::recordNow(const StreamKey &Key,
                                    const StreamOrigin &Origin,
                                    milliseconds Needed) {
  auto Now = steady_clock::now();
  Origins_.add(Key, Origin, Now + Needed, Now);
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
  if (!Others_)
    Others_ = Hooks_.Others_();
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
  if (!Query.Key_)
    return withoutRecord(Query, std::move(OnAnswer));
  if (auto Known = Origins_.find(*Query.Key_, steady_clock::now()))
    return OnAnswer({std::move(Known), OriginSource::Self});
  ask(std::move(Query), std::move(OnAnswer));
}

void StreamOriginService::ask(OriginQuery Query, Answered OnAnswer) {
  std::uint64_t Sequence = NextSequence_++;
  wire::OriginAskT Ask;
  Ask.sequence = Sequence;
  Ask.key = std::make_unique<wire::StreamKey>(toWire(*Query.Key_));
  std::vector<VmId> Asked =
      recordKeepers(*Query.Key_, others(), Options_.Asked_);
  if (Asked.empty())
    return withoutRecord(Query, std::move(OnAnswer));
  auto Timer = timeLimit(Options_.AnswerTime_,
                         [this, Sequence] { finish(Sequence, std::nullopt); });
  Lookups_.emplace(Sequence, Lookup{std::move(Query), std::move(OnAnswer),
                                    Asked, std::move(Timer)});
  std::string Message = encodeMessage(std::move(Ask));
  for (const VmId &To : Asked)
    Hooks_.Send_(To, Message);
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
  std::erase(Found->second.Asked_, From);
  if (Answer.known)
    finish(Answer.sequence, StreamOrigin{PoolName(Answer.pool),
                                         SoftwareVersion(Answer.software)});
  else if (Found->second.Asked_.empty())
    finish(Answer.sequence, std::nullopt);
}

void StreamOriginService::finish(std::uint64_t Sequence,
                                 std::optional<StreamOrigin> Origin) {
  auto Node = Lookups_.extract(Sequence);
  if (!Node)
    return;
  Lookup &Ended = Node.mapped();
  if (Origin)
    return Ended.OnAnswer_({std::move(Origin), OriginSource::Peer});
  withoutRecord(Ended.Query_, std::move(Ended.OnAnswer_));
}

void StreamOriginService::withoutRecord(const OriginQuery &Query,
                                        Answered OnAnswer) {
  if (!Query.Pool_)
    return OnAnswer({});
  UnrecordedStream Stream{*Query.Pool_, Query.Arrived_, Query.MaxAge_};
  StreamVersion Known = Hooks_.VersionOf_(Stream);
  if (Known.Proof_ != StreamVersion::Proof::Unconfirmed)
    return OnAnswer(originOf(Stream, Known));
  std::uint64_t Sequence = NextSequence_++;
  auto Timer = timeLimit(Options_.ConfirmTime_,
                         [this, Sequence] { refuseUnrecorded(Sequence); });
  Unrecorded_.emplace(
      Sequence,
      Unrecorded{std::move(Stream), std::move(OnAnswer), std::move(Timer)});
  Hooks_.ConfirmList_();
}

void StreamOriginService::refuseUnrecorded(std::uint64_t Sequence) {
  if (auto Node = Unrecorded_.extract(Sequence))
    Node.mapped().OnAnswer_({});
}

void StreamOriginService::listConfirmed() {
  std::vector<std::pair<Answered, FoundOrigin>> Ended;
  for (auto Next = Unrecorded_.begin(); Next != Unrecorded_.end();) {
    Unrecorded &Waiting = Next->second;
    StreamVersion Known = Hooks_.VersionOf_(Waiting.Stream_);
    if (Known.Proof_ == StreamVersion::Proof::Unconfirmed) {
      ++Next;
      continue;
    }
    Ended.emplace_back(std::move(Waiting.OnAnswer_),
                       originOf(Waiting.Stream_, Known));
    Next = Unrecorded_.erase(Next);
  }
  if (!Unrecorded_.empty())
    Hooks_.ConfirmList_();
  for (auto &[OnAnswer, Found] : Ended)
    OnAnswer(std::move(Found));
}

bool StreamOriginService::awaiting(const VmId &Peer) const {
  return std::ranges::any_of(Lookups_, [&](const auto &Item) {
    return std::ranges::count(Item.second.Asked_, Peer) > 0;
  });
}

} // namespace samphireshunt
