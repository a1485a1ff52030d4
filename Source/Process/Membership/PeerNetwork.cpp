#include "Process/Membership/PeerNetwork.h"

#include "Common/Log.h"
#include "Connection/Spawn.h"
#include "Connection/TcpConnect.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace samphireshunt {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// More than a message with the name of a VM takes, in bytes.
constexpr std::size_t MaxHelloBytes = 4096;
/// Connections without a name at once, and as many with the name of a VM that
/// is no member yet: what the largest fleet opens when all of its daemons start
/// together.
constexpr std::size_t MaxStrangers = 512;
constexpr int MaxHelloChecks = 6;

void logRefusedLink(std::string_view Reason) {
  logEvent(LogCategory::Process, spdlog::level::warn, "link-refused",
           {{"reason", std::string(Reason)}});
}

} // namespace

std::string_view linkLossName(LinkLoss Loss) {
  switch (Loss) {
  case LinkLoss::Unopened:
    return "unopened";
  case LinkLoss::Failed:
    return "failed";
  case LinkLoss::Reset:
    return "reset";
  }
  return "failed";
}

Result<std::unique_ptr<PeerNetwork>>
PeerNetwork::create(asio::io_context &Control, Endpoint Address, VmId Self,
                    Options Settings, Hooks Callbacks) {
  error_code Error;
  Tcp::acceptor Acceptor(Control);
  Acceptor.open(Address.protocol(), Error);
  if (!Error)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Address, Error);
  if (!Error)
    Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return Failure{ResultCode::BadSetting, "can't listen on " +
                                               formatEndpoint(Address) + ": " +
                                               Error.message()};
  return std::unique_ptr<PeerNetwork>(
      new PeerNetwork(Control, std::move(Acceptor), std::move(Self), Settings,
                      std::move(Callbacks)));
}

PeerNetwork::PeerNetwork(asio::io_context &Control, Tcp::acceptor Acceptor,
                         VmId Self, Options Settings, Hooks Callbacks)
    : Control_(Control), Self_(std::move(Self)), Options_(Settings),
      Hooks_(std::move(Callbacks)), StrangerTimer_(Control) {
  AcceptLoop::Hooks Accepting;
  Accepting.Context_ = [this]() -> asio::io_context & { return Control_; };
  Accepting.Accepted_ = [this](Tcp::socket Socket) {
    startInbound(std::move(Socket));
  };
  Accepting_ = AcceptLoop::create(std::move(Acceptor), "accept-daemon",
                                  std::move(Accepting));
  Accepting_->start();
}

void PeerNetwork::startInbound(Tcp::socket Socket) {
  auto Self = std::make_shared<std::weak_ptr<FrameChannel>>();
  FrameChannel::Hooks Callbacks;
  Callbacks.Received_ = [this, Self](wire::EnvelopeT Message) {
    if (auto Channel = Self->lock())
      onInbound(Channel, std::move(Message));
  };
  Callbacks.Closed_ = [this, Self] {
    if (auto Channel = Self->lock())
      dropInbound(Channel.get());
  };
  auto Channel =
      FrameChannel::create(std::move(Socket), std::move(Callbacks),
                           FrameChannel::Timing(), limits(MaxHelloBytes));
  *Self = Channel;
  // A daemon sends its name as soon as it is connected, so the oldest one is
  // the least likely to be one.
  if (Unidentified_.size() >= MaxStrangers) {
    logRefusedLink("too many without a name");
    Unidentified_.front().Channel_->close();
    Unidentified_.erase(Unidentified_.begin());
  }
  Unidentified_.push_back({std::move(Channel)});
  if (Unidentified_.size() == 1)
    checkStrangers();
}

FrameChannel::Limits PeerNetwork::limits(std::size_t FrameBytes) const {
  return {Options_.Memory_, FrameBytes};
}

/// Closes connections that send no name. They would stay for good otherwise:
/// nothing is awaited from them, so their silence ends nothing.
void PeerNetwork::checkStrangers() {
  StrangerTimer_.expires_after(Options_.HelloCheck_);
  StrangerTimer_.async_wait([this](const error_code &Error) {
    if (Error)
      return;
    std::erase_if(Unidentified_, [](Stranger &Known) {
      bool Closed = ++Known.Checks_ >= MaxHelloChecks;
      if (Closed) {
        logRefusedLink("no name");
        Known.Channel_->close();
      }
      return Closed;
    });
    if (!Unidentified_.empty())
      checkStrangers();
  });
}

bool PeerNetwork::mayLink(const VmId &From) const {
  auto IsUnknown = [this](const VmId &Id) { return !Hooks_.AddressOf_(Id); };
  auto OfUnknown = [&](const auto &Item) { return IsUnknown(Item.first); };
  return Inbound_.contains(From) || !IsUnknown(From) ||
         std::ranges::count_if(Inbound_, OfUnknown) <
             static_cast<std::ptrdiff_t>(MaxStrangers);
}

/// \returns whether \p Channel had not sent its name before.
bool PeerNetwork::identify(const FrameChannel *Channel) {
  return std::erase_if(Unidentified_, [&](const Stranger &Known) {
           return Known.Channel_.get() == Channel;
         }) > 0;
}

void PeerNetwork::onInbound(const std::shared_ptr<FrameChannel> &Channel,
                            wire::EnvelopeT Message) {
  if (const auto *Hello = Message.body.AsHello()) {
    VmId From(Hello->vm);
    if (!identify(Channel.get()))
      return;
    if (!mayLink(From)) {
      logRefusedLink("too many of unknown daemons");
      return Channel->close();
    }
    Channel->setFrameLimit(MaxFrameBytes);
    auto &Present = Inbound_[From];
    if (Present && Present != Channel)
      Present->close();
    Present = Channel;
    Hooks_.PeerConnected_(From);
    return;
  }
  auto Found = std::ranges::find_if(
      Inbound_, [&](const auto &Item) { return Item.second == Channel; });
  if (Found != Inbound_.end())
    Hooks_.RequestReceived_(VmId(Found->first), std::move(Message));
}

void PeerNetwork::dropInbound(const FrameChannel *Channel) {
  identify(Channel);
  auto Found = std::ranges::find_if(
      Inbound_, [&](const auto &Item) { return Item.second.get() == Channel; });
  if (Found == Inbound_.end())
    return;
  VmId From = Found->first;
  ClosedBytesSent_ += Found->second->bytesSent();
  Inbound_.erase(Found);
  Hooks_.LinkEnded_(From);
  Hooks_.PeerDisconnected_(From);
}

void PeerNetwork::send(const VmId &To, std::string Message) {
  Link &Target = Links_[To];
  if (Target.Channel_) {
    Target.Channel_->send(std::move(Message));
    return;
  }
  bool IsOpening = Target.Overfull_ || !Target.Queued_.empty();
  queue(Target, std::move(Message));
  if (!IsOpening)
    open(To);
}

/// Keeps a message until the link is open. What a link loses it loses as a
/// whole, so that its sender is told by LinkDown_.
void PeerNetwork::queue(Link &Target, std::string Message) {
  if (Target.Overfull_)
    return;
  if (!Target.Memory_)
    Target.Memory_.emplace(*Options_.Memory_, MemoryOwner::PeerFrames);
  std::size_t Bytes = Target.Memory_->bytes() + Message.size();
  Target.Overfull_ = Bytes > MaxQueuedBytes || !Target.Memory_->grow(Bytes);
  if (!Target.Overfull_) {
    Target.Queued_.push_back(std::move(Message));
    return;
  }
  logRefusedLink("too much waits for it");
  Target.Queued_.clear();
  Target.Memory_.reset();
}

void PeerNetwork::open(const VmId &To) {
  auto Text = Hooks_.AddressOf_(To);
  auto Address = Text ? parseEndpoint(*Text) : Result<Endpoint>(Failure());
  if (!Address) {
    // The hook is posted, because the sender may be modifying its tables.
    asio::post(Control_, [this, To] { linkDown(To); });
    return;
  }
  auto Connect = [this, To, Target = *Address]() {
    return connect(To, Target);
  };
  spawnLogged(Control_, "connect-peer", std::move(Connect));
}

Awaitable<void> PeerNetwork::connect(VmId To, Endpoint Address) {
  auto Connected = co_await connectTcp(Address, Options_.ConnectTimeout_);
  if (!Connected || Links_[To].Overfull_)
    co_return linkDown(To);
  FrameChannel::Hooks Callbacks;
  Callbacks.Received_ = [this, To](wire::EnvelopeT Message) {
    Hooks_.ReplyReceived_(To, std::move(Message));
  };
  Callbacks.Closed_ = [this, To] { linkDown(To); };
  Callbacks.Awaiting_ = [this, To] { return Hooks_.Awaiting_(To); };
  Link &Target = Links_[To];
  Target.Channel_ =
      FrameChannel::create(std::move(*Connected), std::move(Callbacks),
                           FrameChannel::Timing(), limits(MaxFrameBytes));
  wire::HelloT Hello;
  Hello.vm = Self_.str();
  Target.Channel_->send(encodeMessage(std::move(Hello)));
  // The channel counts them from now on.
  Target.Memory_.reset();
  for (std::string &Message : Target.Queued_)
    Target.Channel_->send(std::move(Message));
  Target.Queued_.clear();
}

void PeerNetwork::linkDown(const VmId &To) {
  auto Found = Links_.find(To);
  if (Found == Links_.end())
    return;
  bool WasOpen = Found->second.Channel_ != nullptr;
  LinkLoss Loss = LinkLoss::Unopened;
  if (WasOpen) {
    ClosedBytesSent_ += Found->second.Channel_->bytesSent();
    Loss =
        Found->second.Channel_->wasReset() ? LinkLoss::Reset : LinkLoss::Failed;
  }
  Links_.erase(Found);
  if (WasOpen)
    Hooks_.LinkEnded_(To);
  Hooks_.LinkDown_(To, Loss);
}

void PeerNetwork::reply(const VmId &To, std::string Message) {
  auto Found = Inbound_.find(To);
  if (Found != Inbound_.end())
    Found->second->send(std::move(Message));
}

void PeerNetwork::stop() {
  Accepting_->stop();
  for (auto &[Id, Target] : Links_)
    if (Target.Channel_)
      Target.Channel_->close();
  for (auto &[Id, Channel] : Inbound_)
    Channel->close();
  for (Stranger &Known : Unidentified_)
    Known.Channel_->close();
  StrangerTimer_.cancel();
  Links_.clear();
  Inbound_.clear();
  Unidentified_.clear();
}

std::uint64_t PeerNetwork::bytesSent() const {
  std::uint64_t Sum = ClosedBytesSent_;
  for (const auto &[Id, Target] : Links_)
    Sum += Target.Channel_ ? Target.Channel_->bytesSent() : 0;
  for (const auto &[Id, Channel] : Inbound_)
    Sum += Channel->bytesSent();
  return Sum;
}

} // namespace samphireshunt
