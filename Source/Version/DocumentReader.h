#pragma once
/// \file
/// Reads and validates a document: YAML syntax, then the JSON Schema, then
/// checks across fields. All findings of a step are reported at once; the last
/// step runs only if the earlier ones found nothing.

#include "Common/ResultCode.h"
#include "Version/Document.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace samphireshunt {

/// One error in a document.
struct Finding {
  ResultCode Code_ = ResultCode::DocumentSchema;
  int Line_ = 0;        ///< Starts at 1; 0 if there is no such line.
  std::string Pointer_; ///< A JSON pointer, e.g. "/pools/0/servers/2/address".
  std::string Message_;
};

/// A document that passed all checks, and its canonical JSON.
struct CheckedDocument {
  std::shared_ptr<const Document> Document_;
  std::string CanonicalJson_;
};

using DocumentOrFindings = std::variant<CheckedDocument, std::vector<Finding>>;

/// Reads a document in YAML, as operators write it.
DocumentOrFindings readYamlDocument(const std::string &Text);
/// Reads canonical JSON, which is also valid YAML but is parsed faster this
/// way.
DocumentOrFindings readJsonDocument(const std::string &Text);
/// \returns the JSON Schema that documents are validated against.
const char *documentSchema();

} // namespace samphireshunt
