#pragma once
/// \file
/// Reads answers of the platform's service item by item, so that one that
/// another writer left unreadable does not hide the others.

#include "Common/JsonReader.h"
#include "Process/Configuration/Platform.h"

#include <functional>
#include <string>

namespace samphireshunt {

/// The body of an answer.
struct StoreAnswer {
  nlohmann::json Root_;
  StoreEra Era_;
  /// The body had bytes that are not UTF-8, which are replaced in Root_.
  bool Replaced_ = false;
};

/// Parses the body of an answer. \returns PlatformUnavailable if it is not
/// JSON.
Result<StoreAnswer> readStoreAnswer(std::string_view Text, StoreEra Era);

/// Reads one item.
using ItemReader = std::function<Result<KeyValue>(const nlohmann::json &Item)>;

/// Names of the members of an item.
struct ItemFields {
  std::string Key_;
  std::string Revision_;
};

/// Adds \p Items to \p List. An item for which \p Read fails or throws an
/// exception, or which had bytes that are not UTF-8, becomes a refused one.
/// \returns PlatformUnavailable if \p Items is not a list.
Result<void> readItems(const StoreAnswer &Answer, const nlohmann::json &Items,
                       const ItemFields &Fields, const ItemReader &Read,
                       KeyValueList &List);

} // namespace samphireshunt
