/// \file
/// A model check: a store that comes back from copies, an operator, an engine
/// that registers, leaves and starts again, two daemons that read the store and
/// one that follows them. All orders of what may happen, to a depth.

#include "Process/Configuration/StoreView.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <memory>
#include <optional>
#include <set>
#include <vector>

using namespace samphireshunt;
using std::chrono::seconds;

namespace {

const ServiceName Service("platform");
const PoolName ThePool("s");
const ServerName Engine("i-1");
constexpr seconds RegisterAgain{2};
constexpr seconds Lapse{6};
constexpr std::uint64_t MostVersions = 3;
constexpr std::uint64_t MostCopies = 2;
constexpr std::uint64_t MostLives = 2;
constexpr std::uint16_t FirstPort = 8000;
/// Steps after a beginning; MODEL_DEPTH asks for more.
constexpr std::size_t Depth = 4;

/// The engine's entry; each life of it has a port of its own.
struct EngineEntry {
  std::uint64_t Life_ = 0;
  bool Leaving_ = false;

  std::string text() const { return fmt::format("{} {}", Life_, Leaving_); }
};

Result<ReadConfiguration> readVersion(const std::string &Value) {
  auto Read = std::make_shared<Document>();
  Read->Service_ = Service;
  Pool Engines;
  Engines.Name_ = ThePool;
  Engines.FromDirectory_ = true;
  Read->Pools_.push_back(std::move(Engines));
  return ReadConfiguration{DocumentVersion(std::stoull(Value)),
                           std::move(Read)};
}

StoreLayout layout(bool TellsIncarnation) {
  StoreLayout Built;
  Built.Service_ = Service;
  Built.ConfigurationKey_ = "config";
  Built.ServerPrefix_ = "servers/";
  Built.DaemonPrefix_ = "daemons/";
  Built.ReadConfiguration_ = readVersion;
  Built.ReadServer_ = [TellsIncarnation](const std::string &Name,
                                         const std::string &Value) {
    std::uint64_t Life = std::stoull(Value);
    RegisteredServer Read;
    Read.Pool_ = ThePool;
    Read.Server_.Name_ = ServerName(Name);
    Read.Server_.Address_ = {boost::asio::ip::address_v4::loopback(),
                             static_cast<std::uint16_t>(FirstPort + Life)};
    Read.Server_.Leaving_ = Value.ends_with("true");
    if (TellsIncarnation)
      Read.Server_.Incarnation_ = Incarnation(Life);
    return Result<RegisteredServer>(std::move(Read));
  };
  return Built;
}

class ModelStore {
public:
  void write(const std::string &Key, std::string Value) {
    Now_.Items_[Key] = {Key, std::move(Value), next()};
  }
  void remove(const std::string &Key) {
    if (Now_.Items_.erase(Key) > 0)
      next();
  }
  bool holds(const std::string &Key, const std::string &Value) const {
    auto Found = Now_.Items_.find(Key);
    return Found != Now_.Items_.end() && Found->second.Value_ == Value;
  }
  void copy() { Copy_ = Now_; }
  bool hasCopy() const { return Copy_.has_value(); }
  void restore() {
    Now_ = *Copy_;
    ++Era_;
    for (auto &[Key, Item] : Now_.Items_)
      Item.Position_.Era_ = StoreEra(Era_);
  }
  std::uint64_t era() const { return Era_; }
  KeyValueList list() const {
    KeyValueList All;
    for (const auto &[Key, Item] : Now_.Items_)
      All.Entries_.push_back(Item);
    All.Position_ = {StoreEra(Era_), Revision(Now_.Revision_)};
    return All;
  }

private:
  struct State {
    std::map<std::string, KeyValue> Items_;
    std::uint64_t Revision_ = 1;
  };
  StorePosition next() { return {StoreEra(Era_), Revision(++Now_.Revision_)}; }

  State Now_;
  std::optional<State> Copy_;
  std::uint64_t Era_ = 0;
};

/// One daemon's belief, as long as its process lives.
class ModelDaemon {
public:
  ModelDaemon(const BootTime &Now, bool TellsIncarnation)
      : View_(Documents_, layout(TellsIncarnation), {RegisterAgain, Lapse}) {
    StoreView::Hooks Hooks;
    Hooks.DaemonSeen_ = [](const VmId &, const KeyValue &) {};
    Hooks.Changed_ = [] {};
    Hooks.Now_ = [&Now] { return Now; };
    View_.setHooks(std::move(Hooks));
  }
  void take(const KeyValueList &All, BootTime Asked) {
    if (!View_.reached(All.Position_))
      return;
    View_.listed(All);
    View_.publish();
    ReachedAt_ = Asked;
    View_.heardAt(Asked);
  }
  void hear(const ModelDaemon &Reader) {
    ChangeLog::Changes Told = Reader.View_.told(0, "config");
    Revision EraFirst;
    if (Reader.View_.eraStart())
      EraFirst = Reader.View_.eraStart()->First_.Revision_;
    if (!View_.follow(Told, Reader.View_.position(), EraFirst))
      return;
    takeVersionOf(Reader);
    View_.heardAt(Reader.ReachedAt_);
  }
  void takeVersionOf(const ModelDaemon &Other) {
    auto Text = std::to_string(Other.View_.version().count());
    if (Other.View_.version() > View_.version())
      CHECK(View_.takeText(Other.View_.version(), Text));
  }
  /// The engine's life that may get work; 0: none.
  std::uint64_t activeLife() const {
    auto Snapshot = Documents_.snapshot();
    const auto *Found = Snapshot->activeServer(Service, ThePool, Engine);
    return Found ? Found->Address_.port() - FirstPort : 0;
  }

  DocumentStore Documents_;
  StoreView View_;
  BootTime ReachedAt_;
  /// Lives of the engine whose leaving was heard of here.
  std::set<std::uint64_t> Departed_;
  std::uint64_t LastActive_ = 0;
  DocumentVersion LastVersion_;
};

enum class Step {
  OperatorWrites,
  EngineGoesOn,
  Copy,
  Restore,
  FirstAsks,
  FirstHears,
  SecondReads,
  FollowsFirst,
  FollowsSecond,
  FirstRestarts,
  TimePasses
};
constexpr std::array AllSteps = {
    Step::OperatorWrites, Step::EngineGoesOn, Step::Copy,
    Step::Restore,        Step::FirstAsks,    Step::FirstHears,
    Step::SecondReads,    Step::FollowsFirst, Step::FollowsSecond,
    Step::FirstRestarts,  Step::TimePasses};

class World {
public:
  explicit World(bool TellsIncarnation) : TellsIncarnation_(TellsIncarnation) {
    writeVersion();
    engineGoesOn();
    for (auto &Made : Daemons_)
      Made = start();
    Daemons_[0]->take(Store_.list(), Now_);
    Daemons_[1]->take(Store_.list(), Now_);
    Daemons_[2]->hear(*Daemons_[0]);
    note();
  }

  /// \returns false when the step can't be done, or would change nothing.
  bool run(Step Next) {
    bool Done = apply(Next);
    note();
    return Done;
  }
  /// What is promised does not hold.
  bool broken() const { return Broken_; }

  /// Everybody writes, reads and hears again.
  bool convergesInCalm() {
    for (int Round = 0; Round < 2; ++Round) {
      passTime();
      Daemons_[0]->take(Store_.list(), Now_);
      Daemons_[1]->take(Store_.list(), Now_);
      Daemons_[2]->hear(*Daemons_[1]);
      Daemons_[2]->hear(*Daemons_[0]);
      note();
    }
    std::uint64_t Expected = Truth_.Leaving_ || Gone_ ? 0 : Truth_.Life_;
    return std::ranges::all_of(Daemons_, [&](const auto &Daemon) {
      return Daemon->View_.version() == DocumentVersion(Version_) &&
             Daemon->activeLife() == Expected;
    });
  }

private:
  std::unique_ptr<ModelDaemon> start() const {
    return std::make_unique<ModelDaemon>(Now_, TellsIncarnation_);
  }
  void writeVersion() { Store_.write("config", std::to_string(++Version_)); }
  void writeEngine() { Store_.write("servers/i-1", Truth_.text()); }

  /// It registers, leaves, is gone, and starts again.
  bool engineGoesOn() {
    if (Truth_.Life_ == 0 || Gone_) {
      if (Truth_.Life_ == MostLives)
        return false;
      Truth_ = {Truth_.Life_ + 1, false};
      Gone_ = false;
      writeEngine();
    } else if (!Truth_.Leaving_) {
      Truth_.Leaving_ = true;
      writeEngine();
    } else {
      Gone_ = true;
      Store_.remove("servers/i-1");
    }
    return true;
  }

  /// Operator and engine have written theirs again, silent entries lapsed.
  void passTime() {
    Now_ += Lapse;
    if (!Store_.holds("config", std::to_string(Version_)))
      Store_.write("config", std::to_string(Version_));
    if (Gone_)
      Store_.remove("servers/i-1");
    else if (!Store_.holds("servers/i-1", Truth_.text()))
      writeEngine();
    for (auto &Daemon : Daemons_)
      Daemon->View_.dropUnseen();
  }

  void restartFirst() {
    Asked_.reset();
    Daemons_[0] = start();
    Daemons_[0]->take(Store_.list(), Now_);
    Daemons_[0]->takeVersionOf(*Daemons_[1]);
    Daemons_[0]->takeVersionOf(*Daemons_[2]);
  }

  bool apply(Step Next) {
    switch (Next) {
    case Step::OperatorWrites:
      if (Version_ == MostVersions)
        return false;
      writeVersion();
      return true;
    case Step::EngineGoesOn:
      return engineGoesOn();
    case Step::Copy:
      Store_.copy();
      return true;
    case Step::Restore:
      if (!Store_.hasCopy() || Store_.era() == MostCopies)
        return false;
      Store_.restore();
      return true;
    case Step::FirstAsks:
      Asked_ = {Store_.list(), Now_};
      return true;
    case Step::FirstHears:
      if (!Asked_)
        return false;
      Daemons_[0]->take(Asked_->List_, Asked_->At_);
      Asked_.reset();
      return true;
    case Step::SecondReads:
      Daemons_[1]->take(Store_.list(), Now_);
      return true;
    case Step::FollowsFirst:
      Daemons_[2]->hear(*Daemons_[0]);
      return true;
    case Step::FollowsSecond:
      Daemons_[2]->hear(*Daemons_[1]);
      return true;
    case Step::FirstRestarts:
      restartFirst();
      return true;
    case Step::TimePasses:
      passTime();
      return true;
    }
    return false;
  }

  void note() {
    for (auto &Daemon : Daemons_) {
      Broken_ |= Daemon->View_.version() < Daemon->LastVersion_;
      Daemon->LastVersion_ = Daemon->View_.version();
      std::uint64_t Active = Daemon->activeLife();
      std::uint64_t Before = std::exchange(Daemon->LastActive_, Active);
      bool HasLeft = Before < Truth_.Life_ ||
                     (Before == Truth_.Life_ && (Truth_.Leaving_ || Gone_));
      if (Before != 0 && Active != Before && HasLeft)
        Daemon->Departed_.insert(Before);
      Broken_ |= Daemon->Departed_.contains(Active);
    }
  }

  struct Answer {
    KeyValueList List_;
    BootTime At_;
  };

  bool TellsIncarnation_;
  BootTime Now_{seconds(1000)};
  ModelStore Store_;
  std::uint64_t Version_ = 0;
  EngineEntry Truth_;
  bool Gone_ = false;
  std::array<std::unique_ptr<ModelDaemon>, 3> Daemons_;
  std::optional<Answer> Asked_;
  bool Broken_ = false;
};

std::string textOf(const std::vector<Step> &Steps) {
  std::string Text;
  for (Step Done : Steps)
    Text += fmt::format("{} ", static_cast<int>(Done));
  return Text;
}

/// All sequences that go on from \p Begun. \returns the first that breaks what
/// is promised, as text; empty: none does.
std::string search(std::vector<Step> &Begun, bool TellsIncarnation,
                   std::size_t Left, std::size_t &Tried) {
  for (Step Next : AllSteps) {
    World Fresh(TellsIncarnation);
    std::ranges::for_each(Begun, [&](Step Done) { Fresh.run(Done); });
    if (!Fresh.run(Next))
      continue;
    ++Tried;
    Begun.push_back(Next);
    if (Fresh.broken() || !Fresh.convergesInCalm() || Fresh.broken())
      return textOf(Begun);
    if (Left > 1) {
      std::string Found = search(Begun, TellsIncarnation, Left - 1, Tried);
      if (!Found.empty())
        return Found;
    }
    Begun.pop_back();
  }
  return {};
}

const std::vector<std::vector<Step>> Beginnings = {
    {Step::Copy},
    // The engine drains after the copy; one reader and the follower know.
    {Step::Copy, Step::EngineGoesOn, Step::SecondReads, Step::FollowsSecond,
     Step::Restore},
    // It drains and goes after the copy; the first reader and the follower
    // know.
    {Step::Copy, Step::EngineGoesOn, Step::EngineGoesOn, Step::FirstAsks,
     Step::FirstHears, Step::FollowsFirst, Step::Restore},
    // It starts again after the copy.
    {Step::EngineGoesOn, Step::Copy, Step::EngineGoesOn, Step::EngineGoesOn,
     Step::SecondReads, Step::Restore},
    // A version is accepted after the copy, and an answer is late.
    {Step::Copy, Step::OperatorWrites, Step::FirstAsks, Step::SecondReads,
     Step::Restore},
};

std::size_t depth() {
  const char *Wanted = std::getenv("MODEL_DEPTH");
  return Wanted ? std::stoul(Wanted) : Depth;
}

} // namespace

// A copy brings an older version, or a server that has left, back into force.
TEST_CASE(
    "in all orders versions never fall, no departed engine gets work, and "
    "calm brings all together") {
  std::size_t Tried = 0;
  for (bool TellsIncarnation : {false, true})
    for (std::vector<Step> Begun : Beginnings) {
      auto Found = search(Begun, TellsIncarnation, depth(), Tried);
      CHECK_MESSAGE(Found.empty(), "incarnations told: " << TellsIncarnation
                                                         << ", steps "
                                                         << Found);
    }
  MESSAGE(Tried << " sequences");
}
