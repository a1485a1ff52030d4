#include "Checker.h"

#include <fmt/format.h>

#include <fstream>
#include <map>
#include <set>

namespace samphireshunt::standins {

namespace {

using Json = nlohmann::json;

template <class Function>
void forEachLine(const std::string &Path, Function Visit) {
  std::ifstream File(Path);
  std::string Text;
  while (std::getline(File, Text)) {
    Json Line = Json::parse(Text, nullptr, false);
    if (Line.is_object())
      Visit(Line);
  }
}

/// How often engines received, refused and ran one nonce, key or request.
struct EngineCounts {
  std::size_t Received_ = 0;
  std::size_t Refused_ = 0;
  std::size_t Ran_ = 0;

  void count(const LedgerLine &Line) {
    Received_ += Line.Event_ == "received";
    Refused_ += Line.Event_ == "refused";
    Ran_ += Line.Event_ == "ran";
  }
};

class Check {
public:
  Check(const std::vector<LedgerLine> &Ledger, CheckOptions Options)
      : Options_(Options) {
    for (const LedgerLine &Line : Ledger) {
      ByNonce_[Line.Nonce_].count(Line);
      EngineCounts &Request = ByRequest_[{Line.Request_, Line.Nonce_}];
      Request.count(Line);
      if (Request.Received_ > 1)
        ReceivedTwice_.insert(Line.Nonce_);
      if (Line.IdempotencyKey_.empty())
        continue;
      NoncesWithKey_.insert(Line.Nonce_);
      ByKey_[Line.IdempotencyKey_].count(Line);
    }
  }

  std::vector<std::string> run(const std::vector<CallRecord> &Calls) {
    for (const CallRecord &Call : Calls)
      checkCall(Call);
    for (const auto &[Nonce, Counts] : ByNonce_) {
      // A retry with an idempotency key is a request of its own that carries
      // the nonce of the first attempt. Such requests are checked by key below.
      bool Repeated = !NoncesWithKey_.contains(Nonce) && Counts.Received_ > 1;
      if (Repeated || ReceivedTwice_.contains(Nonce))
        addFinding(Nonce, "dispatched twice");
      if (Counts.Ran_ > 1)
        addFinding(Nonce, "ran twice");
    }
    for (const auto &[Key, Counts] : ByKey_) {
      if (Counts.Ran_ > 1)
        addFinding(Key, "non-idempotent request ran twice");
      else if (Counts.Received_ > Counts.Refused_ + 1)
        addFinding(Key, "non-idempotent request dispatched twice");
    }
    return std::move(Findings_);
  }

private:
  void checkCall(const CallRecord &Call) {
    const EngineCounts &Counts = ByNonce_[Call.Nonce_];
    bool Answered = Call.Outcome_ == "answered";
    if (Call.Outcome_ == "cut" && !Options_.DaemonsKilled_)
      addFinding(Call.Nonce_, "no final answer");
    if (Answered && !Call.Complete_)
      addFinding(Call.Nonce_, "truncated answer reported as complete");
    if (Answered && !Call.Correct_)
      addFinding(Call.Nonce_, "wrong answer: another request's, or incomplete");
    if (Answered && Counts.Ran_ == 0)
      addFinding(Call.Nonce_, "answered although no engine ran it");
    // A retry with an idempotency key may be answered "not-run" although the
    // first attempt with the same nonce ran. Requests with a key are checked by
    // the number of their runs instead.
    bool HasKey = !Call.IdempotencyKey_.empty();
    if (Call.Outcome_ == "not-run" && Counts.Ran_ > 0 && !HasKey)
      addFinding(Call.Nonce_, "reported as not run, but it ran");
    if (Call.Outcome_ == "not-run" && Counts.Received_ > Counts.Refused_ &&
        !HasKey)
      addFinding(Call.Nonce_, "reported as not run, but an engine accepted it");
    static const std::set<std::string> Known = {
        "answered", "not-run", "unknown", "partial", "cut", "unreachable"};
    if (!Known.contains(Call.Outcome_))
      addFinding(Call.Nonce_, "answer without an outcome");
    bool Overload = Call.Code_ >= 200 && Call.Code_ < 300;
    if (Overload && !Call.HasRetryAfter_)
      addFinding(Call.Nonce_, "rejected for overload without Retry-After");
  }

  void addFinding(const std::string &Nonce, std::string_view Problem) {
    Findings_.push_back(fmt::format("{}: {}", Nonce, Problem));
  }

  CheckOptions Options_;
  std::map<std::string, EngineCounts> ByNonce_;
  std::map<std::string, EngineCounts> ByKey_;
  std::map<std::pair<std::string, std::string>, EngineCounts> ByRequest_;
  /// Nonces of requests that engines received more than once under one id.
  std::set<std::string> ReceivedTwice_;
  std::set<std::string> NoncesWithKey_;
  std::vector<std::string> Findings_;
};

} // namespace

std::vector<std::string> findViolations(const std::vector<CallRecord> &Calls,
                                        const std::vector<LedgerLine> &Ledger,
                                        CheckOptions Options) {
  return Check(Ledger, Options).run(Calls);
}

std::vector<CallRecord> readCallerLog(const std::string &Path) {
  std::vector<CallRecord> Records;
  forEachLine(Path, [&](const Json &Line) {
    Records.push_back(CallRecord::fromJson(Line));
  });
  return Records;
}

std::vector<LedgerLine> readLedger(const std::string &Path) {
  std::vector<LedgerLine> Lines;
  forEachLine(Path, [&](const Json &Line) {
    Lines.push_back({Line.value("event", ""), Line.value("engine", ""),
                     Line.value("request", ""), Line.value("nonce", ""),
                     Line.value("key", "")});
  });
  return Lines;
}

} // namespace samphireshunt::standins
