#pragma once
/// \file
/// How forwarded requests and their answers are labelled: typed values, and
/// hooks that read and write them as header fields. The product's own names are
/// the default; an adapter may put others in their place.

#include "Common/Ids.h"
#include "Connection/Http.h"
#include "Process/Scheduling/PrefixIndex.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace samphireshunt {

/// What a caller says of its request.
struct CallLabels {
  /// Goes to the backend server and comes back with its answer.
  std::string CallId_;
  std::optional<std::chrono::milliseconds> Timeout_;
  std::optional<Tokens> Prompt_;
  std::optional<Tokens> MaxAnswer_;
  /// The caller's own guess of the answer's length; often far off.
  std::optional<Tokens> GuessedAnswer_;
  std::vector<PromptPart> Parts_;
};

/// What this program tells a backend server.
struct ForwardLabels {
  std::chrono::milliseconds Timeout_{0};
  /// Another server at this address must refuse.
  ServerName Server_;
  CustomerName Customer_;
};

/// What a backend server says of its answer.
struct AnswerLabels {
  std::string CallId_;
  /// The server did not run the request and will not.
  bool NotRun_ = false;
  /// It is not the server that was meant; that one is gone.
  bool Replaced_ = false;
  /// The answer bears the server's proof that it is its own.
  bool Proved_ = false;
  /// Requests that wait in the server, if it tells.
  std::optional<std::uint32_t> Waiting_;
};

struct ForwardingDialect {
  std::function<CallLabels(const HttpFields &)> ReadCall_;
  /// Replaces in a request's fields what this program sets or withholds.
  std::function<void(HttpFields &, const ForwardLabels &)> WriteForward_;
  std::function<AnswerLabels(const HttpResponse &)> ReadAnswer_;
  /// Names the request in an answer of this program's own.
  std::function<void(HttpFields &, const std::string &CallId)> NameAnswer_;
  /// Retry-After may have a fraction of a second.
  bool FractionalRetryAfter_ = false;
};

/// The product's own names: x-call-id, x-request-timeout-ms, x-prompt-tokens,
/// x-answer-tokens, x-prompt-parts (HEX:TOKENS,...), x-expect-server,
/// x-customer, x-not-run, x-answer-proof.
ForwardingDialect ownDialect();

/// Parses "HEX:TOKENS,HEX:TOKENS"; what can't be read ends the list.
std::vector<PromptPart> parsePromptParts(std::string_view Text);
/// \returns nothing unless \p Text is a whole number from 0.
std::optional<std::int64_t> parseCount(std::string_view Text);

} // namespace samphireshunt
