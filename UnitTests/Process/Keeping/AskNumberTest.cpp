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

/// Daemons that ask for grants and daemons that keep the cell, all with the
/// services of the product. The network between them delivers what a seed
/// chooses: any message that is on its way, some of them twice.
class Fleet {
public:
  explicit Fleet(std::uint64_t Seed) : Random_(Seed) {
    adoptServers(Documents_);
    for (int Number = 0; Number < Keepers; ++Number)
      addKeeper(VmId(fmt::format("keeper-{}", Number)));
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
  static constexpr int Keepers = 2;
  static constexpr int Entries = 2;
  static constexpr std::size_t MostRequests = 12;

  struct Call {
    VmId Entry_;
    std::vector<ServerName> Tried_;
    bool Dispatched_ = false;
  };

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
    Hooks.KeeperOf_ = [this](const CellId &, const std::vector<VmId> &) {
      return std::optional(VmId(fmt::format("keeper-{}", Chosen_)));
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
    bool Refused = Random_(OneOf) > 0 && Target.Tried_.size() < Servers;
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
    VmId Keeper(fmt::format("keeper-{}", Random_(Keepers)));
    bool Reset = Random_(2) > 0;
    Clients_.at(Entry)->onLinkDown(Keeper,
                                   Reset ? LinkLoss::Reset : LinkLoss::Failed);
    if (Random_(2) > 0)
      Services_.at(Keeper)->ingressDisconnected(Entry);
    else
      Services_.at(Keeper)->ingressReconnected(Entry);
  }

  void deliver() {
    if (Network_.empty())
      return;
    constexpr std::uint32_t OneOfTwice = 8;
    auto Next =
        Network_.begin() + Random_(static_cast<std::uint32_t>(Network_.size()));
    Message Taken = *Next;
    if (Random_(OneOfTwice) > 0)
      Network_.erase(Next);
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
      Keeper.returnGrant(fromWire(Done->id), AskNumber(Done->ask));
  }

  static void toEntry(GrantClient &Client, const VmId &From,
                      const wire::EnvelopeT &Envelope) {
    if (const auto *Grant = Envelope.body.AsGrant())
      Client.onDecision(grantFromWire(*Grant), From);
    else if (const auto *Refusal = Envelope.body.AsRefuse())
      Client.onDecision(refusalFromWire(*Refusal), From);
  }

  pcg32 Random_;
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
  int Grants = 0;
  std::uint64_t Returned = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    Fleet Test(Seed);
    for (int Step = 0; Step < Steps; ++Step)
      Test.step();
    CHECK(Test.SentTwice_ == 0);
    Grants += Test.Grants_;
    Returned += Test.returned();
  }
  CHECK(Grants > 1000);
  CHECK(Returned > 100);
}
