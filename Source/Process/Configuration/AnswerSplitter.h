#pragma once
/// \file
/// Splits the JSON text of a list of the platform's service into its items as
/// it comes, and leaves out member values that are too large to be held. Only
/// the structure is read here; Common/JsonReader.h parses the parts. No input
/// or output.
///
/// Load pattern: one value of many megabytes beside hundreds of small items
/// that must be read all the same, at a VM with little memory.

#include "Common/ResultCode.h"

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace samphireshunt {

/// Looks at a string that is too large to be held, as it comes.
class SkippedValue {
public:
  virtual ~SkippedValue() = default;
  /// \p Text is a part of the string as it is written, escapes included.
  virtual void take(std::string_view Text) = 0;
  /// Called at the end. \returns why the value is invalid, whatever its size.
  virtual std::optional<Failure> invalid() = 0;
};

class AnswerSplitter {
public:
  /// The bytes of a string's text that are not of the string.
  static constexpr std::size_t Quotes = 2;
  /// In bytes of the answer's text.
  struct Limits {
    /// The longest value of an item's member.
    std::size_t MaxValue_;
    /// All that is handed on and kept of one answer.
    std::size_t MaxAnswer_;
    /// All that is handed on of long values, so that the short ones have room.
    std::size_t MaxLongValues_ = std::numeric_limits<std::size_t>::max();
    /// Whether what is handed on counts as held.
    bool HoldsItems_ = true;
  };
  /// A value that was left out, in bytes of the answer's text.
  struct LeftOut {
    std::size_t Size_ = 0;
    std::size_t Bound_ = 0;
    /// Why it is invalid, if it has been looked at.
    std::optional<Failure> Invalid_{};
  };
  struct Item {
    /// One JSON value. A member value that was left out is null.
    std::string Text_;
    std::optional<LeftOut> LeftOut_{};
  };
  /// Called for each item, in order.
  using TakeItem = std::function<void(Item)>;

  using BeginSkipped = std::function<std::unique_ptr<SkippedValue>()>;

  /// \p Member is the name of the root's member that holds the list. Values
  /// that are left out are passed to what \p Skip returns, if it is set.
  AnswerSplitter(std::string Member, Limits Bounds, TakeItem Take,
                 BeginSkipped Skip = nullptr)
      : Member_(std::move(Member)), Limits_(Bounds), Take_(std::move(Take)),
        Skip_(std::move(Skip)) {}

  /// Reads the next bytes. \returns AnswerTooLarge if more would be held than
  /// allowed, PlatformUnavailable if the text is shown not to be JSON.
  Result<void> feed(std::string_view Bytes);
  /// \returns whether the root has been read to its end.
  bool whole() const { return Begun_ && Closers_.empty() && !InString_; }
  /// \returns the text with a number in place of each item. It is JSON only if
  /// the text is.
  const std::string &rest() const { return Rest_; }
  /// \returns whether the list was found.
  bool foundList() const { return FoundList_; }
  /// \returns how many bytes of long values were handed on.
  std::size_t longValues() const { return LongValues_; }

private:
  void read(char Sign);
  void readSpace();
  void readInString(char Sign);
  void readSign(char Sign);
  void open(char Sign);
  void close(char Sign);
  void openString();
  void endString();
  void readColon();
  void beginItem();
  void endItem();
  /// Ends the value of an item's member.
  void endValue();
  void leaveOutValue();
  void endLeftOut();
  void keep(std::string_view Run);
  void checkItem();
  void refuse(ResultCode Code, std::string Detail);
  std::size_t depth() const { return Closers_.size(); }
  bool inList() const { return InList_ && !ItemOpen_; }
  bool inMembers() const;
  std::size_t maxValue() const;

  std::string Member_;
  Limits Limits_;
  TakeItem Take_;
  BeginSkipped Skip_;
  std::string Rest_;
  /// What closes the arrays and objects that are open, the innermost last.
  std::string Closers_;
  bool Begun_ = false;
  bool InString_ = false;
  bool Escaped_ = false;
  int HexLeft_ = 0;
  /// The last string at the first level, a member's name if a colon follows.
  std::size_t NameBegin_ = 0;
  std::string LastName_;
  bool ListNext_ = false;
  bool FoundList_ = false;
  bool InList_ = false;
  bool ItemOpen_ = false;
  Item Item_;
  bool InValue_ = false;
  std::size_t ValueBegin_ = 0;
  bool ValueEnded_ = false;
  /// The value that is being left out.
  std::optional<LeftOut> LeavingOut_;
  /// Looks at it; unset if nothing does.
  std::unique_ptr<SkippedValue> Skipped_;
  std::size_t HandedOn_ = 0;
  std::size_t LongValues_ = 0;
  std::optional<Failure> Fault_;
};

} // namespace samphireshunt
