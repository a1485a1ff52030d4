#include "Connection/EventStream.h"

#include <algorithm>

namespace samphireshunt {

namespace {

ServerSentEvent parseEvent(std::string_view Block) {
  ServerSentEvent Event;
  while (!Block.empty()) {
    std::string_view Line = Block.substr(0, Block.find('\n'));
    Block.remove_prefix(std::min(Block.size(), Line.size() + 1));
    std::size_t Colon = Line.find(':');
    if (Colon == std::string_view::npos || Colon == 0)
      continue;
    std::string_view Field = Line.substr(0, Colon);
    std::string_view Value = Line.substr(Colon + 1);
    if (Value.starts_with(' '))
      Value.remove_prefix(1);
    if (Field == "id")
      Event.Id_ = Value;
    else if (Field == "event")
      Event.Name_ = Value;
    else if (Field == "data")
      Event.Data_ += (Event.Data_.empty() ? "" : "\n") + std::string(Value);
  }
  return Event;
}

} // namespace

std::vector<ServerSentEvent> EventStream::feed(std::string_view Bytes) {
  for (char Byte : Bytes)
    if (Byte != '\r')
      Partial_.push_back(Byte);
  std::vector<ServerSentEvent> Events;
  std::size_t Start = 0;
  std::size_t End = 0;
  while ((End = Partial_.find("\n\n", Start)) != std::string::npos) {
    auto Event =
        parseEvent(std::string_view(Partial_).substr(Start, End - Start));
    if (!Event.Data_.empty())
      Events.push_back(std::move(Event));
    Start = End + 2;
  }
  Partial_.erase(0, Start);
  return Events;
}

std::string formatEvent(const ServerSentEvent &Event) {
  std::string Text;
  if (!Event.Id_.empty())
    Text += "id: " + Event.Id_ + "\n";
  if (!Event.Name_.empty())
    Text += "event: " + Event.Name_ + "\n";
  return Text + "data: " + Event.Data_ + "\n\n";
}

} // namespace samphireshunt
