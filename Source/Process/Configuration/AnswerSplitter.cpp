#include "Process/Configuration/AnswerSplitter.h"

#include "Common/JsonReader.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace samphireshunt {

namespace {

constexpr std::size_t ListDepth = 2;
constexpr std::size_t MembersDepth = ListDepth + 1;
/// Values up to this size always have room: keys, revisions and the entries of
/// servers.
constexpr std::size_t ShortValueBytes = 4096;
/// What an item may have beside one value of the largest size.
constexpr std::size_t ItemOverheadBytes = 8192;
constexpr char FirstPrintable = 0x20;

bool isSpace(char Sign) {
  return Sign == ' ' || Sign == '\t' || Sign == '\n' || Sign == '\r';
}

bool isPlainInString(char Sign) {
  bool Control = static_cast<unsigned char>(Sign) <
                 static_cast<unsigned char>(FirstPrintable);
  return Sign != '"' && Sign != '\\' && !Control;
}

/// \returns the first bytes of \p Bytes that belong to a string and need no
/// look at each of them.
std::string_view plainRun(std::string_view Bytes) {
  auto End = std::ranges::find_if_not(Bytes, isPlainInString);
  return {Bytes.begin(), End};
}

} // namespace

Result<void> AnswerSplitter::feed(std::string_view Bytes) {
  while (!Bytes.empty() && !Fault_) {
    bool InRun = InString_ && !Escaped_ && HexLeft_ == 0;
    std::string_view Run = InRun ? plainRun(Bytes) : std::string_view();
    if (Run.empty())
      read(Bytes.front());
    else
      keep(Run);
    Bytes.remove_prefix(std::max<std::size_t>(Run.size(), 1));
  }
  if (Fault_)
    return *Fault_;
  return {};
}

void AnswerSplitter::read(char Sign) {
  if (InString_)
    return readInString(Sign);
  if (isSpace(Sign))
    return readSpace();
  bool EndsOrParts = Sign == ',' || Sign == ']';
  if (ItemOpen_ && depth() == ListDepth && EndsOrParts)
    endItem();
  if (inList() && !EndsOrParts)
    beginItem();
  bool Closes = Sign == ',' || Sign == '}';
  if (LeavingOut_ && ValueEnded_ && !Closes)
    return refuse(ResultCode::PlatformUnavailable,
                  "bytes after the value of a member");
  bool ListBegins = std::exchange(ListNext_, false) && Sign == '[';
  readSign(Sign);
  if (ListBegins && std::exchange(FoundList_, true))
    return refuse(ResultCode::PlatformUnavailable, "the items are there twice");
  InList_ = InList_ || ListBegins;
}

void AnswerSplitter::readSign(char Sign) {
  switch (Sign) {
  case '"':
    return openString();
  case '{':
  case '[':
    return open(Sign);
  case '}':
  case ']':
    return close(Sign);
  case ':':
    return readColon();
  case ',':
    if (inMembers())
      endValue();
    return keep({&Sign, 1});
  default:
    return keep({&Sign, 1});
  }
}

/// A run of spaces becomes one, so that none takes memory, and none that parts
/// two values is lost.
void AnswerSplitter::readSpace() {
  if (ItemOpen_ && depth() == ListDepth)
    endItem();
  const std::string &Target = ItemOpen_ ? Item_.Text_ : Rest_;
  if (!LeavingOut_ && !Target.ends_with(' '))
    keep(" ");
}

void AnswerSplitter::readInString(char Sign) {
  constexpr int HexDigits = 4;
  constexpr std::string_view Escapes = R"("\/bfnrtu)";
  bool Valid = true;
  if (HexLeft_ > 0) {
    Valid = std::isxdigit(static_cast<unsigned char>(Sign)) != 0;
    --HexLeft_;
  } else if (std::exchange(Escaped_, false)) {
    Valid = Escapes.find(Sign) != std::string_view::npos;
    HexLeft_ = Sign == 'u' ? HexDigits : 0;
  } else if (Sign == '"') {
    return endString();
  } else {
    Valid = Sign == '\\';
    Escaped_ = true;
  }
  if (!Valid)
    return refuse(ResultCode::PlatformUnavailable, "a string is not JSON");
  keep({&Sign, 1});
}

void AnswerSplitter::openString() {
  InString_ = true;
  keep("\"");
  if (!ItemOpen_)
    NameBegin_ = Rest_.size();
}

void AnswerSplitter::endString() {
  InString_ = false;
  if (!ItemOpen_ && depth() == 1)
    LastName_ = Rest_.compare(NameBegin_, std::string::npos, Member_) == 0
                    ? Member_
                    : std::string();
  keep("\"");
  if (ItemOpen_ && depth() == ListDepth)
    return endItem();
  ValueEnded_ = ValueEnded_ || inMembers();
}

void AnswerSplitter::open(char Sign) {
  if (depth() == MaxJsonNesting)
    return refuse(ResultCode::PlatformUnavailable, "is nested too deeply");
  Begun_ = true;
  keep({&Sign, 1});
  Closers_ += Sign == '{' ? '}' : ']';
}

void AnswerSplitter::close(char Sign) {
  if (!Closers_.ends_with(Sign))
    return refuse(ResultCode::PlatformUnavailable, "a bracket is not closed");
  if (inMembers())
    endValue();
  keep({&Sign, 1});
  Closers_.pop_back();
  if (ItemOpen_ && depth() == ListDepth)
    return endItem();
  InList_ = InList_ && depth() >= ListDepth;
  ValueEnded_ = ValueEnded_ || inMembers();
}

void AnswerSplitter::readColon() {
  keep(":");
  if (!ItemOpen_ && depth() == 1)
    ListNext_ = !LastName_.empty();
  if (!inMembers() || InValue_)
    return;
  InValue_ = true;
  ValueEnded_ = false;
  ValueBegin_ = Item_.Text_.size();
}

bool AnswerSplitter::inMembers() const {
  return ItemOpen_ && depth() == MembersDepth && Item_.Text_.starts_with('{');
}

void AnswerSplitter::beginItem() {
  keep(" 0");
  ItemOpen_ = true;
  Item_ = {};
}

void AnswerSplitter::endItem() {
  ItemOpen_ = false;
  HandedOn_ += Limits_.HoldsItems_ ? Item_.Text_.size() : 0;
  Take_(std::exchange(Item_, {}));
}

void AnswerSplitter::endValue() {
  if (!std::exchange(InValue_, false))
    return;
  std::size_t Size = Item_.Text_.size() - ValueBegin_;
  if (!LeavingOut_ && Size > ShortValueBytes)
    LongValues_ += Size;
  if (LeavingOut_)
    endLeftOut();
}

void AnswerSplitter::endLeftOut() {
  if (auto Looked = std::exchange(Skipped_, nullptr))
    LeavingOut_->Invalid_ = Looked->invalid();
  Item_.LeftOut_ = std::exchange(LeavingOut_, std::nullopt);
}

std::size_t AnswerSplitter::maxValue() const {
  std::size_t Room =
      Limits_.MaxLongValues_ - std::min(Limits_.MaxLongValues_, LongValues_);
  return std::min(Limits_.MaxValue_, std::max(Room, ShortValueBytes));
}

void AnswerSplitter::leaveOutValue() {
  std::string_view Value = std::string_view(Item_.Text_).substr(ValueBegin_);
  std::size_t First = Value.find_first_not_of(' ');
  constexpr std::string_view Begins = "\"{[";
  // Only these have an end of their own, which shows that they are whole.
  if (Begins.find(Value[First]) == std::string_view::npos)
    return refuse(ResultCode::PlatformUnavailable, "a value is no JSON");
  LeavingOut_ = LeftOut{Value.size() - First, maxValue()};
  if (Skip_ && Value[First] == '"') {
    Skipped_ = Skip_();
    Skipped_->take(Value.substr(First + 1));
  }
  Item_.Text_.resize(ValueBegin_);
  Item_.Text_ += "null";
  Item_.Text_.shrink_to_fit();
}

void AnswerSplitter::keep(std::string_view Run) {
  if (LeavingOut_ && InValue_) {
    LeavingOut_->Size_ += Run.size();
    if (Skipped_ && InString_)
      Skipped_->take(Run);
    return;
  }
  if (!ItemOpen_) {
    Rest_ += Run;
  } else {
    Item_.Text_ += Run;
    checkItem();
  }
  std::size_t Held = Rest_.size() + Item_.Text_.size() + HandedOn_;
  if (!Fault_ && Held > Limits_.MaxAnswer_)
    refuse(ResultCode::AnswerTooLarge, std::to_string(Held) + " bytes");
}

void AnswerSplitter::checkItem() {
  std::size_t Value = InValue_ ? Item_.Text_.size() - ValueBegin_ : 0;
  std::size_t MaxItem = Limits_.MaxValue_ + ItemOverheadBytes;
  bool Large = Item_.Text_.size() > MaxItem && Value > ShortValueBytes;
  if (InValue_ && (Value > maxValue() || Large))
    leaveOutValue();
  else if (Item_.Text_.size() > MaxItem)
    refuse(ResultCode::AnswerTooLarge, "an item without an end");
}

void AnswerSplitter::refuse(ResultCode Code, std::string Detail) {
  Fault_ = Failure{Code, std::move(Detail)};
}

} // namespace samphireshunt
