#pragma once
/// \file
/// A sink for logs that never makes the caller wait.

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace samphireshunt {

/// Writes to a file descriptor without blocking. What the reader does not take
/// is kept up to a limit; beyond it lines are dropped, and their number is
/// written once the reader takes lines again. A reader of standard output that
/// stalls would otherwise stall every request that logs.
class NonBlockingSink : public spdlog::sinks::base_sink<std::mutex> {
public:
  /// Lines that wait for a slow reader, at most.
  static constexpr std::size_t MaxBacklogBytes = 256 * 1024;

  /// Makes \p Descriptor non-blocking.
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
  std::uint64_t DroppedToTell_ = 0;
};

} // namespace samphireshunt
