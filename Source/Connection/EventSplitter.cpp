#include "Connection/EventSplitter.h"

#include <utility>

namespace samphireshunt {

namespace {

constexpr std::string_view IdField = "id:";
/// The mark that may precede the first line of a stream.
constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

} // namespace

Result<std::string> EventSplitter::feed(std::string_view Bytes) {
  std::string Events;
  while (!Bytes.empty()) {
    bool EndsCrLf = std::exchange(AfterCr_, false) && Bytes.front() == '\n';
    std::size_t End = Bytes.find_first_of("\r\n");
    bool LineEnds = End != std::string_view::npos;
    Held_ += Bytes.substr(0, End);
    bool EventEnds = EndsCrLf && AtBoundary_;
    if (LineEnds && !EndsCrLf) {
      EventEnds = endLine(line());
      AfterCr_ = Bytes[End] == '\r';
    }
    if (LineEnds) {
      Held_ += Bytes[End];
      LineStart_ = Held_.size();
    }
    if (EventEnds) {
      Events += std::exchange(Held_, {});
      LineStart_ = 0;
    }
    Bytes.remove_prefix(LineEnds ? End + 1 : Bytes.size());
  }
  if (Held_.size() > MaxEventBytes)
    return Failure{ResultCode::EventTooLarge,
                   std::to_string(Held_.size()) + " bytes"};
  return Events;
}

std::optional<std::string> EventSplitter::finish() {
  bool OnlyMark = FirstLine_ && line() == ByteOrderMark;
  if (HasField_ || (!line().empty() && !OnlyMark))
    return std::nullopt;
  LineStart_ = 0;
  return std::exchange(Held_, {});
}

void EventSplitter::dropPartialEvent() {
  Held_.clear();
  LineStart_ = 0;
  NextId_.reset();
  HasField_ = false;
  AtBoundary_ = true;
  AfterCr_ = false;
  FirstLine_ = true;
}

bool EventSplitter::endLine(std::string_view Line) {
  if (std::exchange(FirstLine_, false) && Line.starts_with(ByteOrderMark))
    Line.remove_prefix(ByteOrderMark.size());
  AtBoundary_ = Line.empty();
  if (AtBoundary_) {
    Count_ += HasField_ ? 1 : 0;
    if (NextId_)
      LastId_ = std::exchange(NextId_, std::nullopt);
    HasField_ = false;
    return true;
  }
  HasField_ |= !Line.starts_with(':');
  if (Line.starts_with(IdField)) {
    Line.remove_prefix(IdField.size());
    if (Line.starts_with(' '))
      Line.remove_prefix(1);
    NextId_ = std::string(Line);
  }
  return false;
}

} // namespace samphireshunt
