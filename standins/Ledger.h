#pragma once
/// \file
/// An engine's ledger: a JSON line for each request that it received, ran,
/// refused, finished or cancelled. Lines are written unbuffered, so that the
/// ledger of a killed engine is complete.

#include <nlohmann/json.hpp>

#include <string>

namespace samphireshunt::standins {

class Ledger {
public:
  /// Appends to the file \p Path; with an empty path nothing is written.
  Ledger(const std::string &Path, std::string Engine);
  ~Ledger();
  Ledger(const Ledger &) = delete;
  Ledger &operator=(const Ledger &) = delete;

  /// Writes a line with the fields of \p Extra, if it is an object, and the
  /// given ones.
  void write(const std::string &Event, const std::string &Request,
             const std::string &Nonce, nlohmann::json Extra = {});

private:
  std::string Engine_;
  int File_ = -1;
};

} // namespace samphireshunt::standins
