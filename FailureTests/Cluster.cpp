#include "FailureTests/Cluster.h"

#include "Common/Hash.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

namespace samphireshunt::tests {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

const std::string CustomerKey = "test-key-alpha";
const std::string Host = "test.example";

} // namespace

Cluster::Cluster(ClusterOptions Settings) : Options_(std::move(Settings)) {
  startProcess("platform", {STANDIN_FOLDER "/standin_Platform"});
  startEngines();
  for (int Number = 1; Number <= Options_.Daemons_; ++Number)
    startDaemon(Number);
  listVms();
  if (int Status = apply(document()); Status != 0)
    throw std::runtime_error(fmt::format(
        "the configuration document was rejected: exit status {}, {}", Status,
        logTail(folder() + "/tool.log")));
  awaitReady();
}

void Cluster::startProcess(const std::string &Name,
                           std::vector<std::string> Command) {
  auto &Started = Processes_[Name];
  Started =
      std::make_unique<ChildProcess>(Command, folder() + "/" + Name + ".log");
  StartupLines_[Name] = Started->readLine();
}

void Cluster::startRelay(const std::string &Name) {
  auto &Started = Processes_[Name];
  if (Started)
    return;
  Started = std::make_unique<ChildProcess>(
      std::vector<std::string>{STANDIN_FOLDER "/standin_Relay"},
      folder() + "/" + Name + ".log");
  RelayStartupLines_[Name] = Started->readLine();
  StartupLines_[Name] = Started->readLine();
}

void Cluster::startEngines() {
  for (int Number = 1; Number <= Options_.Models_; ++Number) {
    std::string Name = fmt::format("model-{}", Number);
    double Step = Options_.Steps_.empty()
                      ? Options_.StepMs_
                      : Options_.Steps_[static_cast<std::size_t>(Number - 1)];
    std::vector<std::string> Command = {
        STANDIN_FOLDER "/standin_ModelEngine", "--name=" + Name,
        fmt::format("--step_ms={}", Step),
        fmt::format("--ledger={}/{}.ledger", folder(), Name)};
    std::ranges::copy(Options_.ModelFlags_, std::back_inserter(Command));
    startProcess(Name, std::move(Command));
  }
  for (int Number = 1; Number <= Options_.Applications_; ++Number) {
    std::string Name = fmt::format("app-{}", Number);
    startProcess(Name,
                 {STANDIN_FOLDER "/standin_ApplicationEngine", "--name=" + Name,
                  fmt::format("--service_ms={}", Options_.ServiceMs_),
                  fmt::format("--ledger={}/{}.ledger", folder(), Name)});
  }
}

void Cluster::startDaemon(int Number) {
  std::string Name = fmt::format("vm-{}", Number);
  std::string Platform = address("platform");
  if (Options_.PlatformRelays_) {
    std::string PlatformRelay = fmt::format("platform-relay-{}", Number);
    startRelay(PlatformRelay);
    faults(PlatformRelay, {{"mode", "pass"}, {"target", Platform}});
    Platform = RelayStartupLines_[PlatformRelay]["address"].get<std::string>();
  }
  std::vector<std::string> Command = {PROGRAM_FOLDER "/samphireshuntd",
                                      "--vm_id=" + Name,
                                      "--log_output=stderr",
                                      "--data_center=latacunga",
                                      "--callers_address=127.0.0.1:0",
                                      "--peers_address=127.0.0.1:0",
                                      "--operators_address=127.0.0.1:0",
                                      "--platform_address=" + Platform,
                                      "--platform_timeout_ms=500",
                                      "--drain_delay_ms=300"};
  std::string RelayName = fmt::format("relay-{}", Number);
  if (Options_.Relays_) {
    startRelay(RelayName);
    Command.push_back(
        "--advertise_peers=" +
        RelayStartupLines_[RelayName]["address"].get<std::string>());
  }
  // A restarted VM reuses its previous addresses.
  if (auto Previous = StartupLines_.find(Name); Previous != StartupLines_.end())
    for (std::string Field : {"callers", "peers", "operators"})
      Command.push_back(
          fmt::format("--{}_address={}", Field,
                      Previous->second[Field].get<std::string>()));
  std::ranges::copy(Options_.DaemonFlags_, std::back_inserter(Command));
  Processes_[Name].reset();
  startProcess(Name, std::move(Command));
  if (Options_.Relays_)
    faults(RelayName,
           {{"mode", "pass"}, {"target", StartupLines_[Name]["peers"]}});
}

void Cluster::listVms() {
  Json Vms = Json::array();
  for (const auto &[Name, Line] : StartupLines_) {
    if (Name.starts_with("vm-")) {
      auto Relayed = RelayStartupLines_.find("relay-" + Name.substr(3));
      Json Peers = Relayed == RelayStartupLines_.end()
                       ? Line["peers"]
                       : Relayed->second["address"];
      Vms.push_back({{"id", Name},
                     {"role", "system"},
                     {"state", "live"},
                     {"address", Peers},
                     {"operators", Line["operators"]}});
    } else if (Name.starts_with("model-") || Name.starts_with("app-")) {
      bool Leaving = std::ranges::count(LeavingServers_, Name) > 0;
      Vms.push_back({{"id", Name},
                     {"role", "backend"},
                     {"state", Leaving ? "leaving" : "live"},
                     {"address", Line["address"]}});
    }
  }
  Json Body = {{"vms", std::move(Vms)}};
  control("platform", "/control/vms", Body);
}

void Cluster::listLeaving(const std::vector<std::string> &Servers) {
  LeavingServers_ = Servers;
  listVms();
}

std::string Cluster::address(const std::string &Name,
                             const std::string &Field) const {
  return StartupLines_.at(Name).at(Field).get<std::string>();
}

Endpoint Cluster::callersAddress(int Daemon) const {
  return parseEndpoint(address(fmt::format("vm-{}", Daemon), "callers"))
      .value();
}

std::string Cluster::peersAddress(int Daemon) const {
  return address(fmt::format("vm-{}", Daemon), "peers");
}

Json Cluster::request(const std::string &Name, const std::string &Path,
                      const std::string &Method, const std::string &Body) {
  bool IsDaemon = Name.starts_with("vm-");
  auto Target =
      parseEndpoint(address(Name, IsDaemon ? "operators" : "address")).value();
  HttpRequest Request;
  Request.Method_ = Method;
  Request.Target_ = Path;
  Request.Body_ = Body;
  auto Call = [=]() { return httpCall(Target, Request, milliseconds(5000)); };
  auto Response = asio::co_spawn(context(), std::move(Call), asio::use_future);
  auto Answer = Response.get();
  if (!Answer)
    return Json();
  Json Parsed = Json::parse(Answer->Body_, nullptr, false);
  if (Parsed.is_object())
    Parsed["httpStatus"] = Answer->Status_;
  return Parsed;
}

void Cluster::faults(const std::string &Name, const Json &Body) {
  control(Name, "/faults", Body);
}

void Cluster::control(const std::string &Name, const std::string &Path,
                      const Json &Body) {
  Json Answer = request(Name, Path, "POST", Body.dump());
  int Status = Answer.is_object() ? Answer.value("httpStatus", 0) : 0;
  if (Status != 200)
    throw std::runtime_error(
        fmt::format("{} rejected {}: status {}", Name, Body.dump(), Status));
}

Json Cluster::status(int Daemon) {
  return request(fmt::format("vm-{}", Daemon), "/status");
}

Json Cluster::document() const {
  Json Models = Json::array();
  Json Applications = Json::array();
  for (const auto &[Name, Line] : StartupLines_) {
    Json Server = {{"name", Name},
                   {"address", Line.value("address", "")},
                   {"dataCenter", "latacunga"},
                   {"maxInFlight", Options_.MaxInFlight_},
                   {"refusesBeforeRunning", Options_.RefusesBeforeRunning_}};
    if (Name.starts_with("model-"))
      Models.push_back(std::move(Server));
    else if (Name.starts_with("app-"))
      Applications.push_back(std::move(Server));
  }
  Json Customer = {{"name", "alpha"},
                   {"keyDigests", {"sha256:" + sha256Hex(CustomerKey)}},
                   {"defaultTier", "silver"},
                   {"allowedTiers", {"gold", "bronze"}}};
  Json ModelPool = {{"name", "models"},
                    {"kind", "model"},
                    {"models", {"test-model"}},
                    {"servers", std::move(Models)}};
  Json ApplicationPool = {{"name", "applications"},
                          {"kind", "application"},
                          {"servers", std::move(Applications)}};
  Json Chat = {{"path", "/v1/chat/completions"}, {"pool", "models"}};
  Json Readings = {{"path", "/readings"}, {"pool", "applications"}};
  Json Notes = {
      {"path", "/notes"}, {"pool", "applications"}, {"nonIdempotent", true}};
  return {{"format", 1},
          {"service", "test"},
          {"hosts", {Host}},
          {"tiers", {"gold", "silver", "bronze"}},
          {"customers", Json::array({Customer})},
          {"pools", Json::array({ModelPool, ApplicationPool})},
          {"routes", Json::array({Chat, Readings, Notes})}};
}

int Cluster::apply(const Json &Document, const std::vector<std::string> &Flags,
                   const std::string &Server) {
  std::string Path = folder() + "/document.yaml";
  std::ofstream(Path) << Document.dump(2);
  bool IsDaemon = Server.starts_with("vm-");
  std::vector<std::string> Arguments = {
      "apply", Path,
      "--server=" + address(Server, IsDaemon ? "operators" : "address")};
  std::ranges::copy(Flags, std::back_inserter(Arguments));
  return tool(std::move(Arguments)).first;
}

std::pair<int, std::string> Cluster::tool(std::vector<std::string> Arguments) {
  Arguments.insert(Arguments.begin(), PROGRAM_FOLDER "/samphireshuntctl");
  bool HasServer =
      std::ranges::any_of(Arguments, [](const std::string &Argument) {
        return Argument.starts_with("--server=");
      });
  if (!HasServer)
    Arguments.push_back("--server=" + address("platform"));
  ChildProcess Tool(Arguments, folder() + "/tool.log");
  std::string Output = Tool.readAll();
  return {Tool.wait(), std::move(Output)};
}

std::vector<std::string> Cluster::runningDaemons() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Process] : Processes_)
    if (Name.starts_with("vm-") && Process && Process->running())
      Names.push_back(Name);
  return Names;
}

std::string Cluster::notReady(const std::string &Name, const Json &Status,
                              std::size_t Started) const {
  if (!Status.is_object())
    return Name + " does not report its status";
  if (!Status.value("ready", false))
    return fmt::format("{} is not ready: {}", Name, Status.dump());
  auto Alive =
      std::ranges::count_if(Status.at("members"), [](const Json &Member) {
        return Member["status"] == "alive";
      });
  if (static_cast<std::size_t>(Alive) + 1 < Started)
    return fmt::format("{} sees only {} other daemons alive: {}", Name, Alive,
                       Status.at("members").dump());
  return {};
}

/// Also requires a granting keeper for every cell. A new keeper first collects
/// what is running before it issues grants. Until then it would reject a
/// request with a short timeout, and a test of what happens after the dispatch
/// would test nothing.
std::string Cluster::notReady() {
  std::vector<std::string> Running = runningDaemons();
  std::set<std::string> Waiting;
  std::set<std::string> Granting;
  for (const std::string &Name : Running) {
    Json Status = request(Name, "/status");
    if (std::string Problem = notReady(Name, Status, Running.size());
        !Problem.empty())
      return Problem;
    for (const Json &Cell : Status["cells"]) {
      bool Grants = Cell["keeper"].get<bool>() && !Cell["warming"].get<bool>();
      (Grants ? Granting : Waiting).insert(Cell["cell"].get<std::string>());
    }
  }
  std::vector<std::string> Ungranted;
  std::ranges::set_difference(Waiting, Granting, std::back_inserter(Ungranted));
  return Ungranted.empty() ? ""
                           : "no keeper issues grants for " + joined(Ungranted);
}

void Cluster::awaitReady() {
  std::string Problem;
  bool Ready = eventually([&] {
    Problem = notReady();
    return Problem.empty();
  });
  if (!Ready)
    throw std::runtime_error("the cluster did not become ready: " + Problem);
}

CallRequest Cluster::baseRequest(int Daemon) {
  CallRequest Request;
  Request.Target_ = callersAddress(Daemon);
  Request.Host_ = Host;
  Request.CustomerKey_ = CustomerKey;
  Request.Nonce_ = fmt::format("nonce-{}", NextNonce_++);
  Request.Model_ = "test-model";
  Request.Prompt_ = "a prompt for " + Request.Nonce_;
  Request.Timeout_ = milliseconds(10000);
  return Request;
}

CallRequest Cluster::chat(int Daemon) { return baseRequest(Daemon); }

CallRequest Cluster::stream(int Daemon) {
  CallRequest Request = baseRequest(Daemon);
  Request.Mode_ = CallMode::Stream;
  return Request;
}

CallRequest Cluster::reading(int Daemon) {
  CallRequest Request = baseRequest(Daemon);
  Request.Mode_ = CallMode::Application;
  Request.Path_ = "/readings/7";
  return Request;
}

CallRequest Cluster::note(int Daemon, const std::string &IdempotencyKey) {
  CallRequest Request = baseRequest(Daemon);
  Request.Mode_ = CallMode::Application;
  Request.Path_ = "/notes";
  Request.IdempotencyKey_ = IdempotencyKey;
  // Retries with the same idempotency key have to be the same request.
  Request.Nonce_ = "note-" + IdempotencyKey;
  return Request;
}

std::future<CallRecord> Cluster::start(CallRequest Request) {
  auto Call = [this, Request = std::move(Request)]() -> Awaitable<CallRecord> {
    CallRecord Record = co_await standins::call(Request);
    std::scoped_lock Lock(Mutex_);
    Calls_.push_back(Record);
    co_return Record;
  };
  return asio::co_spawn(context(), std::move(Call), asio::use_future);
}

int Cluster::keeperOf(const std::string &Pool) {
  // Only the keeper reports the cell with "keeper" set in its status.
  std::string Cell = "test/" + Pool + "/0";
  for (const auto &[Name, Process] : Processes_) {
    if (!Name.starts_with("vm-") || !Process || !Process->running())
      continue;
    Json Status = request(Name, "/status");
    for (const Json &CellStatus : Status.value("cells", Json::array()))
      if (CellStatus["cell"] == Cell && CellStatus.value("keeper", false))
        return std::stoi(Name.substr(3));
  }
  throw std::runtime_error("no daemon schedules " + Cell);
}

std::vector<standins::LedgerLine> Cluster::ledger() const {
  std::vector<standins::LedgerLine> All;
  for (const auto &File : std::filesystem::directory_iterator(folder()))
    if (File.path().extension() == ".ledger")
      std::ranges::move(standins::readLedger(File.path().string()),
                        std::back_inserter(All));
  return All;
}

std::size_t Cluster::ledgerCount(const std::string &Event) const {
  auto All = ledger();
  return static_cast<std::size_t>(
      std::ranges::count(All, Event, &standins::LedgerLine::Event_));
}

std::vector<std::string> Cluster::violations(standins::CheckOptions Allowed) {
  std::scoped_lock Lock(Mutex_);
  return standins::findViolations(Calls_, ledger(), Allowed);
}

bool eventually(const std::function<bool()> &Condition, milliseconds Limit) {
  auto End = std::chrono::steady_clock::now() + Limit;
  constexpr milliseconds Interval{10};
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(Interval);
  }
  return true;
}

std::size_t countOutcome(const std::vector<CallRecord> &Calls,
                         const std::string &Outcome) {
  return static_cast<std::size_t>(
      std::ranges::count(Calls, Outcome, &CallRecord::Outcome_));
}

std::string unanswered(const std::vector<CallRecord> &Calls) {
  std::vector<std::string> Lines;
  for (const CallRecord &Call : Calls)
    if (Call.Outcome_ != "answered")
      Lines.push_back(Call.toJson().dump());
  return joined(Lines);
}

std::vector<CallRecord> finish(std::vector<std::future<CallRecord>> &Calls) {
  std::vector<CallRecord> Records;
  std::ranges::transform(Calls, std::back_inserter(Records),
                         [](auto &Call) { return Call.get(); });
  return Records;
}

std::string joined(const std::vector<std::string> &Lines) {
  return fmt::format("{}", fmt::join(Lines, "; "));
}

} // namespace samphireshunt::tests
