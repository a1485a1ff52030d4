#include "Request/SilenceWatch.h"

#include <utility>

namespace samphireshunt {

namespace {

/// How soon a stream that may not leave yet asks again.
constexpr std::chrono::milliseconds AskInterval{100};

} // namespace

std::shared_ptr<SilenceWatch>
SilenceWatch::create(const boost::asio::any_io_executor &Executor,
                     std::chrono::milliseconds Limit, TryLeave Leave) {
  return std::shared_ptr<SilenceWatch>(
      new SilenceWatch(Executor, Limit, std::move(Leave)));
}

void SilenceWatch::beginRead() {
  ReadSince_ = std::chrono::steady_clock::now();
  Reading_ = true;
  // A timer for each event would cost more than one that finds that there were
  // events.
  if (!Armed_)
    arm(Limit_);
}

void SilenceWatch::arm(std::chrono::steady_clock::duration After) {
  Armed_ = true;
  Timer_.expires_after(After);
  Timer_.async_wait([Weak = weak_from_this()](boost::system::error_code) {
    if (auto Self = Weak.lock())
      Self->check();
  });
}

void SilenceWatch::check() {
  Armed_ = false;
  if (!Reading_ || Left_)
    return;
  auto Silent = std::chrono::steady_clock::now() - ReadSince_;
  if (Silent < Limit_)
    return arm(Limit_ - Silent);
  Left_ = Leave_();
  if (!Left_)
    arm(AskInterval);
}

} // namespace samphireshunt
