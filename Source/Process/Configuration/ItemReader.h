#pragma once
/// \file
/// Reads answers of the platform's service item by item, as they come, so that
/// one that another writer left unreadable, or made too large to be held, does
/// not hide the others.

#include "Common/JsonReader.h"
#include "Connection/Http.h"
#include "Process/Configuration/AnswerSplitter.h"
#include "Process/Configuration/Platform.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace samphireshunt {

/// The body of an answer, or one item of it.
struct StoreAnswer {
  nlohmann::json Root_;
  StoreEra Era_;
  /// The body had bytes that are not UTF-8, which are replaced in Root_.
  bool Replaced_ = false;
};

/// Parses the body of an answer. \returns PlatformUnavailable if it is not
/// JSON.
Result<StoreAnswer> readStoreAnswer(std::string_view Text, StoreEra Era);

/// How the answers of a service are read.
struct ListFormat {
  /// The member of the body that holds the items.
  std::string Items_;
  /// The members of an item.
  std::string Key_;
  std::string Revision_;
  /// Reads one item.
  std::function<Result<KeyValue>(const StoreAnswer &Item)> Read_;
  std::size_t MaxValueBytes_ = StoreLimits().MaxValueBytes_;
  /// \returns the bytes of a value whose text in the answer has \p Bytes.
  std::function<std::size_t(std::size_t Bytes)> ValueBytes_ =
      [](std::size_t Bytes) { return Bytes; };
  /// A value that is too large is looked at as it comes, if this is set. What
  /// is found counts if it is the value of CheckedKey_.
  AnswerSplitter::BeginSkipped CheckSkipped_{};
  std::string CheckedKey_{};
};

/// Reads one list of items from the bytes of its body. An item that can't be
/// read, that has bytes which are not UTF-8 or whose value is too large becomes
/// a refused one.
class ListReader {
public:
  ListReader(ListFormat Format, AnswerSplitter::Limits Bounds, StoreEra Era);
  ListReader(const ListReader &) = delete;
  ListReader &operator=(const ListReader &) = delete;

  /// Reads the next bytes. \returns AnswerTooLarge, or PlatformUnavailable if
  /// they are shown not to be JSON.
  Result<void> feed(std::string_view Bytes);
  /// \returns whether the body has been read to its end.
  bool whole() const { return Splitter_.whole(); }
  /// \returns how many bytes of long values have been read.
  std::size_t longValues() const { return Splitter_.longValues(); }
  /// Moves the items to \p List. \returns the body without its items, or
  /// PlatformUnavailable if it is cut, not JSON, or without a list where one
  /// should be.
  Result<StoreAnswer> finish(KeyValueList &List);

private:
  void take(AnswerSplitter::Item Item);
  /// \returns the size in bytes of a value that is too large, and its bound.
  std::optional<AnswerSplitter::LeftOut>
  tooLarge(const Result<KeyValue> &Entry,
           const std::optional<AnswerSplitter::LeftOut> &LeftOut) const;
  Result<KeyValue> read(const StoreAnswer &Item) const;

  ListFormat Format_;
  StoreEra Era_;
  AnswerSplitter Splitter_;
  KeyValueList List_;
  std::optional<Failure> Fault_;
};

/// A body that is read while it comes, if its head is that of a list.
class IncomingList {
public:
  /// \returns the era that a head states.
  using EraOf = std::function<Result<StoreEra>(const HttpFields &Fields)>;

  IncomingList(ListFormat Format, AnswerSplitter::Limits Bounds, EraOf ReadEra)
      : Format_(std::move(Format)), Bounds_(Bounds),
        ReadEra_(std::move(ReadEra)) {}

  /// \returns hooks that hold \p Target, and call \p OnHead first.
  static HttpBodyHooks hooks(const std::shared_ptr<IncomingList> &Target,
                             std::function<void()> OnHead);
  /// As ListReader::finish(). \returns BadStoreEra if the head's era can't be
  /// parsed.
  Result<StoreAnswer> finish(KeyValueList &List);
  std::size_t longValues() const { return Reader_ ? Reader_->longValues() : 0; }

private:
  void begin(const HttpResponse &Head);

  ListFormat Format_;
  AnswerSplitter::Limits Bounds_;
  EraOf ReadEra_;
  /// Unset if the body is not a list's.
  std::unique_ptr<ListReader> Reader_;
  std::optional<Failure> BadEra_;
};

} // namespace samphireshunt
