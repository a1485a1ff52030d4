#pragma once
/// \file
/// A document with its version, as it is stored under one key of the platform's
/// key-value service and sent between daemons.

#include "Common/BoundedNumber.h"
#include "Common/Ids.h"
#include "Common/ResultCode.h"

#include <string>
#include <vector>

namespace samphireshunt {

/// Number of ids of past changes that a value contains. A writer whose answer
/// was lost finds its id there, unless more changes than this followed.
inline constexpr std::size_t MaxChangeIds = 64;

inline constexpr DocumentVersion FirstDocumentVersion{1};
/// A version above is refused: daemons that took it could follow no other.
inline constexpr DocumentVersion MaxDocumentVersion{MaxExactInteger};

/// Reads a version from \p First to MaxDocumentVersion. \returns DocumentSchema
/// with the name of the field for anything else.
Result<DocumentVersion> readVersion(const nlohmann::json &Holder,
                                    const char *Field, DocumentVersion First);

struct VersionedDocument {
  DocumentVersion Version_;
  /// Ids of the last changes, newest last.
  std::vector<std::string> ChangeIds_;
  std::string CanonicalJson_;

  /// \returns the value for the key-value service.
  std::string encode() const;
  /// Parses the result of encode(). Fails with DocumentSyntax if \p Text is
  /// malformed, with DocumentSchema if it is nested too deeply or its version
  /// is out of range.
  static Result<VersionedDocument> decode(const std::string &Text);
  /// \returns the version after this one and after \p InForce, created by the
  /// change \p ChangeId. Fails with DocumentSchema if there is none.
  Result<VersionedDocument> next(DocumentVersion InForce, std::string ChangeId,
                                 std::string CanonicalJson) const;
};

/// \returns the key of a service's current document.
std::string documentKey(const ServiceName &Service);
/// \returns the key of one past version.
std::string historyKey(const ServiceName &Service, DocumentVersion Version);
inline constexpr const char *DocumentKeyPrefix = "config/";

} // namespace samphireshunt
