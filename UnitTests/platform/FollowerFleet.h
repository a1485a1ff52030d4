#pragma once
/// \file
/// Daemons that read the platform's store or follow one that does, in one
/// thread; messages between them are handed over, delayed or lost by the test.

#include "UnitTests/platform/StoreDaemon.h"
#include "UnitTests/platform/StoreEntries.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include <algorithm>
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
inline constexpr milliseconds RegisterAgain{150};
inline constexpr milliseconds Lapse{800};

/// One of a given size, of digits that no packing makes small.
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

/// One daemon's part of all this, with times of a test. Messages between
/// daemons are handed over by the fixture. With a \p Slowdown its questions
/// take so many times as long, so that a pause of the test's own process
/// changes nothing.
class FollowingDaemon : public StoreDaemon {
public:
  FollowingDaemon(boost::asio::io_context &Context, FakeStore &Store,
                  const std::string &Name, ReaderChoice Choice,
                  PeerFollower::Hooks Hooks, int Slowdown = 1)
      : StoreDaemon(Context, Store, settings(Slowdown)),
        Choice_(std::move(Choice)) {
    Hooks.Choose_ = [this] { return Choice_; };
    start(VmId(Name), std::move(Hooks));
  }

  bool isActive(const std::string &Name) const {
    return tests::isActive(Documents_, Name);
  }
  DocumentVersion version() const { return View_.version(); }
  bool follows(const std::string &Reader) const {
    return Service_->paused() && Peers_->reader() == VmId(Reader);
  }

  /// Whom it may follow; a test may change its mind.
  ReaderChoice Choice_;

private:
  static Settings settings(int Slowdown) {
    Settings Built;
    Built.Lease_ = Lease;
    Built.ApplyBound_ = ApplyBound;
    Built.Times_ = {RegisterAgain, Lapse};
    Built.CallTimeout_ = Slowdown * milliseconds(50);
    StoreFollower::Options &Options = Built.Service_;
    Options.WatchTime_ = milliseconds(2000);
    Options.ConfirmTime_ = milliseconds(200);
    Options.ReaderConfirmTime_ = Slowdown * milliseconds(40);
    Options.BehindTime_ = milliseconds(20);
    Options.GatherTime_ = milliseconds(5);
    Options.FirstGatherTime_ = milliseconds(10);
    Options.FirstPause_ = milliseconds(5);
    Options.LongestPause_ = milliseconds(10);
    Options.SpareFirstPause_ = milliseconds(20);
    Options.SpareLongestPause_ = milliseconds(50);
    Options.RegisterSpread_ = milliseconds(20);
    PeerFollower::Options &PeerOptions = Built.Peers_;
    PeerOptions.AskTime_ = Slowdown * milliseconds(40);
    PeerOptions.AnswerTime_ = Slowdown * milliseconds(40);
    PeerOptions.OldestAge_ = Slowdown * milliseconds(160);
    PeerOptions.TryAgainTime_ = Slowdown * milliseconds(100);
    PeerOptions.SettleTime_ = milliseconds(50);
    PeerOptions.StayTime_ = milliseconds(400);
    PeerOptions.PatientTime_ = milliseconds(200);
    PeerOptions.AskAgainTime_ = milliseconds(20);
    PeerOptions.Heard_.Patience_ = milliseconds(30);
    PeerOptions.Heard_.GiveUp_ = milliseconds(300);
    return Built;
  }
};

/// Three readers, each with a store of its own that tells the same, so that one
/// may lose it alone; and a daemon that follows them.
class Fleet {
public:
  /// \p Small: all read the store, and "spare" follows only without it.
  explicit Fleet(bool Small = false, int Slowdown = 1) : Slowdown_(Slowdown) {
    put("op/config", configuration(3));
    put("servers/i-1", serverEntry("ready"));
    for (const char *Name : {"first", "second", "third"})
      add(Name, *Stores_[Name],
          {Small ? StoreRole::Alone : StoreRole::Reader, {}});
    SpareChoice_ = {Small ? StoreRole::Alone : StoreRole::Spare,
                    {VmId("first"), VmId("second")}};
    startSpare();
  }
  /// Starts the daemon that follows, maybe once more.
  void startSpare() {
    if (Daemons_.contains("spare"))
      Daemons_["spare"]->Service_->stop();
    Retired_.push_back(std::move(Daemons_["spare"]));
    add("spare", SpareStore_, SpareChoice_);
  }
  void put(const std::string &Key, const std::string &Value) {
    forAllStores([&](FakeStore &Store) { Store.put(Key, Value); });
  }
  /// Servers i-0 and so on.
  void putServers(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      put(fmt::format("servers/i-{}", Index), serverEntry("ready"));
  }
  void remove(const std::string &Key) {
    forAllStores([&](FakeStore &Store) { Store.remove(Key); });
  }
  void takeCopies() {
    forAllStores([](FakeStore &Store) { Store.takeCopy(); });
  }
  void restoreCopies() {
    forAllStores([](FakeStore &Store) { Store.restoreCopy(); });
  }
  void forAllStores(const std::function<void(FakeStore &)> &Do) {
    for (auto &[Name, Store] : Stores_)
      Do(*Store);
    Do(SpareStore_);
  }
  /// The readers have a version whose text does not come to the follower, which
  /// has lost the store. \returns whether they have it.
  bool loseTextOf(int Version) {
    constexpr std::size_t Size = 100000;
    SpareStore_.FailWith_ = 503;
    LoseParts_ = true;
    put("op/config", largeConfiguration(Version, Size));
    return runUntil([&] {
      return (*this)["first"].version() ==
             DocumentVersion(static_cast<std::uint64_t>(Version));
    });
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
  /// Daemons that neither hear nor answer others.
  std::set<std::string> Frozen_;
  /// The next so many messages that readers send by themselves are lost.
  int LosePushes_ = 0;
  /// Parts of a text that daemons send are lost while this is set.
  bool LoseParts_ = false;
  /// This many parts come with a wrong byte.
  int SpoilParts_ = 0;
  int Parts_ = 0;
  /// What the last text of which a part came takes in all.
  std::size_t PackedSize_ = 0;
  /// Questions that asked for texts apart.
  int AskedApart_ = 0;
  /// One of the two is of an earlier version, which knows nothing of texts that
  /// are told apart.
  bool Mixed_ = false;
  /// The longest message that a daemon has sent to another.
  std::size_t LongestMessage_ = 0;
  /// What a daemon's link carries in a millisecond; the others' carry all.
  std::map<std::string, std::size_t> BytesPerMs_;
  /// What each daemon has sent, in bytes.
  std::map<std::string, std::size_t> Sent_;
  std::map<std::string, std::unique_ptr<FollowingDaemon>> Daemons_;
  /// Their calls may still be under way.
  std::vector<std::unique_ptr<FollowingDaemon>> Retired_;
  ReaderChoice SpareChoice_;

private:
  int Slowdown_;

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
        Context_, Store, Name, std::move(Choice), Hooks, Slowdown_);
  }
  void send(const std::string &From, const VmId &To, std::string Message) {
    Sent_[From] += Message.size();
    auto Deliver = [this, From, To, Message] {
      deliver(From, To.str(), Message);
    };
    if (auto Slow = BytesPerMs_.find(From); Slow != BytesPerMs_.end())
      return carry(LinkFree_[From], Message.size() / Slow->second, Deliver);
    boost::asio::post(Context_, Deliver);
  }
  /// A message waits for those that its sender's link still carries.
  void carry(std::chrono::steady_clock::time_point &Free, std::size_t TakesMs,
             const std::function<void()> &Deliver) {
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
    LongestMessage_ = std::max(LongestMessage_, Message.size());
    auto Decoded = decodeMessage(Message).value();
    PeerFollower &Peers = *Daemons_.at(To)->Peers_;
    if (auto *Asked = Decoded.body.AsFollow()) {
      Asked->text_apart = Asked->text_apart && !Mixed_;
      AskedApart_ += Asked->text_apart ? 1 : 0;
      return Peers.onFollow(VmId(From), *Asked);
    }
    if (const auto *Text = Decoded.body.AsTextAsk())
      return Peers.onTextAsk(VmId(From), *Text);
    if (auto *Part = Decoded.body.AsTextPart())
      return deliverPart(From, Peers, *Part);
    const auto *Told = Decoded.body.AsState();
    if (Told->sequence == 0 && LosePushes_ > 0) {
      --LosePushes_;
      return;
    }
    Peers.onState(VmId(From), *Told);
  }
  void deliverPart(const std::string &From, PeerFollower &Peers,
                   wire::TextPartT &Part) {
    if (LoseParts_)
      return;
    ++Parts_;
    PackedSize_ = Part.packed_size;
    if (SpoilParts_ > 0 && !Part.bytes.empty()) {
      --SpoilParts_;
      Part.bytes.back() ^= 0xff;
    }
    Peers.onTextPart(VmId(From), Part);
  }

  /// When a daemon's link has carried all that it was given.
  std::map<std::string, std::chrono::steady_clock::time_point> LinkFree_;
};

/// A daemon that follows one of two readers. These answer at once; only the
/// daemon itself is ever paused.
class LoneFollower {
public:
  LoneFollower() {
    Store_.put("op/config", configuration(3));
    PeerFollower::Hooks Hooks;
    Hooks.Send_ = [this](const VmId &To, const std::string &Message) {
      ++Questions_[To.str()];
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
  /// For so long the daemon is not let run when the next answer has come.
  milliseconds NextPause_{0};
  /// How often each reader was asked.
  std::map<std::string, int> Questions_;
  std::unique_ptr<FollowingDaemon> Self_;

private:
  /// A frame is read in two steps: its length, then its bytes.
  void answer(const VmId &From, std::uint32_t Sequence) {
    boost::asio::post(Context_, [this, From, Sequence] {
      std::this_thread::sleep_for(std::exchange(NextPause_, milliseconds(0)));
      boost::asio::post(Context_, [this, From, Sequence] {
        boost::asio::post(Context_, [this, From, Sequence] {
          wire::StateT Told;
          Told.sequence = Sequence;
          Told.incarnation = 1;
          Told.number = 1;
          Told.revision = 1000;
          Told.complete = true;
          Told.reads_service = true;
          Self_->Peers_->onState(From, Told);
        });
      });
    });
  }
};

} // namespace samphireshunt::tests
