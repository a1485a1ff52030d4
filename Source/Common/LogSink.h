#pragma once
/// \file
/// A log sink that never blocks the caller.

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace samphireshunt {

/// Writes to a file descriptor without blocking. Lines that the reader has not
/// read yet are buffered up to a limit; further lines are dropped, and their
/// number is logged once the reader reads again. With blocking writes, a reader
/// of standard output that stalls would stall every request that logs.
class NonBlockingSink : public spdlog::sinks::base_sink<std::mutex> {
public:
  /// Limit of the buffer for a slow reader.
  static constexpr std::size_t MaxBacklogBytes = 256 * 1024;

  /// Sets \p Descriptor to non-blocking mode. The descriptor stays owned by the
  /// caller.
  explicit NonBlockingSink(int Descriptor);
  std::uint64_t dropped() const { return Dropped_; }

protected:
  void sink_it_(const spdlog::details::log_msg &Message) override;
  void flush_() override { writeBacklog(); }

private:
  void writeBacklog();

  int Descriptor_;
  std::string Backlog_;
  std::uint64_t Dropped_ = 0;
  std::uint64_t UnreportedDrops_ = 0;
};

} // namespace samphireshunt
