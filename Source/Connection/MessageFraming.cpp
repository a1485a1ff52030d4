#include "Connection/MessageFraming.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace samphireshunt {

namespace {

constexpr std::string_view LengthField = "content-length";
constexpr std::string_view CodingField = "transfer-encoding";
constexpr std::string_view HostField = "host";
constexpr std::string_view VersionStart = "HTTP/1.";
/// A version has one more digit.
constexpr std::size_t VersionBytes = VersionStart.size() + 1;
/// The beginning of a status line, "HTTP/1.1 200".
constexpr std::size_t StatusBytes = VersionBytes + 4;
/// The longest value of a field that frames, and longer than any name of
/// LateNames.
constexpr std::size_t MaxKeptBytes = 64;
constexpr int MaxSizeDigits = 16;
constexpr int HexBase = 16;
constexpr int HexBits = 4;
/// The bits of a size. It is still 0 when all digits come at once, and a shift
/// by all of its bits would be undefined.
constexpr int SizeBits = MaxSizeDigits * HexBits;
constexpr unsigned char FirstPrintable = 0x20;
constexpr unsigned char Delete = 0x7F;

/// Fields that delimit a message, select its target or say who sends it. They
/// belong into the head (RFC 9110, section 6.5.1).
constexpr std::array<std::string_view, 18> LateNames = {
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "last-event-id",
    "max-forwards",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-forwarded-host",
    "x-http-method-override",
};

char lower(char Byte) {
  return Byte >= 'A' && Byte <= 'Z' ? static_cast<char>(Byte - 'A' + 'a')
                                    : Byte;
}

bool isDigit(char Byte) { return Byte >= '0' && Byte <= '9'; }

bool isSpace(char Byte) { return Byte == ' ' || Byte == '\t'; }

/// A set of bytes.
using ByteSet = std::array<bool, std::numeric_limits<unsigned char>::max() + 1>;

/// The bytes that may be part of a name (RFC 9110, section 5.6.2).
constexpr ByteSet TokenBytes = [] {
  ByteSet Set{};
  for (unsigned char Byte :
       std::string_view("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
                        "ABCDEFGHIJKLMNOPQRSTUVWXYZ"))
    Set[Byte] = true;
  return Set;
}();

/// The bytes that may be part of a line.
constexpr ByteSet TextBytes = [] {
  ByteSet Set{};
  for (std::size_t Byte = FirstPrintable; Byte < Set.size(); ++Byte)
    Set[Byte] = Byte != Delete;
  Set['\t'] = true;
  return Set;
}();

bool isAmong(const ByteSet &Set, char Byte) {
  return Set[static_cast<unsigned char>(Byte)];
}

/// \returns the first bytes of \p Bytes that are all in \p Set.
std::string_view firstOf(std::string_view Bytes, const ByteSet &Set) {
  auto End = std::ranges::find_if_not(
      Bytes, [&](char Byte) { return isAmong(Set, Byte); });
  return {Bytes.begin(), End};
}

/// \returns the first bytes of \p Bytes that may be part of a line.
std::string_view firstText(std::string_view Bytes) {
  std::string_view Line = Bytes.substr(0, Bytes.find('\r'));
  // Without an early end, so that the compiler can vectorize it.
  auto Controls = std::ranges::count_if(Line, [](char Byte) {
    auto Code = static_cast<unsigned char>(Byte);
    return (Code < FirstPrintable && Code != '\t') || Code == Delete;
  });
  return Controls == 0 ? Line : firstOf(Line, TextBytes);
}

std::string_view withoutSpaces(std::string_view Text) {
  while (!Text.empty() && isSpace(Text.front()))
    Text.remove_prefix(1);
  while (!Text.empty() && isSpace(Text.back()))
    Text.remove_suffix(1);
  return Text;
}

} // namespace

bool MessageFraming::feed(std::string_view Bytes) {
  while (!Bytes.empty() && Fault_.empty()) {
    if (Next_ == Part::End || Next_ == Part::BodyToClose)
      break;
    std::size_t Count = Next_ == Part::Body ? readBody(Bytes) : readRun(Bytes);
    if (Count == 0) {
      read(Bytes.front());
      Count = 1;
    }
    Bytes.remove_prefix(Count);
  }
  return Fault_.empty();
}

std::size_t MessageFraming::readBody(std::string_view Bytes) {
  std::uint64_t Count = std::min<std::uint64_t>(Size_, Bytes.size());
  Size_ -= Count;
  if (Size_ == 0)
    Next_ = Coding_ == Coding::Chunked ? Part::ChunkEnd : Part::End;
  return static_cast<std::size_t>(Count);
}

std::size_t MessageFraming::readRun(std::string_view Bytes) {
  if (AfterCr_)
    return 0;
  constexpr std::string_view LineEnd = "\r\n";
  if (Bytes.starts_with(LineEnd)) {
    endLine();
    return LineEnd.size();
  }
  std::string_view Run;
  if (Next_ == Part::StartLine) {
    Run = firstText(Bytes);
    keepOfStartLine(Run);
  } else if (Next_ == Part::FieldName) {
    Run = firstOf(Bytes, TokenBytes);
    keepOfName(Run);
  } else if (Next_ == Part::FieldValue && !KeepsValue_) {
    Run = firstText(Bytes);
  }
  return Next_ == Part::ChunkSize ? readSize(Bytes) : Run.size();
}

std::size_t MessageFraming::readSize(std::string_view Bytes) {
  std::string_view Digits = Bytes.substr(0, MaxSizeDigits);
  std::uint64_t Read = 0;
  auto Parsed = std::from_chars(Digits.data(), Digits.data() + Digits.size(),
                                Read, HexBase);
  auto Count = static_cast<int>(Parsed.ptr - Digits.data());
  SizeDigits_ += Count;
  if (SizeDigits_ > MaxSizeDigits)
    refuse("a chunk size of too many digits");
  else if (Count > 0)
    Size_ = (Size_ << (Count * HexBits % SizeBits)) | Read;
  return static_cast<std::size_t>(Count);
}

void MessageFraming::read(char Byte) {
  if (AfterCr_) {
    AfterCr_ = false;
    return Byte == '\n' ? endLine() : refuse("a CR without LF");
  }
  if (Byte == '\n')
    return refuse("an LF without CR");
  if (Byte == '\r') {
    AfterCr_ = true;
    return;
  }
  if (!isAmong(TextBytes, Byte))
    return refuse("a control character");
  switch (Next_) {
  case Part::FieldStart:
    return readFieldStart(Byte);
  case Part::FieldName:
    return readFieldName(Byte);
  case Part::FieldValue:
    return readFieldValue(Byte);
  case Part::ChunkSize:
    return readChunkSize(Byte);
  case Part::ChunkExtension:
    return readChunkExtension(Byte);
  default:
    return refuse("more bytes in a chunk than its size");
  }
}

void MessageFraming::keepOfStartLine(std::string_view Run) {
  if (Kind_ != MessageKind::Request) {
    Name_ += Run.substr(0, StatusBytes - std::min(StatusBytes, Name_.size()));
    return;
  }
  // The version is at the end of a request's line.
  Name_ += Run.substr(Run.size() - std::min(VersionBytes, Run.size()));
  Name_.erase(0, Name_.size() - std::min(VersionBytes, Name_.size()));
}

void MessageFraming::keepOfName(std::string_view Run) {
  std::size_t Known = Name_.size();
  Name_ += Run.substr(0, MaxKeptBytes - std::min(MaxKeptBytes, Known));
  std::ranges::transform(
      Name_.begin() + static_cast<std::ptrdiff_t>(Known), Name_.end(),
      Name_.begin() + static_cast<std::ptrdiff_t>(Known), lower);
}

void MessageFraming::readFieldStart(char Byte) {
  if (isSpace(Byte))
    return refuse("a folded line");
  Name_.clear();
  Value_.clear();
  Next_ = Part::FieldName;
  readFieldName(Byte);
}

void MessageFraming::readFieldName(char Byte) {
  if (isAmong(TokenBytes, Byte))
    return keepOfName({&Byte, 1});
  if (Byte != ':' || Name_.empty())
    return refuse("a field name that is none");
  Next_ = Part::FieldValue;
  KeepsValue_ = Name_ == LengthField || Name_ == CodingField;
  if (InTrailers_)
    checkLateName();
}

void MessageFraming::readFieldValue(char Byte) {
  if (!KeepsValue_)
    return;
  if (Value_.size() == MaxKeptBytes)
    return refuse("a framing field that is too long");
  Value_ += Byte;
}

void MessageFraming::readChunkSize(char Byte) {
  bool Ends = SizeDigits_ > 0 && (Byte == ';' || isSpace(Byte));
  if (!Ends)
    return refuse("a chunk size that is no number");
  Next_ = Part::ChunkExtension;
  AfterSize_ = true;
  readChunkExtension(Byte);
}

void MessageFraming::readChunkExtension(char Byte) {
  AfterSize_ = AfterSize_ && Byte != ';';
  if (AfterSize_ && !isSpace(Byte))
    return refuse("a chunk size that is no number");
  if (Quoted_) {
    bool Ends = Byte == '"' && !Escaped_;
    Escaped_ = Byte == '\\' && !Escaped_;
    Quoted_ = !Ends;
    return;
  }
  if (InExtensionName_ && isAmong(TokenBytes, Byte))
    return keepOfName({&Byte, 1});
  Quoted_ = Byte == '"';
  // Spaces may precede a name.
  if (InExtensionName_ && !(isSpace(Byte) && Name_.empty())) {
    checkLateName();
    InExtensionName_ = false;
  }
  if (Byte == ';') {
    InExtensionName_ = true;
    Name_.clear();
  }
}

void MessageFraming::endLine() {
  switch (Next_) {
  case Part::StartLine:
    return endStartLine();
  case Part::FieldStart:
    return endFields();
  case Part::FieldValue:
    return endField();
  case Part::ChunkSize:
  case Part::ChunkExtension:
    return endChunkLine();
  case Part::ChunkEnd:
    Next_ = Part::ChunkSize;
    return;
  default:
    return refuse("a line without a colon");
  }
}

void MessageFraming::endStartLine() {
  std::string_view Line = Name_;
  bool HasVersion = Line.size() >= VersionBytes &&
                    Line.starts_with(VersionStart) &&
                    isDigit(Line[VersionStart.size()]);
  if (!HasVersion)
    return refuse("no version");
  Http10_ = Line[VersionStart.size()] == '0';
  if (Kind_ != MessageKind::Request) {
    std::string_view Digits = Line.substr(VersionBytes);
    if (Line.size() < StatusBytes || Digits.front() != ' ' ||
        !std::ranges::all_of(Digits.substr(1), isDigit))
      return refuse("no status");
    std::from_chars(Digits.data() + 1, Digits.data() + Digits.size(), Status_);
  }
  Next_ = Part::FieldStart;
}

void MessageFraming::endField() {
  Next_ = Part::FieldStart;
  if (InTrailers_)
    return;
  if (Name_ == LengthField)
    return readLength();
  if (Name_ == CodingField)
    return readCoding();
  bool SecondHost = Name_ == HostField && std::exchange(HasHost_, true);
  if (SecondHost && Kind_ == MessageKind::Request)
    refuse("two hosts");
}

void MessageFraming::readLength() {
  if (std::exchange(HasLength_, true))
    return refuse("two lengths");
  std::string_view Digits = withoutSpaces(Value_);
  auto Parsed =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Size_);
  bool Plain = !Digits.empty() && std::ranges::all_of(Digits, isDigit);
  if (!Plain || Parsed.ec != std::errc())
    refuse("a length that is no number");
}

void MessageFraming::readCoding() {
  if (std::exchange(Coding_, Coding::Chunked) == Coding::Chunked)
    return refuse("two transfer codings");
  std::string Name(withoutSpaces(Value_));
  std::ranges::transform(Name, Name.begin(), lower);
  if (Name != "chunked")
    refuse("a transfer coding other than chunked");
}

void MessageFraming::endFields() {
  if (InTrailers_) {
    Next_ = Part::End;
    return;
  }
  bool Chunked = Coding_ == Coding::Chunked;
  if (Chunked && HasLength_)
    return refuse("a length beside a transfer coding");
  if (Chunked && Http10_)
    return refuse("a transfer coding in HTTP/1.0");
  constexpr int StatusOk = 200;
  constexpr int StatusNoContent = 204;
  constexpr int StatusNotModified = 304;
  bool IsRequest = Kind_ == MessageKind::Request;
  bool WithoutBody =
      Kind_ == MessageKind::AnswerToHead ||
      (!IsRequest && (Status_ < StatusOk || Status_ == StatusNoContent ||
                      Status_ == StatusNotModified));
  if (WithoutBody)
    Next_ = Part::End;
  else if (Chunked)
    Next_ = Part::ChunkSize;
  else if (HasLength_)
    Next_ = Size_ > 0 ? Part::Body : Part::End;
  else
    Next_ = IsRequest ? Part::End : Part::BodyToClose;
}

void MessageFraming::endChunkLine() {
  if (SizeDigits_ == 0)
    return refuse("a chunk without a size");
  if (Quoted_ || AfterSize_)
    return refuse("a chunk extension without its end");
  if (std::exchange(InExtensionName_, false))
    checkLateName();
  SizeDigits_ = 0;
  InTrailers_ = Size_ == 0;
  Next_ = InTrailers_ ? Part::FieldStart : Part::Body;
}

void MessageFraming::checkLateName() {
  if (std::ranges::count(LateNames, Name_) > 0)
    refuse(InTrailers_ ? "a trailer that belongs into the head"
                       : "a chunk extension that belongs into the head");
}

} // namespace samphireshunt
