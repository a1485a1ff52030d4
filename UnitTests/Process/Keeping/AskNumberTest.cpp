/// \file
/// Requests that ask for a grant more than once, while messages between daemons
/// are late, come twice and in another order.

#include "Process/Keeping/GrantClient.h"
#include "Process/Keeping/KeeperService.h"
#include "UnitTests/Process/Keeping/EnginePool.h"
#include "UnitTests/Process/Keeping/LoneKeeper.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace samphireshunt;

namespace {

const ServiceName Service("s");
const PoolName ThePool("p");
const CellId Cell{Service, ThePool, 0};
constexpr int Servers = 4;

GrantRequest ask(const RequestId &Id, std::vector<ServerName> Excluded) {
  GrantRequest Request;
  Request.Id_ = Id;
  Request.Customer_ = CustomerName("c");
  Request.Deadline_ = std::chrono::steady_clock::now() + std::chrono::hours(1);
  Request.NonIdempotent_ = true;
  Request.Excluded_ = std::move(Excluded);
  return Request;
}

void adoptServers(DocumentStore &Documents) {
  Document Built;
  Built.Service_ = Service;
  Built.Tiers_ = {"0"};
  Built.Pools_.push_back(tests::enginePool(ThePool, Servers, 2));
  Built.buildIndex();
  Documents.adopt(Service, DocumentVersion(1),
                  std::make_shared<const Document>(std::move(Built)));
}

/// A message on its way.
struct Message {
  VmId From_;
  VmId To_;
  std::string Bytes_;
};

/// What a network does with messages.
enum class Delivery {
  AnyOrder, ///< Delivers any that is on its way, some of them twice.
  Links,    ///< Keeps the order of each link, and loses what a broken one has.
};

/// Daemons that ask for grants and daemons that keep the cell, all with the
/// services of the product. A seed chooses what the network between them
/// delivers next.
class Fleet {
public:
  Fleet(std::uint64_t Seed, Delivery Kind) : Random_(Seed), Kind_(Kind) {
    adoptServers(Documents_);
    for (std::uint32_t Number = 0; Number < Keepers; ++Number)
      addKeeper(keeper(Number));
    for (int Number = 0; Number < Entries; ++Number)
      addEntry(VmId(fmt::format("entry-{}", Number)));
  }

  void step() {
    constexpr std::uint32_t Choices = 100;
    std::uint32_t Choice = Random_(Choices);
    if (Choice < 20)
      begin();
    else if (Choice < 90)
      endDispatch();
    else if (Choice < 94)
      Chosen_ = Random_(Keepers);
    else if (Choice < 97)
      moveRequests();
    else
      breakLink();
    settle();
    // Few enough that messages overtake others.
    constexpr int DeliveredInStep = 4;
    for (int Each = 0; Each < DeliveredInStep; ++Each) {
      deliver();
      settle();
    }
  }

  /// Lets all requests end, and all messages arrive. \returns how many requests
  /// are still known to a daemon then.
  std::size_t drain() {
    constexpr int MostSteps = 10000;
    Refuses_ = false;
    for (int Step = 0; Step < MostSteps; ++Step) {
      endDispatch();
      deliver();
      settle();
    }
    std::size_t Left = Calls_.size() + Network_.size();
    for (const auto &[Id, Client] : Clients_)
      Left += Client->waiting() + Client->running();
    for (const auto &[Id, Keeper] : Services_)
      if (const Scheduler *Kept = Keeper->scheduler(Cell))
        Left += Kept->waiting() + Kept->running();
    return Left;
  }

  /// Grants for a server that the request had been sent to before.
  int SentTwice_ = 0;
  int Grants_ = 0;
  std::uint64_t returned() const {
    std::uint64_t Sum = 0;
    for (const auto &[Id, Client] : Clients_)
      Sum += Client->returned();
    return Sum;
  }

private:
  static constexpr std::uint32_t Keepers = 2;
  static constexpr int Entries = 2;
  static constexpr std::size_t MostRequests = 12;

  struct Call {
    VmId Entry_;
    std::vector<ServerName> Tried_;
    bool Dispatched_ = false;
  };

  static VmId keeper(std::uint32_t Number) {
    return VmId(fmt::format("keeper-{}", Number));
  }

  void addKeeper(const VmId &Id) {
    KeeperService::Options Options;
    Options.RoundPauseFactor_ = 0;
    KeeperService::Hooks Hooks = tests::loneKeeperHooks();
    Hooks.Decided_ = [this, Id](const CellId &, const Decision &Made) {
      const VmId &To = std::visit(
          [](const auto &Each) -> const VmId & { return Each.Ingress_; }, Made);
      Network_.push_back({Id, To, encodeDecision(Made)});
    };
    Services_[Id] = std::make_unique<KeeperService>(Control_, Documents_,
                                                    Options, std::move(Hooks));
  }

  void addEntry(const VmId &Id) {
    GrantClient::Hooks Hooks;
    Hooks.KeeperOf_ = [this](const CellId &,
                             const std::vector<VmId> &Unreachable) {
      VmId First = keeper(Chosen_);
      bool Avoided = std::ranges::count(Unreachable, First) > 0;
      return std::optional(Avoided ? keeper((Chosen_ + 1) % Keepers) : First);
    };
    Hooks.Send_ = [this, Id](const VmId &To, std::string Bytes) {
      Network_.push_back({Id, To, std::move(Bytes)});
    };
    Hooks.Check_ = [](const VmId &) {};
    Clients_[Id] =
        std::make_unique<GrantClient>(Control_, Id, std::move(Hooks));
  }

  /// Runs all posted handlers.
  void settle() {
    Control_.restart();
    Control_.poll();
  }

  void begin() {
    if (Calls_.size() >= MostRequests)
      return;
    RequestId Id{1, ++LastRequest_};
    Calls_[Id].Entry_ = VmId(fmt::format("entry-{}", Random_(Entries)));
    acquire(Id);
  }

  void acquire(const RequestId &Id) {
    const Call &Target = Calls_.at(Id);
    Clients_.at(Target.Entry_)
        ->acquire(Cell, ask(Id, Target.Tried_),
                  [this, Id](GrantAnswer Answer) { granted(Id, Answer); });
  }

  void granted(const RequestId &Id, const GrantAnswer &Answer) {
    if (Answer.Code_ != ResultCode::Ok) {
      Calls_.erase(Id);
      return;
    }
    Call &Target = Calls_.at(Id);
    ++Grants_;
    SentTwice_ += std::ranges::count(Target.Tried_, Answer.Server_) > 0 ? 1 : 0;
    Target.Tried_.push_back(Answer.Server_);
    Target.Dispatched_ = true;
  }

  /// Ends a dispatch: most servers refuse, and the request asks again.
  void endDispatch() {
    auto Ended = std::ranges::find_if(
        Calls_, [](const auto &Item) { return Item.second.Dispatched_; });
    if (Ended == Calls_.end())
      return;
    auto &[Id, Target] = *Ended;
    Clients_.at(Target.Entry_)->done(Id, ServedSample());
    Target.Dispatched_ = false;
    constexpr std::uint32_t OneOf = 5;
    bool Refused =
        Refuses_ && Random_(OneOf) > 0 && Target.Tried_.size() < Servers;
    if (Refused)
      return acquire(Id);
    Calls_.erase(Ended);
  }

  void moveRequests() {
    for (const auto &[Id, Client] : Clients_)
      Client->rebind();
  }

  void breakLink() {
    VmId Entry(fmt::format("entry-{}", Random_(Entries)));
    VmId Keeper = keeper(Random_(Keepers));
    bool Reset = Random_(2) > 0;
    if (Kind_ == Delivery::Links) {
      std::erase_if(Network_, [&](const Message &Lost) {
        return (Lost.From_ == Entry && Lost.To_ == Keeper) ||
               (Lost.From_ == Keeper && Lost.To_ == Entry);
      });
      Services_.at(Keeper)->ingressDisconnected(Entry);
    }
    Services_.at(Keeper)->ingressReconnected(Entry);
    GrantClient &Client = *Clients_.at(Entry);
    Client.onLinkDown(Keeper, Reset ? LinkLoss::Reset : LinkLoss::Failed);
    // Ends the avoidance of the keeper, which no time passes for here.
    Client.onMemberSeen(Keeper, Incarnation(++Processes_));
  }

  /// \returns the message that comes next.
  Message nextMessage() {
    auto Next =
        Network_.begin() + Random_(static_cast<std::uint32_t>(Network_.size()));
    if (Kind_ == Delivery::Links)
      Next = std::ranges::find_if(Network_, [Chosen = *Next](const auto &Each) {
        return Each.From_ == Chosen.From_ && Each.To_ == Chosen.To_;
      });
    constexpr std::uint32_t OneOfTwice = 8;
    bool Again = Kind_ == Delivery::AnyOrder && Random_(OneOfTwice) == 0;
    Message Taken = *Next;
    if (!Again)
      Network_.erase(Next);
    return Taken;
  }

  void deliver() {
    if (Network_.empty())
      return;
    Message Taken = nextMessage();
    wire::EnvelopeT Envelope = decodeMessage(Taken.Bytes_).value();
    if (auto Keeper = Services_.find(Taken.To_); Keeper != Services_.end())
      toKeeper(*Keeper->second, Taken.From_, Envelope);
    else
      toEntry(*Clients_.at(Taken.To_), Taken.From_, Envelope);
  }

  static void toKeeper(KeeperService &Keeper, const VmId &From,
                       const wire::EnvelopeT &Envelope) {
    if (const auto *Ask = Envelope.body.AsAsk())
      Keeper.requestGrant(Cell, askFromWire(*Ask, From));
    else if (const auto *Withdraw = Envelope.body.AsWithdraw())
      Keeper.withdraw(Cell, fromWire(Withdraw->id), AskNumber(Withdraw->ask));
    else if (const auto *Running = Envelope.body.AsRunning())
      Keeper.running(Cell, runningFromWire(*Running, From));
    else if (const auto *Done = Envelope.body.AsDone())
      endAt(Keeper, *Done);
  }

  static void endAt(KeeperService &Keeper, const wire::DoneT &Done) {
    AskNumber Ask(Done.ask);
    if (Done.cell && !Done.cell->service.empty())
      Keeper.done(Cell, fromWire(Done.id), sampleFromWire(Done), Ask);
    else
      Keeper.returnGrant(fromWire(Done.id), Ask);
  }

  static void toEntry(GrantClient &Client, const VmId &From,
                      const wire::EnvelopeT &Envelope) {
    if (const auto *Grant = Envelope.body.AsGrant())
      Client.onDecision(grantFromWire(*Grant), From);
    else if (const auto *Refusal = Envelope.body.AsRefuse())
      Client.onDecision(refusalFromWire(*Refusal), From);
  }

  pcg32 Random_;
  Delivery Kind_;
  /// Servers refuse requests.
  bool Refuses_ = true;
  std::uint64_t Processes_ = 0;
  boost::asio::io_context Control_;
  DocumentStore Documents_;
  std::map<VmId, std::unique_ptr<KeeperService>> Services_;
  std::map<VmId, std::unique_ptr<GrantClient>> Clients_;
  std::vector<Message> Network_;
  std::map<RequestId, Call> Calls_;
  std::uint64_t LastRequest_ = 0;
  std::uint32_t Chosen_ = 0;
};

} // namespace

TEST_CASE("a grant for an earlier ask is not the answer to a later one") {
  // Guards against a request that runs twice: its first keeper, which is back,
  // grants the server that has refused it since by the second one's grant.
  boost::asio::io_context Control;
  std::vector<std::pair<VmId, std::string>> Sent;
  bool FirstGone = false;
  GrantClient::Hooks Hooks;
  Hooks.KeeperOf_ = [&](const CellId &, const std::vector<VmId> &) {
    return std::optional(VmId(FirstGone ? "second" : "first"));
  };
  Hooks.Send_ = [&](const VmId &To, std::string Bytes) {
    Sent.emplace_back(To, std::move(Bytes));
  };
  Hooks.Check_ = [](const VmId &) {};
  GrantClient Client(Control, VmId("entry"), std::move(Hooks));
  std::vector<GrantAnswer> Answers;
  auto Settle = [&] {
    Control.restart();
    Control.poll();
  };
  const RequestId Id{1, 1};
  auto Acquire = [&](std::vector<ServerName> Excluded) {
    Client.acquire(Cell, ask(Id, std::move(Excluded)),
                   [&](GrantAnswer Answer) { Answers.push_back(Answer); });
    Settle();
    auto Last = decodeMessage(Sent.back().second).value();
    REQUIRE(Last.body.AsAsk());
    return AskNumber(Last.body.AsAsk()->ask);
  };
  auto Grant = [&](const char *Keeper, const char *Server, AskNumber Ask) {
    GrantDecision Made{Id, ServerName(Server), {}, false, {}, Ask};
    Client.onDecision(Made, VmId(Keeper));
    Settle();
  };
  AskNumber First = Acquire({});
  FirstGone = true;
  Client.onLinkDown(VmId("first"), LinkLoss::Failed);
  AskNumber Second(decodeMessage(Sent.back().second).value().body.AsAsk()->ask);
  Grant("second", "e1", Second);
  REQUIRE(Answers.size() == 1);
  Client.done(Id, ServedSample());
  FirstGone = false;
  AskNumber Third = Acquire({ServerName("e1")});
  CHECK(std::set{First, Second, Third}.size() == 3);
  Grant("first", "e1", First);
  CHECK(Answers.size() == 1);
  auto Returned = decodeMessage(Sent.back().second).value();
  REQUIRE(Returned.body.AsDone());
  CHECK(AskNumber(Returned.body.AsDone()->ask) == First);
  Client.onDecision(
      RefuseDecision{
          Id, ResultCode::WaitTooLong, std::chrono::milliseconds(0), {}, First},
      VmId("first"));
  Settle();
  CHECK(Answers.size() == 1);
  Grant("first", "e2", Third);
  REQUIRE(Answers.size() == 2);
  CHECK(Answers.back().Server_ == ServerName("e2"));
  CHECK(Client.returned() == 1);
}

TEST_CASE("an answer without a number, from an earlier version, is used") {
  // Guards against a fleet that grants nothing while it is updated.
  boost::asio::io_context Control;
  GrantClient::Hooks Hooks;
  Hooks.KeeperOf_ = [](const CellId &, const std::vector<VmId> &) {
    return std::optional(VmId("first"));
  };
  Hooks.Send_ = [](const VmId &, const std::string &) {};
  Hooks.Check_ = [](const VmId &) {};
  GrantClient Client(Control, VmId("entry"), std::move(Hooks));
  std::vector<GrantAnswer> Answers;
  Client.acquire(Cell, ask({1, 1}, {}),
                 [&](GrantAnswer Answer) { Answers.push_back(Answer); });
  Control.poll();
  Client.onDecision(GrantDecision{{1, 1}, ServerName("e1"), {}}, VmId("first"));
  REQUIRE(Answers.size() == 1);
  CHECK(Answers.front().Server_ == ServerName("e1"));
}

TEST_CASE(
    "with messages late, doubled and out of order no request is sent to a "
    "server twice") {
  // Guards against a non-idempotent request that runs twice at the server that
  // refused its first send.
  constexpr std::uint64_t Seeds = 20;
  constexpr int Steps = 3000;
  std::map<Delivery, std::uint64_t> Returned;
  for (auto Kind : {Delivery::AnyOrder, Delivery::Links})
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      CAPTURE(Seed);
      CAPTURE(Kind == Delivery::Links);
      Fleet Test(Seed, Kind);
      for (int Step = 0; Step < Steps; ++Step)
        Test.step();
      CHECK(Test.SentTwice_ == 0);
      // All requests go on, until the end.
      CHECK(Test.Grants_ > Steps / 4);
      Returned[Kind] += Test.returned();
      // Messages that overtake others on one link may leave what has ended.
      if (Kind == Delivery::Links)
        CHECK(Test.drain() == 0);
    }
  CHECK(Returned[Delivery::AnyOrder] > 100);
  CHECK(Returned[Delivery::Links] > 0);
}
