#pragma once
/// \file
/// Cuts a stream of server-sent events at the ends of whole events, and leaves
/// their bytes as they are. A stream that breaks off within an event can then
/// go on elsewhere from the last whole one.

#include <optional>
#include <string>
#include <string_view>

namespace samphireshunt {

class EventSplitter {
public:
  /// Takes bytes in. \returns those that end a whole event, with what was held
  /// before them.
  std::string feed(std::string_view Bytes);
  /// What is held: the beginning of an event.
  const std::string &rest() const { return Rest_; }
  void dropRest() { Rest_.clear(); }
  /// The id of the last whole event that had one.
  const std::optional<std::string> &lastId() const { return LastId_; }
  /// Whole events so far.
  std::size_t count() const { return Count_; }

private:
  void noteEvent(std::string_view Event);

  std::string Rest_;
  std::optional<std::string> LastId_;
  std::size_t Count_ = 0;
};

} // namespace samphireshunt
