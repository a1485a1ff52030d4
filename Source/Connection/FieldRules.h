#pragma once
/// \file
/// The one reading of header fields (RFC 9110, sections 5.3 and 7.6.1): which
/// hold one value, which are meant for the receiver at the other end, and which
/// never leave a connection. What a daemon decides by and what a backend server
/// gets never differ. No input or output.

#include "Connection/HttpFields.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphireshunt {

/// The fields of a dialect, with names in lower case.
struct DialectFields {
  /// All fields whose names begin so are of the dialect; empty: none.
  std::string Prefix_;
  /// Further fields, which name, route, limit or charge a request.
  std::vector<std::string> Names_;
  /// Fields of an answer that tell whose answer it is.
  std::vector<std::string> AnswerNames_;
};

/// Reads fields by the standard's rules and those of a dialect.
class FieldRules {
public:
  FieldRules() = default;
  explicit FieldRules(DialectFields Dialect) : Dialect_(std::move(Dialect)) {}

  /// \returns why a request with \p Fields is malformed: a field that holds one
  /// value is there twice, Connection lists a field that is meant for the
  /// backend server, or a name has an underscore where a field of these rules
  /// has a hyphen, which some servers read as the same name.
  std::optional<std::string> requestFault(const HttpFields &Fields) const;
  /// \returns why an answer with \p Fields is malformed: a field that describes
  /// its body, or tells whose answer it is, is there twice.
  std::optional<std::string> answerFault(const HttpFields &Fields) const;
  /// Removes the fields that are meant for one connection only, also those that
  /// the field Connection lists. One that is meant for the receiver at the
  /// other end stays although it is listed.
  void removeHopFields(HttpFields &Fields) const;

private:
  /// \returns whether a request may hold \p Name only once.
  bool isSingle(std::string_view Name) const;
  /// \returns whether \p Name is meant for the receiver at the other end.
  bool isEndToEnd(std::string_view Name) const;

  DialectFields Dialect_;
};

} // namespace samphireshunt
