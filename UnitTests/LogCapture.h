#pragma once
/// \file
/// Collects the lines that are logged as long as it lives.

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <sstream>
#include <string>

namespace samphireshunt::tests {

class LogCapture {
public:
  LogCapture() : Before_(spdlog::default_logger()) {
    spdlog::set_default_logger(std::make_shared<spdlog::logger>(
        "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(Lines_)));
  }
  ~LogCapture() { spdlog::set_default_logger(Before_); }
  LogCapture(const LogCapture &) = delete;
  LogCapture &operator=(const LogCapture &) = delete;

  std::string text() const { return Lines_.str(); }
  /// How many lines contain \p Text.
  std::size_t count(const std::string &Text) const {
    std::istringstream Lines(Lines_.str());
    std::size_t Found = 0;
    for (std::string Line; std::getline(Lines, Line);)
      Found += Line.find(Text) != std::string::npos;
    return Found;
  }

private:
  std::ostringstream Lines_;
  std::shared_ptr<spdlog::logger> Before_;
};

} // namespace samphireshunt::tests
