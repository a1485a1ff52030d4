#include "Process/Membership/MemberLog.h"

#include "Common/Log.h"

#include <fmt/format.h>

#include <utility>

namespace samphireshunt {

namespace {
constexpr std::chrono::milliseconds BatchTime{250};
} // namespace

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
