#pragma once
/// \file
/// A small cluster of real processes on the loopback interface: the platform
/// stand-in, daemons and engines. The callers run in the test process. After a
/// run, the checker compares what the callers received with what the engines
/// executed.

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
  /// Daemons connect to each other through relays that can inject faults.
  bool Relays_ = false;
  /// Each daemon connects to the platform through its own relay.
  bool PlatformRelays_ = false;
  int MaxInFlight_ = 8;
  double StepMs_ = 5;
  /// Step time of each model engine in milliseconds; overrides StepMs_.
  std::vector<double> Steps_;
  int ServiceMs_ = 5;
  bool RefusesBeforeRunning_ = true;
  /// Additional flags for every daemon and for every model engine.
  std::vector<std::string> DaemonFlags_;
  std::vector<std::string> ModelFlags_;
};

/// Starts all processes on construction. Throws std::runtime_error with the
/// reason if the cluster does not become ready.
class Cluster {
public:
  explicit Cluster(ClusterOptions Settings = {});

  // Process names: "platform", "vm-1", "model-1", "app-1", "relay-1".
  ChildProcess &process(const std::string &Name) {
    return *Processes_.at(Name);
  }
  void startDaemon(int Number);
  /// Publishes the VMs of all processes started so far in the platform's list.
  void listVms();
  /// Publishes the platform's list with these backend servers marked as
  /// leaving.
  void listLeaving(const std::vector<std::string> &Servers);
  /// Sets the faults of a stand-in. Throws std::runtime_error if it rejects
  /// them.
  void faults(const std::string &Name, const Json &Body);
  Json status(int Daemon);
  Json request(const std::string &Name, const std::string &Path,
               const std::string &Method = "GET", const std::string &Body = "");

  /// \returns the configuration document of this cluster.
  Json document() const;
  /// Applies a configuration document with samphireshuntctl.
  /// \returns the exit status of the tool.
  int apply(const Json &Document, const std::vector<std::string> &Flags = {},
            const std::string &Server = "platform");
  /// Runs samphireshuntctl. \returns its exit status and standard output.
  std::pair<int, std::string> tool(std::vector<std::string> Arguments);
  /// Waits until every running daemon is ready, sees all others alive, and
  /// every cell has a keeper that issues grants. Throws std::runtime_error
  /// otherwise.
  void awaitReady();

  CallRequest chat(int Daemon);
  CallRequest stream(int Daemon);
  CallRequest reading(int Daemon);
  CallRequest note(int Daemon, const std::string &IdempotencyKey);
  /// Starts a call. Its record is also kept for violations().
  std::future<CallRecord> start(CallRequest Request);
  CallRecord run(CallRequest Request) {
    return start(std::move(Request)).get();
  }

  /// \returns the number of the daemon that schedules the cell of \p Pool.
  /// Throws std::runtime_error if there is none.
  int keeperOf(const std::string &Pool);
  std::vector<standins::LedgerLine> ledger() const;
  std::size_t ledgerCount(const std::string &Event) const;
  /// \returns all violations of the guarantees in this run.
  std::vector<std::string> violations(standins::CheckOptions Allowed = {});
  std::string folder() const { return Folder_.path(); }
  boost::asio::io_context &context() { return Thread_.context(); }
  Endpoint callersAddress(int Daemon) const;
  std::string peersAddress(int Daemon) const;

private:
  /// \returns why awaitReady() has to wait; empty if the cluster is ready.
  std::string notReady();
  std::string notReady(const std::string &Name, const Json &Status,
                       std::size_t Started) const;
  /// Sends a control request to a stand-in. Throws std::runtime_error if it is
  /// not accepted: the test would otherwise run without its precondition.
  void control(const std::string &Name, const std::string &Path,
               const Json &Body);
  std::vector<std::string> runningDaemons() const;
  void startProcess(const std::string &Name, std::vector<std::string> Command);
  void startRelay(const std::string &Name);
  void startEngines();
  std::string address(const std::string &Name,
                      const std::string &Field = "address") const;
  CallRequest baseRequest(int Daemon);

  ClusterOptions Options_;
  TestFolder Folder_;
  std::map<std::string, std::unique_ptr<ChildProcess>> Processes_;
  std::map<std::string, Json> StartupLines_;
  std::map<std::string, Json> RelayStartupLines_;
  std::vector<std::string> LeavingServers_;
  std::mutex Mutex_;
  std::vector<CallRecord> Calls_;
  int NextNonce_ = 0;
  /// Declared last and therefore destroyed first: running calls use the other
  /// members.
  ContextThread Thread_;
};

/// Polls until \p Condition holds. \returns false if it does not within
/// \p Limit.
bool eventually(const std::function<bool()> &Condition,
                std::chrono::milliseconds Limit = std::chrono::seconds(20));

/// \returns the number of records with \p Outcome.
std::size_t countOutcome(const std::vector<CallRecord> &Calls,
                         const std::string &Outcome);
/// \returns the records of unanswered calls as text for a failed check.
std::string unanswered(const std::vector<CallRecord> &Calls);
/// Waits for all calls and returns their records.
std::vector<CallRecord> finish(std::vector<std::future<CallRecord>> &Calls);

/// Joins \p Lines into one line for the message of a failed check.
std::string joined(const std::vector<std::string> &Lines);

} // namespace samphireshunt::tests
