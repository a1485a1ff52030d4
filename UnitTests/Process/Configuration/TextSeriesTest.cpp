/// \file
/// Configurations that change faster than their texts are transferred: readers
/// and their followers in virtual time, on links of 10 Mbit/s.

#include "Process/Configuration/DocumentTransfer.h"

#include <doctest/doctest.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

using namespace samphireshunt;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

using TimePoint = DocumentTransfer::TimePoint;
using Clock = std::chrono::steady_clock;

constexpr milliseconds PollInterval{500};
constexpr milliseconds AnswerTimeout{400};
constexpr milliseconds Latency{5};
constexpr milliseconds ApplyBound{3000};
constexpr std::size_t StateBytes = 200;
constexpr double BytesPerMs = 1250;

/// Bytes that can't be compressed, so that what is sent is known.
std::string routesOf(std::uint32_t Seed, std::size_t Size) {
  pcg32 Random(Seed);
  std::string Text(Size, '\0');
  std::ranges::generate(Text, [&] { return static_cast<char>(Random()); });
  return Text;
}

milliseconds sendTime(std::size_t Bytes) {
  return milliseconds(
      static_cast<std::int64_t>(static_cast<double>(Bytes) / BytesPerMs));
}

/// A link that sends one message after the other.
class Link {
public:
  /// \returns when a message that is queued at \p Now has been sent.
  TimePoint send(std::size_t Bytes, TimePoint Now) {
    Free_ = std::max(Free_, Now) +
            duration_cast<Clock::duration>(
                std::chrono::duration<double, std::milli>(
                    static_cast<double>(Bytes) / BytesPerMs));
    return Free_;
  }

private:
  TimePoint Free_;
};

struct Reader {
  DocumentTexts Texts_;
  Link Link_;
  /// Serves only the newest text, as daemons of the previous version do.
  bool IsOld_ = false;
};

struct Follower {
  DocumentTexts Texts_;
  DocumentTransfer Transfer_;
  Link Link_;
  std::size_t Reader_ = 0;
  std::size_t Adopted_ = 0;
  milliseconds LongestAnswer_{0};
  /// Drops its transfer when a newer text is announced, as daemons of the
  /// previous version do.
  bool IsOld_ = false;
};

class Fleet {
public:
  /// \p Phase shifts when followers ask.
  Fleet(std::size_t Readers, std::size_t FollowersPerReader,
        milliseconds Phase = milliseconds(0)) {
    for (std::size_t Index = 0; Index < Readers; ++Index)
      Readers_.push_back(std::make_unique<Reader>());
    for (std::size_t Index = 0; Index < Readers * FollowersPerReader; ++Index) {
      Followers_.push_back(std::make_unique<Follower>());
      Followers_.back()->Reader_ = Index % Readers;
    }
    publish(Base_);
    for (auto &Each : Followers_)
      Each->Texts_.store(Newest_, Base_);
    for (std::size_t Index = 0; Index < Followers_.size(); ++Index)
      poll(*Followers_[Index], Phase + PollInterval * static_cast<int>(Index) /
                                           static_cast<int>(Followers_.size()));
  }
  /// All readers read the next version from the service.
  void publish(const std::string &Text) {
    Newest_ = DocumentVersion(Newest_.count() + 1);
    for (auto &Each : Readers_)
      Each->Texts_.store(Newest_, Text);
    PublishedAt_ = Now_;
    for (auto &Each : Followers_)
      answer(*Each, Now_);
  }
  /// Runs until all followers have the newest version. \returns how long after
  /// it was published; nothing if that takes longer than \p Limit.
  std::optional<milliseconds> settle(milliseconds Limit) {
    auto Done = [this] {
      return std::ranges::all_of(Followers_, [this](const auto &Each) {
        return Each->Texts_.newest() == Newest_;
      });
    };
    while (!Done() && Now_ - PublishedAt_ < Limit)
      runFor(milliseconds(1));
    return Done()
               ? std::optional(duration_cast<milliseconds>(Now_ - PublishedAt_))
               : std::nullopt;
  }
  void runFor(milliseconds Time) {
    TimePoint End = Now_ + Time;
    while (!Events_.empty() && Events_.top().At_ <= End) {
      Event Next = Events_.top();
      Events_.pop();
      Now_ = Next.At_;
      Next.Run_();
    }
    Now_ = End;
  }
  void follow(Follower &Each, std::size_t Which) {
    Each.Transfer_.drop();
    Each.Reader_ = Which;
  }
  /// The fewest versions that any follower adopted so far.
  std::size_t fewestAdopted() const {
    auto Adopted = [](const auto &Each) { return Each->Adopted_; };
    return (*std::ranges::min_element(Followers_, {}, Adopted))->Adopted_;
  }
  milliseconds longestAnswer() const {
    auto Longest = [](const auto &Each) { return Each->LongestAnswer_; };
    return (*std::ranges::max_element(Followers_, {}, Longest))->LongestAnswer_;
  }

  /// A follower rejected a chunk or a text.
  bool Broken_ = false;
  const std::string Base_ = routesOf(1, 100000);
  std::vector<std::unique_ptr<Reader>> Readers_;
  std::vector<std::unique_ptr<Follower>> Followers_;

private:
  struct Event {
    TimePoint At_;
    std::uint64_t Order_ = 0;
    std::function<void()> Run_;
    bool operator<(const Event &Other) const {
      return std::pair(At_, Order_) > std::pair(Other.At_, Other.Order_);
    }
  };

  void at(TimePoint When, std::function<void()> Run) {
    Events_.push({When, ++Order_, std::move(Run)});
  }
  /// Passes a message over the link of \p From and of \p To.
  void pass(Reader &From, Follower &To, std::size_t Bytes,
            std::function<void()> Arrived) {
    TimePoint Sent = From.Link_.send(Bytes, Now_) + Latency;
    at(Sent, [this, &To, Bytes, Arrived = std::move(Arrived)] {
      at(To.Link_.send(Bytes, Now_), Arrived);
    });
  }
  void poll(Follower &Each, Clock::duration Delay) {
    at(Now_ + Delay, [this, &Each] {
      TimePoint Asked = Now_;
      at(Now_ + Latency, [this, &Each, Asked] { answer(Each, Asked); });
      poll(Each, PollInterval);
    });
  }
  void answer(Follower &Each, TimePoint Asked) {
    Reader &From = *Readers_[Each.Reader_];
    DocumentVersion Version = From.Texts_.newest();
    pass(From, Each, StateBytes, [this, &Each, Version, Asked] {
      Each.LongestAnswer_ = std::max(Each.LongestAnswer_,
                                     duration_cast<milliseconds>(Now_ - Asked));
      announced(Each, Version);
    });
  }
  void announced(Follower &Each, DocumentVersion Version) {
    if (!Each.Transfer_.lacks(Version, Each.Texts_.newest()))
      return;
    if (Each.IsOld_ && Each.Transfer_.wanted() != Version)
      Each.Transfer_.drop();
    request(Each, Each.Transfer_.onAnnounced(Version, std::nullopt,
                                             Each.Texts_.newest(), Now_));
  }
  void request(Follower &Each, std::optional<wire::TextAskT> Request) {
    if (!Request)
      return;
    std::size_t Which = Each.Reader_;
    at(Now_ + Latency, [this, &Each, Which, Wanted = *Request] {
      Reader &From = *Readers_[Which];
      bool Lacks = From.IsOld_ &&
                   DocumentVersion(Wanted.version) != From.Texts_.newest();
      wire::TextPartT Chunk =
          Lacks ? wire::TextPartT() : From.Texts_.chunk(Wanted);
      Chunk.version = Wanted.version;
      Chunk.offset = Wanted.offset;
      pass(From, Each, StateBytes + Chunk.bytes.size(),
           [this, &Each, Which, Chunk] {
             if (Each.Reader_ == Which)
               received(Each, Chunk);
           });
    });
  }
  void received(Follower &Each, const wire::TextPartT &Chunk) {
    auto Step = Each.Transfer_.received(Chunk, Each.Texts_, Now_);
    Broken_ |= Step.Invalid_;
    request(Each, std::move(Step.Request_));
    if (Step.Text_) {
      Each.Texts_.store(DocumentVersion(Chunk.version), *Step.Text_);
      ++Each.Adopted_;
    }
    if (!Step.Text_ && Chunk.size > 0)
      return;
    at(Now_ + Latency, [this, &Each, Asked = Now_] { answer(Each, Asked); });
  }

  TimePoint Now_{std::chrono::hours(1)};
  TimePoint PublishedAt_;
  DocumentVersion Newest_;
  std::uint64_t Order_ = 0;
  std::priority_queue<Event> Events_;
};

constexpr milliseconds Limit{60000};

/// Versions that each add the same number of bytes.
struct Series {
  int Versions_ = 0;
  std::size_t AddedBytes_ = 0;
  milliseconds Interval_{0};

  /// How long a reader sends one version to its followers.
  milliseconds versionTime(std::size_t Followers) const {
    return sendTime(AddedBytes_ * Followers);
  }
  /// How long after the last version all may take to have it: what a reader
  /// that sent without a pause since the first one has left, and the time in
  /// which a small one is in force.
  milliseconds bound(std::size_t Followers) const {
    auto Left =
        Versions_ * versionTime(Followers) - (Versions_ - 1) * Interval_;
    return std::max(Left, versionTime(Followers)) + ApplyBound;
  }
  void publish(
      Fleet &Test, const std::function<void(int)> &Before = [](int) {}) const {
    std::string Text = Test.Base_;
    for (int Number = 0; Number < Versions_; ++Number) {
      if (Number > 0)
        Test.runFor(Interval_);
      Before(Number);
      Text += routesOf(static_cast<std::uint32_t>(Number) + 2, AddedBytes_);
      Test.publish(Text);
    }
  }
};

/// Takes longer to send than until the next one comes, with seven followers.
constexpr Series FasterThanLink{12, 100000, milliseconds(400)};
constexpr std::size_t Few = 7;

void checkSettled(Fleet &Test, milliseconds Bound) {
  auto Took = Test.settle(Limit);
  REQUIRE(Took);
  CAPTURE(Took->count());
  CAPTURE(Bound.count());
  CHECK(*Took <= Bound);
  CHECK(Test.longestAnswer() < AnswerTimeout);
  CHECK_FALSE(Test.Broken_);
}

} // namespace

TEST_CASE("texts that change faster than the link carries them come in force "
          "one after the other, and the last one in time") {
  // Guards against transfers that begin anew with each version: none is in
  // force during the series, and all of it is sent after the last one.
  Fleet Test(1, Few);
  FasterThanLink.publish(Test);
  CHECK(Test.fewestAdopted() >= 3);
  checkSettled(Test, FasterThanLink.bound(Few));
}

TEST_CASE("texts that change faster than links carry them arrive in time at "
          "300 daemons") {
  // A reader for each twelve daemons, as the fleet chooses them.
  constexpr int Readers = 25;
  constexpr std::size_t Followers = 11;
  constexpr Series Changes{16, 50000, milliseconds(300)};
  for (int Group = 0; Group < Readers; ++Group) {
    CAPTURE(Group);
    Fleet Test(1, Followers, milliseconds(Group * 20));
    Changes.publish(Test);
    CHECK(Test.fewestAdopted() >= 3);
    checkSettled(Test, Changes.bound(Followers));
  }
}

TEST_CASE("texts that have nothing in common and double in size arrive") {
  // The transfer that goes on costs at most half as much as the last text.
  Fleet Test(1, Few);
  std::size_t Size = 10000;
  for (std::uint32_t Number = 0; Number < 7; ++Number, Size *= 2) {
    Test.publish(routesOf(Number + 2, Size));
    Test.runFor(milliseconds(400));
  }
  CHECK(Test.fewestAdopted() >= 1);
  checkSettled(Test, sendTime(Size / 2 * Few) * 3 / 2 + ApplyBound);
}

TEST_CASE("a large text in transfer doesn't delay a small change that takes it "
          "back") {
  // Guards against a follower that receives all of a text that is no longer
  // wanted, while it decides by the one before.
  Fleet Test(1, Few);
  Test.publish(Test.Base_ + routesOf(2, 4000000));
  Test.runFor(milliseconds(1000));
  Test.publish(Test.Base_ + "a new route");
  checkSettled(Test, ApplyBound);
}

TEST_CASE("texts that change faster than the link arrive from another reader, "
          "and at a daemon that starts") {
  Fleet Test(2, 3);
  FasterThanLink.publish(Test, [&](int Number) {
    if (Number != 6)
      return;
    for (auto &Each : Test.Followers_)
      Test.follow(*Each, 1);
    Test.Followers_.front()->Texts_ = DocumentTexts();
  });
  checkSettled(Test, FasterThanLink.bound(6));
}

TEST_CASE("the last of a series of texts arrives where one daemon is of the "
          "previous version") {
  Fleet Test(1, Few);
  SUBCASE("reader") { Test.Readers_.front()->IsOld_ = true; }
  SUBCASE("follower") { Test.Followers_.front()->IsOld_ = true; }
  FasterThanLink.publish(Test);
  // Such a transfer begins anew with each version.
  checkSettled(Test, 12 * FasterThanLink.versionTime(Few) + ApplyBound);
}

TEST_CASE("a text that is in transfer stays stored while many newer ones come, "
          "and takes bounded memory") {
  DocumentTexts Texts(100000);
  std::string Text = routesOf(1, 40000);
  Texts.store(DocumentVersion(1), Text);
  wire::TextAskT Request;
  Request.version = 1;
  CHECK(Texts.chunk(Request).size == Text.size());
  for (std::uint64_t Number = 2; Number < 20; ++Number)
    Texts.store(DocumentVersion(Number),
                routesOf(static_cast<std::uint32_t>(Number), 40000));
  CHECK(Texts.find(DocumentVersion(1)) == Text);
  Request.offset = TextChunkBytes;
  CHECK(Texts.chunk(Request).size == Text.size());
  // The newest one, and as many bytes of earlier ones as the longest may have.
  std::size_t Stored = 0;
  for (std::uint64_t Number = 1; Number < 20; ++Number)
    Stored += Texts.find(DocumentVersion(Number)) ? 1 : 0;
  CHECK(Stored == 3);
}

TEST_CASE("a text that is forgotten takes no room from those that stay") {
  DocumentTexts Texts(100000);
  Texts.store(DocumentVersion(1), routesOf(1, 30000));
  Texts.store(DocumentVersion(2), routesOf(2, 60000));
  Texts.store(DocumentVersion(3), routesOf(3, 60000));
  wire::TextAskT Request;
  for (std::uint64_t Number : {1, 2, 3}) {
    Request.version = Number;
    Texts.chunk(Request);
  }
  Texts.store(DocumentVersion(4), routesOf(4, 30000));
  CHECK(Texts.find(DocumentVersion(3)));
  CHECK_FALSE(Texts.find(DocumentVersion(2)));
  CHECK(Texts.find(DocumentVersion(1)));
}
