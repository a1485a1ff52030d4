#include "Programs/OutcomeReport.h"

#include "Common/ResultCode.h"
#include "Programs/LogLines.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace samphireshunt {

namespace {

using Json = nlohmann::ordered_json;

/// Further kinds are counted together, so that a flood of different names can't
/// exhaust the memory.
constexpr std::size_t MaxKinds = 200;
/// With more intervals than this, each is made twice as long.
constexpr std::size_t MaxIntervals = 600;
const std::string OtherKinds = "(others)";
constexpr int BarWidth = 50;

/// The fates in the order in which a bar shows them, with their letters.
constexpr std::array<std::pair<RequestFate, char>, 8> Fates = {{
    {RequestFate::InTime, '#'},
    {RequestFate::LateFirst, 'l'},
    {RequestFate::LatePause, 'p'},
    {RequestFate::LateAttempt, 'a'},
    {RequestFate::Refused, 'r'},
    {RequestFate::Broken, 'b'},
    {RequestFate::Failed, 'f'},
    {RequestFate::CallerLeft, '.'},
}};

std::string textField(const Json &Line, const char *Name) {
  auto Found = Line.find(Name);
  return Found != Line.end() && Found->is_string() ? Found->get<std::string>()
                                                   : std::string();
}

std::uint64_t numberField(const Json &Line, const char *Name) {
  std::string Text = textField(Line, Name);
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

std::string kindOf(const Json &Line) {
  std::string Route = textField(Line, "route");
  std::string Tier = textField(Line, "tier");
  return fmt::format("tier {} {}", Tier.empty() ? "-" : Tier,
                     Route.empty() ? "(no route)" : Route);
}

RequestFate answeredFate(const Json &Line) {
  std::string Late = textField(Line, "late");
  if (Late == "first")
    return RequestFate::LateFirst;
  if (Late == "pause")
    return RequestFate::LatePause;
  if (Late == "attempt")
    return RequestFate::LateAttempt;
  return RequestFate::InTime;
}

RequestFate fateOf(const Json &Line, int Code) {
  if (Code == static_cast<int>(ResultCode::CallerLeft))
    return RequestFate::CallerLeft;
  std::string Outcome = textField(Line, "outcome");
  if (Outcome == outcomeName(Outcome::Answered))
    return Code == 0 ? answeredFate(Line) : RequestFate::Failed;
  if (Outcome == outcomeName(Outcome::NotRun))
    return RequestFate::Refused;
  if (Outcome == outcomeName(Outcome::Partial))
    return RequestFate::Broken;
  return RequestFate::Failed;
}

std::string codeText(int Code) {
  if (Code == 0)
    return "";
  return fmt::format("{} {}", Code,
                     describe(static_cast<ResultCode>(Code)).Name_);
}

double fraction(std::uint64_t Part, std::uint64_t Whole) {
  return Whole == 0 ? 0
                    : static_cast<double>(Part) / static_cast<double>(Whole);
}

/// \returns a bar whose length is the sum of \p Counts relative to \p Largest.
std::string bar(const std::map<RequestFate, std::uint64_t> &Counts,
                std::uint64_t Largest) {
  std::string Bar;
  double Before = 0;
  for (const auto &[Fate, Letter] : Fates) {
    auto Found = Counts.find(Fate);
    if (Found == Counts.end())
      continue;
    double After = Before + fraction(Found->second, Largest) * BarWidth;
    Bar.append(
        static_cast<std::size_t>(std::lround(After) - std::lround(Before)),
        Letter);
    Before = After;
  }
  return Bar;
}

std::uint64_t sum(const std::map<RequestFate, std::uint64_t> &Counts) {
  std::uint64_t Sum = 0;
  for (const auto &[Fate, Count] : Counts)
    Sum += Count;
  return Sum;
}

std::string clockText(std::uint64_t Seconds) {
  constexpr std::uint64_t PerMinute = 60;
  constexpr std::uint64_t PerHour = 3600;
  return fmt::format("{:02}:{:02}:{:02}", Seconds / PerHour,
                     Seconds / PerMinute % PerMinute, Seconds % PerMinute);
}

} // namespace

std::string_view fateName(RequestFate Fate) {
  switch (Fate) {
  case RequestFate::InTime:
    return "in-time";
  case RequestFate::LateFirst:
    return "late-first";
  case RequestFate::LatePause:
    return "late-pause";
  case RequestFate::LateAttempt:
    return "late-attempt";
  case RequestFate::Refused:
    return "refused";
  case RequestFate::Broken:
    return "broken";
  case RequestFate::Failed:
    return "failed";
  case RequestFate::CallerLeft:
    return "caller-left";
  }
  return "failed";
}

void OutcomeReport::read(std::istream &Logs) {
  for (std::string Text; std::getline(Logs, Text);)
    readLine(Text);
}

/// Most lines report other events; they are not parsed.
void OutcomeReport::readLine(std::string_view Text) {
  constexpr std::string_view LineStart = "{\"time\":";
  constexpr std::string_view EndEvent = "\"event\":\"ended\"";
  if (Text.find(LineStart) == std::string_view::npos)
    return;
  if (Text.find(EndEvent) == std::string_view::npos) {
    std::size_t Last = Text.find_last_not_of(" \t\r");
    BrokenLines_ += Text[Last] != '}';
    return;
  }
  auto Line = parseLogLine(Text);
  if (Line)
    readEnd(*Line);
  else
    ++BrokenLines_;
}

void OutcomeReport::readEnd(const Json &Line) {
  std::string Time = textField(Line, "time");
  if (Time.empty() || textField(Line, "outcome").empty()) {
    ++BrokenLines_;
    return;
  }
  std::uint64_t LeftOut = numberField(Line, "dropped");
  int Code = static_cast<int>(numberField(Line, "code"));
  RequestFate Fate = fateOf(Line, Code);
  std::string Kind = kindOf(Line);
  if (ByKind_.size() >= MaxKinds && !ByKind_.contains(Kind))
    Kind = OtherKinds;
  ByKind_[Kind][{Fate, Code}] += 1 + LeftOut;
  countInInterval(secondsOfDay(Time), Fate, 1 + LeftOut);
  Total_ += 1 + LeftOut;
  LeftOut_ += LeftOut;
}

void OutcomeReport::countInInterval(double Seconds, RequestFate Fate,
                                    std::uint64_t Requests) {
  auto IntervalStart = [this](std::uint64_t At) {
    return At - At % IntervalSeconds_;
  };
  ByInterval_[IntervalStart(static_cast<std::uint64_t>(Seconds))][Fate] +=
      Requests;
  if (ByInterval_.size() <= MaxIntervals)
    return;
  IntervalSeconds_ *= 2;
  std::map<std::uint64_t, FateCounts> Coarser;
  for (const auto &[At, Counts] : ByInterval_)
    for (const auto &[Known, Count] : Counts)
      Coarser[IntervalStart(At)][Known] += Count;
  ByInterval_ = std::move(Coarser);
}

std::uint64_t OutcomeReport::count(RequestFate Fate) const {
  std::uint64_t Sum = 0;
  for (const auto &[Kind, Causes] : ByKind_)
    for (const auto &[Known, Count] : Causes)
      Sum += Known.Fate_ == Fate ? Count : 0;
  return Sum;
}

std::string OutcomeReport::text() const {
  std::string Text = fmt::format(
      "{} requests ended; lines of {} were left out, {} lines can't be read\n",
      Total_, LeftOut_, BrokenLines_);
  constexpr double Percent = 100;
  for (const auto &[Kind, Causes] : ByKind_) {
    std::uint64_t OfKind = 0;
    for (const auto &[Known, Count] : Causes)
      OfKind += Count;
    Text += fmt::format("\n{}: {}\n", Kind, OfKind);
    for (const auto &[Known, Count] : Causes)
      Text += fmt::format("  {:>8} {:5.1f} %  {} {}\n", Count,
                          Percent * fraction(Count, OfKind),
                          fateName(Known.Fate_), codeText(Known.Code_));
  }
  Text += "\nby moment:";
  for (const auto &[Fate, Letter] : Fates)
    Text += fmt::format(" {} {}", Letter, fateName(Fate));
  Text += "\n";
  std::uint64_t Largest = 0;
  for (const auto &[At, Counts] : ByInterval_)
    Largest = std::max(Largest, sum(Counts));
  for (const auto &[At, Counts] : ByInterval_)
    Text += fmt::format("{} {:>8} {}\n", clockText(At), sum(Counts),
                        bar(Counts, Largest));
  return Text;
}

Json OutcomeReport::json() const {
  Json Report = {
      {"requests", Total_},          {"leftOut", LeftOut_},
      {"brokenLines", BrokenLines_}, {"momentSeconds", IntervalSeconds_},
      {"kinds", Json::array()},      {"moments", Json::array()}};
  for (const auto &[Kind, Causes] : ByKind_)
    for (const auto &[Known, Count] : Causes)
      Report["kinds"].push_back({{"kind", Kind},
                                 {"fate", fateName(Known.Fate_)},
                                 {"code", Known.Code_},
                                 {"requests", Count}});
  for (const auto &[At, Counts] : ByInterval_) {
    Json Moment = {{"time", clockText(At)}};
    for (const auto &[Fate, Count] : Counts)
      Moment[std::string(fateName(Fate))] = Count;
    Report["moments"].push_back(std::move(Moment));
  }
  return Report;
}

} // namespace samphireshunt
