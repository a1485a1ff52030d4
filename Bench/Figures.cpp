#include "Bench/Figures.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>

namespace samphireshunt::bench {

using tests::Json;

namespace {

double percentile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  std::ranges::sort(Values);
  auto Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(Part * Last)];
}

bool isGood(const MeasuredCall &Call) {
  return Call.Record_.Outcome_ == "answered" && Call.Record_.Correct_ &&
         Call.Record_.Total_ <= Call.Deadline_;
}

TierFigures groupFigures(const std::vector<const MeasuredCall *> &Group,
                         milliseconds Length) {
  TierFigures Built;
  std::vector<double> FirstTokens;
  std::vector<double> Gaps;
  for (const MeasuredCall *Call : Group) {
    ++Built.Asked_;
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

/// Prompt work by what became of it. A request's own tokens are needed when it
/// was answered well; a file's tokens are needed once in the run.
void addPrefill(RunFigures &Run, const std::vector<MeasuredCall> &Calls,
                const std::string &Folder) {
  std::map<std::string, const MeasuredCall *> ByNonce;
  for (const MeasuredCall &Call : Calls)
    ByNonce[Call.Record_.Nonce_] = &Call;
  std::map<int, double> FileWork;
  for (const auto &File : std::filesystem::directory_iterator(Folder)) {
    if (File.path().extension() != ".ledger")
      continue;
    std::ifstream Lines(File.path());
    std::string Text;
    while (std::getline(Lines, Text)) {
      Json Line = Json::parse(Text, nullptr, false);
      auto Known = ByNonce.find(Line.value("nonce", ""));
      if (!Line.contains("prefill") || Known == ByNonce.end())
        continue;
      const MeasuredCall &Call = *Known->second;
      double Worked = Line["prefill"].get<double>();
      Run.PrefillTokens_ += Worked;
      double Own = std::min<double>(Worked, Call.OwnTokens_);
      if (!isGood(Call)) {
        Run.WastedTokens_ += Worked;
        continue;
      }
      if (Call.File_ >= 0)
        FileWork[Call.File_] += Worked - Own;
    }
  }
  for (const auto &[File, Worked] : FileWork) {
    auto Reader = std::ranges::find(Calls, File, &MeasuredCall::File_);
    Run.WastedTokens_ += std::max(0.0, Worked - Reader->FileTokens_);
  }
}

} // namespace

RunFigures figures(const std::vector<MeasuredCall> &Calls,
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
