/// \file
/// 300 daemons in virtual time, of which all of one data centre lose their
/// links to the servers.

#include "Process/Relay/RelayChoice.h"
#include "Process/Relay/ServerConnector.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t Daemons = 300;
constexpr std::size_t CutDaemons = 100;
constexpr std::uint16_t Servers = 1100;
constexpr milliseconds RoundTrip{2};
const ServerConnector::Options Settings;
/// Each daemon gets a request this often.
constexpr milliseconds RequestGap{240};
const TimePoint Cut{seconds(100)};

/// The outcome of one request.
struct Attempt {
  bool Served_ = false;
  milliseconds Delay_{0};
};

class Fleet {
public:
  explicit Fleet(PortState Look) : Look_(Look) {
    for (std::size_t Index = 0; Index < Daemons; ++Index) {
      All_.push_back({VmId(fmt::format("vm-{}", Index)), Endpoint(), false});
      Paths_.emplace_back(ServerPaths::Options());
    }
    Choices_.resize(Daemons);
    for (std::size_t Index = 0; Index < Daemons; ++Index) {
      Candidates_.push_back(All_);
      for (std::size_t Other = 0; Other < Daemons; ++Other)
        Candidates_[Index][Other].Near_ =
            Other / CutDaemons == Index / CutDaemons;
      std::erase_if(Candidates_[Index], [&](const RelayCandidate &Known) {
        return Known.Id_ == All_[Index].Id_;
      });
    }
  }

  /// Sends a request of \p Daemon to a random server, as ServerConnector does.
  Attempt request(std::size_t Daemon, TimePoint Now) {
    Endpoint Server(boost::asio::ip::make_address("10.0.0.1"),
                    static_cast<std::uint16_t>(1 + Random_(Servers)));
    ServerPaths &Paths = Paths_[Daemon];
    Paths.used(Server, Now);
    Attempt Made;
    bool TriedDirect = !Paths.isCutOff(Server);
    if (TriedDirect && !isCut(Daemon))
      return {true, RoundTrip};
    if (TriedDirect)
      Made.Delay_ += failTime(Settings.DirectTimeout_);
    std::vector<VmId> Asked;
    std::uint64_t Key = Key_++;
    while (Asked.size() < Settings.MaxRelays_ && !Made.Served_) {
      const RelayCandidate *Found = Choices_[Daemon].next(
          Candidates_[Daemon], Asked, Key, Now + Made.Delay_);
      if (!Found)
        break;
      Asked.push_back(Found->Id_);
      auto [Result, Time] = ask(indexOf(*Found), Server, Now + Made.Delay_);
      Made.Delay_ += Time;
      Choices_[Daemon].answered(*Found, Result, Now + Made.Delay_);
      Made.Served_ = Result == RelayResult::Connected;
    }
    Relayed_ += Made.Served_ ? 1 : 0;
    Messages_ += Asked.size();
    if (Made.Served_ && TriedDirect &&
        Paths.cutOff(Server, Look_, Now + Made.Delay_))
      probe(Daemon, Now + Made.Delay_);
    return Made;
  }

  double messagesPerRequest() const {
    return static_cast<double>(Messages_) / static_cast<double>(Relayed_);
  }

private:
  static bool isCut(std::size_t Daemon) { return Daemon < CutDaemons; }
  milliseconds failTime(milliseconds Timeout) const {
    return Look_ == PortState::Silent ? Timeout : RoundTrip;
  }
  std::size_t indexOf(const RelayCandidate &Known) const {
    return static_cast<std::size_t>(std::stoul(Known.Id_.str().substr(3)));
  }
  std::pair<RelayResult, milliseconds>
  ask(std::size_t Relay, const Endpoint &Server, TimePoint Now) {
    if (!isCut(Relay))
      return {RelayResult::Connected, 2 * RoundTrip};
    if (Paths_[Relay].isCutOff(Server))
      return {RelayResult::NoPath, RoundTrip};
    // The relay checks its own path through others and finds it cut.
    Paths_[Relay].used(Server, Now);
    if (Paths_[Relay].cutOff(Server, Look_, Now))
      probe(Relay, Now);
    return {Look_ == PortState::Silent ? RelayResult::Silent
                                       : RelayResult::Refused,
            RoundTrip + failTime(Settings.ForRelayTimeout_)};
  }
  void probe(std::size_t Daemon, TimePoint Now) {
    for (const Endpoint &Server : Paths_[Daemon].toProbe(Now))
      Paths_[Daemon].probeFailed(Server, Look_);
  }

  PortState Look_;
  std::vector<RelayCandidate> All_;
  std::vector<std::vector<RelayCandidate>> Candidates_;
  std::vector<ServerPaths> Paths_;
  std::vector<RelayChoice> Choices_;
  pcg32 Random_{7};
  std::uint64_t Key_ = 0;
  std::size_t Relayed_ = 0;
  std::size_t Messages_ = 0;
};

} // namespace

TEST_CASE("a data centre of 100 daemons without links is served within 3 s") {
  // Guards against a fleet in which daemons that are cut off ask each other.
  for (PortState Look : {PortState::Silent, PortState::Refused}) {
    Fleet Simulated(Look);
    std::size_t Failed = 0;
    std::size_t Requests = 0;
    milliseconds Slowest{0};
    for (milliseconds Since{0}; Since < seconds(8); Since += RequestGap)
      for (std::size_t Daemon = 0; Daemon < CutDaemons; ++Daemon) {
        Attempt Made = Simulated.request(Daemon, Cut + Since);
        if (Since < seconds(3))
          continue;
        ++Requests;
        Failed += Made.Served_ ? 0 : 1;
        Slowest = std::max(Slowest, Made.Delay_);
      }
    INFO(portStateName(Look)
         << ": " << Failed << " of " << Requests << " failed, slowest "
         << Slowest.count() << " ms, " << Simulated.messagesPerRequest()
         << " daemons asked a request");
    CHECK(50 * Failed <= Requests);
    CHECK(Slowest <= milliseconds(1000));
    CHECK(Simulated.messagesPerRequest() < 2);
  }
}
