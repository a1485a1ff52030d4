#include "Bench/Figures.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>

namespace samphireshunt::bench {

using tests::Json;

namespace {

double percentile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::ranges::sort(Values);
  auto Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(Fraction * Last)];
}

bool isGood(const MeasuredCall &Call) {
  return Call.Record_.Outcome_ == "answered" && Call.Record_.Correct_ &&
         Call.Record_.Total_ <= Call.Deadline_;
}

GroupFigures groupFigures(const std::vector<const MeasuredCall *> &Group,
                          milliseconds Length) {
  GroupFigures Built;
  std::vector<double> FirstTokens;
  std::vector<double> Gaps;
  for (const MeasuredCall *Call : Group) {
    ++Built.Requests_;
    if (!isGood(*Call))
      continue;
    ++Built.Good_;
    constexpr double MicrosPerMilli = 1000;
    FirstTokens.push_back(
        static_cast<double>(Call->Record_.FirstToken_.count()) /
        MicrosPerMilli);
    Gaps.push_back(static_cast<double>(Call->Record_.LongestGap_.count()) /
                   MicrosPerMilli);
  }
  std::chrono::duration<double> Seconds = Length;
  Built.GoodPerSecond_ = static_cast<double>(Built.Good_) / Seconds.count();
  Built.FirstTokenP50Ms_ = percentile(FirstTokens, 0.5);
  Built.FirstTokenP95Ms_ = percentile(FirstTokens, 0.95);
  Built.GapP95Ms_ = percentile(Gaps, 0.95);
  return Built;
}

/// Adds up the prefilled tokens and how many of them were wasted. The tokens of
/// a request's own prompt are useful when its call was good; the tokens of a
/// shared file are useful once in the run.
void addPrefill(RunFigures &Run, const std::vector<MeasuredCall> &Calls,
                const std::string &Folder) {
  std::map<std::string, const MeasuredCall *> ByNonce;
  for (const MeasuredCall &Call : Calls)
    ByNonce[Call.Record_.Nonce_] = &Call;
  std::map<int, double> FilePrefill;
  for (const auto &File : std::filesystem::directory_iterator(Folder)) {
    if (File.path().extension() != ".ledger")
      continue;
    std::ifstream Lines(File.path());
    std::string Text;
    while (std::getline(Lines, Text)) {
      Json Line = Json::parse(Text, nullptr, false);
      auto Found = ByNonce.find(Line.value("nonce", ""));
      if (!Line.contains("prefill") || Found == ByNonce.end())
        continue;
      const MeasuredCall &Call = *Found->second;
      double Prefilled = Line["prefill"].get<double>();
      Run.PrefillTokens_ += Prefilled;
      double Own = std::min<double>(Prefilled, Call.UniqueTokens_);
      if (!isGood(Call)) {
        Run.WastedTokens_ += Prefilled;
        continue;
      }
      if (Call.SharedFile_ >= 0)
        FilePrefill[Call.SharedFile_] += Prefilled - Own;
    }
  }
  for (const auto &[File, Prefilled] : FilePrefill) {
    auto User = std::ranges::find(Calls, File, &MeasuredCall::SharedFile_);
    Run.WastedTokens_ += std::max(0.0, Prefilled - User->FileTokens_);
  }
}

} // namespace

RunFigures computeFigures(const std::vector<MeasuredCall> &Calls,
                          const std::string &Folder, milliseconds Length) {
  RunFigures Run;
  std::map<std::string, std::vector<const MeasuredCall *>> Tiers;
  std::map<std::string, std::vector<const MeasuredCall *>> Customers;
  for (const MeasuredCall &Call : Calls) {
    Tiers[Call.Tier_].push_back(&Call);
    Customers[Call.Customer_].push_back(&Call);
    if (!isGood(Call))
      ++Run.ByCode_[Call.Record_.Code_];
  }
  for (const auto &[Name, Group] : Tiers)
    Run.Tiers_[Name] = groupFigures(Group, Length);
  for (const auto &[Name, Group] : Customers)
    Run.Customers_[Name] = groupFigures(Group, Length);
  addPrefill(Run, Calls, Folder);
  return Run;
}

} // namespace samphireshunt::bench
