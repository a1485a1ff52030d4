#include "Process/Scheduling/CrashHistory.h"

#include "Common/Hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace samphireshunt {

namespace {

using std::chrono::duration_cast;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// When a request or a part is suspected and refused.
struct CrashPolicy {
  /// Numbers of distinct crashes.
  std::size_t ToSuspect_;
  std::size_t ToRefuse_;
  /// The same if it is known to have completed.
  std::size_t ToRefuseCompleted_;
  /// The time from the first crash to the last one that is needed as well.
  seconds MinTimeCompleted_;
  /// How long it is refused after that many crashes. Each further crash
  /// multiplies the time by RefusalFactor_.
  seconds FirstRefusal_;
  int RefusalFactor_;
  /// How long it is remembered after its last crash, or after it was cleared,
  /// unless it is refused.
  seconds SuspicionTime_;
};

constexpr CrashPolicy RequestPolicy{.ToSuspect_ = 1,
                                    .ToRefuse_ = 3,
                                    .ToRefuseCompleted_ = 6,
                                    .MinTimeCompleted_ = seconds(0),
                                    .FirstRefusal_ = minutes(10),
                                    .RefusalFactor_ = 4,
                                    .SuspicionTime_ = hours(1)};
/// A part may be in nearly all prompts, so that its refusal must be short at
/// first, and a part that is known to have completed must have done so no more
/// for a while.
constexpr CrashPolicy PartPolicy{.ToSuspect_ = 2,
                                 .ToRefuse_ = 3,
                                 .ToRefuseCompleted_ = 6,
                                 .MinTimeCompleted_ = seconds(2),
                                 .FirstRefusal_ = seconds(10),
                                 .RefusalFactor_ = 8,
                                 .SuspicionTime_ = minutes(2)};
/// Servers that crash closer together have a cause of their own, as the loss of
/// a rack. Daemons notice a crash at slightly different times.
constexpr milliseconds SameMoment{250};
/// How long a completed run is remembered, and of how many requests.
constexpr minutes CompletedMemory{10};
constexpr std::size_t MaxCompleted = 4096;
constexpr hours LongestRefusal{24};
/// How long a refused one is remembered after the end of its refusal.
constexpr hours MemoryAfterRefusal{24};
/// Maximum number of crashes kept for one request; the refusal is the longest
/// after far fewer.
constexpr std::size_t MaxCrashes = 32;
/// How long a change is sent to every daemon without being asked for.
constexpr seconds NewsTime{2};

const CrashPolicy &policyOf(const RequestFingerprint &Request) {
  return Request.isPart() ? PartPolicy : RequestPolicy;
}

/// \returns the first crash of each group that belongs together: crashes whose
/// runs overlapped it, and of parts only those at the same moment.
std::vector<ServerCrash> groupStarts(const std::vector<ServerCrash> &Crashes,
                                     bool OfPart) {
  std::vector<ServerCrash> Starts;
  std::ranges::copy_if(Crashes, std::back_inserter(Starts),
                       [&](const ServerCrash &Crash) {
                         if (Starts.empty())
                           return true;
                         TimePoint Last = Starts.back().At_;
                         return Crash.Dispatched_ >= Last ||
                                (OfPart && Crash.At_ >= Last + SameMoment);
                       });
  return Starts;
}

/// \returns false if the crash was known.
bool addCrash(CrashRecord &Record, const ServerCrash &Added) {
  bool Known =
      std::ranges::any_of(Record.Crashes_, [&](const ServerCrash &Crash) {
        return Crash.Server_ == Added.Server_;
      });
  if (Known)
    return false;
  auto Place = std::ranges::upper_bound(Record.Crashes_, Added.At_, {},
                                        &ServerCrash::At_);
  Record.Crashes_.insert(Place, Added);
  if (Record.Crashes_.size() > MaxCrashes)
    Record.Crashes_ = groupStarts(Record.Crashes_, Record.Request_.isPart());
  if (Record.Crashes_.size() > MaxCrashes)
    Record.Crashes_.erase(Record.Crashes_.begin());
  return true;
}

bool isOld(const CrashRecord &Record, TimePoint Now) {
  if (auto Until = Record.refusedUntil())
    return Now - *Until > MemoryAfterRefusal;
  TimePoint Last = Record.Cleared_.value_or(TimePoint::min());
  if (!Record.Crashes_.empty())
    Last = std::max(Last, Record.Crashes_.back().At_);
  return Now - Last > policyOf(Record.Request_).SuspicionTime_;
}

} // namespace

std::size_t CrashRecord::distinctCrashes() const {
  return groupStarts(Crashes_, Request_.isPart()).size();
}

std::optional<TimePoint> CrashRecord::refusedUntil() const {
  const CrashPolicy &Policy = policyOf(Request_);
  auto Starts = groupStarts(Crashes_, Request_.isPart());
  bool Completed = Clearings_ > 0;
  std::size_t Needed = Completed ? Policy.ToRefuseCompleted_ : Policy.ToRefuse_;
  if (Starts.size() < Needed)
    return std::nullopt;
  if (Completed &&
      Starts.back().At_ - Starts.front().At_ < Policy.MinTimeCompleted_)
    return std::nullopt;
  auto Factor = std::pow(Policy.RefusalFactor_, Starts.size() - Needed);
  auto Refusal = std::min<std::chrono::duration<double>>(
      Policy.FirstRefusal_ * Factor, LongestRefusal);
  return Starts.back().At_ + duration_cast<TimePoint::duration>(Refusal);
}

RequestStanding CrashRecord::standing(TimePoint Now) const {
  if (Crashes_.empty() || distinctCrashes() < policyOf(Request_).ToSuspect_)
    return RequestStanding::Unsuspected;
  auto Until = refusedUntil();
  return Until && Now < *Until ? RequestStanding::Refused
                               : RequestStanding::Suspected;
}

bool CrashRecord::isNews() const {
  return !Request_.isPart() || (Clearings_ > 0 && Crashes_.empty()) ||
         distinctCrashes() >= PartPolicy.ToSuspect_;
}

RequestStanding CrashSnapshot::standing(const RequestFingerprint &Request,
                                        TimePoint Now) const {
  auto Found = Records_.find(Request);
  if (Found == Records_.end())
    return RequestStanding::Unsuspected;
  RequestStanding Alone = Found->second.standing(Now);
  if (Alone == RequestStanding::Unsuspected || !Request.isPart())
    return Alone;
  return unexplained(Found->second, Now).standing(Now);
}

namespace {

/// \returns whether the part has crashed more servers, or as many but has never
/// completed where the other one has.
bool explainsMore(const CrashRecord &Part, const CrashRecord &Other) {
  auto Weight = [](const CrashRecord &Record) {
    return std::pair(Record.Crashes_.size(), Record.Clearings_ == 0);
  };
  return Weight(Part) > Weight(Other);
}

} // namespace

/// \returns the record of a part without the crashes that a refused part
/// explains.
CrashRecord CrashSnapshot::unexplained(const CrashRecord &Part,
                                       TimePoint Now) const {
  CrashRecord Rest = Part;
  for (const auto &Item : Records_) {
    const CrashRecord &Other = Item.second;
    if (!Other.Request_.isPart() || !explainsMore(Other, Part) ||
        Other.standing(Now) != RequestStanding::Refused)
      continue;
    std::erase_if(Rest.Crashes_, [&](const ServerCrash &Crash) {
      return std::ranges::count(Other.Crashes_, Crash.Server_,
                                &ServerCrash::Server_) > 0;
    });
  }
  return Rest;
}

ResultCode refusalCode(const RequestFingerprint &Cause) {
  return Cause.isPart() ? ResultCode::PromptPartCrashesServers
                        : ResultCode::CrashesServers;
}

bool CrashHistory::recordCrash(const RequestFingerprint &Request,
                               const ServerName &Server, TimePoint Dispatched,
                               TimePoint Now) {
  std::uint64_t Hash = stableHash(Server.str());
  if (crashedBefore(Hash, Dispatched))
    return false;
  CrashRecord Seen;
  Seen.Request_ = Request;
  if (const CrashRecord *Present = find(Request))
    Seen.Clearings_ = Present->Clearings_;
  Seen.Crashes_.push_back({Hash, Dispatched, Now});
  return merge(Seen, Now);
}

/// \returns whether the server was known to have crashed before the request was
/// sent to it. It did not run the request then.
bool CrashHistory::crashedBefore(std::uint64_t Server,
                                 TimePoint Dispatched) const {
  return std::ranges::any_of(Snapshot_.Records_, [&](const auto &Item) {
    return std::ranges::any_of(
        Item.second.Crashes_, [&](const ServerCrash &Crash) {
          return Crash.Server_ == Server && Crash.At_ < Dispatched;
        });
  });
}

void CrashHistory::rememberCompleted(const RequestFingerprint &Request,
                                     TimePoint Now) {
  bool New = Completed_.insert_or_assign(Request, Now).second;
  if (New)
    CompletedOrder_.emplace_back(Now, Request);
  while (CompletedOrder_.size() > MaxCompleted ||
         Now - CompletedOrder_.front().first > CompletedMemory) {
    auto [At, First] = CompletedOrder_.front();
    CompletedOrder_.pop_front();
    auto Found = Completed_.find(First);
    if (Found->second > At)
      CompletedOrder_.emplace_back(Found->second, First);
    else
      Completed_.erase(Found);
  }
}

bool CrashHistory::recordCompleted(const RequestFingerprint &Request,
                                   TimePoint Now) {
  rememberCompleted(Request, Now);
  auto Found = Snapshot_.Records_.find(Request);
  if (Found == Snapshot_.Records_.end() || Found->second.Crashes_.empty())
    return false;
  CrashRecord &Record = Found->second;
  if (!Record.isNews()) {
    erase(Request);
    return true;
  }
  Record.Crashes_.clear();
  ++Record.Clearings_;
  Record.Cleared_ = Now;
  changed(Request, Now);
  return true;
}

bool CrashHistory::merge(CrashRecord Known, TimePoint Now) {
  if (!Known.Request_ || isOld(Known, Now))
    return false;
  // Others may not know that it completed. All must, or they refuse it sooner.
  auto Completed = Completed_.find(Known.Request_);
  bool CompletedLately = Completed != Completed_.end() &&
                         Now - Completed->second <= CompletedMemory;
  if (Known.Clearings_ == 0 && CompletedLately) {
    Known.Clearings_ = 1;
    Known.Cleared_ = Completed->second;
  }
  if (!find(Known.Request_))
    makeRoom(Now);
  auto [Found, New] = Snapshot_.Records_.try_emplace(Known.Request_);
  CrashRecord &Record = Found->second;
  Record.Request_ = Known.Request_;
  bool Changed = Known.Clearings_ > Record.Clearings_;
  if (Changed) {
    Record.Clearings_ = Known.Clearings_;
    Record.Cleared_ = Known.Cleared_;
    Record.Crashes_.clear();
  }
  if (Known.Clearings_ == Record.Clearings_)
    for (const ServerCrash &Crash : Known.Crashes_)
      Changed = addCrash(Record, Crash) || Changed;
  if (Changed)
    changed(Known.Request_, Now);
  else if (New)
    erase(Known.Request_);
  return Changed;
}

RequestStanding CrashHistory::standing(const RequestFingerprint &Request,
                                       TimePoint Now) const {
  return Snapshot_.standing(Request, Now);
}

const CrashRecord *CrashHistory::find(const RequestFingerprint &Request) const {
  auto Found = Snapshot_.Records_.find(Request);
  return Found == Snapshot_.Records_.end() ? nullptr : &Found->second;
}

std::size_t CrashHistory::refused(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Snapshot_.Records_, [Now](const auto &Item) {
        return Item.second.standing(Now) == RequestStanding::Refused;
      }));
}

/// The digest covers the servers that crashed and how often the request was
/// cleared, but no times: those differ by the delay of messages.
void CrashHistory::updateDigest(const RequestFingerprint &Request) {
  std::uint64_t &Added = DigestOf_[Request];
  Digest_ -= std::exchange(Added, 0);
  const CrashRecord *Record = find(Request);
  if (!Record || !Record->isNews()) {
    DigestOf_.erase(Request);
    return;
  }
  std::uint64_t OfRecord = Record->Clearings_;
  for (const ServerCrash &Crash : Record->Crashes_)
    OfRecord += stableHash("crash", Crash.Server_);
  Added = stableHash(Request.str(), OfRecord);
  Digest_ += Added;
}

std::vector<CrashRecord> CrashHistory::toSend(std::size_t Count,
                                              TimePoint Now) {
  std::vector<RequestFingerprint> All;
  for (const auto &[Request, Record] : Snapshot_.Records_)
    if (Record.isNews())
      All.push_back(Request);
  return leastSent(std::move(All), Count, Now);
}

std::vector<CrashRecord> CrashHistory::recentChanges(std::size_t Count,
                                                     TimePoint Now) {
  std::vector<RequestFingerprint> Recent;
  for (const auto &[Request, Spreading] : Spread_)
    if (Now - Spreading.Changed_ <= NewsTime &&
        Snapshot_.Records_.at(Request).isNews())
      Recent.push_back(Request);
  return leastSent(std::move(Recent), Count, Now);
}

std::vector<CrashRecord>
CrashHistory::leastSent(std::vector<RequestFingerprint> Candidates,
                        std::size_t Count, TimePoint Now) {
  auto Order = [&](const RequestFingerprint &Request) {
    RequestStanding Standing = standing(Request, Now);
    return std::tuple(Spread_[Request].Sent_, -static_cast<int>(Standing),
                      Request);
  };
  std::ranges::sort(Candidates, {}, Order);
  Candidates.resize(std::min(Candidates.size(), Count));
  std::vector<CrashRecord> Records;
  for (const RequestFingerprint &Request : Candidates) {
    ++Spread_[Request].Sent_;
    Records.push_back(Snapshot_.Records_.at(Request));
  }
  return Records;
}

void CrashHistory::changed(const RequestFingerprint &Request, TimePoint Now) {
  Spread_[Request] = {0, Now};
  updateDigest(Request);
}

void CrashHistory::forgetOld(TimePoint Now) {
  std::vector<RequestFingerprint> Old;
  for (const auto &[Request, Record] : Snapshot_.Records_)
    if (isOld(Record, Now))
      Old.push_back(Request);
  std::ranges::for_each(Old, [this](const auto &Request) { erase(Request); });
}

void CrashHistory::makeRoom(TimePoint Now) {
  forgetOld(Now);
  if (Snapshot_.Records_.size() < MaxRecords)
    return;
  auto Order = [Now](const auto &Item) {
    const CrashRecord &Record = Item.second;
    bool Refused = Record.standing(Now) == RequestStanding::Refused;
    TimePoint Last =
        Record.Crashes_.empty() ? TimePoint::min() : Record.Crashes_.back().At_;
    return std::pair(Refused, Last);
  };
  RequestFingerprint Least =
      std::ranges::min_element(Snapshot_.Records_, {}, Order)->first;
  erase(Least);
}

void CrashHistory::erase(const RequestFingerprint &Request) {
  Snapshot_.Records_.erase(Request);
  Spread_.erase(Request);
  updateDigest(Request);
}

} // namespace samphireshunt
