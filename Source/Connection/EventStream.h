#pragma once
/// \file
/// Parses server-sent events from a stream of bytes.

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
  /// Appends \p Bytes to the stream. \returns the events that are now complete.
  std::vector<ServerSentEvent> feed(std::string_view Bytes);
  /// True when the buffer contains no incomplete event.
  bool atBoundary() const { return Partial_.empty(); }
  /// The number of bytes of the incomplete event.
  std::size_t heldBytes() const { return Partial_.size(); }

private:
  std::string Partial_;
};

/// Formats one event; an empty id or name is omitted.
std::string formatEvent(const ServerSentEvent &Event);

} // namespace samphireshunt
