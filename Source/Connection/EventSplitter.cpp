#include "Connection/EventSplitter.h"

#include <algorithm>
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
    std::size_t Count = LineEnds ? End + 1 : Bytes.size();
    Held_ += Bytes.substr(0, Count);
    if (!EndsCrLf) {
      Line_ += Bytes.substr(0, std::min(End, Count));
      AfterCr_ = LineEnds && Bytes[End] == '\r';
    }
    bool EventEnds = EndsCrLf ? AtBoundary_ : LineEnds && endLine();
    if (EventEnds)
      Events += std::exchange(Held_, {});
    Bytes.remove_prefix(Count);
  }
  if (Held_.size() > MaxEventBytes)
    return Failure{ResultCode::EventTooLarge,
                   std::to_string(Held_.size()) + " bytes"};
  return Events;
}

std::optional<std::string> EventSplitter::finish() {
  bool OnlyMark = FirstLine_ && Line_ == ByteOrderMark;
  if (HasField_ || (!Line_.empty() && !OnlyMark))
    return std::nullopt;
  return std::exchange(Held_, {});
}

void EventSplitter::dropPartialEvent() {
  Held_.clear();
  Line_.clear();
  NextId_.reset();
  HasField_ = false;
  AtBoundary_ = true;
  AfterCr_ = false;
  FirstLine_ = true;
}

bool EventSplitter::endLine() {
  std::string Ended = std::exchange(Line_, {});
  std::string_view Line = Ended;
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
