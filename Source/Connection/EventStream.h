#pragma once
/// \file
/// Splits server-sent events out of a stream of bytes.

#include <string>
#include <string_view>
#include <vector>

namespace samphireshunt {

struct ServerSentEvent {
  std::string Id_;
  std::string Name_;
  std::string Data_;
};

class EventStream {
public:
  /// Takes bytes in and returns the events that they complete.
  std::vector<ServerSentEvent> feed(std::string_view Bytes);
  /// True when no event is half read.
  bool atBoundary() const { return Rest_.empty(); }

private:
  std::string Rest_;
};

/// Writes one event; empty fields are left out.
std::string formatEvent(const ServerSentEvent &Event);

} // namespace samphireshunt
