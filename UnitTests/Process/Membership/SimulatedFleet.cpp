#include "UnitTests/Process/Membership/SimulatedFleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

namespace samphireshunt::tests {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t HostsPerSubnet = 200;
constexpr std::uint16_t Port = 7600;
constexpr std::string_view NamePrefix = "vm-";

Endpoint addressOf(std::size_t Index) {
  auto Text = fmt::format("10.0.{}.{}", Index / HostsPerSubnet,
                          Index % HostsPerSubnet + 1);
  return {boost::asio::ip::make_address(Text), Port};
}

std::size_t indexAt(const Endpoint &Address) {
  auto Bytes = Address.address().to_v4().to_bytes();
  return Bytes[2] * HostsPerSubnet + Bytes[3] - 1;
}

} // namespace

VmId SimulatedFleet::nameOf(std::size_t Index) {
  return VmId(fmt::format("{}{}", NamePrefix, Index));
}

std::size_t SimulatedFleet::indexOf(const VmId &Id) const {
  std::size_t Index = 0;
  const std::string &Text = Id.str();
  std::from_chars(Text.data() + NamePrefix.size(), Text.data() + Text.size(),
                  Index);
  return Index;
}

SimulatedFleet::SimulatedFleet(std::size_t Count, Options Settings)
    : Options_(Settings), Random_(Settings.Seed_) {
  for (std::size_t Index = 0; Index < Count; ++Index) {
    auto Made = std::make_unique<Node>();
    Made->Self_.Id_ = nameOf(Index);
    Made->Self_.Incarnation_ = Incarnation(1);
    Made->Self_.Address_ = formatEndpoint(addressOf(Index));
    Made->Self_.OperatorAddress_ = Made->Self_.Address_;
    Made->Self_.DataCenter_ = DataCenterName("dc");
    Nodes_.push_back(std::move(Made));
  }
  for (std::size_t Index = 0; Index < Count; ++Index)
    start(Index);
}

/// Starts a process that knows all members.
void SimulatedFleet::start(std::size_t Index) {
  Node &Target = *Nodes_[Index];
  MemberTable::Options Table;
  Table.Seed_ = Options_.Seed_ * Nodes_.size() + Index;
  Target.Members_ = std::make_unique<MemberTable>(Target.Self_, Table);
  for (std::size_t Other = 0; Other < Nodes_.size(); ++Other)
    if (Other != Index)
      Target.Members_->merge(Nodes_[Other]->Self_, Now_);
  Target.Members_->onChanged(
      [this, Index](const Member &Changed) { countChange(Index, Changed); });
  MembershipProtocol::Hooks Hooks;
  Hooks.Versions_ = [] { return std::vector<wire::ServiceVersionT>(); };
  Hooks.VersionSeen_ = [](const VmId &, const wire::ServiceVersionT &) {};
  Hooks.Floors_ = [] { return std::vector<PoolFloor>(); };
  Hooks.FloorSeen_ = [](const PoolFloor &) {};
  Hooks.MemoryPercent_ = [&Target] { return Target.MemoryPercent_; };
  Target.Previous_ =
      std::make_unique<PreviousProcess>(Target.Self_.Incarnation_, Now_);
  Hooks.PreviousEndSeen_ = [this, &Target](const VmId &From,
                                           const ProcessEnd &End) {
    Target.Previous_->onReport(From, End, Now_);
  };
  Target.Crashes_ = std::make_unique<CrashTracker>([this] { return Now_; });
  CrashTracker &Crashes = *Target.Crashes_;
  Hooks.CrashDigest_ = [&Crashes] { return Crashes.digest(); };
  Hooks.CrashRecords_ = [&Crashes](bool Differs) {
    return Crashes.recordsToSend(Differs);
  };
  Hooks.CrashSeen_ = [&Crashes](const wire::CrashRecordT &Received) {
    Crashes.recordReceived(Received);
  };
  CrashTracker::Hooks CrashHooks;
  CrashHooks.Spread_ = [this, Index, Process = Target.Process_] {
    plan(Now_, [this, Index, Process] {
      if (Nodes_[Index]->Process_ == Process)
        Nodes_[Index]->Protocol_->spreadUpdates(Now_);
    });
  };
  Crashes.setHooks(std::move(CrashHooks));
  Target.Protocol_ = std::make_unique<MembershipProtocol>(
      *Target.Members_, MembershipProtocol::Options(), std::move(Hooks),
      [this, Index](const Endpoint &To, std::string Datagram) {
        deliver(Index, To, std::move(Datagram));
      });
  // Processes start at random phases of the period.
  constexpr int PeriodMs = 500;
  planStep(Index, Now_ + milliseconds(Random_(PeriodMs)));
}

void SimulatedFleet::plan(TimePoint Due, std::function<void()> Handler) {
  Events_.push({Due, NextNumber_++, std::move(Handler)});
}

void SimulatedFleet::runOnVm(std::size_t Index, microseconds Cost,
                             std::function<void()> Work) {
  Node &Target = *Nodes_[Index];
  double Factor = Target.Slowness_ / Options_.CoreShare_;
  TimePoint Begins = std::max(Now_, Target.BusyUntil_);
  Target.BusyUntil_ =
      Begins + std::chrono::duration_cast<TimePoint::duration>(Cost * Factor);
  plan(Target.BusyUntil_,
       [this, Index, Process = Target.Process_, Work = std::move(Work)] {
         const Node &Present = *Nodes_[Index];
         if (Present.Alive_ && Present.Process_ == Process)
           Work();
       });
}

void SimulatedFleet::planStep(std::size_t Index, TimePoint Due) {
  plan(Due, [this, Index, Due, Process = Nodes_[Index]->Process_] {
    if (Nodes_[Index]->Process_ != Process)
      return;
    constexpr microseconds StepCost{20};
    runOnVm(Index, StepCost, [this, Index, Due] {
      MembershipProtocol &Protocol = *Nodes_[Index]->Protocol_;
      Protocol.onLateTimer(Now_ - Due, Now_);
      planStep(Index, Protocol.step(Now_));
    });
  });
}

void SimulatedFleet::deliver(std::size_t From, const Endpoint &To,
                             std::string Datagram) {
  BytesSent_ += Datagram.size();
  std::size_t Target = indexAt(To);
  std::uniform_real_distribution<double> Percent(0, 100);
  bool Lost = Percent(Random_) < Options_.LossPercent_;
  if (Lost || Nodes_[From]->Side_ != Nodes_[Target]->Side_)
    return;
  plan(Now_ + Options_.Latency_,
       [this, From, Target, Datagram = std::move(Datagram)] {
         if (!Nodes_[Target]->Alive_)
           return;
         ++Nodes_[Target]->Received_;
         runOnVm(Target, Options_.MessageCost_, [this, From, Target, Datagram] {
           Nodes_[Target]->Protocol_->receive(Datagram, addressOf(From), Now_);
         });
       });
}

void SimulatedFleet::countChange(std::size_t Viewer, const Member &Changed) {
  if (!Nodes_[Viewer]->Alive_ || !Nodes_[indexOf(Changed.Id_)]->Alive_)
    return;
  FalseSuspicions_ += Changed.Status_ == MemberStatus::Suspect;
  FalseDeaths_ += Changed.Status_ == MemberStatus::Dead;
}

void SimulatedFleet::runFor(milliseconds Duration) {
  TimePoint End = Now_ + Duration;
  while (!Events_.empty() && Events_.top().Due_ <= End) {
    Event Next = Events_.top();
    Events_.pop();
    Now_ = Next.Due_;
    Next.Run_();
  }
  Now_ = End;
}

milliseconds SimulatedFleet::runUntil(const std::function<bool()> &Done,
                                      milliseconds Limit) {
  constexpr milliseconds Step{200};
  TimePoint Begin = Now_;
  while (!Done() && Now_ - Begin < Limit)
    runFor(Step);
  return std::chrono::duration_cast<milliseconds>(Now_ - Begin);
}

void SimulatedFleet::kill(std::size_t Index) {
  Nodes_[Index]->Alive_ = false;
  ++Nodes_[Index]->Process_;
}

void SimulatedFleet::restart(std::size_t Index) {
  Node &Target = *Nodes_[Index];
  ++Target.Process_;
  Target.Alive_ = true;
  Target.BusyUntil_ = Now_;
  Target.Self_.Incarnation_ = Incarnation(Target.Process_ + 1);
  start(Index);
  for (std::size_t Other = 0; Other < Nodes_.size(); ++Other)
    if (Other != Index)
      Target.Protocol_->join(addressOf(Other), Now_);
}

void SimulatedFleet::keepBusy(std::size_t Index, milliseconds Duration) {
  Node &Target = *Nodes_[Index];
  Target.BusyUntil_ = std::max(Now_, Target.BusyUntil_) + Duration;
}

void SimulatedFleet::makeSuspect(std::size_t Accuser, std::size_t Target) {
  members(Accuser).suspect(nameOf(Target), Now_);
}

std::size_t SimulatedFleet::viewsOf(std::size_t Target,
                                    MemberStatus Status) const {
  VmId Name = nameOf(Target);
  return static_cast<std::size_t>(
      std::ranges::count_if(Nodes_, [&](const auto &Viewer) {
        if (!Viewer->Alive_ || Viewer.get() == Nodes_[Target].get())
          return false;
        return Viewer->Members_->statusOf(Name) == Status;
      }));
}

std::size_t SimulatedFleet::refusing(const RequestFingerprint &Request) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Nodes_, [&](const auto &Known) {
        return Known->Alive_ &&
               Known->Crashes_->standing(Request) == RequestStanding::Refused;
      }));
}

std::size_t SimulatedFleet::falseViews() const {
  std::size_t Pairs = 0;
  for (const auto &Viewer : Nodes_) {
    if (!Viewer->Alive_)
      continue;
    auto Known = Viewer->Members_->others();
    auto Correct = std::ranges::count_if(Known, [&](const Member &Other) {
      const Node &Present = *Nodes_[indexOf(Other.Id_)];
      return Present.Alive_ && Other.Status_ != MemberStatus::Dead &&
             Other.Incarnation_ == Present.Self_.Incarnation_;
    });
    auto Live = std::ranges::count_if(
        Nodes_, [](const auto &Other) { return Other->Alive_; });
    Pairs += static_cast<std::size_t>(Live - 1 - Correct);
  }
  return Pairs;
}

} // namespace samphireshunt::tests
