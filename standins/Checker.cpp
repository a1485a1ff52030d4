#include "Checker.h"

#include <fmt/format.h>

#include <fstream>
#include <map>
#include <set>

namespace samphireshunt::standins {

namespace {

using Json = nlohmann::json;

template <class Function>
void forEachLine(const std::string &Path, Function Take) {
  std::ifstream File(Path);
  std::string Text;
  while (std::getline(File, Text)) {
    Json Line = Json::parse(Text, nullptr, false);
    if (Line.is_object())
      Take(Line);
  }
}

/// What the engines did with one nonce, key or request.
struct Seen {
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
  Check(const std::vector<LedgerLine> &Ledger, CheckOptions Allowed)
      : Allowed_(Allowed) {
    for (const LedgerLine &Line : Ledger) {
      ByNonce_[Line.Nonce_].count(Line);
      Seen &Request = ByRequest_[{Line.Request_, Line.Nonce_}];
      Request.count(Line);
      if (Request.Received_ > 1)
        SentTwice_.insert(Line.Nonce_);
      if (Line.IdempotencyKey_.empty())
        continue;
      Keyed_.insert(Line.Nonce_);
      ByKey_[Line.IdempotencyKey_].count(Line);
    }
  }

  std::vector<std::string> run(const std::vector<CallRecord> &Calls) {
    for (const CallRecord &Call : Calls)
      one(Call);
    for (const auto &[Nonce, Did] : ByNonce_) {
      // A key's repeats carry their first attempt's nonce, as requests of their
      // own: those are judged by their key.
      bool Repeated = !Keyed_.contains(Nonce) && Did.Received_ > 1;
      if (Repeated || SentTwice_.contains(Nonce))
        found(Nonce, "dispatched twice");
      if (Did.Ran_ > 1)
        found(Nonce, "ran twice");
    }
    for (const auto &[Key, Did] : ByKey_) {
      if (Did.Ran_ > 1)
        found(Key, "non-idempotent request ran twice");
      else if (Did.Received_ > Did.Refused_ + 1)
        found(Key, "non-idempotent request dispatched twice");
    }
    return std::move(Findings_);
  }

private:
  void one(const CallRecord &Call) {
    const Seen &Did = ByNonce_[Call.Nonce_];
    bool Answered = Call.Outcome_ == "answered";
    if (Call.Outcome_ == "cut" && !Allowed_.DaemonsKilled_)
      found(Call.Nonce_, "no final answer");
    if (Answered && !Call.Complete_)
      found(Call.Nonce_, "truncated answer named whole");
    if (Answered && !Call.Correct_)
      found(Call.Nonce_, "wrong answer: another request's, or not whole");
    if (Answered && Did.Ran_ == 0)
      found(Call.Nonce_, "answered although no engine ran it");
    // A repeat of a key may be told that it was not run while the first
    // attempt with the same nonce ran: keys are judged by their runs.
    bool Keyed = !Call.IdempotencyKey_.empty();
    if (Call.Outcome_ == "not-run" && Did.Ran_ > 0 && !Keyed)
      found(Call.Nonce_, "told not run, but it ran");
    if (Call.Outcome_ == "not-run" && Did.Received_ > Did.Refused_ && !Keyed)
      found(Call.Nonce_, "told not run, but an engine has it");
    static const std::set<std::string> Known = {
        "answered", "not-run", "unknown", "partial", "cut", "unreachable"};
    if (!Known.contains(Call.Outcome_))
      found(Call.Nonce_, "answer without an outcome");
    bool Overload = Call.Code_ >= 200 && Call.Code_ < 300;
    if (Overload && !Call.HasRetryAfter_)
      found(Call.Nonce_, "given up without Retry-After");
  }

  void found(const std::string &Nonce, std::string_view Problem) {
    Findings_.push_back(fmt::format("{}: {}", Nonce, Problem));
  }

  CheckOptions Allowed_;
  std::map<std::string, Seen> ByNonce_;
  std::map<std::string, Seen> ByKey_;
  std::map<std::pair<std::string, std::string>, Seen> ByRequest_;
  /// Nonces of requests that engines received more than once.
  std::set<std::string> SentTwice_;
  std::set<std::string> Keyed_;
  std::vector<std::string> Findings_;
};

} // namespace

std::vector<std::string> check(const std::vector<CallRecord> &Calls,
                               const std::vector<LedgerLine> &Ledger,
                               CheckOptions Allowed) {
  return Check(Ledger, Allowed).run(Calls);
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
