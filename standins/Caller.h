#pragma once
/// \file
/// A caller: sends one request, reads the answer whole, and judges it against
/// what only its own request can have got.

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

/// What the caller saw; one line of its log.
struct CallRecord {
  std::string Nonce_;
  std::string IdempotencyKey_;
  std::string Tier_;
  /// The outcome that the answer names; "cut" when the connection broke with
  /// no final answer.
  std::string Outcome_ = "cut";
  int Code_ = -1;
  int Status_ = 0;
  bool Complete_ = false; ///< The answer looked whole to the client.
  bool Correct_ = false;  ///< It was the answer to this very request.
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

/// Makes one call over a connection of its own, or over \p Reused when that
/// holds one; leaves the connection there when it can carry another call.
Awaitable<CallRecord> call(CallRequest Request,
                           std::unique_ptr<HttpConnection> *Reused = nullptr);

} // namespace samphireshunt::standins
