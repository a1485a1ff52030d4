#pragma once
/// \file
/// An engine's ledger: what it received, ran, refused and cancelled, a JSON
/// line each. Each line is written at once, so that a killed engine leaves it.

#include <nlohmann/json.hpp>

#include <string>

namespace samphireshunt::standins {

class Ledger {
public:
  /// Appends to \p Path; an empty path keeps nothing.
  Ledger(const std::string &Path, std::string Engine);
  ~Ledger();
  Ledger(const Ledger &) = delete;
  Ledger &operator=(const Ledger &) = delete;

  void write(const std::string &Event, const std::string &Request,
             const std::string &Nonce, nlohmann::json More = {});

private:
  std::string Engine_;
  int File_ = -1;
};

} // namespace samphireshunt::standins
