#include "Common/LogSink.h"

#include <fmt/format.h>

#include <fcntl.h>
#include <unistd.h>

namespace samphireshunt {

NonBlockingSink::NonBlockingSink(int Descriptor) : Descriptor_(Descriptor) {
  int Flags = ::fcntl(Descriptor, F_GETFL);
  if (Flags >= 0)
    ::fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
}

void NonBlockingSink::sink_it_(const spdlog::details::log_msg &Message) {
  spdlog::memory_buf_t Line;
  formatter_->format(Message, Line);
  if (Backlog_.size() + Line.size() > MaxBacklogBytes) {
    ++Dropped_;
    ++UnreportedDrops_;
    return writeBacklog();
  }
  Backlog_.append(Line.data(), Line.size());
  writeBacklog();
}

/// Writes as much of the buffer as the descriptor accepts. No write error is
/// reported, since there is nowhere to report it; unwritten lines stay in the
/// buffer, within its limit.
void NonBlockingSink::writeBacklog() {
  while (!Backlog_.empty()) {
    ssize_t Written = ::write(Descriptor_, Backlog_.data(), Backlog_.size());
    if (Written <= 0)
      return;
    Backlog_.erase(0, static_cast<std::size_t>(Written));
  }
  if (UnreportedDrops_ == 0)
    return;
  Backlog_ = fmt::format("{{\"event\":\"log-lines-dropped\",\"count\":{}}}\n",
                         UnreportedDrops_);
  UnreportedDrops_ = 0;
  writeBacklog();
}

} // namespace samphireshunt
