#include "Common/Log.h"

#include "Common/LogSink.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

namespace samphireshunt {

namespace {

std::string_view categoryName(LogCategory Category) {
  switch (Category) {
  case LogCategory::Request:
    return "request";
  case LogCategory::Keeper:
    return "keeper";
  case LogCategory::Membership:
    return "membership";
  case LogCategory::Version:
    return "version";
  case LogCategory::Process:
    return "process";
  }
  return "process";
}

} // namespace

void initializeLog(std::string_view Origin, spdlog::level::level_enum Level,
                   LogOutput Output) {
  int Descriptor =
      Output == LogOutput::StandardOutput ? STDOUT_FILENO : STDERR_FILENO;
  auto Logger = std::make_shared<spdlog::logger>(
      "samphireshunt", std::make_shared<NonBlockingSink>(Descriptor));
  std::string Name = nlohmann::json(Origin).dump();
  Logger->set_pattern(
      "{\"time\":\"%Y-%m-%dT%H:%M:%S.%e%z\",\"level\":\"%l\",\"vm\":" + Name +
      ",%v}");
  Logger->set_level(Level);
  spdlog::set_default_logger(Logger);
}

void logEvent(LogCategory Category, spdlog::level::level_enum Level,
              std::string_view Event, const LogFields &Fields) {
  if (!spdlog::should_log(Level))
    return;
  nlohmann::ordered_json Line;
  Line["category"] = categoryName(Category);
  Line["event"] = Event;
  for (const auto &[Name, Value] : Fields)
    Line[std::string(Name)] = Value;
  constexpr auto Replace = nlohmann::json::error_handler_t::replace;
  std::string Text = Line.dump(-1, ' ', false, Replace);
  std::string_view Inner(Text);
  Inner.remove_prefix(1);
  Inner.remove_suffix(1);
  spdlog::log(Level, "{}", Inner);
}

std::optional<std::uint64_t>
LogSampler::admit(int Kind, std::chrono::steady_clock::time_point Now) {
  Window &Current = Windows_[Kind];
  if (Now - Current.Begin_ >= std::chrono::seconds(1)) {
    Current.Begin_ = Now;
    Current.Written_ = 0;
  }
  if (Current.Written_ >= LinesPerSecond_) {
    ++Current.Dropped_;
    return std::nullopt;
  }
  ++Current.Written_;
  return std::exchange(Current.Dropped_, 0);
}

} // namespace samphireshunt
