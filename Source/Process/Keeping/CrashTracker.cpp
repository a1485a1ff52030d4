#include "Process/Keeping/CrashTracker.h"

#include "Common/Hash.h"
#include "Common/Log.h"

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

namespace samphireshunt {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Records in a message about recent changes, and in one to a daemon that knows
/// something else. A record takes 60 bytes and 16 for each crash.
constexpr std::size_t RecentRecords = 2;
constexpr std::size_t DifferingRecords = 4;
/// Maximum number of crashes sent with a record: the newest ones.
constexpr std::size_t MaxCrashesSent = 8;
/// Refusals are sent to some members at once, but not more often than this.
constexpr milliseconds SpreadInterval{100};
/// How often records that are too old to matter are removed.
constexpr std::chrono::seconds CleanUpInterval{10};

std::uint32_t ageMillis(TimePoint At, TimePoint Now) {
  auto Age = duration_cast<milliseconds>(Now - At).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, Age));
}

wire::CrashRecordT toWire(const CrashRecord &Record, TimePoint Now) {
  wire::CrashRecordT Target;
  Target.request = std::make_unique<wire::Fingerprint>(Record.Request_.High_,
                                                       Record.Request_.Low_);
  auto Excess =
      Record.Crashes_.size() - std::min(Record.Crashes_.size(), MaxCrashesSent);
  for (const ServerCrash &Crash : std::span(Record.Crashes_).subspan(Excess))
    Target.crashes.emplace_back(Crash.Server_, ageMillis(Crash.At_, Now),
                                ageMillis(Crash.Dispatched_, Now));
  Target.clearings = Record.Clearings_;
  if (Record.Cleared_)
    Target.cleared_age_ms = ageMillis(*Record.Cleared_, Now);
  return Target;
}

CrashRecord fromWire(const wire::CrashRecordT &Record, TimePoint Now) {
  CrashRecord Target;
  if (Record.request)
    Target.Request_ = {Record.request->high(), Record.request->low()};
  std::ranges::transform(Record.crashes, std::back_inserter(Target.Crashes_),
                         [Now](const wire::ServerCrash &Crash) {
                           return ServerCrash{
                               Crash.server(),
                               Now - milliseconds(Crash.dispatch_age_ms()),
                               Now - milliseconds(Crash.age_ms())};
                         });
  Target.Clearings_ = Record.clearings;
  if (Record.clearings > 0)
    Target.Cleared_ = Now - milliseconds(Record.cleared_age_ms);
  return Target;
}

const char *standingName(RequestStanding Value) {
  switch (Value) {
  case RequestStanding::Unsuspected:
    return "unsuspected";
  case RequestStanding::Suspected:
    return "suspected";
  case RequestStanding::Refused:
    return "refused";
  }
  return "unknown";
}

} // namespace

VmId crashCollector(const wire::Fingerprint &Part,
                    const std::vector<VmId> &Members) {
  return *std::ranges::max_element(Members, {}, [&](const VmId &Id) {
    return stableHash(Id.str(), Part.low());
  });
}

CrashTracker::CrashTracker(Clock Now)
    : Now_(std::move(Now)),
      Published_(std::make_shared<const CrashSnapshot>()) {}

void CrashTracker::requestEnded(const ServerName &Server,
                                const ServedSample &Sample) {
  if (!Sample.Crashed_ && !Sample.Complete_)
    return;
  std::vector<RequestFingerprint> Keys;
  if (Sample.Fingerprint_)
    Keys.push_back(Sample.Fingerprint_);
  std::ranges::transform(Sample.Parts_, std::back_inserter(Keys), partKey);
  auto Now = Now_();
  std::vector<std::pair<RequestFingerprint, RequestStanding>> Changed;
  for (const RequestFingerprint &Key : Keys) {
    RequestStanding Before = standing(Key);
    if (apply(Key, Server, Sample, Now))
      Changed.emplace_back(Key, Before);
  }
  if (Changed.empty())
    return;
  publish();
  for (const auto &[Key, Before] : Changed)
    reportChange(Key, Before, Server);
}

bool CrashTracker::apply(const RequestFingerprint &Key,
                         const ServerName &Server, const ServedSample &Sample,
                         TimePoint Now) {
  if (Sample.Crashed_)
    return History_.recordCrash(Key, Server, Now - Sample.Duration_, Now);
  return History_.recordCompleted(Key, Now);
}

RequestStanding
CrashTracker::standing(const RequestFingerprint &Request) const {
  return History_.standing(Request, Now_());
}

std::vector<wire::CrashRecordT> CrashTracker::recordsToSend(bool Differs) {
  auto Now = Now_();
  if (Now - LastCleanUp_ > CleanUpInterval) {
    LastCleanUp_ = Now;
    History_.forgetOld(Now);
  }
  auto Records = Differs ? History_.toSend(DifferingRecords, Now)
                         : History_.recentChanges(RecentRecords, Now);
  std::vector<wire::CrashRecordT> Messages;
  std::ranges::transform(
      Records, std::back_inserter(Messages),
      [Now](const CrashRecord &Record) { return toWire(Record, Now); });
  return Messages;
}

std::vector<wire::CrashRecordT>
CrashTracker::partRecords(const ServerName &Server,
                          const ServedSample &Sample) const {
  std::vector<wire::CrashRecordT> Records;
  if (!Sample.Crashed_)
    return Records;
  auto Now = Now_();
  for (std::uint64_t Part : Sample.Parts_) {
    CrashRecord Record;
    Record.Request_ = partKey(Part);
    Record.Crashes_.push_back(
        {stableHash(Server.str()), Now - Sample.Duration_, Now});
    Records.push_back(toWire(Record, Now));
  }
  return Records;
}

void CrashTracker::recordReceived(const wire::CrashRecordT &Received) {
  auto Now = Now_();
  CrashRecord Known = fromWire(Received, Now);
  RequestStanding Before = standing(Known.Request_);
  if (!History_.merge(Known, Now))
    return;
  publish();
  reportChange(Known.Request_, Before, {});
}

/// Makes changes visible to the threads that serve requests.
void CrashTracker::publish() {
  Published_.write(std::make_shared<const CrashSnapshot>(History_.snapshot()));
}

/// Logs a change, with the server if this daemon itself saw the cause, and
/// reports what follows. Of parts, most of which have no share in a crash, only
/// changes of their standing are logged.
void CrashTracker::reportChange(const RequestFingerprint &Changed,
                                RequestStanding Before,
                                const ServerName &Server) {
  RequestStanding After = standing(Changed);
  if ((Server.empty() || Changed.isPart()) && After == Before)
    return;
  const CrashRecord *Record = History_.find(Changed);
  logEvent(
      LogCategory::Keeper, spdlog::level::info, "request-crashes",
      {{"cause", Changed.isPart() ? "part" : "request"},
       {"fingerprint", Changed.str()},
       {"server", Server.str()},
       {"crashes", std::to_string(Record ? Record->Crashes_.size() : 0)},
       {"distinct", std::to_string(Record ? Record->distinctCrashes() : 0)},
       {"standing", standingName(After)}});
  if (After == Before)
    return;
  if (After != RequestStanding::Refused)
    return;
  Hooks_.Refused_(Changed);
  // Other changes go with the next regular messages: while many servers crash,
  // there is one for each of their requests.
  auto Now = Now_();
  if (Now - LastSpread_ < SpreadInterval)
    return;
  LastSpread_ = Now;
  Hooks_.Spread_();
}

} // namespace samphireshunt
