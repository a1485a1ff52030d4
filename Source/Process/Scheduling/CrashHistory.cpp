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

/// Number of distinct crashes from which on a request is refused.
constexpr std::size_t CrashesToRefuse = 3;
/// The same for a request that is known to have completed.
constexpr std::size_t CrashesToRefuseCompleted = 6;
/// How long a completed run is remembered, and of how many requests.
constexpr minutes CompletedMemory{10};
constexpr std::size_t MaxCompleted = 4096;
/// How long a request is refused after that many crashes. Each further crash
/// multiplies the time.
constexpr minutes FirstRefusal{10};
constexpr int RefusalFactor = 4;
constexpr hours LongestRefusal{24};
/// How long a request that isn't refused is remembered after its last crash, or
/// after it was cleared.
constexpr hours SuspicionTime{1};
/// How long a refused one is remembered after the end of its refusal.
constexpr hours MemoryAfterRefusal{24};
/// Maximum number of crashes kept for one request; the refusal is the longest
/// after far fewer.
constexpr std::size_t MaxCrashes = 32;
/// How long a change is sent to every daemon without being asked for.
constexpr seconds NewsTime{2};

/// \returns the first crash of each group whose runs overlapped it.
std::vector<ServerCrash> groupStarts(const std::vector<ServerCrash> &Crashes) {
  std::vector<ServerCrash> Starts;
  std::ranges::copy_if(
      Crashes, std::back_inserter(Starts), [&](const ServerCrash &Crash) {
        return Starts.empty() || Crash.Dispatched_ >= Starts.back().At_;
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
    Record.Crashes_ = groupStarts(Record.Crashes_);
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
  return Now - Last > SuspicionTime;
}

} // namespace

std::size_t CrashRecord::distinctCrashes() const {
  return groupStarts(Crashes_).size();
}

std::optional<TimePoint> CrashRecord::refusedUntil() const {
  auto Starts = groupStarts(Crashes_);
  std::size_t Needed =
      Clearings_ > 0 ? CrashesToRefuseCompleted : CrashesToRefuse;
  if (Starts.size() < Needed)
    return std::nullopt;
  auto Factor = std::pow(RefusalFactor, Starts.size() - Needed);
  auto Refusal = std::min<std::chrono::duration<double>>(FirstRefusal * Factor,
                                                         LongestRefusal);
  return Starts.back().At_ + duration_cast<TimePoint::duration>(Refusal);
}

RequestStanding CrashRecord::standing(TimePoint Now) const {
  if (Crashes_.empty())
    return RequestStanding::Unsuspected;
  auto Until = refusedUntil();
  return Until && Now < *Until ? RequestStanding::Refused
                               : RequestStanding::Suspected;
}

RequestStanding CrashSnapshot::standing(const RequestFingerprint &Request,
                                        TimePoint Now) const {
  auto Found = Records_.find(Request);
  return Found == Records_.end() ? RequestStanding::Unsuspected
                                 : Found->second.standing(Now);
}

bool CrashHistory::recordCrash(const RequestFingerprint &Request,
                               const ServerName &Server, TimePoint Dispatched,
                               TimePoint Now) {
  std::uint64_t Hash = stableHash(Server.str());
  if (crashedBefore(Hash, Dispatched))
    return false;
  CrashRecord Seen;
  Seen.Request_ = Request;
  auto Completed = Completed_.find(Request);
  if (const CrashRecord *Present = find(Request)) {
    Seen.Clearings_ = Present->Clearings_;
  } else if (Completed != Completed_.end() &&
             Now - Completed->second <= CompletedMemory) {
    Seen.Clearings_ = 1;
    Seen.Cleared_ = Completed->second;
  }
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
  Completed_[Request] = Now;
  if (Completed_.size() <= MaxCompleted)
    return;
  std::erase_if(Completed_, [Now](const auto &Item) {
    return Now - Item.second > CompletedMemory;
  });
  if (Completed_.size() > MaxCompleted)
    Completed_.erase(std::ranges::min_element(
        Completed_, {}, [](const auto &Item) { return Item.second; }));
}

bool CrashHistory::recordCompleted(const RequestFingerprint &Request,
                                   TimePoint Now) {
  rememberCompleted(Request, Now);
  auto Found = Snapshot_.Records_.find(Request);
  if (Found == Snapshot_.Records_.end() || Found->second.Crashes_.empty())
    return false;
  CrashRecord &Record = Found->second;
  Record.Crashes_.clear();
  ++Record.Clearings_;
  Record.Cleared_ = Now;
  changed(Request, Now);
  return true;
}

bool CrashHistory::merge(const CrashRecord &Known, TimePoint Now) {
  if (!Known.Request_ || isOld(Known, Now))
    return false;
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

/// Covers the servers that crashed and how often the request was cleared, but
/// no times: those differ by the delay of messages.
void CrashHistory::updateDigest() {
  std::uint64_t Sum = 0;
  for (const auto &[Request, Record] : Snapshot_.Records_) {
    std::uint64_t OfRecord = Record.Clearings_;
    for (const ServerCrash &Crash : Record.Crashes_)
      OfRecord += stableHash("crash", Crash.Server_);
    Sum += stableHash(Request.str(), OfRecord);
  }
  Digest_ = Sum;
}

std::vector<CrashRecord> CrashHistory::toSend(std::size_t Count,
                                              TimePoint Now) {
  std::vector<RequestFingerprint> All;
  std::ranges::transform(Snapshot_.Records_, std::back_inserter(All),
                         [](const auto &Item) { return Item.first; });
  return leastSent(std::move(All), Count, Now);
}

std::vector<CrashRecord> CrashHistory::recentChanges(std::size_t Count,
                                                     TimePoint Now) {
  std::vector<RequestFingerprint> Recent;
  for (const auto &[Request, Spreading] : Spread_)
    if (Now - Spreading.Changed_ <= NewsTime)
      Recent.push_back(Request);
  return leastSent(std::move(Recent), Count, Now);
}

std::vector<CrashRecord>
CrashHistory::leastSent(std::vector<RequestFingerprint> Candidates,
                        std::size_t Count, TimePoint Now) {
  auto Order = [&](const RequestFingerprint &Request) {
    bool Refused = standing(Request, Now) == RequestStanding::Refused;
    return std::tuple(Spread_[Request].Sent_, !Refused, Request);
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
  updateDigest();
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
  updateDigest();
}

} // namespace samphireshunt
