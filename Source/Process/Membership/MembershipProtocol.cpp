#include "Process/Membership/MembershipProtocol.h"

#include <algorithm>

namespace samphireshunt {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// How often pending acks are checked between two periods.
constexpr milliseconds CheckInterval{50};
/// A timer that fires this late shows that this process was suspended.
constexpr milliseconds SuspendThreshold{50};
/// The number of ack timeouts after which a probe has failed: one for the
/// direct probe, and two for the indirect probes, which need two more hops.
constexpr int AckTimeoutsPerProbe = 3;

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
  Target->relay_port = Value.RelayPort_;
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
  Target.RelayPort_ = Value.relay_port;
  return Target;
}

std::unique_ptr<wire::ProcessEndT> endToWire(const ProcessEnd &Value) {
  auto Target = std::make_unique<wire::ProcessEndT>();
  Target->incarnation = Value.Incarnation_.count();
  Target->left = Value.Left_;
  Target->silence_end = static_cast<std::uint8_t>(Value.SilenceEnd_);
  Target->silence_ms = static_cast<std::uint32_t>(Value.Silence_.count());
  Target->memory_percent = Value.LastHealth_.MemoryPercent_;
  Target->longest_stall_ms =
      static_cast<std::uint32_t>(Value.LastHealth_.LongestStall_.count());
  return Target;
}

ProcessEnd endFromWire(const wire::ProcessEndT &Value) {
  auto Highest = static_cast<std::uint8_t>(SilenceEnd::LinkDown);
  ProcessEnd Target;
  Target.Incarnation_ = Incarnation(Value.incarnation);
  Target.Left_ = Value.left;
  Target.SilenceEnd_ =
      static_cast<SilenceEnd>(std::min(Value.silence_end, Highest));
  Target.Silence_ = milliseconds(Value.silence_ms);
  Target.LastHealth_ = {Value.memory_percent,
                        milliseconds(Value.longest_stall_ms)};
  return Target;
}

} // namespace

MembershipProtocol::MembershipProtocol(MemberTable &Members, Options Settings,
                                       Hooks Callbacks, SendHook Send)
    : Members_(Members), Options_(Settings), Hooks_(std::move(Callbacks)),
      Send_(std::move(Send)) {}

TimePoint MembershipProtocol::step(TimePoint Now) {
  checkPending(Now);
  Members_.tick(Now);
  if (Now >= NextPeriod_)
    onPeriod(Now);
  return Pending_.empty() ? NextPeriod_ : Now + CheckInterval;
}

/// Prolongs pending probes and suspicions after a pause of this process. Its
/// timers are then due before the acks that arrived meanwhile are read. Without
/// this, it would declare all probed members dead, their keepers would change,
/// and their requests would move.
void MembershipProtocol::onLateTimer(steady_clock::duration Late,
                                     TimePoint Now) {
  if (Late < SuspendThreshold)
    return;
  Stall_.record(Late, Now);
  Health_.recordFailure();
  // One more interval is added, in which the acks are read.
  for (auto &[Sequence, Probe] : Pending_)
    Probe.Started_ += Late + CheckInterval;
  Members_.extendSuspicions(Late);
}

void MembershipProtocol::onPeriod(TimePoint Now) {
  NextPeriod_ = Now + Options_.Period_;
  MemoryPercent_ = Hooks_.MemoryPercent_();
  if (auto Target = Members_.nextProbe())
    probe(*Target, Now);
  for (const Member &Target : Members_.suspectsToProbe())
    probe(Target, Now);
  for (const Member &Target : Members_.deadToProbe(Now))
    probe(Target, Now);
}

void MembershipProtocol::probe(const Member &Target, TimePoint Now) {
  auto Address = parseEndpoint(Target.Address_);
  if (!Address)
    return;
  std::uint32_t Sequence = sendProbe(*Address, &Target, Now);
  Pending_[Sequence] = {Target.Id_, Now, false, {}, 0};
}

std::uint32_t MembershipProtocol::sendProbe(const Endpoint &To,
                                            const Member *Target,
                                            TimePoint Now) {
  wire::ProbeT Probe;
  Probe.sequence = NextSequence_++;
  addGossip(Probe, Now);
  // After a partition, each side considers the other dead. Only the member
  // itself can override that, and it must receive the claim to do so.
  if (Target && Target->Status_ >= MemberStatus::Suspect)
    Probe.members.push_back(memberToWire(*Target));
  std::uint32_t Sequence = Probe.sequence;
  send(std::move(Probe), To);
  return Sequence;
}

/// Checks the pending probes. One lost datagram, or one broken path between two
/// daemons, must not make a live daemon suspect, so others are asked to probe
/// it first.
void MembershipProtocol::checkPending(TimePoint Now) {
  milliseconds Timeout = Health_.scaledTimeout(Options_.AckTimeout_);
  for (auto Item = Pending_.begin(); Item != Pending_.end();) {
    auto &[Sequence, Probe] = *Item;
    auto Age = Now - Probe.Started_;
    if (Age > Timeout && !Probe.Indirect_) {
      Probe.Indirect_ = true;
      requestIndirectProbes(Sequence, Probe.Target_, Now);
      // However late the check is, the indirect probes get their full time.
      Probe.Started_ = Now - Timeout;
      ++Item;
      continue;
    }
    if (Age <= AckTimeoutsPerProbe * Timeout) {
      ++Item;
      continue;
    }
    bool ForOther = Probe.RequesterSequence_ != 0;
    // A dead member that does not answer says nothing about the health of this
    // daemon.
    bool AlreadyDead = Members_.statusOf(Probe.Target_) == MemberStatus::Dead;
    if (!ForOther && !AlreadyDead) {
      Members_.suspect(Probe.Target_, Now);
      Health_.recordFailure();
    }
    Item = Pending_.erase(Item);
  }
}

void MembershipProtocol::requestIndirectProbes(std::uint32_t Sequence,
                                               const VmId &Target,
                                               TimePoint Now) {
  for (const Member &Helper :
       Members_.randomMembers(Options_.IndirectProbes_, Target)) {
    auto Address = parseEndpoint(Helper.Address_);
    if (!Address)
      continue;
    wire::ProbeT Request;
    Request.sequence = Sequence;
    Request.target = Target.str();
    addGossip(Request, Now);
    send(std::move(Request), *Address);
  }
}

void MembershipProtocol::receive(std::string_view Datagram,
                                 const Endpoint &From, TimePoint Now) {
  BytesReceived_ += Datagram.size();
  auto Envelope = decodeMessage(Datagram);
  if (!Envelope)
    return;
  if (const auto *Probe = Envelope->body.AsProbe())
    onProbe(*Probe, From, Now);
  else if (const auto *Ack = Envelope->body.AsProbeAck())
    onAck(*Ack, Now);
}

template <class Message>
void MembershipProtocol::applyGossip(const Message &Received, TimePoint Now) {
  if (!Received.sender)
    return;
  Member Sender = memberFromWire(*Received.sender);
  bool FromSelf = Sender.Id_ == Members_.self().Id_;
  Members_.merge(Sender, Now);
  Members_.heard(
      Sender,
      {Received.memory_percent, milliseconds(Received.longest_stall_ms)}, Now);
  ReceivedFromPeer_ = ReceivedFromPeer_ || !FromSelf;
  for (const auto &Update : Received.members)
    Members_.merge(memberFromWire(*Update), Now);
  for (const auto &Version : Received.versions)
    Hooks_.VersionSeen_(Sender.Id_, *Version);
  for (const auto &Floor : Received.floors)
    Hooks_.FloorSeen_({ServiceName(Floor->service), PoolName(Floor->pool),
                       TierIndex(Floor->tier),
                       Now + milliseconds(Floor->remaining_ms)});
  for (const auto &Record : Received.crashes)
    Hooks_.CrashSeen_(*Record);
}

template <class Message>
void MembershipProtocol::addGossip(Message &Target, TimePoint Now,
                                   bool CrashDigestDiffers) {
  Target.sender = memberToWire(Members_.self());
  std::size_t Count =
      std::clamp(Members_.recentChangeCount(Now), Options_.PiggybackedMembers_,
                 Options_.MaxPiggybacked_);
  for (const Member &Update : Members_.piggyback(Count, Now))
    Target.members.push_back(memberToWire(Update));
  for (auto &Version : Hooks_.Versions_())
    Target.versions.push_back(
        std::make_unique<wire::ServiceVersionT>(std::move(Version)));
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
  Target.memory_percent = MemoryPercent_;
  Target.longest_stall_ms = static_cast<std::uint32_t>(Stall_.get(Now).count());
  Target.crash_digest = Hooks_.CrashDigest_();
  for (auto &Record : Hooks_.CrashRecords_(CrashDigestDiffers))
    Target.crashes.push_back(
        std::make_unique<wire::CrashRecordT>(std::move(Record)));
}

void MembershipProtocol::onProbe(const wire::ProbeT &Probe,
                                 const Endpoint &From, TimePoint Now) {
  applyGossip(Probe, Now);
  if (Probe.target.empty()) {
    wire::ProbeAckT Ack;
    Ack.sequence = Probe.sequence;
    addGossip(Ack, Now, Probe.crash_digest != Hooks_.CrashDigest_());
    // A suspected sender receives the claim, whatever else is piggybacked.
    if (Probe.sender) {
      VmId Sender(Probe.sender->vm);
      if (auto Known = Members_.find(Sender))
        Ack.members.push_back(memberToWire(*Known));
      if (auto Previous = Members_.previousEnd(Sender, Now))
        Ack.previous = endToWire(*Previous);
    }
    send(std::move(Ack), From);
    return;
  }
  auto Target = Members_.find(VmId(Probe.target));
  auto Address =
      Target ? parseEndpoint(Target->Address_) : Result<Endpoint>(Failure());
  if (!Address)
    return;
  std::uint32_t Sequence = sendProbe(*Address, &*Target, Now);
  Pending_[Sequence] = {Target->Id_, Now, true, From, Probe.sequence};
}

void MembershipProtocol::onAck(const wire::ProbeAckT &Ack, TimePoint Now) {
  applyGossip(Ack, Now);
  if (Ack.previous && Ack.sender)
    Hooks_.PreviousEndSeen_(VmId(Ack.sender->vm), endFromWire(*Ack.previous));
  auto Found = Pending_.find(Ack.sequence);
  if (Found == Pending_.end())
    return;
  PendingProbe Probe = Found->second;
  Pending_.erase(Found);
  if (Probe.RequesterSequence_ == 0) {
    // The answer to an indirect probe says nothing about the latency to this
    // daemon.
    if (!Probe.Indirect_)
      Health_.recordSuccess();
    return;
  }
  wire::ProbeAckT Forwarded;
  Forwarded.sequence = Probe.RequesterSequence_;
  addGossip(Forwarded, Now);
  send(std::move(Forwarded), Probe.Requester_);
}

/// Probes a member whose link broke. The cause may be this daemon or the path
/// rather than the member: gossiped as a suspicion, it would move a healthy
/// keeper's cells.
void MembershipProtocol::check(const VmId &Id, TimePoint Now) {
  bool Awaited = std::ranges::any_of(Pending_, [&](const auto &Item) {
    return Item.second.Target_ == Id && Item.second.RequesterSequence_ == 0;
  });
  auto Known = Members_.find(Id);
  if (Known && Known->Status_ < MemberStatus::Suspect && !Awaited)
    probe(*Known, Now);
}

void MembershipProtocol::join(const Endpoint &Address, TimePoint Now) {
  sendProbe(Address, nullptr, Now);
}

void MembershipProtocol::spreadUpdates(TimePoint Now) {
  for (const Member &Target :
       Members_.randomMembers(Options_.UpdateFanOut_, VmId())) {
    auto Address = parseEndpoint(Target.Address_);
    if (Address)
      join(*Address, Now);
  }
}

template <class Message>
void MembershipProtocol::send(Message Body, const Endpoint &To) {
  std::string Datagram = encodeMessage(std::move(Body));
  BytesSent_ += Datagram.size();
  Send_(To, std::move(Datagram));
}

} // namespace samphireshunt
