#pragma once
/// \file
/// Splits a stream of server-sent events at event boundaries and leaves the
/// bytes unchanged. A stream that breaks off within an event can then be
/// resumed elsewhere after the last complete event.

#include "Common/ResultCode.h"

#include <optional>
#include <string>
#include <string_view>

namespace samphireshunt {

class EventSplitter {
public:
  /// The most bytes of an incomplete event that are held back.
  static constexpr std::size_t MaxEventBytes = 1024 * 1024;

  /// Appends \p Bytes to the buffer. \returns the buffered bytes up to the end
  /// of the last complete event, which are removed from the buffer;
  /// EventTooLarge if the rest is larger than MaxEventBytes.
  Result<std::string> feed(std::string_view Bytes);
  /// Ends the stream. \returns the buffered bytes if they are only comments;
  /// nothing if the stream ended within an event.
  std::optional<std::string> finish();
  /// The buffered bytes: the beginning of an incomplete event, or comments.
  const std::string &partialEvent() const { return Held_; }
  /// Drops the buffered bytes; another stream continues the events.
  void dropPartialEvent();
  /// The id of the last complete event that had one.
  const std::optional<std::string> &lastId() const { return LastId_; }
  /// The number of complete events so far.
  std::size_t count() const { return Count_; }

private:
  /// \returns the current line, without its end.
  std::string_view line() const {
    return std::string_view(Held_).substr(LineStart_);
  }
  /// Processes a whole line. \returns true if it is empty, which ends an event.
  bool endLine(std::string_view Line);

  /// All bytes since the last event.
  std::string Held_;
  /// Where the current line starts in Held_.
  std::size_t LineStart_ = 0;
  /// The id in the current event.
  std::optional<std::string> NextId_;
  /// The current event has a field.
  bool HasField_ = false;
  /// No line has ended since the last event.
  bool AtBoundary_ = true;
  /// The last byte was a CR, so a LF that follows belongs to the same line end.
  bool AfterCr_ = false;
  bool FirstLine_ = true;
  std::optional<std::string> LastId_;
  std::size_t Count_ = 0;
};

} // namespace samphireshunt
