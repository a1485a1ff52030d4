/// \file
/// A model check of a store that is restored from backups. The model has an
/// operator, an engine that registers, leaves and restarts, two daemons that
/// read the store and one that follows them. All sequences of steps are tried
/// up to a given depth.

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
constexpr seconds RegistrationInterval{2};
constexpr seconds ExpiryTime{6};
constexpr std::uint64_t MaxVersions = 3;
constexpr std::uint64_t MaxRestores = 2;
constexpr std::uint64_t MaxIncarnations = 2;
constexpr std::uint16_t FirstPort = 8000;
/// The number of steps tried after each prefix. The environment variable
/// MODEL_DEPTH overrides it.
constexpr std::size_t Depth = 4;

/// The engine's directory entry. Each incarnation has a port of its own.
struct EngineEntry {
  std::uint64_t Incarnation_ = 0;
  bool Leaving_ = false;

  std::string text() const {
    return fmt::format("{} {}", Incarnation_, Leaving_);
  }
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

StoreLayout layout(bool HasIncarnation) {
  StoreLayout Built;
  Built.Service_ = Service;
  Built.ConfigurationKey_ = "config";
  Built.ServerPrefix_ = "servers/";
  Built.DaemonPrefix_ = "daemons/";
  Built.ReadConfiguration_ = readVersion;
  Built.ReadServer_ = [HasIncarnation](const std::string &Name,
                                       const std::string &Value) {
    std::uint64_t Number = std::stoull(Value);
    RegisteredServer Read;
    Read.Pool_ = ThePool;
    Read.Server_.Name_ = ServerName(Name);
    Read.Server_.Address_ = {boost::asio::ip::address_v4::loopback(),
                             static_cast<std::uint16_t>(FirstPort + Number)};
    Read.Server_.Leaving_ = Value.ends_with("true");
    if (HasIncarnation)
      Read.Server_.Incarnation_ = Incarnation(Number);
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
  void takeBackup() { Backup_ = Now_; }
  bool hasBackup() const { return Backup_.has_value(); }
  void restore() {
    Now_ = *Backup_;
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
  std::optional<State> Backup_;
  std::uint64_t Era_ = 0;
};

/// The state of one daemon's process.
class ModelDaemon {
public:
  ModelDaemon(const BootTime &Now, bool HasIncarnation)
      : View_(Documents_, layout(HasIncarnation),
              {RegistrationInterval, ExpiryTime}) {
    StoreView::Hooks Hooks;
    Hooks.DaemonEntryRead_ = [](const VmId &, const KeyValue &) {};
    Hooks.Changed_ = [] {};
    Hooks.Now_ = [&Now] { return Now; };
    View_.setHooks(std::move(Hooks));
  }
  /// Applies a list of the whole store that was requested at \p RequestedAt.
  void applyList(const KeyValueList &All, BootTime RequestedAt) {
    if (!View_.reached(All.Position_))
      return;
    View_.listed(All);
    View_.publish();
    ReachedAt_ = RequestedAt;
    View_.appliedAsOf(RequestedAt);
  }
  /// Applies everything that \p Reader would send to a follower.
  void followOnce(const ModelDaemon &Reader) {
    ChangeLog::Changes Changes = Reader.View_.told(0, "config");
    Revision EraFirst;
    if (Reader.View_.eraStart())
      EraFirst = Reader.View_.eraStart()->First_.Revision_;
    if (!View_.follow(Changes, Reader.View_.position(), EraFirst))
      return;
    takeVersionOf(Reader);
    View_.appliedAsOf(Reader.ReachedAt_);
  }
  void takeVersionOf(const ModelDaemon &Other) {
    auto Text = std::to_string(Other.View_.version().count());
    if (Other.View_.version() > View_.version())
      CHECK(View_.applyText(Other.View_.version(), Text));
  }
  /// \returns the engine's incarnation that may get work, 0 if none may.
  std::uint64_t activeIncarnation() const {
    auto Snapshot = Documents_.snapshot();
    const auto *Found = Snapshot->activeServer(Service, ThePool, Engine);
    return Found ? Found->Address_.port() - FirstPort : 0;
  }

  DocumentStore Documents_;
  StoreView View_;
  BootTime ReachedAt_;
  /// The engine's incarnations that this daemon saw leave.
  std::set<std::uint64_t> Departed_;
  std::uint64_t LastActive_ = 0;
  DocumentVersion LastVersion_;
};

enum class Step {
  OperatorWrites,
  EngineAdvances,
  TakeBackup,
  Restore,
  FirstRequests,
  FirstReceives,
  SecondReads,
  FollowsFirst,
  FollowsSecond,
  FirstRestarts,
  TimePasses
};
constexpr std::array AllSteps = {
    Step::OperatorWrites, Step::EngineAdvances, Step::TakeBackup,
    Step::Restore,        Step::FirstRequests,  Step::FirstReceives,
    Step::SecondReads,    Step::FollowsFirst,   Step::FollowsSecond,
    Step::FirstRestarts,  Step::TimePasses};

class World {
public:
  explicit World(bool HasIncarnation) : HasIncarnation_(HasIncarnation) {
    writeVersion();
    advanceEngine();
    for (auto &Daemon : Daemons_)
      Daemon = start();
    Daemons_[0]->applyList(Store_.list(), Now_);
    Daemons_[1]->applyList(Store_.list(), Now_);
    Daemons_[2]->followOnce(*Daemons_[0]);
    recordOutcome();
  }

  /// \returns false if the step is impossible or would change nothing.
  bool run(Step Next) {
    bool Done = apply(Next);
    recordOutcome();
    return Done;
  }
  /// \returns whether a daemon's version fell or a departed incarnation of the
  /// engine got work again.
  bool broken() const { return Broken_; }

  /// Lets all parties write, read and follow once more without faults. \returns
  /// whether all daemons then have the newest version and the same engine.
  bool convergesWithoutFaults() {
    for (int Round = 0; Round < 2; ++Round) {
      passTime();
      Daemons_[0]->applyList(Store_.list(), Now_);
      Daemons_[1]->applyList(Store_.list(), Now_);
      Daemons_[2]->followOnce(*Daemons_[1]);
      Daemons_[2]->followOnce(*Daemons_[0]);
      recordOutcome();
    }
    std::uint64_t Expected =
        Engine_.Leaving_ || Gone_ ? 0 : Engine_.Incarnation_;
    return std::ranges::all_of(Daemons_, [&](const auto &Daemon) {
      return Daemon->View_.version() == DocumentVersion(Version_) &&
             Daemon->activeIncarnation() == Expected;
    });
  }

private:
  std::unique_ptr<ModelDaemon> start() const {
    return std::make_unique<ModelDaemon>(Now_, HasIncarnation_);
  }
  void writeVersion() { Store_.write("config", std::to_string(++Version_)); }
  void writeEngine() { Store_.write("servers/i-1", Engine_.text()); }

  /// Moves the engine to its next state: registered, leaving, gone, restarted.
  bool advanceEngine() {
    if (Engine_.Incarnation_ == 0 || Gone_) {
      if (Engine_.Incarnation_ == MaxIncarnations)
        return false;
      Engine_ = {Engine_.Incarnation_ + 1, false};
      Gone_ = false;
      writeEngine();
    } else if (!Engine_.Leaving_) {
      Engine_.Leaving_ = true;
      writeEngine();
    } else {
      Gone_ = true;
      Store_.remove("servers/i-1");
    }
    return true;
  }

  /// Lets so much time pass that operator and engine have written their entries
  /// again and entries that are not written again have expired.
  void passTime() {
    Now_ += ExpiryTime;
    if (!Store_.holds("config", std::to_string(Version_)))
      Store_.write("config", std::to_string(Version_));
    if (Gone_)
      Store_.remove("servers/i-1");
    else if (!Store_.holds("servers/i-1", Engine_.text()))
      writeEngine();
    for (auto &Daemon : Daemons_)
      Daemon->View_.dropMissing();
  }

  void restartFirst() {
    PendingAnswer_.reset();
    Daemons_[0] = start();
    Daemons_[0]->applyList(Store_.list(), Now_);
    Daemons_[0]->takeVersionOf(*Daemons_[1]);
    Daemons_[0]->takeVersionOf(*Daemons_[2]);
  }

  bool apply(Step Next) {
    switch (Next) {
    case Step::OperatorWrites:
      if (Version_ == MaxVersions)
        return false;
      writeVersion();
      return true;
    case Step::EngineAdvances:
      return advanceEngine();
    case Step::TakeBackup:
      Store_.takeBackup();
      return true;
    case Step::Restore:
      if (!Store_.hasBackup() || Store_.era() == MaxRestores)
        return false;
      Store_.restore();
      return true;
    case Step::FirstRequests:
      PendingAnswer_ = {Store_.list(), Now_};
      return true;
    case Step::FirstReceives:
      if (!PendingAnswer_)
        return false;
      Daemons_[0]->applyList(PendingAnswer_->List_, PendingAnswer_->ListedAt_);
      PendingAnswer_.reset();
      return true;
    case Step::SecondReads:
      Daemons_[1]->applyList(Store_.list(), Now_);
      return true;
    case Step::FollowsFirst:
      Daemons_[2]->followOnce(*Daemons_[0]);
      return true;
    case Step::FollowsSecond:
      Daemons_[2]->followOnce(*Daemons_[1]);
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

  void recordOutcome() {
    for (auto &Daemon : Daemons_) {
      Broken_ |= Daemon->View_.version() < Daemon->LastVersion_;
      Daemon->LastVersion_ = Daemon->View_.version();
      std::uint64_t Active = Daemon->activeIncarnation();
      std::uint64_t Before = std::exchange(Daemon->LastActive_, Active);
      bool HasLeft =
          Before < Engine_.Incarnation_ ||
          (Before == Engine_.Incarnation_ && (Engine_.Leaving_ || Gone_));
      if (Before != 0 && Active != Before && HasLeft)
        Daemon->Departed_.insert(Before);
      Broken_ |= Daemon->Departed_.contains(Active);
    }
  }

  struct Answer {
    KeyValueList List_;
    BootTime ListedAt_;
  };

  bool HasIncarnation_;
  BootTime Now_{seconds(1000)};
  ModelStore Store_;
  std::uint64_t Version_ = 0;
  EngineEntry Engine_;
  bool Gone_ = false;
  std::array<std::unique_ptr<ModelDaemon>, 3> Daemons_;
  std::optional<Answer> PendingAnswer_;
  bool Broken_ = false;
};

std::string textOf(const std::vector<Step> &Steps) {
  std::string Text;
  for (Step Done : Steps)
    Text += fmt::format("{} ", static_cast<int>(Done));
  return Text;
}

/// Tries all sequences of up to \p Remaining more steps after \p Begun.
/// \returns the first one that violates an invariant as text, empty if none
/// does.
std::string search(std::vector<Step> &Begun, bool HasIncarnation,
                   std::size_t Remaining, std::size_t &Tried) {
  for (Step Next : AllSteps) {
    World Tested(HasIncarnation);
    std::ranges::for_each(Begun, [&](Step Done) { Tested.run(Done); });
    if (!Tested.run(Next))
      continue;
    ++Tried;
    Begun.push_back(Next);
    if (Tested.broken() || !Tested.convergesWithoutFaults() || Tested.broken())
      return textOf(Begun);
    if (Remaining > 1) {
      std::string Found = search(Begun, HasIncarnation, Remaining - 1, Tried);
      if (!Found.empty())
        return Found;
    }
    Begun.pop_back();
  }
  return {};
}

/// Prefixes of the tried sequences, which lead to situations of interest.
const std::vector<std::vector<Step>> Prefixes = {
    {Step::TakeBackup},
    // The engine drains after the backup. One reader and the follower know it.
    {Step::TakeBackup, Step::EngineAdvances, Step::SecondReads,
     Step::FollowsSecond, Step::Restore},
    // The engine drains and leaves after the backup. The first reader and the
    // follower know it.
    {Step::TakeBackup, Step::EngineAdvances, Step::EngineAdvances,
     Step::FirstRequests, Step::FirstReceives, Step::FollowsFirst,
     Step::Restore},
    // The engine restarts after the backup.
    {Step::EngineAdvances, Step::TakeBackup, Step::EngineAdvances,
     Step::EngineAdvances, Step::SecondReads, Step::Restore},
    // A version is accepted after the backup, and a response that was requested
    // before the restore is still pending.
    {Step::TakeBackup, Step::OperatorWrites, Step::FirstRequests,
     Step::SecondReads, Step::Restore},
};

std::size_t depth() {
  const char *Wanted = std::getenv("MODEL_DEPTH");
  return Wanted ? std::stoul(Wanted) : Depth;
}

} // namespace

// A restored backup holds an older version or a server that has left. Daemons
// must not activate either again, whatever the order of events.
TEST_CASE(
    "in all orders versions never fall, no departed engine gets work, and "
    "all daemons converge without faults") {
  std::size_t Tried = 0;
  for (bool HasIncarnation : {false, true})
    for (std::vector<Step> Begun : Prefixes) {
      auto Found = search(Begun, HasIncarnation, depth(), Tried);
      CHECK_MESSAGE(Found.empty(), "incarnations reported: " << HasIncarnation
                                                             << ", steps "
                                                             << Found);
    }
  MESSAGE(Tried << " sequences");
}
