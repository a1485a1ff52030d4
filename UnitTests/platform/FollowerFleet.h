#pragma once
/// \file
/// Daemons in a single thread that read the platform's store or follow a daemon
/// that does. The fixture delivers, delays or drops the messages between them.

#include "UnitTests/platform/StoreDaemon.h"
#include "UnitTests/platform/StoreEntries.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace samphireshunt::tests {

using std::chrono::milliseconds;

inline constexpr milliseconds Lease{1000};
inline constexpr milliseconds ApplyBound{300};
inline constexpr milliseconds RegistrationInterval{150};
inline constexpr milliseconds ExpiryTime{800};
/// Longer than any run: it never ends, however long the test's process pauses.
inline constexpr std::chrono::hours Endless{1};

/// A configuration of about \p Size bytes that consists of pseudo-random
/// digits, so that compression cannot make it small.
inline std::string largeConfiguration(int Version, std::size_t Size) {
  std::string Digits;
  std::uint32_t Next = 1;
  while (Digits.size() < Size) {
    Next = Next * 1664525 + 1013904223;
    Digits += fmt::format("{:08x}", Next);
  }
  std::string Text = configuration(Version);
  Text.insert(1, fmt::format(R"("note":"{}",)", Digits));
  return Text;
}

/// A daemon of the fleet with short times for tests. The fixture delivers the
/// messages between daemons. \p Slowdown multiplies the times and timeouts of
/// its requests, so that a pause of the test's process has no effect.
class FollowingDaemon : public StoreDaemon {
public:
  /// Changes settings before the daemon is made.
  using Adjust = std::function<void(Settings &)>;

  FollowingDaemon(
      boost::asio::io_context &Context, FakeStore &Store,
      const std::string &Name, ReaderChoice Choice, PeerFollower::Hooks Hooks,
      int Slowdown = 1, const Adjust &Change = [](Settings &) {})
      : StoreDaemon(Context, Store, settings(Slowdown, Change)),
        Choice_(std::move(Choice)) {
    Hooks.ChooseReaders_ = [this] { return Choice_; };
    start(VmId(Name), std::move(Hooks));
  }

  bool isActive(const std::string &Name) const {
    return tests::isActive(Documents_, Name);
  }
  DocumentVersion version() const { return View_.version(); }
  bool follows(const std::string &Reader) const {
    return Service_->paused() && Peers_->reader() == VmId(Reader);
  }

  /// The role and the readers that the daemon may follow. Tests may change it.
  ReaderChoice Choice_;

private:
  static Settings settings(int Slowdown, const Adjust &Change) {
    Settings Built;
    Built.Lease_ = Lease;
    Built.ApplyBound_ = ApplyBound;
    Built.Times_ = {RegistrationInterval, ExpiryTime};
    Built.CallTimeout_ = Slowdown * milliseconds(50);
    StoreFollower::Options &Options = Built.Service_;
    Options.WatchTime_ = milliseconds(2000);
    Options.ConfirmTime_ = milliseconds(200);
    Options.ReaderConfirmTime_ = Slowdown * milliseconds(40);
    Options.MaxWatchLag_ = milliseconds(20);
    Options.BatchTime_ = milliseconds(5);
    Options.FirstBatchTime_ = milliseconds(10);
    Options.FirstPause_ = milliseconds(5);
    Options.MaxPause_ = milliseconds(10);
    Options.SpareFirstPause_ = milliseconds(20);
    Options.SpareMaxPause_ = milliseconds(50);
    Options.RegisterSpread_ = milliseconds(20);
    PeerFollower::Options &PeerOptions = Built.Peers_;
    PeerOptions.RequestInterval_ = Slowdown * milliseconds(40);
    PeerOptions.AnswerTimeout_ = Slowdown * milliseconds(40);
    PeerOptions.MaxStateAge_ = Slowdown * milliseconds(160);
    PeerOptions.SilentRetryTime_ = Slowdown * milliseconds(100);
    PeerOptions.SettleTime_ = milliseconds(50);
    PeerOptions.MinFollowTime_ = milliseconds(400);
    PeerOptions.OutageGraceTime_ = milliseconds(200);
    PeerOptions.UnusableRetryTime_ = milliseconds(20);
    PeerOptions.Announced_.RequestDelay_ = milliseconds(30);
    PeerOptions.Announced_.DeliveryTimeout_ = milliseconds(300);
    Change(Built);
    return Built;
  }
};

/// Three readers and a daemon, "spare", that follows them. Each has its own
/// store with the same content, so that a single daemon can lose its store.
class Fleet {
public:
  /// If \p Small is set, all daemons read the store, and "spare" follows
  /// another one only when it has lost its store.
  /// \p Change is applied to the settings of all daemons.
  explicit Fleet(
      bool Small = false, int Slowdown = 1,
      FollowingDaemon::Adjust Change = [](StoreDaemon::Settings &) {})
      : Slowdown_(Slowdown), Adjust_(std::move(Change)) {
    put("op/config", configuration(3));
    put("servers/i-1", serverEntry("ready"));
    for (const char *Name : {"first", "second", "third"})
      add(Name, *Stores_[Name],
          {Small ? StoreRole::Alone : StoreRole::Reader, {}});
    SpareChoice_ = {Small ? StoreRole::Alone : StoreRole::Spare,
                    {VmId("first"), VmId("second")}};
    startSpare();
  }
  /// Starts or restarts the daemon "spare".
  void startSpare() {
    if (Daemons_.contains("spare"))
      Daemons_["spare"]->Service_->stop();
    Retired_.push_back(std::move(Daemons_["spare"]));
    add("spare", SpareStore_, SpareChoice_);
  }
  void put(const std::string &Key, const std::string &Value) {
    forAllStores([&](FakeStore &Store) { Store.put(Key, Value); });
  }
  /// Writes the servers i-0 to i-(\p Count - 1).
  void putServers(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      put(fmt::format("servers/i-{}", Index), serverEntry("ready"));
  }
  void remove(const std::string &Key) {
    forAllStores([&](FakeStore &Store) { Store.remove(Key); });
  }
  void takeBackups() {
    forAllStores([](FakeStore &Store) { Store.takeBackup(); });
  }
  void restoreBackups() {
    forAllStores([](FakeStore &Store) { Store.restoreBackup(); });
  }
  void forAllStores(const std::function<void(FakeStore &)> &Do) {
    for (auto &[Name, Store] : Stores_)
      Do(*Store);
    Do(SpareStore_);
  }
  /// Writes a large configuration that the readers get while the follower's
  /// store fails and the text sent to it is dropped. \returns whether the
  /// reader "first" has the version.
  bool dropTextOf(int Version) {
    constexpr std::size_t Size = 100000;
    SpareStore_.FailWith_ = 503;
    DropChunks_ = true;
    put("op/config", largeConfiguration(Version, Size));
    return runUntil([&] {
      return (*this)["first"].version() ==
             DocumentVersion(static_cast<std::uint64_t>(Version));
    });
  }
  /// Delivers the chunks that were held, unless they are to be held still.
  void releaseChunks() {
    for (const auto &Deliver : std::exchange(HeldChunks_, {}))
      Deliver();
  }
  FollowingDaemon &operator[](const std::string &Name) {
    return *Daemons_.at(Name);
  }
  FakeStore &storeOf(const std::string &Reader) { return *Stores_.at(Reader); }
  bool runUntil(const std::function<bool()> &Done) {
    return tests::runUntil(Context_, Done);
  }
  void runFor(milliseconds Time) { tests::runFor(Context_, Time); }
  std::size_t calls() const {
    return SpareStore_.calls("/-/kv-range") + SpareStore_.calls("/-/kv-watch");
  }

  boost::asio::io_context Context_;
  FakeStore SpareStore_{Context_};
  std::map<std::string, std::unique_ptr<FakeStore>> Stores_ = makeStores();
  /// Daemons whose messages are dropped in both directions.
  std::set<std::string> Frozen_;
  /// The number of messages that are still to be dropped of those that readers
  /// send without a request.
  int DropPushes_ = 0;
  /// While this is set, the chunks of texts that daemons send are dropped.
  bool DropChunks_ = false;
  /// The number of chunks that are still to be delivered with a wrong byte.
  int CorruptChunks_ = 0;
  /// Returns true for chunks that are not delivered before releaseChunks().
  std::function<bool(const wire::TextPartT &)> Holds_ =
      [](const wire::TextPartT &) { return false; };
  /// The number of chunks delivered so far.
  int DeliveredChunks_ = 0;
  /// The version that the last delivered state names.
  DocumentVersion NamedVersion_;
  /// The packed size of the whole text to which the last chunk belongs.
  std::size_t PackedSize_ = 0;
  /// The number of follow requests whose flag for separate texts is set.
  int SeparateTextRequests_ = 0;
  /// Simulates that one of the two daemons is of an earlier software version
  /// that does not know separate texts.
  bool Mixed_ = false;
  /// The size of the longest message between daemons.
  std::size_t MaxMessageSize_ = 0;
  /// The bandwidth of a daemon's link in bytes per millisecond. Links of
  /// daemons that are not listed are unlimited.
  std::map<std::string, std::size_t> BytesPerMs_;
  /// The number of bytes that each daemon has sent.
  std::map<std::string, std::size_t> Sent_;
  std::map<std::string, std::unique_ptr<FollowingDaemon>> Daemons_;
  /// Stopped daemons, retained because their calls may still be pending.
  std::vector<std::unique_ptr<FollowingDaemon>> Retired_;
  ReaderChoice SpareChoice_;

private:
  int Slowdown_;
  FollowingDaemon::Adjust Adjust_;

  std::map<std::string, std::unique_ptr<FakeStore>> makeStores() {
    std::map<std::string, std::unique_ptr<FakeStore>> Stores;
    for (const char *Name : {"first", "second", "third"})
      Stores[Name] = std::make_unique<FakeStore>(Context_);
    return Stores;
  }
  void add(const std::string &Name, FakeStore &Store, ReaderChoice Choice) {
    PeerFollower::Hooks Hooks;
    auto Pass = [this, Name](const VmId &To, std::string Message) {
      send(Name, To, std::move(Message));
    };
    Hooks.Send_ = Pass;
    Hooks.Reply_ = Pass;
    Daemons_[Name] = std::make_unique<FollowingDaemon>(
        Context_, Store, Name, std::move(Choice), Hooks, Slowdown_, Adjust_);
  }
  void send(const std::string &From, const VmId &To, std::string Message) {
    Sent_[From] += Message.size();
    auto Deliver = [this, From, To, Message] {
      deliver(From, To.str(), Message);
    };
    if (auto Limited = BytesPerMs_.find(From); Limited != BytesPerMs_.end())
      return transmit(LinkFreeAt_[From], Message.size() / Limited->second,
                      Deliver);
    boost::asio::post(Context_, Deliver);
  }
  /// Delays a message until the sender's link has transmitted the earlier ones
  /// and this one.
  void transmit(std::chrono::steady_clock::time_point &Free,
                std::size_t TakesMs, const std::function<void()> &Deliver) {
    Free = std::max(Free, std::chrono::steady_clock::now());
    Free += milliseconds(TakesMs) + std::chrono::nanoseconds(1);
    auto Timer = std::make_shared<boost::asio::steady_timer>(Context_, Free);
    Timer->async_wait(
        [Timer, Deliver](const boost::system::error_code &) { Deliver(); });
  }
  void deliver(const std::string &From, const std::string &To,
               const std::string &Message) {
    if (Frozen_.contains(From) || Frozen_.contains(To))
      return;
    MaxMessageSize_ = std::max(MaxMessageSize_, Message.size());
    auto Decoded = decodeMessage(Message).value();
    PeerFollower &Peers = *Daemons_.at(To)->Peers_;
    if (auto *Request = Decoded.body.AsFollow()) {
      Request->text_apart = Request->text_apart && !Mixed_;
      SeparateTextRequests_ += Request->text_apart ? 1 : 0;
      return Peers.onFollow(VmId(From), *Request);
    }
    if (const auto *Text = Decoded.body.AsTextAsk())
      return Peers.onTextRequest(VmId(From), *Text);
    if (auto *Part = Decoded.body.AsTextPart())
      return deliverChunk(From, To, *Part);
    const auto *Answer = Decoded.body.AsState();
    if (Answer->sequence == 0 && DropPushes_ > 0) {
      --DropPushes_;
      return;
    }
    NamedVersion_ = DocumentVersion(Answer->text_version);
    Peers.onState(VmId(From), *Answer);
  }
  void deliverChunk(const std::string &From, const std::string &To,
                    wire::TextPartT &Part) {
    if (DropChunks_)
      return;
    if (Holds_(Part)) {
      HeldChunks_.emplace_back(
          [this, From, To, Part]() mutable { deliverChunk(From, To, Part); });
      return;
    }
    ++DeliveredChunks_;
    PackedSize_ = Part.packed_size;
    if (CorruptChunks_ > 0 && !Part.bytes.empty()) {
      --CorruptChunks_;
      Part.bytes.back() ^= 0xff;
    }
    Daemons_.at(To)->Peers_->onTextChunk(VmId(From), Part);
  }

  std::vector<std::function<void()>> HeldChunks_;
  /// When each daemon's link has transmitted all messages that it was given.
  std::map<std::string, std::chrono::steady_clock::time_point> LinkFreeAt_;
};

/// A daemon that follows one of two simulated readers. The readers always
/// answer at once; only the daemon itself can be paused.
class LoneFollower {
public:
  LoneFollower() {
    Store_.put("op/config", configuration(3));
    PeerFollower::Hooks Hooks;
    Hooks.Send_ = [this](const VmId &To, const std::string &Message) {
      ++Requests_[To.str()];
      answer(To, decodeMessage(Message).value().body.AsFollow()->sequence);
    };
    Hooks.Reply_ = [](const VmId &, const std::string &) {};
    Self_ = std::make_unique<FollowingDaemon>(
        Context_, Store_, "spare",
        ReaderChoice{StoreRole::Spare, {VmId("first"), VmId("second")}},
        std::move(Hooks));
  }
  bool runUntil(const std::function<bool()> &Done) {
    return tests::runUntil(Context_, Done);
  }

  boost::asio::io_context Context_;
  FakeStore Store_{Context_};
  /// How long the daemon is blocked after the next answer has arrived.
  milliseconds NextPause_{0};
  /// The number of requests that each reader got.
  std::map<std::string, int> Requests_;
  std::unique_ptr<FollowingDaemon> Self_;

private:
  /// Delivers an answer over several event-loop iterations, as a connection
  /// reads a frame in two steps: its length, then its bytes.
  void answer(const VmId &From, std::uint32_t Sequence) {
    boost::asio::post(Context_, [this, From, Sequence] {
      std::this_thread::sleep_for(std::exchange(NextPause_, milliseconds(0)));
      boost::asio::post(Context_, [this, From, Sequence] {
        boost::asio::post(Context_, [this, From, Sequence] {
          wire::StateT Answer;
          Answer.sequence = Sequence;
          Answer.incarnation = 1;
          Answer.number = 1;
          Answer.revision = 1000;
          Answer.complete = true;
          Answer.reads_service = true;
          Self_->Peers_->onState(From, Answer);
        });
      });
    });
  }
};

} // namespace samphireshunt::tests
