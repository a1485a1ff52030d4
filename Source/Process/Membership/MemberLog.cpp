#include "Process/Membership/MemberLog.h"

#include <fmt/format.h>

#include <utility>

namespace samphireshunt {

namespace {
constexpr std::chrono::milliseconds BatchTime{250};
/// Of hundreds of daemons, those that heard the process last tell most.
constexpr std::chrono::milliseconds ShortSilence{2000};
constexpr std::uint32_t VanishedLinesPerSecond = 5;
constexpr int VanishedKind = 0;
} // namespace

MemberLog::MemberLog(boost::asio::io_context &Control)
    : Timer_(Control), VanishedLines_(VanishedLinesPerSecond) {}

LogFields processEndFields(const ProcessEnd &End) {
  return {{"previous_incarnation", std::to_string(End.Incarnation_.count())},
          {"left", End.Left_ ? "yes" : "no"},
          {"silence_until", std::string(silenceEndName(End.SilenceEnd_))},
          {"silence_ms", std::to_string(End.Silence_.count())},
          {"memory_percent", std::to_string(End.LastHealth_.MemoryPercent_)},
          {"longest_stall_ms",
           std::to_string(End.LastHealth_.LongestStall_.count())}};
}

void MemberLog::vanished(const VmId &Id, const ProcessEnd &End, TimePoint Now) {
  bool IsPrecise =
      End.SilenceEnd_ == SilenceEnd::LinkDown ||
      (End.SilenceEnd_ == SilenceEnd::Noticed && End.Silence_ <= ShortSilence);
  if (!IsPrecise)
    return;
  auto Dropped = VanishedLines_.admit(VanishedKind, Now);
  if (!Dropped)
    return;
  LogFields Fields = processEndFields(End);
  Fields.emplace_back("member", Id.str());
  Fields.emplace_back("dropped", std::to_string(*Dropped));
  logEvent(LogCategory::Membership, spdlog::level::info, "member-vanished",
           Fields);
}

void MemberLog::changed(const Member &Changed) {
  add(memberStatusName(Changed.Status_), Changed);
}

void MemberLog::restarted(const Member &Restarted) {
  add("restarted-unannounced", Restarted);
}

void MemberLog::add(std::string_view Status, const Member &Changed) {
  Changes_[std::string(Status)].push_back(Changed.Id_.str());
  if (std::exchange(Scheduled_, true))
    return;
  Timer_.expires_after(BatchTime);
  Timer_.async_wait([this](const boost::system::error_code &Error) {
    Scheduled_ = false;
    if (!Error)
      write();
  });
}

void MemberLog::write() {
  for (const auto &[Status, Names] : std::exchange(Changes_, {}))
    logEvent(LogCategory::Membership, spdlog::level::info, "members",
             {{"status", Status},
              {"count", std::to_string(Names.size())},
              {"members", fmt::format("{}", fmt::join(Names, ","))}});
}

} // namespace samphireshunt
