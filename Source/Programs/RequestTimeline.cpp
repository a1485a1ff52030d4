#include "Programs/RequestTimeline.h"

#include "Programs/LogLines.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <set>

namespace samphireshunt {

namespace {

using Json = nlohmann::ordered_json;

/// Fields that are shown in columns of their own, or not at all.
const std::set<std::string> CommonFields = {"time", "level", "vm", "category",
                                            "event"};

struct ReadLine {
  LogLine Line_;
  double Seconds_ = 0; ///< Since the start of its day.
  std::string Fingerprint_;
  /// The daemon itself saw a server crash under a request, or complete it.
  bool OfCrash_ = false;
};

std::string valueText(const Json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

std::optional<ReadLine> parseLine(const std::string &Text,
                                  const std::string &Id) {
  auto Parsed = parseLogLine(Text);
  if (!Parsed || !Parsed->contains("event") || !Parsed->contains("time"))
    return std::nullopt;
  const Json &Line = *Parsed;
  ReadLine Read;
  Read.Line_.Time_ = Line.value("time", "");
  Read.Line_.Vm_ = Line.value("vm", "");
  Read.Line_.Event_ = Line.value("event", "");
  Read.Line_.OfRequest_ =
      Line.value("request", "") == Id || Line.value("call", "") == Id;
  Read.Seconds_ = secondsOfDay(Read.Line_.Time_);
  Read.Fingerprint_ = Line.value("fingerprint", "");
  Read.OfCrash_ = Read.Line_.Event_ == "request-crashes" &&
                  !Line.value("server", "").empty();
  for (const auto &[Name, Value] : Line.items())
    if (!CommonFields.contains(Name))
      Read.Line_.Fields_ += fmt::format(" {}={}", Name, valueText(Value));
  // Lines of other requests are not state changes.
  bool OfAnother = !Read.Line_.OfRequest_ &&
                   (Line.contains("request") || Line.contains("call"));
  return OfAnother ? std::nullopt : std::optional(std::move(Read));
}

} // namespace

std::string RequestTimeline::text() const {
  std::string Text;
  for (const LogLine &Line : Lines_)
    Text += fmt::format("{} {:1} {:20} {}{}\n", Line.Time_,
                        Line.OfRequest_ ? ">" : " ", Line.Vm_, Line.Event_,
                        Line.Fields_);
  return Text;
}

RequestTimeline readTimeline(std::istream &Logs, const std::string &Id,
                             double ContextSeconds) {
  std::vector<ReadLine> All;
  for (std::string Text; std::getline(Logs, Text);)
    if (auto Read = parseLine(Text, Id))
      All.push_back(std::move(*Read));
  auto IsOfRequest = [](const ReadLine &Read) { return Read.Line_.OfRequest_; };
  RequestTimeline Timeline;
  if (std::ranges::none_of(All, IsOfRequest))
    return Timeline;
  Timeline.Found_ = true;
  std::ranges::stable_sort(All, {}, &ReadLine::Seconds_);
  double First = std::ranges::find_if(All, IsOfRequest)->Seconds_;
  auto Last = std::find_if(All.rbegin(), All.rend(), IsOfRequest);
  std::set<std::string> Vms;
  std::set<std::string> Fingerprints;
  for (const ReadLine &Read : All)
    if (Read.Line_.OfRequest_) {
      Vms.insert(Read.Line_.Vm_);
      Fingerprints.insert(Read.Fingerprint_);
    }
  Fingerprints.erase("");
  for (ReadLine &Read : All) {
    bool WithinContext = Read.Seconds_ >= First - ContextSeconds &&
                         Read.Seconds_ <= Last->Seconds_;
    // Crashes under earlier copies, whenever and wherever they were seen.
    bool ExplainsRefusal =
        Read.OfCrash_ && Fingerprints.contains(Read.Fingerprint_);
    if (Read.Line_.OfRequest_ || ExplainsRefusal ||
        (WithinContext && Vms.contains(Read.Line_.Vm_)))
      Timeline.Lines_.push_back(std::move(Read.Line_));
  }
  return Timeline;
}

} // namespace samphireshunt
