/// \file
/// Reports of the daemon for operators: addresses, status, metrics.

#include "Programs/Daemon.h"

#include "Common/ProcessMemory.h"

#include <nlohmann/json.hpp>

namespace samphireshunt {

using Json = nlohmann::json;

namespace {

std::int64_t millis(std::chrono::nanoseconds Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

std::int64_t micros(std::chrono::nanoseconds Time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Time).count();
}

} // namespace

std::string Daemon::describeAddresses() const {
  Json Line;
  Line["event"] = "listening";
  Line["vm"] = Settings_.Vm_.str();
  Line["callers"] = formatEndpoint(CallerServer_->address());
  Line["peers"] = formatEndpoint(Peers_->address());
  Line["operators"] = formatEndpoint(OperatorServer_->address());
  return Line.dump();
}

std::chrono::milliseconds Daemon::configurationAge() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Freshness_.age(BootClock::now()));
}

namespace {

Json keysAndDetails(const std::map<std::string, RefusedItem> &Refused) {
  constexpr std::size_t MaxListed = 20;
  Json Listed = Json::array();
  for (const auto &[Key, Item] : Refused) {
    if (Listed.size() == MaxListed)
      break;
    Listed.push_back({{"key", Key},
                      {"code", static_cast<int>(Item.Code_)},
                      {"detail", Item.Detail_}});
  }
  return Listed;
}

} // namespace

std::string Daemon::status() const {
  Json Root;
  Root["vm"] = Settings_.Vm_.str();
  Root["dataCenter"] = Settings_.DataCenter_.str();
  Root["incarnation"] = Incarnation_.count();
  Root["format"] = NewestFormat;
  Root["ready"] = isReady();
  Root["draining"] = Draining_.load();
  Root["memoryLevel"] = std::string(memoryLevelName(Memory_.level()));
  Root["slowReadersEnded"] = Memory_.readersEnded();
  Root["bodiesRefused"] = Memory_.bodiesRefused();
  Root["platformReachable"] = platformReachable();
  Root["configurationAgeMs"] = configurationAge().count();
  Root["configurationBehindMs"] = millis(Freshness_.behind(BootClock::now()));
  Root["maxValueBytes"] = ReadLimits_.MaxValueBytes_;
  Root["valuesTooLarge"] = RefusedItems_.tooLarge();
  if (View_ && View_->tooLargeSince())
    Root["configurationTooLarge"] = true;
  if (!RefusedItems_.current().empty())
    Root["refusedItems"] = keysAndDetails(RefusedItems_.current());
  if (PeerFollower_) {
    Root["follows"] = Follower_->paused() && PeerFollower_->reader()
                          ? Json(PeerFollower_->reader()->str())
                          : Json(nullptr);
    Root["followers"] = PeerFollower_->followers();
    Root["storeEra"] = View_->position().Era_.count();
    Root["storeRevision"] = View_->position().Revision_.count();
    Root["rollouts"] = Json::array();
    for (const RolloutService::Summary &Known : Rollouts_->summaries())
      Root["rollouts"].push_back(
          {{"pool", Known.Pool_.str()},
           {"to", Known.Record_.Target_.str()},
           {"stage", rolloutStageName(Known.Record_.Stage_)},
           {"canaries", Known.Record_.Canaries_.size()},
           {"owned", Known.Owned_},
           {"granted", Known.Granted_},
           {"exposed", Known.Exposed_},
           {"badAnswers", Known.BadAnswers_}});
  }
  Root["relayedConnections"] = Relay_->connections();
  Root["activeRequests"] = CallerServer_->activeExchanges();
  Root["liveShare"] = Members_->liveShare();
  Root["controlBytesSent"] =
      Membership_->protocol().bytesSent() + Peers_->bytesSent();
  Root["gossipBytesReceived"] = Membership_->protocol().bytesReceived();
  Root["tracesDropped"] = Traces_->dropped();
  Root["services"] = Json::object();
  auto Snapshot = Documents_.snapshot();
  for (const auto &[Name, Service] : Snapshot->Services_) {
    Json Entry;
    Entry["version"] = Service.Version_.count();
    if (Service.Source_ && !Service.Source_->ChangeIds_.empty())
      Entry["change"] = Service.Source_->ChangeIds_.back();
    if (Service.UnsupportedVersion_.count() > 0)
      Entry["notUnderstood"] = Service.UnsupportedVersion_.count();
    Root["services"][Name.str()] = std::move(Entry);
  }
  Root["members"] = Json::array();
  for (const Member &Other : Members_->others()) {
    ProcessHealth Health = Members_->healthOf(Other.Id_);
    Root["members"].push_back(
        {{"vm", Other.Id_.str()},
         {"status", memberStatusName(Other.Status_)},
         {"dataCenter", Other.DataCenter_.str()},
         {"operators", Other.OperatorAddress_},
         {"memoryPercent", Health.MemoryPercent_},
         {"longestStallMs", Health.LongestStall_.count()}});
  }
  Root["cells"] = Json::array();
  for (const CellId &Cell : Keeper_->cells()) {
    const Scheduler *Scheduling = Keeper_->scheduler(Cell);
    Json Entry;
    Entry["cell"] = Cell.str();
    Entry["keeper"] = keeperFor(Cell, {}) == Settings_.Vm_;
    Entry["warming"] = Scheduling->warming(std::chrono::steady_clock::now());
    Entry["waiting"] = Scheduling->waiting();
    Entry["running"] = Scheduling->running();
    const StreamSuspension &Suspension = Scheduling->suspension();
    Entry["suspended"] = Suspension.stopped();
    Entry["stopping"] = Suspension.orders();
    const WorkTimePattern &WorkTimes = Scheduling->workTimes();
    Entry["workTimes"] = {{"readings", WorkTimes.readings()},
                          {"ignored", WorkTimes.ignoredFigures()},
                          {"mean", WorkTimes.mean().value()},
                          {"slowMs", millis(WorkTimes.slowTime())}};
    Entry["servers"] = Json::object();
    for (const auto &[Name, Server] : Scheduling->servers())
      Entry["servers"][Name.str()] = {
          {"inFlight", Server.inFlight()},
          {"usable", Server.usable()},
          {"unreadMs", millis(Server.pendingReadingTime())},
          {"tokenMicros", micros(Server.timeBetweenTokens())}};
    Root["cells"].push_back(std::move(Entry));
  }
  return Root.dump();
}

std::string Daemon::vms() const {
  Json List = Json::array();
  auto Add = [&List](const Member &Known) {
    List.push_back(
        {{"id", Known.Id_.str()},
         {"role", "system"},
         {"state", Known.Status_ == MemberStatus::Leaving ? "leaving" : "live"},
         {"address", Known.Address_},
         {"operators", Known.OperatorAddress_}});
  };
  Add(Members_->self());
  for (const Member &Other : Members_->others())
    if (Other.Status_ != MemberStatus::Dead)
      Add(Other);
  Json Root;
  Root["vms"] = std::move(List);
  return Root.dump();
}

namespace {

std::string_view memoryGauge(MemoryOwner Owner) {
  switch (Owner) {
  case MemoryOwner::RequestBodies:
    return "memory_bodies_bytes";
  case MemoryOwner::Answers:
    return "memory_answers_bytes";
  case MemoryOwner::PeerFrames:
    return "memory_frames_bytes";
  }
  return "memory_bytes";
}

} // namespace

std::string Daemon::metrics() {
  Metrics_.setGauge("ready", isReady() ? 1 : 0);
  Metrics_.setGauge("active_requests",
                    static_cast<double>(CallerServer_->activeExchanges()));
  Metrics_.setGauge("caller_connections",
                    static_cast<double>(CallerServer_->openConnections()));
  Metrics_.setGauge("process_memory_bytes",
                    static_cast<double>(processMemoryBytes()));
  Metrics_.setGauge("process_memory_most_bytes",
                    static_cast<double>(mostProcessMemoryBytes()));
  Metrics_.setGauge("vm_memory_bytes", static_cast<double>(vmMemoryBytes()));
  Metrics_.setGauge("memory_level", static_cast<double>(Memory_.level()));
  Metrics_.setGauge("slow_readers_ended",
                    static_cast<double>(Memory_.readersEnded()));
  Metrics_.setGauge("bodies_refused",
                    static_cast<double>(Memory_.bodiesRefused()));
  Metrics_.setGauge("repeats_allowed",
                    static_cast<double>(RetryBudget_->allowedInAll()));
  Metrics_.setGauge("repeats_refused",
                    static_cast<double>(RetryBudget_->refusedInAll()));
  Metrics_.setGauge("members_restarted_unannounced",
                    static_cast<double>(RestartedMembers_));
  auto Previous = PreviousProcess_.end().value_or(ProcessEnd());
  bool IsKnown = Previous.Incarnation_.count() != 0;
  Metrics_.setGauge("previous_process_left", IsKnown && Previous.Left_);
  Metrics_.setGauge("previous_process_vanished", IsKnown && !Previous.Left_);
  Metrics_.setGauge("previous_process_memory_percent",
                    Previous.LastHealth_.MemoryPercent_);
  Metrics_.setGauge("previous_process_silence_seconds",
                    std::chrono::duration<double>(Previous.Silence_).count());
  Metrics_.setGauge(
      "previous_process_longest_stall_seconds",
      std::chrono::duration<double>(Previous.LastHealth_.LongestStall_)
          .count());
  Metrics_.setGauge("links_closed_for_memory",
                    static_cast<double>(Memory_.linksClosed()));
  Metrics_.setGauge("links_without_name",
                    static_cast<double>(Peers_->unidentified()));
  for (MemoryOwner Owner : MemoryOwners)
    Metrics_.setGauge(std::string(memoryGauge(Owner)),
                      static_cast<double>(Memory_.used(Owner)));
  Metrics_.setGauge("asks_waiting", static_cast<double>(Grants_->waiting()));
  Metrics_.setGauge("grants_running", static_cast<double>(Grants_->running()));
  Metrics_.setGauge("grants_returned",
                    static_cast<double>(Grants_->returned()));
  Metrics_.setGauge("relayed_connections",
                    static_cast<double>(Relay_->connections()));
  double CutOff = 0;
  double RelayedByOthers = 0;
  double RefusalsOnKept = 0;
  double SecondAnswers = 0;
  double UnknownAnswers = 0;
  for (const auto &Current : Workers_) {
    CutOff += static_cast<double>(Current->Servers_->cutOffCount());
    RelayedByOthers += static_cast<double>(Current->Servers_->relayedCount());
    const ExchangeCounts &Counted = Current->Servers_->exchanges();
    RefusalsOnKept += static_cast<double>(Counted.RefusalsOnKept_);
    SecondAnswers += static_cast<double>(Counted.SecondAnswers_);
    UnknownAnswers += static_cast<double>(Counted.UnknownAnswers_);
  }
  Metrics_.setGauge("refusals_on_kept_connections", RefusalsOnKept);
  Metrics_.setGauge("second_answers", SecondAnswers);
  Metrics_.setGauge("unknown_answers", UnknownAnswers);
  Metrics_.setGauge("servers_cut_off", CutOff);
  Metrics_.setGauge("connections_relayed_by_others", RelayedByOthers);
  auto Cells = Keeper_->cells();
  Metrics_.setGauge("cells_kept", static_cast<double>(Cells.size()));
  double Suspended = 0;
  double Ordered = 0;
  double Failed = 0;
  double IgnoredWorkTimes = 0;
  for (const CellId &Cell : Cells) {
    const Scheduler &Deciding = *Keeper_->scheduler(Cell);
    const StreamSuspension &Known = Deciding.suspension();
    Suspended += static_cast<double>(Known.stopped());
    Ordered += static_cast<double>(Known.ordersInAll());
    Failed += static_cast<double>(Known.failedInAll());
    IgnoredWorkTimes +=
        static_cast<double>(Deciding.workTimes().ignoredFigures());
  }
  Metrics_.setGauge("work_times_ignored", IgnoredWorkTimes);
  Metrics_.setGauge("streams_suspended", Suspended);
  Metrics_.setGauge("suspensions_ordered", Ordered);
  Metrics_.setGauge("suspensions_failed", Failed);
  Metrics_.setGauge("live_share", Members_->liveShare());
  Metrics_.setGauge("items_refused",
                    static_cast<double>(RefusedItems_.count()));
  Metrics_.setGauge("values_too_large",
                    static_cast<double>(RefusedItems_.tooLarge()));
  Metrics_.setGauge("configuration_too_large",
                    View_ && View_->tooLargeSince() ? 1 : 0);
  Metrics_.setGauge("items_refused_now",
                    static_cast<double>(RefusedItems_.current().size()));
  Metrics_.setGauge("platform_reachable", platformReachable() ? 1 : 0);
  Metrics_.setGauge("configuration_age_seconds",
                    std::chrono::duration<double>(configurationAge()).count());
  Metrics_.setGauge(
      "configuration_behind_seconds",
      std::chrono::duration<double>(Freshness_.behind(BootClock::now()))
          .count());
  if (PeerFollower_) {
    Metrics_.setGauge("followers",
                      static_cast<double>(PeerFollower_->followers()));
    Metrics_.setGauge("store_era",
                      static_cast<double>(View_->position().Era_.count()));
    Metrics_.setGauge("bad_store_eras",
                      static_cast<double>(Follower_->badEras()));
  }
  const CrashHistory &Crashes = Crashes_.history();
  Metrics_.setGauge("crashing_requests_known",
                    static_cast<double>(Crashes.snapshot().Records_.size()));
  Metrics_.setGauge(
      "crashing_requests_refused",
      static_cast<double>(Crashes.refused(std::chrono::steady_clock::now())));
  Metrics_.setGauge("traces_dropped", static_cast<double>(Traces_->dropped()));
  Metrics_.setGauge("control_bytes_sent",
                    static_cast<double>(Membership_->protocol().bytesSent() +
                                        Peers_->bytesSent()));
  return Metrics_.text();
}

} // namespace samphireshunt
