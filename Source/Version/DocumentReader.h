#pragma once
/// \file
/// Reads and checks a document: YAML, then the JSON Schema, then the checks
/// across fields. All findings are given at once.

#include "Common/ResultCode.h"
#include "Version/Document.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace samphireshunt {

/// One thing that is wrong with a document.
struct Finding {
  ResultCode Code_ = ResultCode::DocumentSchema;
  int Line_ = 0;      ///< Counted from 1; 0 when the text has no such line.
  std::string Place_; ///< A JSON pointer, e.g. "/pools/0/servers/2/address".
  std::string Message_;
};

/// A document that passed all checks, and its canonical JSON.
struct CheckedDocument {
  std::shared_ptr<const Document> Document_;
  std::string CanonicalJson_;
};

using DocumentOrFindings = std::variant<CheckedDocument, std::vector<Finding>>;

/// Reads what a person wrote.
DocumentOrFindings readYamlDocument(const std::string &Text);
/// Reads canonical JSON, which is valid YAML too but parses faster.
DocumentOrFindings readJsonDocument(const std::string &Text);
/// The JSON Schema that documents are checked against.
const char *documentSchema();

} // namespace samphireshunt
