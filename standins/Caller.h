#pragma once
/// \file
/// A caller that sends one request, reads the complete answer and compares it
/// with the answer expected for this request.

#include "Connection/Http.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace samphireshunt::standins {

enum class CallMode { Chat, Stream, Application };

struct CallRequest {
  Endpoint Target_;
  std::string Host_;
  std::string CustomerKey_;
  CallMode Mode_ = CallMode::Chat;
  std::string Nonce_;
  std::string Model_;
  std::string Prompt_;
  std::size_t MaxTokens_ = 16;
  std::string Path_ = "/v1/chat/completions";
  std::string Method_ = "POST";
  std::string IdempotencyKey_;
  std::string Tier_;
  std::chrono::milliseconds Timeout_{30000};
};

/// The result of one call as the caller observed it; a line of its log.
struct CallRecord {
  std::string Nonce_;
  std::string IdempotencyKey_;
  std::string Tier_;
  /// The outcome that the answer names; "cut" when the connection was lost
  /// before a final answer.
  std::string Outcome_ = "cut";
  int Code_ = -1;
  int Status_ = 0;
  bool Complete_ = false; ///< The answer ended as the protocol requires.
  bool Correct_ = false;  ///< The text is the answer to this request.
  std::string ServedBy_;
  std::string BackendServer_;
  std::string Text_;
  bool Replay_ = false;
  bool HasRetryAfter_ = false;
  std::chrono::microseconds FirstToken_{0};
  std::chrono::microseconds Total_{0};
  std::size_t Tokens_ = 0;
  std::chrono::microseconds LongestGap_{0};

  nlohmann::json toJson() const;
  static CallRecord fromJson(const nlohmann::json &Line);
};

/// Makes one call over the connection in \p Reused if there is one, otherwise
/// over a new connection. A connection that can carry another call is moved
/// back to \p Reused. Failures are reported in the record's outcome.
Awaitable<CallRecord> call(CallRequest Request,
                           std::unique_ptr<HttpConnection> *Reused = nullptr);

} // namespace samphireshunt::standins
