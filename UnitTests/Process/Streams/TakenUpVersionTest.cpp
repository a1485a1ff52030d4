/// \file
/// A fleet in virtual time whose daemons know of servers at different times:
/// one begins a stream, another one takes it up without a record.

#include "Process/Configuration/FreshnessLease.h"
#include "Process/Rollout/VersionSelection.h"
#include "Process/Streams/VersionTimeline.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <random>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr BootTime Start{std::chrono::hours(1)};
const PoolName ThePool("p");
const SoftwareVersion V1("v1");
const SoftwareVersion V2("v2");
/// The longest time from the start of a stream to its last attempt.
constexpr seconds MaxAge{12};
constexpr milliseconds MaxGap{4000};

/// Which servers are registered at the platform's service, at any time.
class Directory {
public:
  void add(const std::string &Name, const SoftwareVersion &Version,
           BootTime From) {
    BackendServer Server;
    Server.Name_ = ServerName(Name);
    Server.Version_ = Version;
    Entries_.push_back({std::move(Server), From, BootTime::max()});
  }
  void remove(const SoftwareVersion &Version, BootTime At) {
    for (Entry &Known : Entries_)
      if (Known.Server_.Version_ == Version)
        Known.Until_ = At;
  }
  std::vector<BackendServer> at(BootTime Now) const {
    std::vector<BackendServer> Listed;
    for (const Entry &Known : Entries_)
      if (Known.From_ <= Now && Now < Known.Until_)
        Listed.push_back(Known.Server_);
    return Listed;
  }

private:
  struct Entry {
    BackendServer Server_;
    BootTime From_;
    BootTime Until_;
  };
  std::vector<Entry> Entries_;
};

class ModelDaemon {
public:
  /// Applies a list that the service was asked for at \p Asked.
  void read(const Directory &Store, BootTime Asked, BootTime Now) {
    apply(Store.at(Asked), Asked, Now);
  }
  void apply(std::vector<BackendServer> Listed, BootTime Asked, BootTime Now) {
    Known_ = std::move(Listed);
    Timeline_.note({{ThePool, Known_}}, Now);
    Lease_->renew(Asked);
  }
  /// The versions that this daemon may send a new stream to.
  std::vector<SoftwareVersion> serving(BootTime Now) {
    std::vector<SoftwareVersion> Versions;
    for (const BackendServer &Server : Selection_.select(Known_, Now))
      if (!Server.Leaving_ && !Server.HeldBack_)
        Versions.push_back(Server.Version_);
    return Versions;
  }
  bool serves(const SoftwareVersion &Version, BootTime Now) {
    return std::ranges::count(serving(Now), Version) > 0;
  }
  StreamVersion takeUp(BootTime Arrived) const {
    return Timeline_.versionOf(
        {ThePool, Arrived, MaxAge},
        {Lease_->confirmedAt(), Lease_->unbrokenSince()});
  }
  BootTime askedAt() const { return Lease_->confirmedAt(); }
  const std::vector<BackendServer> &known() const { return Known_; }
  VersionSelection Selection_;

private:
  std::vector<BackendServer> Known_;
  VersionTimeline Timeline_;
  std::unique_ptr<FreshnessLease> Lease_ =
      std::make_unique<FreshnessLease>(seconds(0), seconds(0), MaxGap);
};

bool shows(const StreamVersion &Found) {
  return Found.Proof_ == StreamVersion::Proof::Shown;
}

/// A daemon whose last list is of the moment before v2 registers, and has had
/// v1 only for long enough.
constexpr BootTime Registered = Start + seconds(20);

struct OutOfStep {
  OutOfStep() {
    Store_.add("a1", V1, Start);
    Store_.add("b1", V2, Registered);
    for (auto Now = Start; Now < Registered; Now += milliseconds(500))
      Daemon_.read(Store_, Now, Now);
  }
  Directory Store_;
  ModelDaemon Daemon_;
};

/// \returns false if the daemon out of step takes up a stream that v2 has begun
/// \p After it registered, before or after that daemon's next list.
bool keepsVersions(OutOfStep &Test, milliseconds After) {
  BootTime Arrived = Registered + After;
  if (shows(Test.Daemon_.takeUp(Arrived)))
    return false;
  Test.Daemon_.read(Test.Store_, Registered - milliseconds(1), Arrived);
  if (shows(Test.Daemon_.takeUp(Arrived)))
    return false;
  Test.Daemon_.read(Test.Store_, Arrived, Arrived + milliseconds(10));
  return Test.Daemon_.takeUp(Arrived) ==
         StreamVersion{StreamVersion::Proof::Several, {}};
}

} // namespace

TEST_CASE("a daemon that starts sends to a version that another one does not "
          "know yet") {
  // Guards against a stream that goes on at the only version of an old list.
  OutOfStep Test;
  ModelDaemon Starting;
  auto Began = Registered + milliseconds(700);
  Starting.read(Test.Store_, Began, Began);
  REQUIRE(Starting.serves(V2, Began));
  CHECK(keepsVersions(Test, milliseconds(900)));
}

TEST_CASE("a version serves at once where nothing else could") {
  // Guards against a stream that goes on at the only version of an old list.
  OutOfStep Test;
  ModelDaemon Other;
  Other.read(Test.Store_, Start, Start);
  Test.Store_.remove(V1, Registered);
  auto Began = Registered + milliseconds(200);
  Other.read(Test.Store_, Began, Began);
  REQUIRE(Other.serves(V2, Began));
  CHECK(keepsVersions(Test, milliseconds(400)));
}

TEST_CASE("servers on trial get streams as soon as a roll-out begins") {
  // Guards against a stream that goes on at the only version of an old list.
  for (RolloutStage Stage : {RolloutStage::Canary, RolloutStage::Shifting}) {
    OutOfStep Test;
    ModelDaemon Other;
    Other.read(Test.Store_, Start, Start);
    REQUIRE(Other.serves(V1, Start));
    RolloutOrder Order{ThePool, V2, seconds(12)};
    StorePosition Written{StoreEra(1), Revision(10)};
    Other.Selection_.setOrder(Order, Written);
    RolloutRecord Record{V2, Written, Stage};
    Record.Base_ = {V1};
    Record.Canaries_ = {ServerName("b1")};
    Other.Selection_.apply(Record);
    auto Began = Registered + milliseconds(100);
    Other.read(Test.Store_, Began, Began);
    REQUIRE(Other.serves(V2, Began));
    CHECK(keepsVersions(Test, milliseconds(300)));
  }
}

TEST_CASE("a stream goes on by a list that was asked for after it arrived") {
  // Guards against refusals of all streams without a record.
  OutOfStep Test;
  auto Arrived = Registered - milliseconds(100);
  CHECK(Test.Daemon_.takeUp(Arrived).Proof_ ==
        StreamVersion::Proof::Unconfirmed);
  Test.Daemon_.read(Test.Store_, Arrived, Arrived + milliseconds(50));
  CHECK(Test.Daemon_.takeUp(Arrived) ==
        StreamVersion{StreamVersion::Proof::Shown, V1});
}

namespace {

constexpr milliseconds Step{50};
constexpr seconds Length{60};
constexpr std::size_t FollowersOfOne = 12;
/// How long an attempt waits for a newer list, and how soon it asks again.
constexpr milliseconds ConfirmTime{500};
constexpr milliseconds AskAgain{150};
/// How old the list of a reader may be that is followed.
constexpr milliseconds MaxReaderAge{1200};
/// How long servers serve on whose entries are gone.
constexpr seconds ServesOn{2};

/// Daemons that start, are cut off from the service, stand still and are
/// killed, while versions come and go. Each version stays for longer than
/// lists may be apart. A stream is shorter than the longest one by more than
/// any list is old.
class StreamFleet {
public:
  StreamFleet(std::size_t Count, std::uint64_t Seed) : Random_(Seed) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Nodes_.push_back({.Until_ = Start + between(0, 5000)});
    addVersions();
  }
  void run() {
    for (Now_ = Start; Now_ < Start + Length; Now_ += Step) {
      disturb();
      for (std::size_t Index = 0; Index < Nodes_.size(); ++Index)
        advance(Index);
      beginStreams();
      breakStreams();
    }
  }
  int Bound_ = 0;
  int Refused_ = 0;
  int Mixed_ = 0;

private:
  struct Answer {
    BootTime Due_;
    BootTime Asked_;
    std::vector<BackendServer> Listed_;
  };
  struct Attempt {
    SoftwareVersion Began_;
    std::optional<BootTime> Arrived_;
  };
  struct Node {
    ModelDaemon Daemon_;
    /// Stands still, or is gone, until then.
    BootTime Until_;
    BootTime CutUntil_;
    BootTime AskedAt_;
    BootTime NextAsk_;
    std::vector<Answer> Answers_;
    std::vector<Attempt> Attempts_;
  };
  struct Stream {
    SoftwareVersion Version_;
    BootTime Breaks_;
  };

  milliseconds between(int Least, int Most) {
    return milliseconds(std::uniform_int_distribution(Least, Most)(Random_));
  }
  bool chance(double Probability) {
    return std::bernoulli_distribution(Probability)(Random_);
  }
  std::size_t anyNode() {
    return std::uniform_int_distribution<std::size_t>(0, Nodes_.size() -
                                                             1)(Random_);
  }

  /// On some days versions overlap, on others the next comes as one leaves.
  void addVersions() {
    Store_.add("a", V1, Start - seconds(100));
    BootTime Next =
        Start + (chance(0.3) ? between(100, 2000) : between(15000, 35000));
    Store_.add("b", V2, Next);
    if (chance(0.5))
      Store_.remove(V1,
                    Next + (chance(0.3) ? milliseconds(0) : between(0, 20000)));
    else if (chance(0.5))
      Store_.remove(V2, Next + between(6000, 12000));
  }

  void disturb() {
    constexpr double Share = 0.002;
    for (Node &Known : Nodes_) {
      if (chance(Share))
        Known.CutUntil_ = Now_ + between(500, 3500);
      if (chance(Share))
        Known.Until_ = std::max(Known.Until_, Now_ + between(100, 2000));
      if (chance(Share / 4))
        Known = {.Until_ = Now_ + between(100, 1500)};
    }
    if (chance(Share / 4))
      for (Node &Known : Nodes_)
        if (chance(0.7))
          Known = {.Until_ = Now_ + between(100, 1500)};
  }

  void advance(std::size_t Index) {
    Node &Known = Nodes_[Index];
    if (Now_ < Known.Until_)
      return;
    // After a pause, callers' attempts may be read before the answers.
    bool AttemptsFirst = chance(0.5);
    if (AttemptsFirst)
      decide(Known);
    ask(Index);
    readAnswers(Known);
    decide(Known);
  }

  void ask(std::size_t Index) {
    Node &Known = Nodes_[Index];
    if (Now_ < Known.NextAsk_)
      return;
    Known.NextAsk_ =
        Now_ + (chance(0.5) ? milliseconds(600) : milliseconds(3200));
    Known.AskedAt_ = Now_;
    if (Now_ < Known.CutUntil_)
      return;
    Node &Reader = Nodes_[Index - Index % FollowersOfOne];
    bool Follows = &Reader != &Known && Nodes_.size() > FollowersOfOne &&
                   Now_ >= std::max(Reader.Until_, Reader.CutUntil_) &&
                   Now_ - Reader.Daemon_.askedAt() <= MaxReaderAge;
    // Some answers come late, or behind a newer one.
    BootTime Due = Now_ + (chance(0.05) ? between(500, 3000) : between(0, 150));
    if (!Follows)
      return Known.Answers_.push_back({Due, Now_, Store_.at(Now_)});
    Known.Answers_.push_back(
        {Due, Reader.Daemon_.askedAt(), Reader.Daemon_.known()});
    Known.NextAsk_ = Now_ + milliseconds(500);
    if (!Known.Attempts_.empty())
      Reader.NextAsk_ = std::min(Reader.NextAsk_, Reader.AskedAt_ + AskAgain);
  }

  void readAnswers(Node &Known) {
    for (Answer &Read : Known.Answers_)
      if (Read.Due_ <= Now_ && Read.Asked_ >= Known.Daemon_.askedAt())
        Known.Daemon_.apply(std::move(Read.Listed_), Read.Asked_, Now_);
    std::erase_if(Known.Answers_,
                  [&](const Answer &Read) { return Read.Due_ <= Now_; });
  }

  void decide(Node &Known) {
    std::erase_if(Known.Attempts_, [&](Attempt &Waiting) {
      if (!Waiting.Arrived_)
        Waiting.Arrived_ = Now_;
      StreamVersion Found = Known.Daemon_.takeUp(*Waiting.Arrived_);
      bool Waits = Found.Proof_ == StreamVersion::Proof::Unconfirmed &&
                   Now_ < *Waiting.Arrived_ + ConfirmTime;
      if (Waits) {
        Known.NextAsk_ = std::min(Known.NextAsk_, Known.AskedAt_ + AskAgain);
        return false;
      }
      ++(shows(Found) ? Bound_ : Refused_);
      Mixed_ += shows(Found) && Found.Version_ != Waiting.Began_;
      return true;
    });
  }

  bool isServed(const SoftwareVersion &Version) const {
    auto Has = [&](BootTime At) {
      auto Listed = Store_.at(At);
      return std::ranges::count(Listed, Version, &BackendServer::Version_) > 0;
    };
    return Has(Now_) || Has(Now_ - ServesOn);
  }

  void beginStreams() {
    Node &Known = Nodes_[anyNode()];
    if (Now_ < Known.Until_)
      return;
    auto Versions = Known.Daemon_.serving(Now_);
    if (Versions.empty())
      return;
    auto Pick = std::uniform_int_distribution<std::size_t>(0, Versions.size() -
                                                                  1)(Random_);
    if (isServed(Versions[Pick]))
      Streams_.push_back({Versions[Pick], Now_ + between(50, 3000)});
  }

  void breakStreams() {
    std::erase_if(Streams_, [&](const Stream &Running) {
      if (Now_ < Running.Breaks_)
        return false;
      Nodes_[anyNode()].Attempts_.push_back({Running.Version_, std::nullopt});
      return true;
    });
  }

  std::mt19937_64 Random_;
  Directory Store_;
  std::vector<Node> Nodes_;
  std::vector<Stream> Streams_;
  BootTime Now_;
};

} // namespace

TEST_CASE("no stream goes on at another version, whichever daemon is out of "
          "step") {
  // Guards against any order of registrations, starts, cuts, pauses and late
  // answers in which a list is taken for complete that is not.
  struct Size {
    std::size_t Daemons_;
    int Days_;
  };
  for (const Size &Tried : {Size{8, 400}, Size{300, 20}}) {
    int Bound = 0;
    int Refused = 0;
    for (int Seed = 1; Seed <= Tried.Days_; ++Seed) {
      StreamFleet Fleet(Tried.Daemons_, static_cast<std::uint64_t>(Seed));
      Fleet.run();
      CAPTURE(Tried.Daemons_);
      CAPTURE(Seed);
      CHECK(Fleet.Mixed_ == 0);
      Bound += Fleet.Bound_;
      Refused += Fleet.Refused_;
    }
    MESSAGE(Tried.Daemons_ << " daemons: " << Bound << " streams went on, "
                           << Refused << " were refused");
    CHECK(Bound > Refused / 4);
  }
}
