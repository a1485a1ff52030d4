#pragma once
/// \file
/// Captures the lines that are logged during its lifetime.

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <sstream>
#include <string>

namespace samphireshunt::tests {

/// Replaces the default logger, and restores it when destroyed.
class LogCapture {
public:
  LogCapture() : Previous_(spdlog::default_logger()) {
    spdlog::set_default_logger(std::make_shared<spdlog::logger>(
        "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(Lines_)));
  }
  ~LogCapture() { spdlog::set_default_logger(Previous_); }
  LogCapture(const LogCapture &) = delete;
  LogCapture &operator=(const LogCapture &) = delete;

  std::string text() const { return Lines_.str(); }
  /// \returns the number of lines that contain \p Text.
  std::size_t count(const std::string &Text) const {
    std::istringstream Lines(Lines_.str());
    std::size_t Found = 0;
    for (std::string Line; std::getline(Lines, Line);)
      Found += Line.find(Text) != std::string::npos;
    return Found;
  }

private:
  std::ostringstream Lines_;
  std::shared_ptr<spdlog::logger> Previous_;
};

} // namespace samphireshunt::tests
