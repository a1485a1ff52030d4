#include "Process/Scheduling/RejectionLimit.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string>

namespace samphireshunt {

namespace {

/// A request that is not rejected within this time has a place. It covers the
/// way from the keeper to the server and back.
constexpr std::chrono::milliseconds RejectionTime{100};
/// The server counts its rejections within this time.
constexpr std::chrono::milliseconds PauseTime{1000};

} // namespace

Result<RejectionCount> parseRejectionCount(std::string_view Text) {
  std::uint32_t Count = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), End, Count);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return Failure{ResultCode::BadServerNotice,
                   "'" + std::string(Text) + "' is no number of rejections"};
  return RejectionCount(Count);
}

void RejectionLimit::name(RejectionCount Survived, TimePoint Now) {
  Named_ = Survived;
  NamedAt_ = Now;
}

void RejectionLimit::clear() {
  Named_.reset();
  Recent_.clear();
}

void RejectionLimit::advance(TimePoint Now, double Share) {
  if (!Named_)
    return;
  Now_ = Now;
  auto Survived = static_cast<std::size_t>(Named_->count() * Share);
  Allowed_ = std::max<std::size_t>(1, Survived);
  std::erase_if(Recent_, [Now](TimePoint Granted) {
    return Now - Granted >= RejectionTime;
  });
}

bool RejectionLimit::allowsOne() const {
  return !Named_ || (Now_ >= PausedUntil_ && Recent_.size() < Allowed_);
}

void RejectionLimit::take() {
  if (Named_)
    Recent_.push_back(Now_);
}

void RejectionLimit::rejected(TimePoint Now) { PausedUntil_ = Now + PauseTime; }

} // namespace samphireshunt
