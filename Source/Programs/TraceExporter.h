#pragma once
/// \file
/// Exports finished traces as OTLP/HTTP JSON. Traces are dropped and counted
/// rather than slowing down requests.

#include "Connection/Http.h"
#include "Request/Trace.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <mutex>
#include <vector>

namespace samphireshunt {

class TraceExporter {
public:
  struct Options {
    Endpoint Collector_;
    std::string Vm_;
    std::size_t MaxQueued_ = 2048;
    std::chrono::milliseconds Period_{500};
    std::chrono::milliseconds Timeout_{2000};
  };

  TraceExporter(boost::asio::io_context &Control, Options Settings);
  void start();
  void stop() { Stopped_ = true; }
  /// Queues a trace or drops it. Thread-safe; never blocks.
  void offer(TraceRecord Record);
  std::uint64_t dropped() const { return Dropped_; }

private:
  Awaitable<void> run();
  std::string encode(const std::vector<TraceRecord> &Batch) const;

  boost::asio::io_context &Control_;
  Options Options_;
  std::mutex Mutex_;
  std::vector<TraceRecord> Queue_;
  std::atomic<std::uint64_t> Dropped_ = 0;
  bool Stopped_ = false;
};

} // namespace samphireshunt
