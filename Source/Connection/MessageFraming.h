#pragma once
/// \file
/// The one strict reading of what delimits an HTTP/1.1 message (RFC 9112,
/// sections 2 to 7). It sees all bytes before the parser does, which is more
/// tolerant, so that the two sides of a connection never differ on where a
/// message ends. No input or output.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace samphireshunt {

enum class MessageKind {
  Request,
  Answer,
  AnswerToHead, ///< Has no body, whatever its fields say.
};

/// Reads one message. What it refuses:
/// - a line that does not end with CRLF, control characters, folded lines, a
///   space before a colon;
/// - a length that is not a plain decimal number, or is there twice;
/// - a transfer coding other than "chunked", also in addition to it, beside a
///   length, or in HTTP/1.0;
/// - a chunk size of more than 16 digits, or without any;
/// - fields that frame, route or authorize among the chunk extensions or after
///   the last chunk;
/// - two Host fields.
class MessageFraming {
public:
  explicit MessageFraming(MessageKind Kind) : Kind_(Kind) {}

  /// Reads the next bytes. Those after the end of the message are passed over.
  /// \returns false if the message is malformed; no more bytes are read then.
  bool feed(std::string_view Bytes);
  /// \returns what is malformed, empty if nothing is.
  std::string_view fault() const { return Fault_; }
  /// \returns whether the end of the message has been read. The end of one
  /// that ends with its connection is never read.
  bool whole() const { return Next_ == Part::End && Fault_.empty(); }

private:
  /// The part of a message that the next byte belongs to.
  enum class Part {
    StartLine,
    FieldStart,
    FieldName,
    FieldValue,
    ChunkSize,
    ChunkExtension,
    ChunkEnd, ///< CRLF after the bytes of a chunk.
    Body,     ///< Bytes of a known number.
    BodyToClose,
    End,
  };
  enum class Coding { None, Chunked };

  /// Reads the part of \p Bytes that is of the body, or of its chunk.
  /// \returns how many that are.
  std::size_t readBody(std::string_view Bytes);
  /// Reads bytes outside of a body that need no look at each of them.
  /// \returns how many those are.
  std::size_t readRun(std::string_view Bytes);
  /// Reads digits of a chunk's size. \returns how many there are.
  std::size_t readSize(std::string_view Bytes);
  void keepOfStartLine(std::string_view Run);
  void keepOfName(std::string_view Run);
  /// Reads one byte outside of a body.
  void read(char Byte);
  void readFieldStart(char Byte);
  void readFieldName(char Byte);
  void readFieldValue(char Byte);
  void readChunkSize(char Byte);
  void readChunkExtension(char Byte);
  void endLine();
  void endStartLine();
  void endField();
  void endFields();
  void endChunkLine();
  void readLength();
  void readCoding();
  /// Refuses a field that must be in the head, as a trailer or an extension.
  void checkLateName();
  void refuse(std::string_view Fault) { Fault_ = Fault; }

  MessageKind Kind_;
  Part Next_ = Part::StartLine;
  std::string_view Fault_;
  /// CR has been read, and LF has to follow.
  bool AfterCr_ = false;
  /// The fields follow the last chunk.
  bool InTrailers_ = false;
  /// Within a quoted value of an extension, and after a backslash there.
  bool Quoted_ = false;
  bool Escaped_ = false;
  /// Spaces follow a chunk size, and only an extension may follow them.
  bool AfterSize_ = false;
  /// Reads the name of an extension.
  bool InExtensionName_ = false;
  bool Http10_ = false;
  bool HasHost_ = false;
  bool HasLength_ = false;
  Coding Coding_ = Coding::None;
  int Status_ = 0;
  int SizeDigits_ = 0;
  /// Of the body or chunk: what it has in all, and then what is left.
  std::uint64_t Size_ = 0;
  /// The beginning of the start line (of a request its end), or of a name.
  std::string Name_;
  /// The value of a field that frames.
  std::string Value_;
  /// The current field frames.
  bool KeepsValue_ = false;
};

} // namespace samphireshunt
