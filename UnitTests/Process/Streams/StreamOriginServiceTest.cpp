/// \file
/// A fleet of daemons that tell each other where streams began, in one thread.

#include "Process/Streams/StreamOriginService.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <span>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Needed{60000};

class OriginFleet {
public:
  explicit OriginFleet(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Ids_.emplace_back(fmt::format("vm-{}", Index));
    for (const VmId &Id : Ids_)
      Services_.emplace(Id, std::make_unique<StreamOriginService>(
                                Context_, options(), hooks(Id)));
  }

  StreamOriginService &at(std::size_t Index) {
    return *Services_.at(Ids_[Index]);
  }
  /// Ends a daemon. The others still list it.
  void kill(std::size_t Index) { Killed_.insert(Ids_[Index]); }
  /// Cuts a daemon off from all others that are not cut off, and from the
  /// service, or ends that.
  void cut(std::size_t Index, bool Cut) {
    if (Cut)
      Cut_.insert(Ids_[Index]);
    else
      Cut_.erase(Ids_[Index]);
  }
  bool isCut(std::size_t Index) const { return Cut_.contains(Ids_[Index]); }
  /// Ends the links of a daemon to all that were killed.
  void loseLinks(std::size_t Index) {
    for (const VmId &Killed : Killed_)
      at(Index).onLinkDown(Killed);
  }
  /// Daemons without an answer stay silent.
  void run() {
    Context_.restart();
    Context_.run();
  }
  /// Runs what is due, and no timers.
  void runReady() {
    Context_.restart();
    Context_.poll();
  }
  FoundOrigin find(std::size_t Index, OriginQuery Query) {
    std::optional<FoundOrigin> Found;
    at(Index).find(std::move(Query),
                   [&](FoundOrigin Answer) { Found = std::move(Answer); });
    run();
    REQUIRE(Found.has_value());
    return *Found;
  }
  /// \returns what is known without waiting for a timer.
  std::optional<FoundOrigin> findReady(std::size_t Index, OriginQuery Query) {
    auto Found = std::make_shared<std::optional<FoundOrigin>>();
    at(Index).find(std::move(Query),
                   [Found](FoundOrigin Answer) { *Found = std::move(Answer); });
    runReady();
    return *Found;
  }
  std::size_t bytes() const { return Bytes_; }
  StreamVersion Version_;
  int Confirmations_ = 0;

private:
  /// Here those in reach answer before the question's send returns.
  static StreamOriginService::Options options() {
    StreamOriginService::Options Options;
    Options.NearAnswerTime_ = milliseconds(0);
    return Options;
  }
  StreamOriginService::Hooks hooks(const VmId &Self) {
    StreamOriginService::Hooks Hooks;
    Hooks.Send_ = [this, Self](const VmId &To, std::string Message) {
      deliver(Self, To, std::move(Message));
    };
    Hooks.Reply_ = Hooks.Send_;
    Hooks.Others_ = [this, Self] {
      std::vector<VmId> Others = Ids_;
      std::erase(Others, Self);
      return Others;
    };
    Hooks.VersionOf_ = [this](const UnrecordedStream &) { return Version_; };
    Hooks.ConfirmList_ = [this] { ++Confirmations_; };
    return Hooks;
  }

  bool apart(const VmId &From, const VmId &To) const {
    return Killed_.contains(To) || Killed_.contains(From) ||
           Cut_.contains(To) != Cut_.contains(From);
  }

  void deliver(const VmId &From, const VmId &To, std::string Message) {
    Bytes_ += Message.size();
    if (apart(From, To))
      return;
    StreamOriginService &Target = *Services_.at(To);
    Target.heardOther(From);
    auto Decoded = decodeMessage(Message);
    REQUIRE(Decoded.has_value());
    if (const auto *Record = Decoded->body.AsStreamOrigin())
      Target.onRecord(*Record);
    else if (const auto *Ask = Decoded->body.AsOriginAsk())
      Target.onAsk(From, *Ask);
    else if (const auto *Answer = Decoded->body.AsOriginAnswer())
      Target.onAnswer(From, *Answer);
  }

  boost::asio::io_context Context_{1};
  std::vector<VmId> Ids_;
  std::map<VmId, std::unique_ptr<StreamOriginService>> Services_;
  std::set<VmId> Killed_;
  std::set<VmId> Cut_;
  std::size_t Bytes_ = 0;
};

StreamOrigin origin(int Number) {
  return {PoolName("pool"), SoftwareVersion(Number % 2 == 0 ? "v1" : "v2")};
}

OriginQuery query(int Number) {
  OriginQuery Query;
  Query.Key_ = streamKey(CustomerName("c"), std::to_string(Number));
  Query.Pool_ = PoolName("pool");
  Query.MaxAge_ = Needed;
  return Query;
}

/// Lets the first daemon record streams of two versions, in turn.
void recordStreams(OriginFleet &Fleet, int Count) {
  for (int Number = 0; Number < Count; ++Number)
    Fleet.at(0).record(*query(Number).Key_, origin(Number), Needed);
  Fleet.run();
}

/// Lets random daemons record streams of two versions, in turn.
void recordAnywhere(OriginFleet &Fleet, int Count, std::size_t Daemons) {
  std::mt19937 Random(7);
  for (int Number = 0; Number < Count; ++Number)
    Fleet.at(Random() % Daemons)
        .record(*query(Number).Key_, origin(Number), Needed);
  Fleet.run();
}

} // namespace

TEST_CASE("streams of a daemon that was killed are known at all others") {
  // Guards against callers that come back to another daemon, where their
  // streams go on at a wrong version or not at all.
  constexpr int Streams = 40;
  OriginFleet Fleet(8);
  recordStreams(Fleet, Streams);
  Fleet.kill(0);
  for (int Number = 0; Number < Streams; ++Number) {
    FoundOrigin Found =
        Fleet.find(1 + static_cast<std::size_t>(Number) % 7, query(Number));
    CHECK(Found.Origin_ == origin(Number));
  }
}

TEST_CASE("most streams are known where half of the daemons were killed") {
  constexpr int Streams = 40;
  OriginFleet Fleet(8);
  recordStreams(Fleet, Streams);
  for (std::size_t Index = 0; Index < 4; ++Index)
    Fleet.kill(Index);
  int Known = 0;
  for (int Number = 0; Number < Streams; ++Number) {
    FoundOrigin Found =
        Fleet.find(4 + static_cast<std::size_t>(Number) % 4, query(Number));
    if (Found.Origin_)
      CHECK(Found.Origin_ == origin(Number));
    Known += Found.Origin_.has_value();
  }
  CHECK(2 * Known >= Streams);
}

TEST_CASE("nearly all streams are known where half of a fleet was killed") {
  // Guards against streams that all who know of them are killed with, also just
  // after their first event.
  constexpr int Streams = 200;
  constexpr std::size_t Daemons = 64;
  OriginFleet Fleet(Daemons);
  recordStreams(Fleet, Streams);
  for (std::size_t Index = 0; Index < Daemons; Index += 2)
    Fleet.kill(Index);
  int Known = 0;
  for (int Number = 0; Number < Streams; ++Number) {
    std::optional<FoundOrigin> Found;
    Fleet.at(1).find(query(Number),
                     [&](FoundOrigin Answer) { Found = Answer; });
    Fleet.runReady();
    Fleet.loseLinks(1);
    Fleet.runReady();
    REQUIRE(Found.has_value());
    if (Found->Origin_)
      CHECK(Found->Origin_ == origin(Number));
    Known += Found->Origin_.has_value();
  }
  CHECK(10 * Known >= 9 * Streams);
}

TEST_CASE("a newer list is asked for while silent daemons are awaited") {
  // Guards against callers that a daemon which is cut off holds up for the sum
  // of the two times.
  OriginFleet Fleet(8);
  for (std::size_t Index = 1; Index < 8; ++Index)
    Fleet.kill(Index);
  Fleet.Version_.Proof_ = StreamVersion::Proof::Unconfirmed;
  FoundOrigin Found = Fleet.find(0, query(1));
  CHECK(Found.Source_ == OriginSource::Unknown);
  CHECK_FALSE(Found.Lost_);
  CHECK(Fleet.Confirmations_ == 2);
}

TEST_CASE("a daemon that is alone refuses what it can't know at once, until "
          "others are in reach again") {
  // Guards against callers that a daemon which is cut off holds up, where
  // another one would know their streams.
  OriginFleet Fleet(8);
  recordStreams(Fleet, 8);
  Fleet.Version_.Proof_ = StreamVersion::Proof::Unconfirmed;
  Fleet.cut(1, true);
  CHECK(Fleet.find(1, query(100)).OutOfReach_);
  CHECK(Fleet.findReady(1, query(101)).value().OutOfReach_);
  Fleet.cut(1, false);
  for (int Number = 0; Number < 8; ++Number)
    CHECK(Fleet.find(1, query(Number)).Origin_ == origin(Number));
  CHECK_FALSE(Fleet.find(1, query(102)).OutOfReach_);
}

TEST_CASE("a daemon that is cut off refuses at once where several versions may "
          "have begun a stream") {
  // Guards against callers that are held up for a list which could not help.
  OriginFleet Fleet(8);
  Fleet.Version_.Proof_ = StreamVersion::Proof::Several;
  Fleet.cut(1, true);
  FoundOrigin First = Fleet.find(1, query(1));
  CHECK(First.OutOfReach_);
  CHECK_FALSE(First.Lost_);
  CHECK(Fleet.findReady(1, query(2)).value().OutOfReach_);
}

TEST_CASE("daemons that are cut off together tell each other of streams") {
  // Guards against refusals although the record is in reach.
  constexpr int Streams = 8;
  OriginFleet Fleet(9);
  recordStreams(Fleet, Streams);
  Fleet.Version_.Proof_ = StreamVersion::Proof::Unconfirmed;
  Fleet.cut(0, true);
  Fleet.cut(1, true);
  CHECK(Fleet.find(1, query(100)).OutOfReach_);
  int Known = 0;
  for (int Number = 0; Number < Streams; ++Number)
    Known += Fleet.findReady(1, query(Number)).value().Origin_.has_value();
  CHECK(2 * Known >= Streams);
}

TEST_CASE("an older list doesn't end the wait for a newer one") {
  // Guards against callers that are held up by a reader that is cut off too.
  OriginFleet Fleet(8);
  Fleet.Version_.Proof_ = StreamVersion::Proof::Unconfirmed;
  Fleet.cut(1, true);
  BootTime Before = BootClock::now();
  CHECK(Fleet.find(1, query(1)).OutOfReach_);
  Fleet.at(1).listConfirmed(Before);
  CHECK(Fleet.findReady(1, query(2)).value().OutOfReach_);
}

TEST_CASE("a daemon that is cut off from the others only goes on by the list") {
  // Guards against a fleet whose daemons reach the service, but not each other,
  // and that refuses all streams.
  OriginFleet Fleet(8);
  Fleet.Version_.Proof_ = StreamVersion::Proof::Unconfirmed;
  Fleet.cut(1, true);
  CHECK(Fleet.find(1, query(1)).Source_ == OriginSource::Unknown);
  Fleet.at(1).listConfirmed(BootClock::now());
  std::optional<FoundOrigin> Found;
  Fleet.at(1).find(query(2), [&](FoundOrigin Answer) { Found = Answer; });
  Fleet.runReady();
  CHECK_FALSE(Found.has_value());
  Fleet.Version_ = {StreamVersion::Proof::Shown, SoftwareVersion("v1")};
  Fleet.run();
  REQUIRE(Found.has_value());
  CHECK(Found->Source_ == OriginSource::OnlyVersion);
}

TEST_CASE("most streams go on where half of a fleet was killed and three "
          "daemons are cut off together") {
  // Guards against streams that lose their attempts at daemons that can't know
  // them, and with daemons that all end together.
  constexpr int Streams = 200;
  constexpr int Attempts = 3;
  constexpr int CutOff = 3;
  for (std::size_t Daemons : {29U, 74U, 400U}) {
    CAPTURE(Daemons);
    std::mt19937 Random(29);
    OriginFleet Fleet(Daemons);
    Fleet.Version_.Proof_ = StreamVersion::Proof::Unconfirmed;
    recordAnywhere(Fleet, Streams, Daemons);
    std::vector<std::size_t> Order(Daemons);
    std::iota(Order.begin(), Order.end(), 0U);
    std::ranges::shuffle(Order, Random);
    auto Killed = static_cast<std::ptrdiff_t>(Daemons * 55 / 100);
    std::vector<std::size_t> Ready(Order.begin() + Killed, Order.end());
    for (std::size_t Index : std::span(Ready).first(CutOff))
      Fleet.cut(Index, true);
    std::for_each(Order.begin(), Order.begin() + Killed,
                  [&](std::size_t Index) { Fleet.kill(Index); });
    // The first attempts show these daemons that they are cut off.
    for (std::size_t Index : std::span(Ready).first(CutOff))
      Fleet.at(Index).find(query(Streams), [](const FoundOrigin &) {});
    Fleet.run();
    int GoOn = 0;
    int HeldThere = 0;
    for (int Number = 0; Number < Streams; ++Number) {
      bool Known = false;
      for (int Attempt = 0; Attempt < Attempts && !Known; ++Attempt) {
        std::size_t At = Ready[Random() % Ready.size()];
        auto Found = Fleet.findReady(At, query(Number));
        HeldThere += !Found && Fleet.isCut(At);
        Known = Found && Found->Origin_ == origin(Number);
      }
      GoOn += Known;
    }
    MESSAGE(Daemons << " daemons: " << GoOn << " of " << Streams
                    << " streams go on, " << HeldThere
                    << " attempts held by daemons that are cut off");
    CHECK(4 * GoOn >= 3 * Streams);
    CHECK(HeldThere == 0);
  }
}

TEST_CASE("a stream that nobody knows is unknown at once, unless its pool has "
          "only one version") {
  // Guards against callers that are held up although all others have answered,
  // and against a guess among several versions.
  OriginFleet Fleet(8);
  auto Begin = std::chrono::steady_clock::now();
  CHECK(Fleet.find(1, query(1)).Source_ == OriginSource::Unknown);
  CHECK(std::chrono::steady_clock::now() - Begin <
        StreamOriginService::Options().AnswerTime_);
  CHECK_FALSE(Fleet.find(1, query(1)).Lost_);
  Fleet.Version_ = {StreamVersion::Proof::Several, {}};
  CHECK(Fleet.find(1, query(1)).Lost_);
  Fleet.Version_ = {StreamVersion::Proof::Shown, SoftwareVersion("v1")};
  FoundOrigin Found = Fleet.find(1, query(1));
  CHECK(Found.Source_ == OriginSource::OnlyVersion);
  CHECK(Found.Origin_ == origin(0));
  OriginQuery WithoutId = query(1);
  WithoutId.Key_.reset();
  CHECK(Fleet.find(1, WithoutId).Source_ == OriginSource::OnlyVersion);
  OriginQuery SplitRoute = query(1);
  SplitRoute.Pool_.reset();
  CHECK(Fleet.find(1, SplitRoute).Source_ == OriginSource::Unknown);
}

TEST_CASE("streams without a record wait together for a newer list") {
  // Guards against a question for each of the streams of a fleet that was
  // killed, and against a stream that goes on by a list that may lack versions.
  constexpr int Streams = 80;
  const StreamVersion Unconfirmed{StreamVersion::Proof::Unconfirmed, {}};
  const StreamVersion Shown{StreamVersion::Proof::Shown, SoftwareVersion("v1")};
  OriginFleet Fleet(1);
  Fleet.Version_ = Unconfirmed;
  std::vector<OriginSource> Found;
  for (int Number = 0; Number < Streams; ++Number)
    Fleet.at(0).find(query(Number), [&](const FoundOrigin &Answer) {
      Found.push_back(Answer.Source_);
    });
  Fleet.runReady();
  Fleet.at(0).listConfirmed(BootClock::now());
  CHECK(Found.empty());
  Fleet.Confirmations_ = 0;
  Fleet.Version_ = Shown;
  Fleet.at(0).listConfirmed(BootClock::now());
  CHECK(Found == std::vector(Streams, OriginSource::OnlyVersion));
  CHECK(Fleet.Confirmations_ == 0);
}

TEST_CASE("a stream whose version stays unconfirmed is refused in time") {
  // Guards against callers that are held up while the store is away.
  OriginFleet Fleet(8);
  Fleet.Version_.Proof_ = StreamVersion::Proof::Unconfirmed;
  CHECK(Fleet.find(1, query(1)).Source_ == OriginSource::Unknown);
  CHECK(Fleet.Confirmations_ == 1);
}

TEST_CASE("a daemon that is alone decides by itself") {
  OriginFleet Fleet(1);
  Fleet.at(0).record(*query(1).Key_, origin(1), Needed);
  CHECK(Fleet.find(0, query(1)).Origin_ == origin(1));
  CHECK(Fleet.find(0, query(2)).Source_ == OriginSource::Unknown);
}

TEST_CASE("records take a small part of the bytes for control") {
  // 1,700 requests a second at 400 daemons, all of them streams.
  constexpr std::size_t StreamsPerSecond = 5;
  constexpr std::size_t MaxBytes = 2000;
  OriginFleet Fleet(400);
  recordStreams(Fleet, StreamsPerSecond);
  MESSAGE(Fleet.bytes() << " bytes for " << StreamsPerSecond << " streams");
  CHECK(Fleet.bytes() <= MaxBytes);
}
