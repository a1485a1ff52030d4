#include "Common/ResultCode.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace samphireshunt {

namespace {

using enum ResultCode;

constexpr std::array Table = {
    ResultCodeInfo{Ok, "ok", "The whole answer follows.", "Nothing to do."},
    ResultCodeInfo{MalformedRequest, "malformed-request",
                   "The request is not valid HTTP/1.1 or not valid JSON.",
                   "Correct the request; the detail names the place."},
    ResultCodeInfo{HeaderTooLarge, "header-too-large",
                   "The header is larger than the limit.",
                   "Send fewer or shorter header fields."},
    ResultCodeInfo{BodyTooLarge, "body-too-large",
                   "The body is larger than the service's limit.",
                   "Shorten the prompt, or raise limits.maxBodyBytes."},
    ResultCodeInfo{ReadTimeout, "read-timeout",
                   "The request did not arrive whole in time.",
                   "Send it again over a better connection."},
    ResultCodeInfo{UnknownCustomer, "unknown-customer",
                   "No customer of the service has this key.",
                   "Check the key, or add its digest to the document."},
    ResultCodeInfo{NoRoute, "no-route",
                   "No service or route matches host and path.",
                   "Check the address, or add a route to the document."},
    ResultCodeInfo{TierNotAllowed, "tier-not-allowed",
                   "The customer may not use the tier that it asked for.",
                   "Leave X-Tier out, or allow the tier in the document."},
    ResultCodeInfo{UnknownModel, "unknown-model",
                   "No pool of the service serves this model.",
                   "Check the model's name against the document."},
    ResultCodeInfo{IdempotencyKeyMissing, "idempotency-key-missing",
                   "A non-idempotent request came without Idempotency-Key.",
                   "Send a key of 1 to 256 characters, new for each run."},
    ResultCodeInfo{IdempotencyKeyReused, "idempotency-key-reused",
                   "The key was used before with another body.",
                   "Use a new key for a new request."},
    ResultCodeInfo{BadDeadline, "bad-deadline",
                   "X-Request-Timeout-Ms is not a number in range.",
                   "Send whole milliseconds from 1 to limits.maxTimeoutMs."},
    ResultCodeInfo{TooManyConnections, "too-many-connections",
                   "The daemon holds as many connections as it may.",
                   "Come back after Retry-After."},
    ResultCodeInfo{MethodNotAllowed, "method-not-allowed",
                   "The route does not take this method.",
                   "See the route's methods in the document."},
    ResultCodeInfo{CrashesServers, "crashes-servers",
                   "Servers crashed each time that they ran this request.",
                   "Don't send it again; see its fingerprint in the logs."},
    ResultCodeInfo{PromptPartCrashesServers, "prompt-part-crashes-servers",
                   "Servers crashed each time that they began to answer on a "
                   "part of the prompt.",
                   "Leave the part out; request-crashes in the logs names it."},
    ResultCodeInfo{DeadlineInQueue, "deadline-in-queue",
                   "The deadline passed before a backend server was free.",
                   "Come back after Retry-After."},
    ResultCodeInfo{ShedForHigherTier, "shed-for-higher-tier",
                   "Work of a higher tier needs the capacity.",
                   "Come back after Retry-After."},
    ResultCodeInfo{QueueFull, "queue-full",
                   "As many requests wait as the pool allows.",
                   "Come back after Retry-After."},
    ResultCodeInfo{CannotFinishInTime, "cannot-finish-in-time",
                   "The request could not be finished by its deadline.",
                   "Come back after Retry-After, or allow more time."},
    ResultCodeInfo{NoBackendServer, "no-backend-server",
                   "The pool has no active backend server.",
                   "Add a server, or set one to active."},
    ResultCodeInfo{CustomerCeiling, "customer-ceiling",
                   "The customer has as many requests as its ceiling allows.",
                   "Come back after Retry-After, or raise the ceiling."},
    ResultCodeInfo{ConnectFailed, "connect-failed",
                   "No connection to a backend server could be opened.",
                   "Come back after Retry-After; see /status for servers."},
    ResultCodeInfo{CallerLeft, "caller-left",
                   "The caller closed its connection while waiting.",
                   "Nothing to do."},
    ResultCodeInfo{RefusedByServer, "refused-by-server",
                   "The backend server refused before running.",
                   "Come back after Retry-After."},
    ResultCodeInfo{NotReady, "not-ready",
                   "The daemon has no configuration yet.",
                   "Come back after Retry-After; another VM will answer."},
    ResultCodeInfo{KeeperUnreachable, "keeper-unreachable",
                   "No keeper of the cell could be asked in time.",
                   "Come back after Retry-After."},
    ResultCodeInfo{WaitTooLong, "wait-too-long",
                   "So much work waits that the answer would be too late.",
                   "Come back after Retry-After."},
    ResultCodeInfo{AllotmentSpent, "allotment-spent",
                   "The customer has used what it may use for now.",
                   "Come back after Retry-After, or raise the allotment."},
    ResultCodeInfo{ConfigurationStale, "configuration-stale",
                   "The daemon can't tell whether its configuration is the "
                   "newest.",
                   "Come back after Retry-After; another VM will answer."},
    ResultCodeInfo{Stopping, "stopping",
                   "The daemon stops, and the answer might be cut.",
                   "Come back after Retry-After; another VM will answer."},
    ResultCodeInfo{
        NoPath, "no-path",
        "Neither this daemon nor those that it asked reach a server.",
        "Come back after Retry-After; see path-lost in the logs."},
    ResultCodeInfo{StreamOriginUnknown, "stream-origin-unknown",
                   "No daemon can tell which version of its servers' software "
                   "began the stream, and there are several.",
                   "Come back after Retry-After, where another VM may know, or "
                   "discard the part that came and send the request anew."},
    ResultCodeInfo{DaemonMemoryFull, "daemon-memory-full",
                   "The daemon has no memory for the request's body.",
                   "Come back after Retry-After; another VM may have some."},
    ResultCodeInfo{AnswerTimeout, "answer-timeout",
                   "The backend server did not answer by the deadline.",
                   "It may have run: check before asking again."},
    ResultCodeInfo{ConnectionLost, "connection-lost",
                   "The backend server's connection broke with no answer.",
                   "It may have run: check before asking again."},
    ResultCodeInfo{StreamBroken, "stream-broken",
                   "The answer broke off and could not be resumed.",
                   "Discard the part that came; ask again."},
    ResultCodeInfo{CrossedAnswer, "crossed-answer",
                   "The server answered with another request's id.",
                   "It may have run; report the server to its team."},
    ResultCodeInfo{CancelledForHigherTier, "cancelled-for-higher-tier",
                   "The running answer was cancelled for a higher tier.",
                   "Discard the part that came; come back later."},
    ResultCodeInfo{ServerError, "server-error",
                   "The model engine answered with an error.",
                   "It may have run; see the detail."},
    ResultCodeInfo{BadServerLimit, "bad-server-limit",
                   "A server's answer names a limit that is no rate.",
                   "Look at the server; the limit in force before stays."},
    ResultCodeInfo{BadServerNotice, "bad-server-notice",
                   "A server's answer says about itself what can't be read.",
                   "Look at the server; what it said before stays."},
    ResultCodeInfo{EventTooLarge, "event-too-large",
                   "An event of a server's stream is larger than 1 MiB.",
                   "Discard the part that came; look at the server."},
    ResultCodeInfo{BadMemoryAnswer, "bad-memory-answer",
                   "An engine's answer about the memory of a run can't be "
                   "read.",
                   "Look at the engine; the run goes on where it is."},
    ResultCodeInfo{CallerReadsSlowly, "caller-reads-slowly",
                   "The caller read its answer more slowly than the daemon's "
                   "memory allows.",
                   "Discard the part that came; read faster."},
    ResultCodeInfo{AnswerTooLarge, "answer-too-large",
                   "A server's answer, or what frames it, is larger than the "
                   "daemon may hold.",
                   "It may have run; look at the server, or give the VM more "
                   "memory."},
    ResultCodeInfo{MalformedAnswer, "malformed-answer",
                   "A server's answer is not valid HTTP/1.1.",
                   "It may have run; report the server to its team."},
    ResultCodeInfo{ClaimFailed, "claim-failed",
                   "The idempotency key could not be claimed.",
                   "Nothing ran; send it again with the same key."},
    ResultCodeInfo{FirstAttemptRunning, "first-attempt-running",
                   "An earlier attempt with this key is still running.",
                   "Come back after Retry-After with the same key."},
    ResultCodeInfo{FirstAttemptUnknown, "first-attempt-unknown",
                   "An earlier attempt with this key ended unknown.",
                   "Check with the service whether it ran."},
    ResultCodeInfo{PlatformUnavailable, "platform-unavailable",
                   "The platform's key-value service did not answer.",
                   "Come back after Retry-After."},
    ResultCodeInfo{VersionConflict, "version-conflict",
                   "The document was changed since it was read.",
                   "Get the newest version, merge, apply again."},
    ResultCodeInfo{NotFound, "not-found", "There is no such thing.",
                   "Check the name."},
    ResultCodeInfo{HistoryLost, "history-lost",
                   "The platform's service dropped the changes asked for.",
                   "Read the keys anew."},
    ResultCodeInfo{StoreRestored, "store-restored",
                   "The platform's service came back from an older copy.",
                   "Read the keys anew; check what a write left behind."},
    ResultCodeInfo{BadStoreEra, "bad-store-era",
                   "The platform's service tells an era that is no number or "
                   "falls.",
                   "Look at the service; the last good state holds."},
    ResultCodeInfo{ValueTooLarge, "value-too-large",
                   "A value is larger than this process can hold.",
                   "Write a smaller one, or give the VMs more memory; the last "
                   "good state holds."},
    ResultCodeInfo{DocumentSyntax, "document-syntax",
                   "The document is not valid YAML.",
                   "Correct the line that the finding names."},
    ResultCodeInfo{DocumentSchema, "document-schema",
                   "A field is missing, unknown or of the wrong type.",
                   "Correct the field that the finding names."},
    ResultCodeInfo{DocumentReference, "document-reference",
                   "A field names something that is not declared.",
                   "Declare it, or correct the name."},
    ResultCodeInfo{DocumentDuplicate, "document-duplicate",
                   "Two entries have the same name, key or address.",
                   "Rename or remove one."},
    ResultCodeInfo{FormatTooNew, "format-too-new",
                   "The document's format is newer than this program.",
                   "Update the daemons first."},
    ResultCodeInfo{BadSetting, "bad-setting",
                   "A flag or environment variable has a bad value.",
                   "Correct the setting that the detail names."},
    ResultCodeInfo{NotInForceEverywhere, "not-in-force-everywhere",
                   "Accepted, but some daemons don't report it in time.",
                   "It will spread; look at the daemons that are listed."},
    ResultCodeInfo{Internal, "internal", "A fault of this program.",
                   "Report it with the request's id."},
};

} // namespace

std::string_view outcomeName(Outcome Value) {
  switch (Value) {
  case Outcome::Answered:
    return "answered";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  case Outcome::Partial:
    return "partial";
  }
  return "unknown";
}

std::span<const ResultCodeInfo> resultCodeTable() { return Table; }

const ResultCodeInfo &describe(ResultCode Code) {
  auto Row = std::ranges::find(Table, Code, &ResultCodeInfo::Code_);
  return Row != Table.end() ? *Row : Table.back();
}

FailureError::FailureError(const Failure &Cause)
    : std::runtime_error(fmt::format("{} {}: {}", static_cast<int>(Cause.Code_),
                                     describe(Cause.Code_).Name_,
                                     Cause.Detail_)),
      Code_(Cause.Code_) {}

void throw_exception_from_error(const Failure &Cause,
                                const boost::source_location &) {
  throw FailureError(Cause);
}

} // namespace samphireshunt
