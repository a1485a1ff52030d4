#pragma once
/// \file
/// The environment of the daemons in a soak test: the platform's store, the
/// engines and the callers, on one thread of the test. Everything that callers
/// and engines observe is recorded, and the guarantees are checked from these
/// records alone.

#include "FailureTests/UnendingSenders.h"
#include "UnitTests/platform/FakeStore.h"

#include <pcg_random.hpp>

#include <deque>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace samphireshunt::tests {

enum class SoakKind { Safe, Unsafe, Stream, Resumable };

/// A request and its answer as observed by the caller.
struct SoakCall {
  std::string Id_;
  SoakKind Kind_ = SoakKind::Safe;
  std::string Key_;
  std::chrono::steady_clock::time_point Sent_;
  int Status_ = 0;        ///< HTTP status; 0 without an answer.
  bool Complete_ = false; ///< The answer looked complete.
  bool Kept_ = false;     ///< The connection could be used again.
  std::string Body_;
  /// Of a stream that the caller took up again: the call that brought its first
  /// event, and the number of events that the caller already had.
  std::string First_;
  int After_ = 0;
};

/// Streams that callers took up again at daemons that had been up for a while.
struct SoakTakeUps {
  std::size_t All_ = 0;
  std::size_t WentOn_ = 0; ///< They brought another event or their end.
  /// New streams at such daemons, and those that brought an event.
  std::size_t New_ = 0;
  std::size_t Begun_ = 0;
};

/// Calls of one daemon.
struct SoakCount {
  std::size_t All_ = 0;
  std::size_t Answered_ = 0;
};

/// An execution of a request as observed by an engine.
struct SoakRun {
  std::string CallId_;
  std::string Engine_;
  std::string Version_; ///< Of the engine.
  std::string Customer_;
  std::string Body_;
  std::string Parts_;
  std::chrono::steady_clock::time_point At_;
};

/// A version that the operator orders to roll out, and how it answers. From
/// BadAfter_ on, the given share of its answers is bad.
struct SoakVersion {
  std::string Name_ = "v2";
  std::chrono::milliseconds Duration_{6000};
  std::uint32_t FailedPercent_ = 0;
  std::uint32_t SlowPercent_ = 0;
  std::chrono::milliseconds BadAfter_{0};
  /// How long before the order its engines register.
  std::chrono::milliseconds Early_{0};
};

/// All public functions are thread-safe.
class SoakEnvironment {
public:
  /// Engines have the \p Versions by chance, side by side.
  explicit SoakEnvironment(std::uint64_t Seed,
                           std::vector<std::string> Versions = {"v1"});
  ~SoakEnvironment();

  Endpoint storeAddress();
  /// Starts callers that send requests to the daemons until stopCallers().
  void startCallers(int Count);
  void stopCallers();
  void setDaemon(std::size_t Index, std::optional<Endpoint> Callers);

  /// Records that a daemon is about to be paused, and about to resume.
  void recordPause(std::size_t Index);
  void recordResume(std::size_t Index);

  // Fault injection; the functions do not wait for the fault to end.
  void failStore(int Status);
  void silenceStore(bool Silent);
  void dropHistory();
  /// Writes an entry to the store, as another writer would. If \p Item is set,
  /// the store's answers contain it instead of the value in base64.
  void putEntry(const std::string &Key, const std::string &Value,
                const std::optional<std::string> &Item = std::nullopt);
  void takeStoreCopy();
  /// Makes the store unavailable for \p Away and then restores it from the
  /// copy. Afterwards the operator and the engines write their entries again,
  /// one after the other.
  void restoreFromCopy(std::chrono::milliseconds Away);
  void loseWriteAnswers(int Count);
  void setEngineFaults(bool Engines) {
    run([=, this] { EngineFaults_ = Engines; });
  }
  /// Revokes a key of a customer. \returns the key; empty if too few are left.
  std::string revokeKey();
  /// Adds an engine and lets another one leave. The leaving engine is removed
  /// some seconds later.
  void replaceEngine();
  void changeConfiguration();
  /// Lets an engine name a limit of requests per second for a while.
  void limitEngine();
  /// Lets an engine say in its answers that it leaves, seconds before it tells
  /// the store.
  void leaveUnannounced();
  /// Lets an engine reject requests and ask for rests, for a while.
  void restEngine();
  /// Lets all engines say for a while that they are brittle. Later they let no
  /// requests wait, and end when they have to reject too many.
  void makeBrittle();
  /// Sends a new request that crashes each engine that runs it, again and again
  /// for a while. A crashed engine is replaced by a new one.
  void sendCrashingRequest();

  /// Sends new requests that share a part of their prompts which crashes each
  /// engine that begins to answer on it, again and again for a while.
  void sendCrashingPart();

  /// Lets the engine at \p Place among those in service accept requests and
  /// send nothing for \p Time. Then it goes on.
  void silenceEngine(std::size_t Place, std::chrono::milliseconds Time);
  /// Lets all engines accept requests and send nothing until they are told to
  /// go on.
  void silenceEngines(bool Silent);
  /// Opens connections to \p To that send without end, until closeSenders().
  void sendWithoutEnd(const Endpoint &To);
  void closeSenders();

  /// Orders a roll-out and starts as many engines of the version as are ready.
  /// The engines in service stop without draining when the status becomes
  /// completed; those of the version drain when it becomes reverted.
  void rollOut(const SoakVersion &Ordered);
  /// Withdraws the order.
  void withdrawRollout();
  /// \returns the state in the status of the last order; empty if there is
  /// none.
  std::string rolloutState();
  /// \returns how many requests reached the version of the last order.
  std::size_t exposedRequests();

  /// Sends a valid request of each kind to every daemon.
  /// \returns descriptions of the failed ones.
  std::vector<std::string> probeAll();
  /// \returns all violations of the guarantees in the records so far.
  std::vector<std::string> violations();
  /// \returns the requests that an engine ran and whose caller got no complete
  /// answer. Without engine faults, each of them was cut by a daemon.
  std::vector<std::string> cutCalls();
  /// \returns the requests whose caller got no whole answer, whether an engine
  /// ran them or not.
  std::vector<std::string> unanswered();
  /// \returns the requests after whose whole answer the connection was closed.
  std::vector<std::string> closedAfterAnswer();
  /// Sends a request with \p Key to a running daemon. \returns its HTTP status.
  int statusWithKey(const std::string &Key);
  /// Sends a request on a new connection to a daemon.
  std::future<SoakCall> beginCall(const Endpoint &Daemon, SoakKind Kind);
  /// \returns how many requests run at engines.
  int running();
  /// Counts the calls that were sent to a daemon since \p Begin and have ended.
  SoakCount countCalls(std::size_t Daemon,
                       std::chrono::steady_clock::time_point Begin);

  /// \returns descriptions of the calls for which \p Matches is true.
  std::vector<std::string>
  callsThat(const std::function<bool(const SoakCall &)> &Matches);
  SoakTakeUps takeUps();
  std::size_t answered();
  std::size_t callCount();

private:
  struct Engine;
  using Time = std::chrono::steady_clock::time_point;
  /// Runs \p Work on the thread of this object and waits until it is done.
  void run(std::function<void()> Work);
  Engine &addEngine(const std::string &Version);
  void noteLimit(Engine &Self, const std::string &CallId, HttpResponse &Answer);
  /// Checks a request at an engine against what the engine has said before, and
  /// adds to its answer what it says now.
  void noteNotices(Engine &Self, const std::string &CallId,
                   HttpResponse &Answer);
  /// \returns true if the engine rejects the request for what it has said.
  bool rejects(Engine &Self, const std::string &CallId, HttpResponse &Answer);
  bool isBrittle() const;
  void removeLater(Engine &Leaving);
  void crash(Engine &Target);
  Awaitable<void> crashingCaller(std::string Body);
  Awaitable<void> crashingPartCaller(std::string Part);
  /// Checks how often requests with a crashing part reached engines.
  void checkCrashingParts(std::vector<std::string> &Violations) const;
  /// \returns whether the prompt has a part that crashes engines; never the
  /// last.
  bool hasCrashingPart(const std::string &Parts) const;
  /// An order to roll out, and what came of it.
  struct Rollout {
    SoakVersion Version_;
    Time Ordered_;
    std::string State_;
    std::vector<Time> BadAnswers_;
  };
  Awaitable<void> performRollout(SoakVersion Ordered);
  /// Stops and drains engines when the status changes.
  void followStatus(Rollout &Current);
  void stopReplaced(const Rollout &Current);
  void drainReverted(const Rollout &Current);
  /// \returns whether the next answer of the engine is to be bad, by the given
  /// share.
  bool drawBad(const Engine &Self, std::uint32_t Percentage);
  std::uint32_t failedPercent(const Engine &Self) const;
  std::uint32_t slowPercent(const Engine &Self) const;
  /// \returns the last roll-out if it is of the engine's version and that is
  /// bad by now.
  const Rollout *badRolloutOf(const Engine &Self) const;
  /// Checks how many requests reached the version of a roll-out.
  void checkExposure(const Rollout &Ordered,
                     std::vector<std::string> &Violations) const;
  void writeConfiguration();
  void publish(const Engine &Target);
  Awaitable<void> restoreBackup(std::chrono::milliseconds Away);
  /// \returns whether an engine that began to leave at \p Since may still get
  /// the call: the daemon of the call started later and knows only the restored
  /// copy.
  bool excusedByCopy(const std::string &CallId, Time Since) const;
  Awaitable<void> serve(Engine &Self, HttpExchange &Exchange);
  Awaitable<void> serveStream(Engine &Self, HttpExchange &Exchange,
                              std::string CallId, int Factor, bool Fails);
  /// Sends an answer with a length, in chunks or with neither.
  Awaitable<void> sendFramed(HttpExchange &Exchange, HttpResponse Answer);
  BodyEnd drawFraming() { return static_cast<BodyEnd>(FramingRandom_(3)); }
  Awaitable<void> caller(std::uint64_t Number);
  Awaitable<SoakCall> callOnce(SoakKind Kind, std::string Key, Endpoint To,
                               std::unique_ptr<HttpConnection> &Connection,
                               std::string Body = {},
                               const SoakCall *Broken = nullptr,
                               std::string Part = {});
  /// Takes a stream that broke off up again, at any daemon.
  Awaitable<void> takeUp(SoakCall Broken);
  std::string drawVersion();
  Awaitable<void> sleep(std::chrono::milliseconds Time);
  /// Sleeps, and then until the engine is no longer silent.
  Awaitable<void> work(const Engine &Self, std::chrono::milliseconds Time);
  void check(const SoakCall &Call, std::vector<std::string> &Violations) const;
  /// Checks that no stream holds events of several versions, over all attempts
  /// of its caller.
  void checkVersions(std::vector<std::string> &Violations) const;
  bool isWhole(const SoakCall &Call) const;
  /// Checks how many requests engines got that had named a limit.
  void checkLimit(const Engine &Limited,
                  std::vector<std::string> &Violations) const;
  /// Checks how often requests that crash engines reached engines.
  void checkCrashes(std::vector<std::string> &Violations) const;
  void checkRepeats(std::vector<std::string> &Violations) const;
  /// \returns whether an engine that began to leave at \p Since may still get
  /// the call: the daemon of the call was paused before it had to know this and
  /// has resumed only recently.
  bool excusedByPause(const std::string &CallId, Time Since) const;
  std::uint32_t pick(std::uint32_t Count) { return Random_(Count); }

  boost::asio::io_context Context_{1};
  pcg32 Random_;
  /// Apart from Random_, so that seeds select the same other faults as before.
  pcg32 FramingRandom_;
  pcg32 VersionRandom_;
  std::vector<std::string> Versions_;
  std::vector<std::string> CrashingParts_;
  FakeStore Store_;
  UnendingSenders Senders_{Context_};
  std::vector<std::unique_ptr<Engine>> Engines_;
  std::vector<std::optional<Endpoint>> Daemons_;
  std::vector<SoakCall> Calls_;
  std::vector<SoakRun> Runs_;
  std::map<std::string, std::size_t> RunCounts_;
  std::set<std::string> Arrived_; ///< Ids of calls that reached an engine.
  /// When calls reached an engine once more, in order.
  std::vector<Time> Repeats_;
  std::map<std::string, std::string> CustomerByKey_; ///< Customer names by key.
  std::set<std::string> ActiveKeys_;
  std::map<std::string, Time> Revoked_;
  std::map<std::string, Endpoint>
      DaemonByCall_; ///< Daemon addresses by call ID.
  struct Pause {
    Time Begin_;
    Time End_;
  };
  std::map<std::string, Time> SentAt_; ///< By call ID.
  /// Since when all engines say that they are brittle.
  Time BrittleSince_;
  int Falls_ = 0;                    ///< Brittle engines that ended.
  std::map<Endpoint, Pause> Pauses_; ///< The last pause of each daemon.
  std::vector<std::string> Violations_;
  std::vector<std::unique_ptr<Rollout>> Rollouts_;
  std::string ServiceVersion_ = "v1"; ///< In service.
  Time LastStoreFault_;
  std::string Configuration_; ///< The last version written.
  Time CopyRestored_;
  std::map<Endpoint, Time> StartedAt_; ///< Start times of daemons.
  std::uint64_t NextId_ = 1;
  std::uint64_t Version_ = 0;
  bool CallersRunning_ = false;
  int ActiveCallers_ = 0;
  bool EngineFaults_ = false;
  bool EnginesSilent_ = false;
  std::thread Thread_;
};

} // namespace samphireshunt::tests
