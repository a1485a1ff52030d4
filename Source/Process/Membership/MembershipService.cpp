#include "Process/Membership/MembershipService.h"

#include "Common/Log.h"

#include <algorithm>

namespace samphireshunt {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// How often acks are checked between two periods.
constexpr milliseconds CheckInterval{50};
/// A timer that comes so late shows that this process was not let run.
constexpr milliseconds OwnDelay{50};
/// Suspects that are probed each period, besides the round.
constexpr std::size_t SuspectProbes = 2;

std::unique_ptr<wire::MemberT> memberToWire(const Member &Value) {
  auto Target = std::make_unique<wire::MemberT>();
  Target->vm = Value.Id_.str();
  Target->incarnation = Value.Incarnation_.count();
  Target->counter = Value.Counter_;
  Target->status = static_cast<std::uint8_t>(Value.Status_);
  Target->address = Value.Address_;
  Target->operators = Value.OperatorAddress_;
  Target->data_center = Value.DataCenter_.str();
  Target->link_mbps = Value.LinkMbps_;
  return Target;
}

Member memberFromWire(const wire::MemberT &Value) {
  Member Target;
  Target.Id_ = VmId(Value.vm);
  Target.Incarnation_ = Incarnation(Value.incarnation);
  Target.Counter_ = Value.counter;
  auto Highest = static_cast<std::uint8_t>(MemberStatus::Dead);
  Target.Status_ = static_cast<MemberStatus>(std::min(Value.status, Highest));
  Target.Address_ = Value.address;
  Target.OperatorAddress_ = Value.operators;
  Target.DataCenter_ = DataCenterName(Value.data_center);
  Target.LinkMbps_ = Value.link_mbps;
  return Target;
}

} // namespace

Result<MembershipService::Udp::socket>
MembershipService::bind(asio::io_context &Control, const Endpoint &Address) {
  Udp::endpoint Local(Address.address(), Address.port());
  error_code Error;
  Udp::socket Socket(Control);
  Socket.open(Local.protocol(), Error);
  if (!Error)
    Socket.bind(Local, Error);
  if (Error)
    return Failure{ResultCode::BadSetting, "can't bind UDP " +
                                               formatEndpoint(Address) + ": " +
                                               Error.message()};
  return Socket;
}

std::unique_ptr<MembershipService>
MembershipService::create(asio::io_context &Control, Udp::socket Socket,
                          MemberTable &Members, Options Settings,
                          Hooks Reactions) {
  return std::unique_ptr<MembershipService>(new MembershipService(
      Control, std::move(Socket), Members, Settings, std::move(Reactions)));
}

MembershipService::MembershipService(asio::io_context &Control,
                                     Udp::socket Socket, MemberTable &Members,
                                     Options Settings, Hooks Reactions)
    : Socket_(std::move(Socket)), Members_(Members), Options_(Settings),
      Hooks_(std::move(Reactions)), PeriodTimer_(Control) {}

void MembershipService::start() {
  receiveNext();
  NextPeriod_ = steady_clock::now();
  schedule();
}

void MembershipService::stop() {
  error_code Ignored;
  Socket_.close(Ignored);
  PeriodTimer_.cancel();
}

void MembershipService::schedule() {
  PeriodTimer_.expires_after(Pending_.empty() ? Options_.Period_
                                              : CheckInterval);
  PeriodTimer_.async_wait([this](const error_code &Error) {
    if (Error)
      return;
    notePause(steady_clock::now() - PeriodTimer_.expiry());
    checkPending();
    Members_.tick(steady_clock::now());
    if (steady_clock::now() >= NextPeriod_)
      onPeriod();
    schedule();
  });
}

/// After a pause of this process its timers are due before the acks that came
/// meanwhile are read: without this it takes all that it has asked for dead,
/// their keepers change, and their requests move.
void MembershipService::notePause(steady_clock::duration Late) {
  if (Late < OwnDelay)
    return;
  // And one interval more, in which the acks are read.
  for (auto &[Sequence, Probe] : Pending_)
    Probe.Started_ += Late + CheckInterval;
  Members_.extendSuspicions(Late);
}

void MembershipService::onPeriod() {
  NextPeriod_ = steady_clock::now() + Options_.Period_;
  if (auto Target = Members_.nextProbe())
    probe(*Target);
  // A suspect hears of it by gossip only after some periods; the probe tells it
  // at once, and its ack refutes. In a round of 74 members its turn would come
  // half a minute later, long after it is taken for dead.
  for (const Member &Target : Members_.suspects(SuspectProbes))
    probe(Target);
}

void MembershipService::probe(const Member &Target) {
  auto Address = parseEndpoint(Target.Address_);
  if (!Address)
    return;
  Udp::endpoint To(Address->address(), Address->port());
  std::uint32_t Sequence = sendProbe(To, &Target);
  Pending_[Sequence] = {Target.Id_, steady_clock::now(), false, {}, 0};
}

std::uint32_t MembershipService::sendProbe(const Udp::endpoint &To,
                                           const Member *Target) {
  wire::ProbeT Probe;
  Probe.sequence = NextSequence_++;
  fill(Probe);
  // After a partition both sides hold each other dead. Only the member itself
  // can override that, and it must see the claim to do so.
  if (Target && Target->Status_ >= MemberStatus::Suspect)
    Probe.members.push_back(memberToWire(*Target));
  std::uint32_t Sequence = Probe.sequence;
  send(std::move(Probe), To);
  return Sequence;
}

/// One lost datagram, or one broken way between two daemons, must not make a
/// live daemon suspect: others are asked to probe it before it is.
void MembershipService::checkPending() {
  auto Now = steady_clock::now();
  for (auto Item = Pending_.begin(); Item != Pending_.end();) {
    auto &[Sequence, Probe] = *Item;
    auto Age = Now - Probe.Started_;
    if (Age > Options_.AckTimeout_ && !Probe.Indirect_) {
      Probe.Indirect_ = true;
      auto Helpers =
          Members_.randomMembers(Options_.IndirectProbes_, Probe.Target_);
      for (const Member &Helper : Helpers) {
        auto Address = parseEndpoint(Helper.Address_);
        if (!Address)
          continue;
        wire::ProbeT Request;
        Request.sequence = Sequence;
        Request.target = Probe.Target_.str();
        fill(Request);
        send(std::move(Request),
             Udp::endpoint(Address->address(), Address->port()));
      }
    }
    if (Age <= 3 * Options_.AckTimeout_) {
      ++Item;
      continue;
    }
    bool ForOther = Probe.RequesterSequence_ != 0;
    if (!ForOther)
      Members_.suspect(Probe.Target_, Now);
    Item = Pending_.erase(Item);
  }
}

void MembershipService::receiveNext() {
  Socket_.async_receive_from(
      asio::buffer(Space_), Sender_,
      [this](const error_code &Error, std::size_t Count) {
        if (Error == asio::error::operation_aborted || !Socket_.is_open())
          return;
        if (!Error)
          receive(std::string_view(Space_.data(), Count));
        receiveNext();
      });
}

void MembershipService::receive(std::string_view Bytes) {
  BytesReceived_ += Bytes.size();
  auto Envelope = decodeMessage(Bytes);
  if (!Envelope)
    return;
  if (const auto *Probe = Envelope->body.AsProbe())
    onProbe(*Probe);
  else if (const auto *Ack = Envelope->body.AsProbeAck())
    onAck(*Ack);
}

template <class Message> void MembershipService::learn(const Message &Heard) {
  if (!Heard.sender)
    return;
  auto Now = steady_clock::now();
  Member Sender = memberFromWire(*Heard.sender);
  bool FromSelf = Sender.Id_ == Members_.self().Id_;
  Members_.merge(Sender, Now);
  HeardFromPeer_ = HeardFromPeer_ || !FromSelf;
  for (const auto &Update : Heard.members)
    Members_.merge(memberFromWire(*Update), Now);
  for (const auto &Version : Heard.versions)
    Hooks_.VersionSeen_(Sender.Id_, *Version);
  for (const auto &Floor : Heard.floors)
    Hooks_.FloorSeen_({ServiceName(Floor->service), PoolName(Floor->pool),
                       TierIndex(Floor->tier),
                       Now + milliseconds(Floor->remaining_ms)});
}

template <class Message> void MembershipService::fill(Message &Target) {
  Target.sender = memberToWire(Members_.self());
  for (const Member &Update : Members_.piggyback(Options_.PiggybackedMembers_))
    Target.members.push_back(memberToWire(Update));
  for (auto &Version : Hooks_.Versions_())
    Target.versions.push_back(
        std::make_unique<wire::ServiceVersionT>(std::move(Version)));
  auto Now = steady_clock::now();
  for (const PoolFloor &Floor : Hooks_.Floors_()) {
    if (Floor.Until_ <= Now)
      continue;
    auto Entry = std::make_unique<wire::FloorT>();
    Entry->service = Floor.Service_.str();
    Entry->pool = Floor.Pool_.str();
    Entry->tier = Floor.Tier_.count();
    Entry->remaining_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(Floor.Until_ - Now).count());
    Target.floors.push_back(std::move(Entry));
  }
}

void MembershipService::onProbe(const wire::ProbeT &Probe) {
  learn(Probe);
  if (Probe.target.empty()) {
    wire::ProbeAckT Ack;
    Ack.sequence = Probe.sequence;
    fill(Ack);
    // A suspected sender is told so, whatever else is piggybacked.
    if (Probe.sender)
      if (auto Known = Members_.find(VmId(Probe.sender->vm)))
        Ack.members.push_back(memberToWire(*Known));
    send(std::move(Ack), Sender_);
    return;
  }
  auto Target = Members_.find(VmId(Probe.target));
  auto Address =
      Target ? parseEndpoint(Target->Address_) : Result<Endpoint>(Failure());
  if (!Address)
    return;
  std::uint32_t Sequence =
      sendProbe(Udp::endpoint(Address->address(), Address->port()), &*Target);
  Pending_[Sequence] = {Target->Id_, steady_clock::now(), true, Sender_,
                        Probe.sequence};
}

void MembershipService::onAck(const wire::ProbeAckT &Ack) {
  learn(Ack);
  auto Found = Pending_.find(Ack.sequence);
  if (Found == Pending_.end())
    return;
  PendingProbe Probe = Found->second;
  Pending_.erase(Found);
  if (Probe.RequesterSequence_ == 0)
    return;
  wire::ProbeAckT Forwarded;
  Forwarded.sequence = Probe.RequesterSequence_;
  fill(Forwarded);
  send(std::move(Forwarded), Probe.Requester_);
}

void MembershipService::join(const Endpoint &Address) {
  sendProbe(Udp::endpoint(Address.address(), Address.port()), nullptr);
}

void MembershipService::spreadNews() {
  for (const Member &Target :
       Members_.randomMembers(Options_.NewsFanOut_, VmId())) {
    auto Address = parseEndpoint(Target.Address_);
    if (Address)
      join(*Address);
  }
}

template <class Message>
void MembershipService::send(Message Body, const Udp::endpoint &To) {
  std::string Bytes = encodeMessage(std::move(Body));
  error_code Ignored;
  // Never waits: a full buffer loses the datagram, as any network may.
  Socket_.non_blocking(true, Ignored);
  Socket_.send_to(asio::buffer(Bytes), To, 0, Ignored);
  BytesSent_ += Bytes.size();
}

} // namespace samphireshunt
