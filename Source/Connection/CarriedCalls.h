#pragma once
/// \file
/// The calls that one connection to a server has carried. A server may answer a
/// call twice, and the second answer may come when the connection is in use
/// again: only the id in it tells the answers of two calls apart, so a
/// connection carries no id twice. The code is free of I/O.

#include "Common/Ids.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace samphireshunt {

/// A hash of the id that a server repeats in its answer; 0: there is none.
using CallKey = Quantity<struct CallKeyTag>;

/// \returns the key of a call's id; 0 for an empty one.
CallKey callKey(std::string_view CallId);

class CarriedCalls {
public:
  /// 8 bytes each, on all connections to servers.
  static constexpr std::size_t MaxCalls = 256;

  /// Records that the connection is to carry \p Call.
  void add(CallKey Call);
  /// Records that an answer without a body was asked for.
  void addHead() { HasHead_ = true; }

  bool contains(CallKey Call) const;
  std::size_t size() const { return Calls_.size(); }
  /// \returns whether the connection may carry a further call: one that carried
  /// a call without an id could get a second answer that nothing tells apart.
  bool mayCarryMore() const { return !HasUnnamed_ && Calls_.size() < MaxCalls; }
  /// \returns whether an answer to \p Call that comes while the connection
  /// carries another call is known to be a second one, and where it ends. The
  /// length in an answer to HEAD is not that of its body.
  bool isSecondAnswer(CallKey Call) const {
    return !HasHead_ && contains(Call);
  }

private:
  std::vector<CallKey> Calls_;
  bool HasUnnamed_ = false;
  bool HasHead_ = false;
};

} // namespace samphireshunt
