#include "Connection/EventSplitter.h"

namespace samphireshunt {

namespace {

constexpr std::string_view IdField = "id:";

/// \returns the end of the first complete event in \p Bytes, or npos. Lines end
/// in LF, CR LF or CR; an empty line ends an event.
std::size_t eventEnd(std::string_view Bytes) {
  bool LineEmpty = true;
  for (std::size_t Index = 0; Index < Bytes.size(); ++Index) {
    char C = Bytes[Index];
    if (C != '\n' && C != '\r') {
      LineEmpty = false;
      continue;
    }
    // The LF of a CR LF may not have arrived yet; it belongs to this line.
    if (C == '\r' && Index + 1 == Bytes.size())
      return std::string_view::npos;
    if (C == '\r' && Bytes[Index + 1] == '\n')
      ++Index;
    if (LineEmpty)
      return Index + 1;
    LineEmpty = true;
  }
  return std::string_view::npos;
}

} // namespace

std::string EventSplitter::feed(std::string_view Bytes) {
  Partial_ += Bytes;
  std::string_view Remaining = Partial_;
  std::size_t CompleteBytes = 0;
  for (std::size_t End = eventEnd(Remaining); End != std::string_view::npos;
       End = eventEnd(Remaining)) {
    noteEvent(Remaining.substr(0, End));
    Remaining.remove_prefix(End);
    CompleteBytes += End;
  }
  std::string Events = Partial_.substr(0, CompleteBytes);
  Partial_.erase(0, CompleteBytes);
  return Events;
}

void EventSplitter::noteEvent(std::string_view Event) {
  ++Count_;
  while (!Event.empty()) {
    std::size_t End = std::min(Event.find_first_of("\r\n"), Event.size());
    std::string_view Line = Event.substr(0, End);
    Event.remove_prefix(std::min(End + 1, Event.size()));
    if (!Line.starts_with(IdField))
      continue;
    Line.remove_prefix(IdField.size());
    if (Line.starts_with(' '))
      Line.remove_prefix(1);
    LastId_ = std::string(Line);
  }
}

} // namespace samphireshunt
