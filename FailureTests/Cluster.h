#pragma once
/// \file
/// A small fleet of real processes on loopback: the platform's stand-in,
/// daemons, engines, and callers in the test's own process. After its run the
/// checker compares what callers saw with what engines did.

#include "Caller.h"
#include "Checker.h"
#include "FailureTests/ChildProcess.h"
#include "FailureTests/ContextThread.h"
#include "FailureTests/TestFolder.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <thread>

namespace samphireshunt::tests {

using Json = nlohmann::json;
using standins::CallMode;
using standins::CallRecord;
using standins::CallRequest;

struct ClusterOptions {
  int Daemons_ = 3;
  int Models_ = 2;
  int Applications_ = 1;
  /// Daemons reach one another through relays that can be cut.
  bool Relays_ = false;
  /// Daemons reach the platform through relays of their own.
  bool PlatformRelays_ = false;
  int MaxInFlight_ = 8;
  double StepMs_ = 5;
  /// Step times of the model engines one by one, instead of StepMs_.
  std::vector<double> Steps_;
  int ServiceMs_ = 5;
  bool RefusesBeforeRunning_ = true;
  /// Further flags of every daemon, and of every model engine.
  std::vector<std::string> DaemonFlags_;
  std::vector<std::string> ModelFlags_;
};

/// Throws on construction, with the cause, when it doesn't become ready.
class Cluster {
public:
  explicit Cluster(ClusterOptions Settings = {});

  // Processes by name: "platform", "vm-1", "model-1", "app-1", "relay-1".
  ChildProcess &process(const std::string &Name) {
    return *Processes_.at(Name);
  }
  void startDaemon(int Number);
  /// Lists the daemons started so far with the platform.
  void listVms();
  /// Marks VMs of backend servers as leaving in the platform's list.
  void listLeaving(const std::vector<std::string> &Servers);
  /// Switches faults of a stand-in; throws if it does not take them.
  void faults(const std::string &Name, const Json &Body);
  Json status(int Daemon);
  Json request(const std::string &Name, const std::string &Path,
               const std::string &Method = "GET", const std::string &Body = "");

  /// The document of this cluster; \p Change may edit it.
  Json document() const;
  /// Applies a document with the tool. \returns its exit status.
  int apply(const Json &Document, const std::vector<std::string> &Flags = {},
            const std::string &Server = "platform");
  /// Runs the tool. \returns its exit status and what it wrote.
  std::pair<int, std::string> tool(std::vector<std::string> Words);
  /// Waits until every started daemon serves and knows every other.
  void awaitReady();

  CallRequest chat(int Daemon);
  CallRequest stream(int Daemon);
  CallRequest reading(int Daemon);
  CallRequest note(int Daemon, const std::string &IdempotencyKey);
  /// Starts a call; the record also goes to the checker.
  std::future<CallRecord> start(CallRequest Request);
  CallRecord run(CallRequest Request) {
    return start(std::move(Request)).get();
  }

  /// The number of the daemon that keeps a pool's cell.
  int keeperOf(const std::string &Pool);
  std::vector<standins::LedgerLine> ledger() const;
  std::size_t ledgerCount(const std::string &Event) const;
  /// Violations of the promises in this run.
  std::vector<std::string> violations(standins::CheckOptions Allowed = {});
  std::string folder() const { return Folder_.path(); }
  boost::asio::io_context &context() { return Thread_.context(); }
  Endpoint callersAddress(int Daemon) const;
  std::string peersAddress(int Daemon) const;

private:
  /// What is missing for awaitReady(); empty when all is ready.
  std::string notReady();
  std::string notReady(const std::string &Name, const Json &Status,
                       std::size_t Started) const;
  /// Asks a stand-in for something that a test depends on.
  void control(const std::string &Name, const std::string &Path,
               const Json &Body);
  std::vector<std::string> runningDaemons() const;
  void startProcess(const std::string &Name, std::vector<std::string> Command);
  void startRelay(const std::string &Name);
  void startEngines();
  std::string address(const std::string &Name,
                      const std::string &Field = "address") const;
  CallRequest base(int Daemon);

  ClusterOptions Options_;
  TestFolder Folder_;
  std::map<std::string, std::unique_ptr<ChildProcess>> Processes_;
  std::map<std::string, Json> Lines_;
  std::map<std::string, Json> RelayLines_;
  std::vector<std::string> LeavingServers_;
  std::mutex Mutex_;
  std::vector<CallRecord> Calls_;
  int NextNonce_ = 0;
  /// Last, so that it ends first: its calls use the rest.
  ContextThread Thread_;
};

/// Waits until \p Condition holds. \returns false after \p Limit.
bool eventually(const std::function<bool()> &Condition,
                std::chrono::milliseconds Limit = std::chrono::seconds(20));

/// Counts records with this outcome.
std::size_t countOutcome(const std::vector<CallRecord> &Calls,
                         const std::string &Outcome);
/// The records of calls that were not answered, for a failed check.
std::string unanswered(const std::vector<CallRecord> &Calls);
/// Waits for all calls.
std::vector<CallRecord> finish(std::vector<std::future<CallRecord>> &Calls);

/// One line for a failed check.
std::string joined(const std::vector<std::string> &Lines);

} // namespace samphireshunt::tests
