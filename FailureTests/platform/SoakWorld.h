#pragma once
/// \file
/// What surrounds the daemons of a soak: the platform's store, engines and
/// callers, on one thread of the test. Everything that callers and engines see
/// is kept, so that the promises can be checked from it alone.

#include "UnitTests/platform/FakeStore.h"

#include <pcg_random.hpp>

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace samphireshunt::tests {

enum class SoakKind { Safe, Unsafe, Stream, Resumable };

/// One request as its caller saw it.
struct SoakCall {
  std::string Id_;
  SoakKind Kind_ = SoakKind::Safe;
  std::string Key_;
  std::chrono::steady_clock::time_point Sent_;
  int Status_ = 0;        ///< 0: no answer.
  bool Complete_ = false; ///< The answer looked whole.
  std::string Body_;
};

/// One run of a request as an engine saw it.
struct SoakRun {
  std::string CallId_;
  std::string Engine_;
  std::string Customer_;
  std::chrono::steady_clock::time_point At_;
};

/// Thread-safe but for what says otherwise.
class SoakWorld {
public:
  explicit SoakWorld(std::uint64_t Seed);
  ~SoakWorld();

  Endpoint storeAddress();
  /// Begins callers that ask these daemons until stopCallers().
  void startCallers(int Count);
  void stopCallers();
  void setDaemon(std::size_t Index, std::optional<Endpoint> Callers);

  /// A daemon is about to be paused, and to go on.
  void notePause(std::size_t Index);
  void noteWake(std::size_t Index);

  // Faults; each returns at once.
  void failStore(int Status);
  void silenceStore(bool Silent);
  void dropHistory();
  void takeStoreCopy();
  /// The store is away for \p Away, comes back from the copy, and operator and
  /// engines write theirs again, one after the other.
  void comeBackFromCopy(std::chrono::milliseconds Away);
  void loseWriteAnswers(int Count);
  void misbehave(bool Engines) {
    run([=, this] { Misbehave_ = Engines; });
  }
  /// Takes a caller's key away. \returns it; empty when too few are left.
  std::string revokeKey();
  /// An engine begins to leave, goes, and another comes.
  void replaceEngine();
  void changeConfiguration();

  /// One good request of each kind; \returns what failed.
  std::vector<std::string> probeAll();
  /// All violations of what was promised, from what was seen so far.
  std::vector<std::string> violations();
  /// Requests that an engine ran and whose caller got no whole answer; with
  /// engines that behave each is one that a daemon cut.
  std::vector<std::string> cutCalls();
  /// The status of a request with this key at some daemon.
  int statusWithKey(const std::string &Key);
  std::size_t answered();
  std::size_t asked();

private:
  struct Engine;
  using Time = std::chrono::steady_clock::time_point;

  /// Runs \p Work on the world's thread and waits for its end.
  void run(std::function<void()> Work);
  void addEngine();
  void writeConfiguration();
  void publish(const Engine &Target);
  Awaitable<void> restoreCopy(std::chrono::milliseconds Away);
  /// Whether an engine that left at \p Since may still get the call: its daemon
  /// started later and has only the copy to go by.
  bool excusedByCopy(const std::string &CallId, Time Since) const;
  Awaitable<void> serve(Engine &Self, HttpExchange &Exchange);
  Awaitable<void> serveStream(Engine &Self, HttpExchange &Exchange,
                              std::string CallId);
  Awaitable<void> caller(std::uint64_t Number);
  Awaitable<SoakCall> callOnce(SoakKind Kind, std::string Key, Endpoint To,
                               std::unique_ptr<HttpConnection> &Kept);
  Awaitable<void> sleep(std::chrono::milliseconds Time);
  void check(const SoakCall &Call, std::vector<std::string> &Found) const;
  /// Whether an engine that began to leave at \p Since may still get the call:
  /// its daemon was paused before it had to know, and has gone on only just
  /// now.
  bool excusedByPause(const std::string &CallId, Time Since) const;
  std::uint32_t pick(std::uint32_t Count) { return Random_(Count); }

  boost::asio::io_context Context_{1};
  pcg32 Random_;
  FakeStore Store_;
  std::vector<std::unique_ptr<Engine>> Engines_;
  std::vector<std::optional<Endpoint>> Daemons_;
  std::vector<SoakCall> Calls_;
  std::vector<SoakRun> Runs_;
  std::map<std::string, std::size_t> RunsOf_;
  std::map<std::string, std::string> OwnerOf_; ///< Customers by key.
  std::set<std::string> ActiveKeys_;
  std::map<std::string, Time> Revoked_;
  std::map<std::string, Endpoint> SentTo_; ///< Daemons by call.
  struct Pause {
    Time Begun_;
    Time Ended_;
  };
  std::map<Endpoint, Pause> Pauses_; ///< The last one of each daemon.
  std::vector<std::string> Violations_;
  Time StoreTroubled_;
  std::string Configuration_; ///< As it was written last.
  Time CopyRestored_;
  std::map<Endpoint, Time> StartedAt_; ///< Of daemons.
  std::uint64_t NextId_ = 1;
  std::uint64_t Version_ = 0;
  bool CallersRun_ = false;
  int CallersLeft_ = 0;
  bool Misbehave_ = false;
  std::thread Thread_;
};

} // namespace samphireshunt::tests
