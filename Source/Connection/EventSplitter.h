#pragma once
/// \file
/// Splits a stream of server-sent events at event boundaries and leaves the
/// bytes unchanged. A stream that breaks off within an event can then be
/// resumed elsewhere after the last complete event.

#include <optional>
#include <string>
#include <string_view>

namespace samphireshunt {

class EventSplitter {
public:
  /// Appends \p Bytes to the buffer. \returns the buffered bytes up to the end
  /// of the last complete event; they are removed from the buffer.
  std::string feed(std::string_view Bytes);
  /// The buffered bytes: the beginning of an incomplete event.
  const std::string &partialEvent() const { return Partial_; }
  void dropPartialEvent() { Partial_.clear(); }
  /// The id of the last complete event that had one.
  const std::optional<std::string> &lastId() const { return LastId_; }
  /// The number of complete events so far.
  std::size_t count() const { return Count_; }

private:
  void noteEvent(std::string_view Event);

  std::string Partial_;
  std::optional<std::string> LastId_;
  std::size_t Count_ = 0;
};

} // namespace samphireshunt
